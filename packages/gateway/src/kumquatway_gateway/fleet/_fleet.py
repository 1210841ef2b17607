"""
Fleet.

What this entry believes of each server: the list, fresher reports, and marks.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass

from kumquatway_core.events import Event, MembershipChanged
from kumquatway_gateway.model import LayerRange, LayerReport, Server, ServerState

# The list lags by a heartbeat of 1.2 s and the 0.8 s that the store adds (site files).
LIST_LAG_SECONDS = 2.2
SLOWDOWN_THRESHOLD = 1.5  # times the usual, above which a server counts as slow
MIN_SLOWDOWN_CHANGE = 0.2  # share by which a pace must change to count as a change
ENDED_RETENTION_SECONDS = (
    30.0  # that a life is over: longer than callers wait (20 s, pages)
)
AVOID_SECONDS = 0.4  # after a server said that it is full or gives layers up


@dataclass(frozen=True, kw_only=True, slots=True)
class HealthStatus:
    """
    Says that a server does not answer, or that it answers again.

    :param born: the life that the mark is about.
    :param since: when it was seen, monotonic seconds.
    :param ended: whether its life is surely over, and not only out of reach.
    :param refuses: whether it answers, finishes what it has, and takes no new work.
    """

    incarnation: int
    down: bool
    observed_at: float
    reason: str
    ended: bool = False
    refuses_work: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Slowdown:
    """
    How many times longer than usual a server's work takes.

    :param born: the life that it is about.
    :param at: when it was seen, monotonic seconds.
    :param changed: when it was first seen to be about this, monotonic seconds.
    """

    incarnation: int
    factor: float
    observed_at: float
    changed_at: float

    def is_recent(self, now: float, window: float) -> bool:
        """
        Tell whether others should hear of it.

        :param now: monotonic seconds.
        :param seconds: for which a sight or a change is news.
        :return: False for a server that is well and was before.
        """
        if now - self.observed_at >= window:
            return False
        return self.factor > SLOWDOWN_THRESHOLD or now - self.changed_at < window


class Fleet:
    """
    The servers as routing and placement see them.

    :param emit: takes events.
    :param clock: monotonic seconds.
    """

    def __init__(
        self,
        *,
        emit: Callable[[Event], None] = lambda event: None,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.emit = emit
        self.clock = clock
        self.servers: dict[str, Server] = {}
        self.by_address: dict[str, Server] = {}
        self.health: dict[str, HealthStatus] = {}
        self.layer_reports: dict[str, LayerReport] = {}
        self.listed_at_report: dict[str, LayerRange] = {}  # as of each report
        self.last_sequences: dict[str, tuple[int, int]] = {}
        self.leaving: dict[str, int] = {}
        self.ended_at: dict[str, float] = {}  # unlisted and surely over, since when
        self.avoided_until: dict[str, float] = {}
        self.slowdowns: dict[str, Slowdown] = {}
        self.listed_at = float("-inf")  # when the list was last known to be kept up
        self.generation = 0  # rises with each change that routing depends on
        self.on_change: Callable[[], None] = lambda: None
        self.on_local_change: Callable[[], None] = lambda: None  # of what was seen here
        self.has_request_in_progress: Callable[[str], bool] = (
            _never  # for this entry, by id
        )

    def update_servers(
        self,
        servers: dict[str, Server],
        *,
        up_to_date: bool = True,
        as_of: float | None = None,
    ) -> None:
        """
        Take the list of servers.

        :param servers: all that there are, by id.
        :param kept_up: whether the servers could write to it lately.
        :param at: when the store had this list, monotonic seconds; now if not given.
        """
        if up_to_date:
            self.listed_at = self.clock() if as_of is None else as_of
        overtaken = self._drop_overtaken(servers)
        if servers == self.servers:
            if overtaken:
                self.mark_changed()
            return
        self._tell_changes(servers)
        self._note_ended(servers)
        self.servers = dict(servers)
        self.by_address = {server.address: server for server in servers.values()}
        for name in [name for name in self.layer_reports if name not in servers]:
            self._forget_held(name)
        for notes in (self.health, self.leaving, self.avoided_until, self.slowdowns):
            for name in [name for name in notes if name not in servers]:
                del notes[name]
        for name in [n for n, mark in self.health.items() if self._is_past(n, mark)]:
            del self.health[name]
        self.mark_changed()

    def _drop_overtaken(self, servers: dict[str, Server]) -> bool:
        """
        Drop reports that the list agrees with, or has surely caught up with.

        An entry that has not changed since the report tells nothing: its server may be
        cut off from the store.
        """
        dropped = False
        for name, held in list(self.layer_reports.items()):
            server = servers.get(name)
            if server is None or server.incarnation != held.incarnation:
                continue
            # The list does not say whether a server still carries out an order.
            agrees = server.layers == held.layers and not held.busy
            changed = server.layers != self.listed_at_report.get(name)
            late = self.listed_at - held.reported_at > LIST_LAG_SECONDS
            if agrees or (changed and late):
                dropped = dropped or not agrees
                self._forget_held(name)
        return dropped

    def _note_ended(self, servers: dict[str, Server]) -> None:
        """
        Remember which of the servers that are no longer listed have ended.

        Some leave unannounced: they answer, and finish what they have.
        """
        now = self.clock()
        taken = {server.address for server in servers.values()}
        for name, server in self.servers.items():
            if name in servers:
                continue
            if server.address in taken or not self.is_responding(server):
                self.ended_at[name] = now
        cutoff = now - ENDED_RETENTION_SECONDS
        for name in [name for name, at in self.ended_at.items() if at < cutoff]:
            del self.ended_at[name]

    def _forget_held(self, server_id: str) -> None:
        held = self.layer_reports.pop(server_id)
        self.last_sequences[server_id] = (held.incarnation, held.sequence)
        self.listed_at_report.pop(server_id, None)

    def mark_changed(self) -> None:
        """Note a change that routing depends on."""
        self.generation += 1
        self.on_change()

    def layers(self, server: Server) -> LayerRange:
        """
        Give what a server holds, by the freshest word of it.

        :param server: in the list.
        :return: its layers.
        """
        held = self.layer_reports.get(server.id)
        if held is None or held.incarnation != server.incarnation:
            return server.layers
        return held.layers

    def loaded(self, server: Server) -> int:
        """
        Count the layers that take a server's memory.

        Those it gives up stay until what runs through them has ended, and those it
        loads have their place from the start.

        :param server: in the list.
        :return: layers, at least what it offers.
        """
        offered = len(self.layers(server))
        held = self.layer_reports.get(server.id)
        if held is None or held.incarnation != server.incarnation or not held.busy:
            return offered
        return max(offered, held.loaded, len(server.layers))

    def sequence(self, server: Server) -> int:
        """
        Give the orders that a server has begun, as far as it has said so.

        :param server: in the list.
        :return: the count.
        """
        held = self.layer_reports.get(server.id)
        if held is not None and held.incarnation == server.incarnation:
            return held.sequence
        born, sequence = self.last_sequences.get(server.id, (server.incarnation, 0))
        return sequence if born == server.incarnation else 0

    def is_up(self, server: Server) -> bool:
        """
        Tell whether a server may be given work.

        :param server: in the list.
        :return: False if it leaves or does not answer.
        """
        if server.state is not ServerState.READY or server.id in self.leaving:
            return False
        mark = self.health.get(server.id)
        return mark is None or not mark.down

    def is_responding(self, server: Server) -> bool:
        """
        Tell whether what a server has in progress goes on.

        One that is full, or about to end, refuses connections and goes on with what it
        has: a connection to it that is still open tells that from a crash.

        :param server: in the list.
        :return: False if it does not answer; one that leaves does.
        """
        mark = self.health.get(server.id)
        if mark is None or not mark.down or mark.refuses_work:
            return True
        return mark.ended and self.has_request_in_progress(server.id)

    def is_avoided(self, server: Server) -> bool:
        """
        Tell whether a server just refused work.

        :param server: in the list.
        :return: True for a short time after it did.
        """
        return self.avoided_until.get(server.id, 0.0) > self.clock()

    def avoid(self, server: Server, seconds: float = AVOID_SECONDS) -> None:
        """
        Give a server no new work for a short time.

        :param server: one that refused work.
        :param seconds: for how long.
        """
        self.avoided_until[server.id] = self.clock() + seconds
        self.mark_changed()

    def has_ended(self, server_id: str) -> bool:
        """
        Tell whether a server's life is surely over.

        :param server_id: of the server.
        :return: True if its VM refuses connections, if it was silent until its entry
            was removed, or if its address is another's.
        """
        if server_id in self.ended_at:
            return True
        mark = self.health.get(server_id)
        refuses = mark is not None and mark.down and mark.ended
        return refuses and not self.has_request_in_progress(server_id)

    def set_health(
        self,
        server: Server,
        *,
        down: bool,
        reason: str,
        ended: bool = False,
        refuses_work: bool = False,
    ) -> None:
        """
        Note that a server does not answer or takes no work, or that it does again.

        :param server: in the list.
        :param down: whether it does not answer or takes no work.
        :param reason: what was seen.
        :param ended: whether its life is surely over.
        :param refuses: whether it answers and takes no work.
        """
        mark = HealthStatus(
            incarnation=server.incarnation,
            down=down,
            observed_at=self.clock(),
            reason=reason,
            ended=ended,
            refuses_work=refuses_work,
        )
        if self.update_health(server.id, mark):
            self.on_local_change()

    def update_health(self, server_id: str, status: HealthStatus) -> bool:
        """
        Take a mark, one's own or a peer's; the newest counts.

        :param server_id: of the server.
        :param mark: about it.
        :return: whether it changed anything.
        """
        server = self.servers.get(server_id)
        if server is None or server.incarnation != status.incarnation:
            return False
        known = self.health.get(server_id)
        if known is not None and known.observed_at >= status.observed_at:
            return False
        was_down = known is not None and known.down
        self.health[server_id] = status
        if was_down == status.down:
            return False
        self._tell(server, "down" if status.down else "up", status.reason)
        self.mark_changed()
        return True

    def update_layers(self, server_id: str, report: LayerReport) -> bool:
        """
        Take a report of what a server holds; the one after more orders counts.

        :param server_id: of the server.
        :param held: what it said.
        :return: whether it changed anything.
        """
        server = self.servers.get(server_id)
        if server is None or (
            report.incarnation and report.incarnation != server.incarnation
        ):
            return False
        known = self.layer_reports.get(server_id)
        same_life = known is not None and known.incarnation == report.incarnation
        if same_life and (known.sequence, known.reported_at) >= (
            report.sequence,
            report.reported_at,
        ):
            return False
        if self.listed_at - report.reported_at > LIST_LAG_SECONDS:
            return False
        before = (self.layers(server), self.loaded(server))
        self.layer_reports[server_id] = report
        self.listed_at_report[server_id] = server.layers
        if (self.layers(server), self.loaded(server)) != before:
            self.mark_changed()
        return True

    def slowdown(self, server: Server) -> float:
        """
        Give how many times longer than usual a server's work takes.

        :param server: in the list.
        :return: 1 where nothing else was reported.
        """
        note = self.slowdowns.get(server.id)
        return note.factor if note and note.incarnation == server.incarnation else 1.0

    def is_slow(self, server: Server) -> bool:
        """
        Tell whether a server's work takes much longer than usual.

        :param server: in the list.
        """
        return self.slowdown(server) > SLOWDOWN_THRESHOLD

    def update_slowdown(
        self, server_id: str, incarnation: int, factor: float, observed_at: float
    ) -> None:
        """
        Take a report of a server's pace; the newest counts.

        :param server_id: of the server.
        :param born: of the life that it is about.
        :param pace: times longer than usual.
        :param at: when it was seen, monotonic seconds.
        """
        server = self.servers.get(server_id)
        if server is None or server.incarnation != incarnation:
            return
        known = self.slowdowns.get(server_id)
        if known is not None and observed_at <= known.observed_at:
            return
        before = self.slowdown(server)
        differs = abs(before - factor) > MIN_SLOWDOWN_CHANGE * before
        since = known.changed_at if known is not None else float("-inf")
        self.slowdowns[server_id] = Slowdown(
            incarnation=incarnation,
            factor=factor,
            observed_at=observed_at,
            changed_at=observed_at if differs else since,
        )
        if differs:
            self._tell(server, "slow" if factor > 1 else "usual", f"pace {factor:.1f}")
            self.mark_changed()

    def mark_leaving(self, server_id: str, incarnation: int) -> None:
        """
        Take a peer's word that a server leaves.

        :param server_id: of the server.
        :param born: of the life that leaves.
        """
        server = self.servers.get(server_id)
        if (
            server is None
            or server.incarnation != incarnation
            or server_id in self.leaving
        ):
            return
        self.leaving[server_id] = incarnation
        self.mark_changed()

    def _is_past(self, server_id: str, mark: HealthStatus) -> bool:
        return self.servers[server_id].incarnation != mark.incarnation

    def _tell_changes(self, servers: dict[str, Server]) -> None:
        for name, server in servers.items():
            known = self.servers.get(name)
            if known is None or known.incarnation != server.incarnation:
                held = f"{server.layers.start}-{server.layers.stop}"
                self._tell(server, "joined", f"{server.service}, holds {held}")
            elif known.state is not server.state:
                self._tell(server, server.state.value)
        for name, server in self.servers.items():
            if name not in servers:
                self._tell(server, "gone")

    def _tell(self, server: Server, state: str, detail: str = "") -> None:
        self.emit(
            MembershipChanged(
                vm=server.id,
                state=state,
                incarnation=server.incarnation,
                detail=f"{server.address} {detail}".rstrip(),
            )
        )


def _never(server_id: str) -> bool:
    return False
