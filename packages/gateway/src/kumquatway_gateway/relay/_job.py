"""
State that every request in progress has, on plain and on model services.
"""

import asyncio
import time
from dataclasses import dataclass, field

from kumquatway_gateway.http1 import CallerConnection
from kumquatway_gateway.model import Account, Request, Route, Service


@dataclass(kw_only=True, slots=True, eq=False)
class Job:
    """
    A request in progress.

    :param caller: connection of the caller.
    :param account: the client account, or None on a public route.
    :param revision: revision of the configuration that admitted the request.
    :param deadline: when the response must be complete, monotonic seconds.
    :param features: what the request may share with others that crash servers.
    :param is_trial: whether it is sent to one server although it is blocked.
    :param timeout: ends the request at its deadline, or earlier at the exit.
    :param sent_to: IDs of the servers that the request was sent to, one for each
        attempt, in order.
    :param has_end: whether the event of its end was emitted.
    """

    caller: CallerConnection
    request: Request
    route: Route
    service: Service
    account: Account | None
    revision: int
    deadline: float
    features: frozenset[str] = frozenset()
    is_trial: bool = False
    timeout: asyncio.Timeout | None = None
    sent_to: list[str] = field(default_factory=list)
    has_end: bool = False

    @property
    def account_name(self) -> str:
        """Name of the client account, or "" on a public route."""
        return self.account.name if self.account else ""

    @property
    def priority(self) -> int:
        """Priority of the account if it has one, else that of the route."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    def seconds_left(self) -> float:
        """Return the time until the deadline, seconds."""
        return self.deadline - time.monotonic()

    def is_awaited(self) -> bool:
        """
        Tell whether the request may be sent: its caller is there, and time is left.

        A process that is late may find a connection open before it notices the end of
        the request.
        """
        return self.seconds_left() > 0 and not self.caller.end_if_left()

    def age(self) -> float:
        """Return the time since the request arrived, seconds."""
        return time.monotonic() - self.request.arrived_at
