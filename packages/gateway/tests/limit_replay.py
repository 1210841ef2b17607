"""
Replays load on servers that name limits, against real permits and gossip of entries.

Virtual time and seeded random numbers: a seed gives the same run each time.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from kumquatway_gateway.fleet import Fleet
from kumquatway_gateway.limits import Permits
from kumquatway_gateway.model import Server, ServerNotice
from kumquatway_gateway.peers import Freshness, Gossip
from kumquatway_gateway.peers._gossip import MAX_TARGETS, SEND_PERIOD_SECONDS, _encoder
from kumquatway_gateway.quarantine import Quarantine

FRESHNESS = Freshness(configuration_age=0.1, servers_digest=5, servers_age=0.2)
RESPONSE_SECONDS = (0.02, 0.2)  # of the servers
DELAY_SECONDS = (0.0005, 0.004)  # of a message between entries
PATIENCE_SECONDS = 0.2  # of a request, for a permit


@dataclass(frozen=True, kw_only=True)
class Load:
    """
    What happens in a replay; rates are requests per second.

    :param rate: requests of all entries, each of which prefers the limited server.
    :param only: number of entries that have requests, or 0 for all.
    :param limits: times and limits that the server names from then on, None for none.
    :param lost: share of the messages between entries that are lost.
    :param restarts: times at which the entry that issues the permits ends, and how long
        it is away.
    :param freezes: likewise, for an entry that stands still and goes on.
    :param cuts: likewise, for an entry whose messages to and from others are lost.
    :param join_at: when a further entry starts that no other one knows yet, or 0.
    :param quiet: start and length of a time without requests.
    """

    entries: int = 3
    seconds: float = 30.0
    rate: float = 30.0
    only: int = 0
    limits: tuple[tuple[float, float | None], ...] = ((2.0, 2.0),)
    lost: float = 0.03
    restarts: tuple[tuple[float, float], ...] = ()
    freezes: tuple[tuple[float, float], ...] = ()
    cuts: tuple[tuple[float, float], ...] = ()
    join_at: float = 0.0
    quiet: tuple[float, float] = (0.0, 0.0)
    check_seconds: float = 0.01


class _Entry:
    """One entry: its fleet, its permits and its gossip."""

    def __init__(self, name: str, number: int, replay: "LimitReplay"):
        clock = replay.clock
        self.name = name
        self.waiting: list[float] = []  # ends of the patience of requests
        self.running = True
        self.frozen = False
        self.excused_until = float("-inf")
        self.told_at = float("inf")
        self.missed: list[bytes] = []  # datagrams that arrived while it stood still
        self.fleet = Fleet(clock=clock)
        self.fleet.update_servers({replay.server.id: replay.server})
        self.gossip = Gossip(
            address=name,
            incarnation=number + 1,
            fleet=self.fleet,
            quarantine=Quarantine(fleet=self.fleet, clock=clock),
            own_loads=dict,
            revision=lambda: 1,
            freshness=lambda: FRESHNESS,
            on_message=lambda message: None,
            clock=clock,
        )
        self.fleet.permits = Permits(
            limits=self.fleet.limits,
            find_server=self.fleet.find_server,
            learn=self.fleet.update_limit,
            address=name,
            addresses=lambda: self.gossip.addresses,
            send=lambda address, data: replay.send(self, address, data),
            clock=clock,
            random=replay.random.random,
        )


@dataclass
class Outcome:
    """
    What a replay ended with.

    :param requested: when callers' requests arrived.
    :param arrivals: when requests reached the limited server.
    :param counted_arrivals: the same, from entries that it had told of its limit.
    :param elsewhere: number of requests that went to other servers, or were refused.
    :param gossip_bytes: bytes of the gossip of the first entry.
    :param permit_bytes: bytes of messages about permits, by sending entry.
    :param permit_messages: number of these messages that entries received, by entry.
    """

    requested: list[float] = field(default_factory=list)
    arrivals: list[float] = field(default_factory=list)
    counted_arrivals: list[float] = field(default_factory=list)
    elsewhere: int = 0
    gossip_bytes: int = 0
    permit_bytes: dict[str, int] = field(default_factory=dict)
    permit_messages: dict[str, int] = field(default_factory=dict)

    def most_counted(self, start: float, stop: float, window: float) -> int:
        """Return the most arrivals that count in a window between two times."""
        times = [at for at in self.counted_arrivals if start <= at < stop]
        most, first = 0, 0
        for last, at in enumerate(times):
            while at - times[first] >= window:
                first += 1
            most = max(most, last - first + 1)
        return most

    def count(self, start: float, stop: float) -> int:
        """Count the arrivals between two times."""
        return sum(start <= at < stop for at in self.arrivals)

    def share_served(self, start: float, stop: float) -> float:
        """Return the arrivals between two times as a share of the requests."""
        requested = sum(start <= at < stop for at in self.requested)
        return self.count(start, stop) / max(1, requested)


class LimitReplay:
    """
    One replay; times in its outcome are seconds from its start.

    :param load: what happens.
    :param seed: of all random numbers.
    """

    def __init__(self, load: Load, seed: int):
        self.load = load
        self.random = random.Random(seed)
        self.began_at = self.now = 100.0
        self.queue: list = []
        self.order = itertools.count()
        self.outcome = Outcome()
        self.server = Server(
            id="limited",
            service="plain",
            address="10.9.0.1:80",
            data_centre="x",
            incarnation=1,
        )
        self.numbers = itertools.count()
        self.entries: dict[str, _Entry] = {}
        self.cut_off: set[str] = set()  # names of entries
        for number in range(load.entries):
            self._start(f"10.0.{number // 250}.{number % 250}:9")
        for entry in self.entries.values():
            entry.gossip.set_addresses(set(self.entries))
        self.first = next(iter(self.entries.values()))

    def clock(self) -> float:
        """Return the virtual time, monotonic seconds."""
        return self.now

    def run(self) -> Outcome:
        """Play the load to its end."""
        load = self.load
        self._after(0.0, self._arrive)
        if load.join_at:
            self._after(load.join_at, self._join)
        for at, seconds in load.restarts:
            self._after(at, self._end_issuer, seconds)
        for at, seconds in load.freezes:
            self._after(at, self._freeze_issuer, seconds)
        for at, seconds in load.cuts:
            self._after(at, self._cut_issuer, seconds)
        end = self.began_at + load.seconds
        while self.queue and self.queue[0][0] < end:
            self.now, _, action, arguments = heapq.heappop(self.queue)
            action(*arguments)
        return self.outcome

    def send(self, sender: _Entry, address: str, data: bytes) -> None:
        """Send a message about permits from one entry to another."""
        outcome = self.outcome
        sent = outcome.permit_bytes.get(sender.name, 0)
        outcome.permit_bytes[sender.name] = sent + len(data)
        received = outcome.permit_messages.get(address, 0)
        outcome.permit_messages[address] = received + 1
        self._deliver(sender, address, data)

    def _deliver(self, sender: _Entry, address: str, data: bytes) -> None:
        if self.random.random() < self.load.lost or self._is_cut(sender):
            return
        delay = self.random.uniform(*DELAY_SECONDS)
        self._after(delay, self._receive, address, data)

    def _receive(self, address: str, data: bytes) -> None:
        entry = self.entries.get(address)
        if entry is None or not entry.running or self._is_cut(entry):
            return
        if entry.frozen:
            entry.missed.append(data)
            return
        entry.gossip.datagram_received(data, ("x", 1))

    def _after(self, seconds: float, action: Callable, *arguments) -> None:
        entry = (self.now + seconds, next(self.order), action, arguments)
        heapq.heappush(self.queue, entry)

    # entries

    def _start(self, name: str) -> _Entry:
        entry = _Entry(name, next(self.numbers), self)
        self.entries[name] = entry
        self._after(self.random.random() * SEND_PERIOD_SECONDS, self._gossip, entry)
        self._after(self.random.random() * self.load.check_seconds, self._check, entry)
        return entry

    def _is_cut(self, entry: _Entry) -> bool:
        return entry.name in self.cut_off

    def _issuer(self) -> _Entry:
        """Return the entry that issues the permits, as another one sees it."""
        ranking = self.first.fleet.permits.ranking.ranking(self.server)
        running = [n for n in ranking if self.entries[n].running]
        return self.entries[running[0]]

    def _join(self) -> None:
        entry = self._start("10.0.9.9:9")
        entry.gossip.set_addresses(set(self.entries))
        entry.excused_until = self.now + 3.0

    def _end_issuer(self, seconds: float) -> None:
        entry = self._issuer()
        entry.running = False
        self._after(seconds, self._restart, entry)

    def _restart(self, ended: _Entry) -> None:
        entry = self._start(ended.name)
        entry.gossip.set_addresses(set(self.entries))
        entry.excused_until = self.now + 3.0

    def _freeze_issuer(self, seconds: float) -> None:
        entry = self._issuer()
        entry.frozen = True
        self._after(seconds, self._thaw, entry)

    def _thaw(self, entry: _Entry) -> None:
        entry.frozen = False
        entry.excused_until = self.now + 3.0
        missed, entry.missed = entry.missed, []
        for data in missed:
            entry.gossip.datagram_received(data, ("x", 1))

    def _cut_issuer(self, seconds: float) -> None:
        entry = self._issuer()
        entry.excused_until = self.now + seconds + 3.0
        self.cut_off = {entry.name}
        self._after(seconds, self._heal)

    def _heal(self) -> None:
        self.cut_off = set()

    def _gossip(self, entry: _Entry) -> None:
        if not entry.running:
            return
        if not entry.frozen:
            data = _encoder.encode(entry.gossip._build_message())
            peers = sorted(entry.gossip.addresses)
            targets = self.random.sample(peers, min(len(peers), MAX_TARGETS))
            if entry is self.first:
                self.outcome.gossip_bytes += len(data) * len(targets)
            for target in targets:
                self._deliver(entry, target, data)
        self._after(SEND_PERIOD_SECONDS, self._gossip, entry)

    def _check(self, entry: _Entry) -> None:
        if not entry.running:
            return
        if not entry.frozen:
            entry.fleet.permits.check()
            while entry.waiting and self._try_send(entry):
                entry.waiting.pop(0)
            late = [until for until in entry.waiting if until <= self.now]
            self.outcome.elsewhere += len(late)
            entry.waiting = entry.waiting[len(late) :]
        self._after(self.load.check_seconds, self._check, entry)

    # requests

    def _arrive(self) -> None:
        self._after(self.random.expovariate(self.load.rate), self._arrive)
        elapsed = self.now - self.began_at
        start, length = self.load.quiet
        if start <= elapsed < start + length:
            return
        names = list(self.entries)
        if self.load.only:
            names = names[: self.load.only]
        entry = self.entries[self.random.choice(names)]
        if not entry.running or entry.frozen:
            return
        self.outcome.requested.append(elapsed)
        if self._try_send(entry):
            return
        if entry.fleet.permits.seconds_exhausted(self.server) >= PATIENCE_SECONDS:
            self.outcome.elsewhere += 1
        else:
            entry.waiting.append(self.now + PATIENCE_SECONDS)

    def _try_send(self, entry: _Entry) -> bool:
        if not entry.fleet.permits.try_take(self.server):
            return False
        self._after(self.random.uniform(*DELAY_SECONDS), self._reach, entry, self.now)
        return True

    def _reach(self, entry: _Entry, sent_at: float) -> None:
        at = self.now - self.began_at
        self.outcome.arrivals.append(at)
        if self.now >= max(entry.told_at + 0.5, entry.excused_until):
            self.outcome.counted_arrivals.append(at)
        delay = self.random.uniform(*RESPONSE_SECONDS)
        self._after(delay, self._respond, entry, self._limit(), sent_at)

    def _limit(self) -> float | None:
        limit = None
        for at, value in self.load.limits:
            if self.now - self.began_at >= at:
                limit = value
        return limit

    def _respond(self, entry: _Entry, limit: float | None, sent_at: float) -> None:
        if not entry.running:
            return
        if entry.frozen:
            self._after(0.1, self._respond, entry, limit, sent_at)
            return
        if limit is not None:
            entry.told_at = min(entry.told_at, self.now)
        notice = ServerNotice(max_request_rate=limit)
        entry.fleet.record_notice(self.server, notice, sent_at)
