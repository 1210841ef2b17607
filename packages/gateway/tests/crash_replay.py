"""
Replays load on servers that crash, against the real quarantine and gossip of entries.

Virtual time and seeded random numbers: a seed gives the same run each time.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from engines import layer_range, server

from kumquatway_gateway.fleet import Fleet
from kumquatway_gateway.peers import Freshness, Gossip
from kumquatway_gateway.peers._gossip import MAX_TARGETS, SEND_PERIOD_SECONDS, _encoder
from kumquatway_gateway.quarantine import MAX_SUSPICION, Progress, Quarantine

FATAL = "m/bad"
EVENT_SECONDS = 0.03
FLOWING_EVENTS = 8
BEGINNING_EVENTS = 3
DOWNTIME_SECONDS = 4.0
FRESHNESS = Freshness(configuration_age=0.1, servers_digest=5, servers_age=0.2)


@dataclass(frozen=True, kw_only=True)
class Load:
    """
    What happens in a replay; rates are per second.

    :param shared: whether all prompts have one part in common.
    :param subjects: number of parts that some prompts share.
    :param lost: share of the messages between entries that are lost.
    :param own_ends: rate at which servers end of themselves.
    :param mass_end_at: when a third of the servers end at once, or 0.
    """

    entries: int = 3
    servers: int = 6
    seconds: float = 25.0
    sound_rate: float = 30.0
    fatal_rate: float = 3.0
    fatal_from: float = 5.0
    shared: bool = True
    subjects: int = 30
    lost: float = 0.2
    own_ends: float = 0.1
    mass_end_at: float = 12.0


@dataclass(eq=False)
class _Job:
    """A request; `began_at` is when the current attempt's answer begins."""

    entry: "_Entry"
    features: frozenset[str]
    fatal: bool
    length: float
    began_at: float = 0.0
    suspicion: int = 0
    server: str = ""


class _Entry:
    """One entry: its quarantine and its gossip."""

    def __init__(self, name: str, number: int, clock: Callable[[], float]):
        self.fleet = Fleet(clock=clock)
        self.quarantine = Quarantine(fleet=self.fleet, clock=clock)
        self.gossip = Gossip(
            address=name,
            incarnation=number + 1,
            fleet=self.fleet,
            quarantine=self.quarantine,
            own_loads=dict,
            revision=lambda: 1,
            freshness=lambda: FRESHNESS,
            on_message=lambda message: None,
            clock=clock,
        )


@dataclass
class Outcome:
    """
    What a replay ended with.

    :param fatal_arrivals: when requests with the fatal part reached a server.
    :param fatal_crashes: when servers crashed by them.
    :param blocked_sound: sound requests that were blocked.
    :param served_sound: sound requests that got their whole answer.
    :param given_up_sound: sound requests that were given up as suspects.
    :param message_bytes: size of the largest message.
    """

    fatal_arrivals: list[float] = field(default_factory=list)
    fatal_crashes: list[float] = field(default_factory=list)
    blocked_sound: int = 0
    served_sound: int = 0
    given_up_sound: int = 0
    message_bytes: int = 0

    def late_fatal_arrivals(self, *, crashes: int, window: float) -> int:
        """Count the arrivals later than `window` seconds after the n-th crash."""
        if len(self.fatal_crashes) < crashes:
            return 0
        since = self.fatal_crashes[crashes - 1] + window
        return sum(at > since for at in self.fatal_arrivals)


