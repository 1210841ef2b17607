"""Tracks the platform's server list and bridges outages of the store."""

from dataclasses import dataclass, replace

from kumquatway_gateway.fleet._gaps import (
    MAX_GAP_AFTER_FAILURE_SECONDS,
    MAX_GAP_IN_GRACE_SECONDS,
    MAX_GAP_SECONDS,
    NEVER,
    REREGISTRATION_GRACE_SECONDS,
    Gaps,
)
from kumquatway_gateway.model import Gap, Server, ServerList, ServerState

REMEMBERED_SECONDS = 30.0  # longer than copies of the store are old


@dataclass(frozen=True, kw_only=True, slots=True)
class _Removal:
    """When an incarnation of a server left the list, by the store's clock."""

    incarnation: int
    removed_at: float


class Membership:
    """
    The servers of the list, and those whose registration lapsed in a store outage.

    What is believed follows from the lists and the times at which the store had them,
    whoever read them. If the store was not read for a while, it may have been away, and
    registrations of live servers may have lapsed. For a short time afterwards, servers
    that are missing are kept, since they may not have registered again yet.

    All times are by the store's clock, in seconds.

    :ivar newest: the newest list, or None before the first one.
    :ivar servers: the servers in use, by ID.
    :ivar gaps: the times for which no list is known.
    """

    def __init__(self):
        self.newest: ServerList | None = None
        self.servers: dict[str, Server] = {}
        self.gaps = Gaps()
        self.read_failed = False  # since the newest list
        # End of the time in which the list may be from an older copy of the store.
        self.restored_until = NEVER
        # Incarnations that left the list, by server; an older copy still has them.
        self.removed: dict[str, _Removal] = {}

    @property
    def kept_until(self) -> float:
        """Return until when servers that the list lacks are kept."""
        return self.gaps.grace_until

    def record_failure(self) -> None:
        """Record that the store did not respond to this entry."""
        self.read_failed = True

    def is_newer(self, listed_at: float, generation: int) -> bool:
        """
        Tell whether a list is newer than the one in force.

        :param listed_at: when the store had the list.
        :param generation: generation of the store.
        """
        return self.newest is None or (generation, listed_at) > (
            self.newest.generation,
            self.newest.listed_at,
        )

    def is_up_to_date(self) -> bool:
        """
        Tell whether the servers were able to write their registrations lately.

        :return: False until the grace period after an outage has passed.
        """
        return self.newest is not None and self.newest.listed_at >= self.kept_until

    def grace_left(self, age: float) -> float:
        """
        Return for how long missing servers are still kept.

        :param age: seconds since the newest list was read.
        :return: seconds, 0 if there was no outage lately.
        """
        if self.newest is None:
            return 0.0
        return max(0.0, self.kept_until - self.newest.listed_at - age)

    def lapsed(self) -> dict[str, Server]:
        """Return the servers that are kept though the list lacks them, by ID."""
        listed = self.newest.servers if self.newest is not None else {}
        return {name: s for name, s in self.servers.items() if name not in listed}

    def update(
        self,
        found: ServerList,
        *,
        gap: Gap | None = None,
        lapsed: dict[str, Server] | None = None,
    ) -> dict[str, Server]:
        """
        Replace the list, whether this entry or a peer has read it.

        :param found: a list of the store.
        :param gap: the last time for which the peer knows no list, or None.
        :param lapsed: servers that the peer keeps since then, by ID.
        :return: its servers and those that are kept, by ID; the same object as before
            if nothing has changed.
        """
        if self.newest is not None:
            if self._is_overtaken(found):
                return self.servers
            known = self.newest.servers
            if found.servers is not known and found.servers == known:
                found = replace(found, servers=known)
        self._record_gap(found)
        self.gaps.record_list(found.listed_at)
        self.read_failed = False
        self.newest = found
        if self.may_learn(gap, found.generation):
            return self.learn(lapsed or {}, gap)
        if found.servers is not self.servers:
            self._replace_servers(self.servers)
        return self.servers

    def may_learn(self, gap: Gap | None, generation: int) -> bool:
        """
        Tell whether a peer misses lists of a time that this entry cannot know of.

        An entry that has started since an outage does not know which servers the list
        lacks. One that has a list of that time knows that there was no outage.

        :param gap: the last time for which the peer knows no list, or None.
        :param generation: generation of the store that the peer's list is from.
        """
        if gap is None or self.newest is None or generation != self.newest.generation:
            return False
        unknown = self.gaps.unknown_part(gap, now=self.newest.listed_at)
        if unknown is None:
            return False
        kept_until = unknown.end + REREGISTRATION_GRACE_SECONDS
        return (
            unknown.end <= self.newest.listed_at < kept_until
            and kept_until > self.kept_until
        )

    def learn(self, lapsed: dict[str, Server], gap: Gap) -> dict[str, Server]:
        """
        Keep the servers that a peer keeps, see `may_learn`.

        :param lapsed: servers that the peer's list lacks, by ID.
        :param gap: the last time for which the peer knows no list.
        :return: the servers in use, by ID.
        """
        unknown = self.gaps.unknown_part(gap, now=self.newest.listed_at)
        self.gaps.begin_grace(unknown)
        self._replace_servers({**lapsed, **self.servers})
        return self.servers

    def narrow_gap(self, since: float, until: float, generation: int) -> bool:
        """
        Narrow the last gap to the time for which a peer has no list either.

        An entry that was frozen has a gap where others have lists.

        :param since: time since which the peer's lists follow each other.
        :param until: time of the peer's newest list.
        :param generation: generation of the store that the peer's list is from.
        :return: whether the gap has changed.
        """
        if self.newest is None or generation != self.newest.generation:
            return False
        if not self.gaps.narrow(since, until):
            return False
        self._replace_servers(self.servers)
        return True

    def _is_overtaken(self, found: ServerList) -> bool:
        """Tell whether a newer list came while this one was on its way."""
        lead = self.newest.listed_at - found.listed_at
        return self.newest.generation == found.generation and 0 < lead < MAX_GAP_SECONDS

    def _record_gap(self, found: ServerList) -> None:
        """Begin a grace period if registrations may have lapsed before a list."""
        known = self.newest
        if known is None or not known.listed_at:
            self.gaps.followed_since = found.listed_at
        elif not self.is_newer(found.listed_at, found.generation):
            self._forget_times(found)
        elif self._is_restored(found) or (
            found.listed_at - known.listed_at > self._max_gap()
        ):
            self.gaps.begin_grace(Gap(start=known.listed_at, end=found.listed_at))
            if self._is_restored(found):
                self.restored_until = self.kept_until
                self.gaps.listed_at.clear()  # the clock of an older copy may be behind

    def _is_restored(self, found: ServerList) -> bool:
        """Tell whether the store came back from an older copy before a list."""
        return 0 < self.newest.generation < found.generation

    def _forget_times(self, found: ServerList) -> None:
        """Forget what a peer told of times that the store's clock has not reached."""
        if found.listed_at == self.newest.listed_at:
            return
        self.restored_until = NEVER
        self.gaps.listed_at.clear()
        self.removed.clear()
        self.gaps.begin_grace(Gap(start=0.0, end=found.listed_at))

    def _max_gap(self) -> float:
        """Return the time until the next list in which no registration is delayed."""
        if self.is_up_to_date():
            return MAX_GAP_SECONDS
        if self.read_failed:
            return MAX_GAP_AFTER_FAILURE_SECONDS
        return MAX_GAP_IN_GRACE_SECONDS

    def _replace_servers(self, known: dict[str, Server]) -> None:
        """
        Derive the servers in use from the list and those known before.

        :param known: servers that may be kept, by ID.
        """
        now = self.newest.listed_at
        found = dict(self.newest.servers)
        if now < self.restored_until:
            self._drop_removed(found)
        if now < self.kept_until:
            _keep_lapsed(found, known)
        self._record_removed(found, now)
        self.servers = self.newest.servers if found == self.newest.servers else found

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


def _keep_lapsed(found: dict[str, Server], known: dict[str, Server]) -> None:
    """Add the known servers that are not listed and whose address is free."""
    used_addresses = {server.address for server in found.values()}
    for server in known.values():
        replaced = server.id in found or server.address in used_addresses
        if not replaced and server.state is ServerState.READY:
            found[server.id] = server
