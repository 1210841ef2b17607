"""
Membership.

The platform's list of servers, read through outages of the store.
"""

import time
from collections.abc import Callable, Iterable

from kumquatway_gateway.model import Server, ServerState

# An entry that lapsed with the store is written again within two seconds of the
# store's return (users' platform pages, service discovery).
REREGISTRATION_GRACE_SECONDS = 2.3
OUTAGE_SECONDS = 1.0  # of an outage, from which on entries may have lapsed


class Membership:
    """
    The servers of the list, and those that the store alone has lost.

    While the store is away the last list stands. After its return an entry that
    is missing is kept for a short time, since its server has yet to write it again.

    :param clock: monotonic seconds.
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic):
        self.clock = clock
        self.servers: dict[str, Server] = {}
        self.outage_since: float | None = None
        self.grace_until = float("-inf")

    def record_store_failure(self) -> None:
        """Note that the store did not answer."""
        if self.outage_since is None:
            self.outage_since = self.clock()

    def is_up_to_date(self) -> bool:
        """
        Tell whether the servers could write their entries lately.

        :return: False until some time after an outage.
        """
        return self.clock() >= self.grace_until

    def grace_left(self) -> float:
        """
        Give the time for which entries that lapsed with the store stay listed.

        :return: seconds, 0 where there was no outage lately.
        """
        return max(0.0, self.grace_until - self.clock())

    def adopt(self, servers: dict[str, Server], grace: float) -> None:
        """
        Take a peer's list.

        :param servers: by id.
        :param grace: as the peer's `grace_left`.
        """
        self.outage_since = None
        self.grace_until = self.clock() + grace if grace else float("-inf")
        self.servers = servers

    def update(self, listed: Iterable[Server]) -> dict[str, Server]:
        """
        Take a whole list.

        :param listed: the servers in it.
        :return: the servers that there are, by id.
        """
        now = self.clock()
        if self.outage_since is not None and now - self.outage_since > OUTAGE_SECONDS:
            self.grace_until = now + REREGISTRATION_GRACE_SECONDS
        self.outage_since = None
        found = {server.id: server for server in listed}
        if now < self.grace_until:
            self._keep_lapsed(found)
        self.servers = found
        return found

    def _keep_lapsed(self, found: dict[str, Server]) -> None:
        taken = {server.address for server in found.values()}
        for server in self.servers.values():
            gone = server.id in found or server.address in taken
            if not gone and server.state is ServerState.READY:
                found[server.id] = server
