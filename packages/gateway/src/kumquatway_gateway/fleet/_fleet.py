"""
Fleet.

What this entry believes of each server: the list, fresher reports, and marks.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass

from kumquatway_core.events import Event, MembershipChanged
from kumquatway_gateway.model import Held, LayerRange, Server, ServerState

# The list lags by a heartbeat of 1.2 s and the 0.8 s that the store adds (site files).
LIST_LAG_SECONDS = 2.2
SLOW_PACE = 1.5  # times the usual, above which a server counts as slow
PACE_STEP = 0.2  # share by which a pace must change to count as a change
REMEMBER_SECONDS = 30.0  # that a life is over: longer than callers wait (20 s, pages)
AVOID_SECONDS = 0.4  # after a server said that it is full or gives layers up


@dataclass(frozen=True, kw_only=True, slots=True)
class Mark:
    """
    Says that a server does not answer, or that it answers again.

    :param born: the life that the mark is about.
    :param since: when it was seen, monotonic seconds.
    :param ended: whether its life is surely over, and not only out of reach.
    :param refuses: whether it answers, finishes what it has, and takes no new work.
    """

    born: int
    down: bool
    since: float
    reason: str
    ended: bool = False
    refuses: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class PaceNote:
    """
    How many times longer than usual a server's work takes.

    :param born: the life that it is about.
    :param at: when it was seen, monotonic seconds.
    :param changed: when it was first seen to be about this, monotonic seconds.
    """

    born: int
    pace: float
    at: float
    changed: float

    def is_news(self, now: float, seconds: float) -> bool:
        """
        Tell whether others should hear of it.

        :param now: monotonic seconds.
        :param seconds: for which a sight or a change is news.
        :return: False for a server that is well and was before.
        """
        if now - self.at >= seconds:
            return False
        return self.pace > SLOW_PACE or now - self.changed < seconds


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
        self.marks: dict[str, Mark] = {}
        self.held: dict[str, Held] = {}
        self.listed_then: dict[str, LayerRange] = {}  # as of each report
        self.sequences: dict[str, tuple[int, int]] = {}
        self.leaving: dict[str, int] = {}
        self.ended: dict[str, float] = {}  # unlisted and surely over, since when
        self.avoided: dict[str, float] = {}
        self.paces: dict[str, PaceNote] = {}
        self.listed_at = float("-inf")  # when the list was last known to be kept up
        self.generation = 0  # rises with each change that routing depends on
        self.changed: Callable[[], None] = lambda: None
        self.news: Callable[[], None] = lambda: None  # of what was seen here
        self.is_at_work: Callable[[str], bool] = _never  # for this entry, by id

    def list(
        self,
        servers: dict[str, Server],
        *,
        kept_up: bool = True,
        at: float | None = None,
    ) -> None:
        """
        Take the list of servers.

        :param servers: all that there are, by id.
        :param kept_up: whether the servers could write to it lately.
        :param at: when the store had this list, monotonic seconds; now if not given.
        """
        if kept_up:
            self.listed_at = self.clock() if at is None else at
        overtaken = self._drop_overtaken(servers)
        if servers == self.servers:
            if overtaken:
                self.touch()
            return
        self._tell_changes(servers)
        self._note_ended(servers)
        self.servers = dict(servers)
        self.by_address = {server.address: server for server in servers.values()}
        for name in [name for name in self.held if name not in servers]:
            self._forget_held(name)
        for notes in (self.marks, self.leaving, self.avoided, self.paces):
            for name in [name for name in notes if name not in servers]:
                del notes[name]
        for name in [n for n, mark in self.marks.items() if self._is_past(n, mark)]:
            del self.marks[name]
        self.touch()

    def _drop_overtaken(self, servers: dict[str, Server]) -> bool:
        """
        Drop reports that the list agrees with, or has surely caught up with.

        An entry that has not changed since the report tells nothing: its server may be
        cut off from the store.
        """
        dropped = False
        for name, held in list(self.held.items()):
            server = servers.get(name)
            if server is None or server.born != held.born:
                continue
            # The list does not say whether a server still carries out an order.
            agrees = server.layers == held.layers and not held.busy
            changed = server.layers != self.listed_then.get(name)
            late = self.listed_at - held.at > LIST_LAG_SECONDS
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
            if server.address in taken or not self.answers(server):
                self.ended[name] = now
        cutoff = now - REMEMBER_SECONDS
        for name in [name for name, at in self.ended.items() if at < cutoff]:
            del self.ended[name]

    def _forget_held(self, server_id: str) -> None:
        held = self.held.pop(server_id)
        self.sequences[server_id] = (held.born, held.sequence)
        self.listed_then.pop(server_id, None)

    def touch(self) -> None:
        """Note a change that routing depends on."""
        self.generation += 1
        self.changed()

    def layers(self, server: Server) -> LayerRange:
        """
        Give what a server holds, by the freshest word of it.

        :param server: in the list.
        :return: its layers.
        """
        held = self.held.get(server.id)
        if held is None or held.born != server.born:
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
        held = self.held.get(server.id)
        if held is None or held.born != server.born or not held.busy:
            return offered
        return max(offered, held.loaded, len(server.layers))

    def sequence(self, server: Server) -> int:
        """
        Give the orders that a server has begun, as far as it has said so.

        :param server: in the list.
        :return: the count.
        """
        held = self.held.get(server.id)
        if held is not None and held.born == server.born:
            return held.sequence
        born, sequence = self.sequences.get(server.id, (server.born, 0))
        return sequence if born == server.born else 0

    def is_up(self, server: Server) -> bool:
        """
        Tell whether a server may be given work.

        :param server: in the list.
        :return: False if it leaves or does not answer.
        """
        if server.state is not ServerState.READY or server.id in self.leaving:
            return False
        mark = self.marks.get(server.id)
        return mark is None or not mark.down

    def answers(self, server: Server) -> bool:
        """
        Tell whether what a server has in progress goes on.

        One that is full, or about to end, refuses connections and goes on with what it
        has: a connection to it that is still open tells that from a crash.

        :param server: in the list.
        :return: False if it does not answer; one that leaves does.
        """
        mark = self.marks.get(server.id)
        if mark is None or not mark.down or mark.refuses:
            return True
        return mark.ended and self.is_at_work(server.id)

    def is_avoided(self, server: Server) -> bool:
        """
        Tell whether a server just refused work.

        :param server: in the list.
        :return: True for a short time after it did.
        """
        return self.avoided.get(server.id, 0.0) > self.clock()

    def avoid(self, server: Server, seconds: float = AVOID_SECONDS) -> None:
        """
        Give a server no new work for a short time.

        :param server: one that refused work.
        :param seconds: for how long.
        """
        self.avoided[server.id] = self.clock() + seconds
        self.touch()

    def has_ended(self, server_id: str) -> bool:
        """
        Tell whether a server's life is surely over.

        :param server_id: of the server.
        :return: True if its VM refuses connections, if it was silent until its entry
            was removed, or if its address is another's.
        """
        if server_id in self.ended:
            return True
        mark = self.marks.get(server_id)
        refuses = mark is not None and mark.down and mark.ended
        return refuses and not self.is_at_work(server_id)

    def mark(
        self,
        server: Server,
        *,
        down: bool,
        reason: str,
        ended: bool = False,
        refuses: bool = False,
    ) -> None:
        """
        Note that a server does not answer or takes no work, or that it does again.

        :param server: in the list.
        :param down: whether it does not answer or takes no work.
        :param reason: what was seen.
        :param ended: whether its life is surely over.
        :param refuses: whether it answers and takes no work.
        """
        mark = Mark(
            born=server.born,
            down=down,
            since=self.clock(),
            reason=reason,
            ended=ended,
            refuses=refuses,
        )
        if self.take_mark(server.id, mark):
            self.news()

    def take_mark(self, server_id: str, mark: Mark) -> bool:
        """
        Take a mark, one's own or a peer's; the newest counts.

        :param server_id: of the server.
        :param mark: about it.
        :return: whether it changed anything.
        """
        server = self.servers.get(server_id)
        if server is None or server.born != mark.born:
            return False
        known = self.marks.get(server_id)
        if known is not None and known.since >= mark.since:
            return False
        was_down = known is not None and known.down
        self.marks[server_id] = mark
        if was_down == mark.down:
            return False
        self._tell(server, "down" if mark.down else "up", mark.reason)
        self.touch()
        return True

    def take_held(self, server_id: str, held: Held) -> bool:
        """
        Take a report of what a server holds; the one after more orders counts.

        :param server_id: of the server.
        :param held: what it said.
        :return: whether it changed anything.
        """
        server = self.servers.get(server_id)
        if server is None or (held.born and held.born != server.born):
            return False
        known = self.held.get(server_id)
        same_life = known is not None and known.born == held.born
        if same_life and (known.sequence, known.at) >= (held.sequence, held.at):
            return False
        if self.listed_at - held.at > LIST_LAG_SECONDS:
            return False
        before = (self.layers(server), self.loaded(server))
        self.held[server_id] = held
        self.listed_then[server_id] = server.layers
        if (self.layers(server), self.loaded(server)) != before:
            self.touch()
        return True

    def pace(self, server: Server) -> float:
        """
        Give how many times longer than usual a server's work takes.

        :param server: in the list.
        :return: 1 where nothing else was reported.
        """
        note = self.paces.get(server.id)
        return note.pace if note and note.born == server.born else 1.0

    def is_slow(self, server: Server) -> bool:
        """
        Tell whether a server's work takes much longer than usual.

        :param server: in the list.
        """
        return self.pace(server) > SLOW_PACE

    def take_pace(self, server_id: str, born: int, pace: float, at: float) -> None:
        """
        Take a report of a server's pace; the newest counts.

        :param server_id: of the server.
        :param born: of the life that it is about.
        :param pace: times longer than usual.
        :param at: when it was seen, monotonic seconds.
        """
        server = self.servers.get(server_id)
        if server is None or server.born != born:
            return
        known = self.paces.get(server_id)
        if known is not None and at <= known.at:
            return
        before = self.pace(server)
        differs = abs(before - pace) > PACE_STEP * before
        since = known.changed if known is not None else float("-inf")
        self.paces[server_id] = PaceNote(
            born=born, pace=pace, at=at, changed=at if differs else since
        )
        if differs:
            self._tell(server, "slow" if pace > 1 else "usual", f"pace {pace:.1f}")
            self.touch()

    def take_leaving(self, server_id: str, born: int) -> None:
        """
        Take a peer's word that a server leaves.

        :param server_id: of the server.
        :param born: of the life that leaves.
        """
        server = self.servers.get(server_id)
        if server is None or server.born != born or server_id in self.leaving:
            return
        self.leaving[server_id] = born
        self.touch()

    def _is_past(self, server_id: str, mark: Mark) -> bool:
        return self.servers[server_id].born != mark.born

    def _tell_changes(self, servers: dict[str, Server]) -> None:
        for name, server in servers.items():
            known = self.servers.get(name)
            if known is None or known.born != server.born:
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
                incarnation=server.born,
                detail=f"{server.address} {detail}".rstrip(),
            )
        )


def _never(server_id: str) -> bool:
    return False
