"""
Job.

What every request in progress has: who asked, on which route, until when.
"""

import time
from dataclasses import dataclass, field

from kumquatway_gateway.http1 import CallerConnection
from kumquatway_gateway.model import Account, Request, Route, Service


@dataclass(kw_only=True, slots=True, eq=False)
class Job:
    """
    A request in progress.

    :param revision: of the configuration that allowed it.
    :param deadline: when its last answer is due, monotonic seconds.
    :param sent: ids of the servers that were given it, in order.
    """

    caller: CallerConnection
    request: Request
    route: Route
    service: Service
    account: Account | None
    revision: int
    deadline: float
    sent_to: list[str] = field(default_factory=list)

    @property
    def account_name(self) -> str:
        """Give the account's name, or "" for a public route."""
        return self.account.name if self.account else ""

    @property
    def priority(self) -> int:
        """Give the rank: the account's goes before the route's."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    def seconds_left(self) -> float:
        """Give the time until the deadline, seconds."""
        return self.deadline - time.monotonic()

    def age(self) -> float:
        """Give the time since the request arrived, seconds."""
        return time.monotonic() - self.request.arrived_at
