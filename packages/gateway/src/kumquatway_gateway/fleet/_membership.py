"""Tracks the platform's server list and bridges outages of the store."""

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from kumquatway_gateway.model import Server, ServerState

# After an outage of the store, servers write their lapsed registrations again within
# two seconds (service discovery of the users' platform).
REREGISTRATION_GRACE_SECONDS = 2.3
REMEMBERED_SECONDS = 30.0  # longer than copies of the store are old
OUTAGE_SECONDS = 1.0  # outages longer than this may have let registrations lapse


@dataclass(frozen=True, kw_only=True, slots=True)
class _Removal:
    """When an incarnation of a server left the list."""

    incarnation: int
    removed_at: float


class Membership:
    """
    The servers of the list, and those whose registration lapsed in a store outage.

    During an outage the last list stays in force. For a short time after the outage,
    servers whose registration is missing are kept, since they may not have registered
    again yet.

    :param clock: monotonic seconds.
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic):
        self.clock = clock
        self.servers: dict[str, Server] = {}
        self.outage_since: float | None = None
        self.grace_until = float("-inf")
        # End of the time in which the list may be from an older copy of the store.
        self.restored_until = float("-inf")
        # Incarnations that left the list, by server; an older copy still has them.
        self.removed: dict[str, _Removal] = {}

    def record_restore(self) -> None:
        """
        Record that the store came back from a copy that is some seconds old.

        Servers that registered or left since are not listed, or listed as before, until
        they and the platform have written again.
        """
        self.restored_until = self.clock() + REREGISTRATION_GRACE_SECONDS
        self.grace_until = self.restored_until

    def record_store_failure(self) -> None:
        """Record that the store did not respond."""
        if self.outage_since is None:
            self.outage_since = self.clock()

    def is_up_to_date(self) -> bool:
        """
        Tell whether the servers were recently able to write their registrations.

        :return: False until the grace period after an outage has passed.
        """
        return self.clock() >= self.grace_until

    def grace_left(self) -> float:
        """
        Return for how long lapsed registrations are still kept.

        :return: seconds, 0 if there was no recent outage.
        """
        return max(0.0, self.grace_until - self.clock())

    def adopt(self, servers: dict[str, Server], grace: float) -> None:
        """
        Replace the list by a peer's list.

        :param servers: the peer's servers, by ID.
        :param grace: the peer's `grace_left`, seconds.
        """
        self.outage_since = None
        self.grace_until = self.clock() + grace if grace else float("-inf")
        self.servers = servers

    def update(self, listed: Iterable[Server]) -> dict[str, Server]:
        """
        Replace the list by a full list from the store.

        :param listed: the servers in the store's list.
        :return: these servers and those kept during the grace period, by ID.
        """
        now = self.clock()
        if self.outage_since is not None and now - self.outage_since > OUTAGE_SECONDS:
            self.grace_until = now + REREGISTRATION_GRACE_SECONDS
        self.outage_since = None
        found = {server.id: server for server in listed}
        if now < self.restored_until:
            self._drop_removed(found)
        if now < self.grace_until:
            self._keep_lapsed(found)
        self._record_removed(found, now)
        self.servers = found
        return found

    def _record_removed(self, found: dict[str, Server], now: float) -> None:
        for server_id, server in self.servers.items():
            if server_id not in found:
                self.removed[server_id] = _Removal(
                    incarnation=server.incarnation, removed_at=now
                )
        cutoff = now - REMEMBERED_SECONDS
        for name in [n for n, r in self.removed.items() if r.removed_at < cutoff]:
            del self.removed[name]

    def _drop_removed(self, found: dict[str, Server]) -> None:
        """Drop the servers that are listed again after they had left the list."""
        for server_id, removal in self.removed.items():
            server = found.get(server_id)
            if server is not None and server.incarnation == removal.incarnation:
                del found[server_id]

    def _keep_lapsed(self, found: dict[str, Server]) -> None:
        """Add the known servers that are not listed and whose address is free."""
        used_addresses = {server.address for server in found.values()}
        for server in self.servers.values():
            replaced = server.id in found or server.address in used_addresses
            if not replaced and server.state is ServerState.READY:
                found[server.id] = server