class CrashReplay:
    """
    One replay.

    :param load: what happens.
    :param seed: of all random numbers.
    """

    def __init__(self, load: Load, seed: int):
        self.load = load
        self.random = random.Random(seed)
        self.now = 100.0
        self.began_at = self.now
        self.queue: list = []
        self.order = itertools.count()
        self.outcome = Outcome()
        self.numbers = itertools.count()
        self.entries = [
            _Entry(f"10.0.0.{n}:9", n, lambda: self.now) for n in range(load.entries)
        ]
        self.incarnations = {f"s{n}": 1 for n in range(load.servers)}
        self.jobs: dict[str, set[_Job]] = {name: set() for name in self.incarnations}
        self._update_servers()

    def run(self) -> Outcome:
        """Play the load to its end."""
        load = self.load
        self._repeat(load.sound_rate, self._arrive_sound)
        self._after(
            load.fatal_from, lambda: self._repeat(load.fatal_rate, self._arrive_fatal)
        )
        self._repeat(load.own_ends, self._end_one)
        if load.mass_end_at:
            self._after(load.mass_end_at, self._end_a_third)
        for entry in self.entries:
            self._after(self.random.random() * SEND_PERIOD_SECONDS, self._gossip, entry)
        end = self.began_at + load.seconds
        while self.queue and self.queue[0][0] < end:
            self.now, _, action, arguments = heapq.heappop(self.queue)
            action(*arguments)
        return self.outcome

    def _after(self, seconds: float, action: Callable, *arguments) -> None:
        entry = (self.now + seconds, next(self.order), action, arguments)
        heapq.heappush(self.queue, entry)

    def _repeat(self, rate: float, action: Callable[[], None]) -> None:
        """Run an action at random times, with a mean rate per second."""
        if not rate:
            return

        def step():
            action()
            self._after(self.random.expovariate(rate), step)

        self._after(self.random.expovariate(rate), step)

    # requests

    def _arrive_sound(self) -> None:
        self._arrive(fatal=False)

    def _arrive_fatal(self) -> None:
        self._arrive(fatal=True)

    def _arrive(self, *, fatal: bool) -> None:
        subject = f"m/subject{self.random.randrange(self.load.subjects)}"
        features = {subject, f"m/own{next(self.numbers)}"}
        if self.load.shared:
            features.add("m/shared")
        if fatal:
            features.add(FATAL)
        job = _Job(
            entry=self.random.choice(self.entries),
            features=frozenset(features),
            fatal=fatal,
            length=self.random.uniform(0.5, 4.0),
        )
        self._send(job)

    def _send(self, job: _Job) -> None:
        if job.entry.quarantine.seconds_blocked(job.features):
            self.outcome.blocked_sound += not job.fatal
            return
        up = [n for n in self.incarnations if self._is_up(n)]
        if not up:
            return
        job.server = self.random.choice(up)
        self.jobs[job.server].add(job)
        job.began_at = self.now + self.random.uniform(0.05, 0.3)
        incarnation = self.incarnations[job.server]
        if job.fatal:
            self.outcome.fatal_arrivals.append(self.now)
            delay = job.began_at + self.random.uniform(0.005, 0.1) - self.now
            self._after(delay, self._crash_by, job, incarnation)
        else:
            flowing = job.began_at + FLOWING_EVENTS * EVENT_SECONDS - self.now
            self._after(flowing, self._survive, job, incarnation)
            end = job.began_at + job.length - self.now
            self._after(end, self._complete, job, incarnation)

    def _is_up(self, name: str) -> bool:
        listed = self.entries[0].fleet.servers.get(name)
        return listed is not None and listed.incarnation == self.incarnations[name]

    def _runs(self, job: _Job, incarnation: int) -> bool:
        """Tell whether an attempt at an incarnation of a server is in progress."""
        if self.incarnations[job.server] != incarnation:
            return False
        return job in self.jobs[job.server]

    def _survive(self, job: _Job, incarnation: int) -> None:
        if self._runs(job, incarnation):
            job.entry.quarantine.record_survival(job.features)

    def _complete(self, job: _Job, incarnation: int) -> None:
        if self._runs(job, incarnation):
            self.jobs[job.server].discard(job)
            self.outcome.served_sound += 1

    # crashes

    def _crash_by(self, job: _Job, incarnation: int) -> None:
        if self.incarnations[job.server] == incarnation:
            self.outcome.fatal_crashes.append(self.now)
            self._crash(job.server)

    def _end_one(self) -> None:
        self._crash(self.random.choice(list(self.incarnations)))

    def _end_a_third(self) -> None:
        names = self.random.sample(list(self.incarnations), self.load.servers // 3)
        for name in names:
            self._crash(name)

    def _crash(self, name: str) -> None:
        ended = self.entries[0].fleet.servers.get(name)
        if ended is None or ended.incarnation != self.incarnations[name]:
            return
        self.incarnations[name] += 1
        cut, self.jobs[name] = self.jobs[name], set()
        for job in sorted(cut, key=lambda job: sorted(job.features)):
            self._cut(job, ended)
        for entry in self.entries:
            self._after(self.random.uniform(0.02, 0.2), self._notice, entry, ended)
        self._after(DOWNTIME_SECONDS, self._update_servers)

    def _cut(self, job: _Job, ended) -> None:
        events = max(0.0, self.now - job.began_at) / EVENT_SECONDS
        progress = Progress.WAITING
        if events >= BEGINNING_EVENTS:
            progress = Progress.FLOWING
        elif 0 < events < 1 or (job.fatal and self.now >= job.began_at):
            progress = Progress.BEGINNING
        job.entry.quarantine.record_broken_off((ended,), job.features, progress)
        job.suspicion += progress
        if job.suspicion >= MAX_SUSPICION:
            self.outcome.given_up_sound += not job.fatal
            return
        self._after(self.random.uniform(0.01, 0.1), self._send, job)

    def _notice(self, entry: _Entry, ended) -> None:
        entry.fleet.set_health(ended, down=True, reason="refused", ended=True)
        entry.quarantine.confirm_crashes()

    def _update_servers(self) -> None:
        """List the servers that are up, with their incarnations."""
        servers = {}
        for name, incarnation in self.incarnations.items():
            made = server(name, "a", "big", layer_range(0, 10))
            servers[name] = replace(made, incarnation=incarnation)
        for entry in self.entries:
            entry.fleet.update_servers(servers)
            entry.quarantine.confirm_crashes()

    # messages

    def _gossip(self, entry: _Entry) -> None:
        data = _encoder.encode(entry.gossip._build_message())
        self.outcome.message_bytes = max(self.outcome.message_bytes, len(data))
        peers = [peer for peer in self.entries if peer is not entry]
        for peer in self.random.sample(peers, min(len(peers), MAX_TARGETS)):
            if self.random.random() >= self.load.lost:
                delay = self.random.uniform(0.001, 0.05)
                self._after(delay, peer.gossip.datagram_received, data, ("x", 1))
        self._after(SEND_PERIOD_SECONDS, self._gossip, entry)
