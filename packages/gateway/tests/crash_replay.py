"""
Replays load on servers that crash, against the real quarantine and gossip of entries.

Virtual time and seeded random numbers: a seed gives the same run each time.
"""

import itertools
from dataclasses import dataclass, field, replace

from engines import layer_range, server
from gossip_replay import Entry, GossipReplay

from kumquatway_gateway.quarantine import MAX_SUSPICION, Progress

FATAL = "m/bad"
SLOW = "m/slow"
EVENT_SECONDS = 0.03
BEGINNING_EVENTS = 3
DOWNTIME_SECONDS = 4.0
PATIENCE_SECONDS = 2.0  # of a caller without a first event


@dataclass(frozen=True, kw_only=True)
class Load:
    """
    What happens in a replay; rates are per second.

    :param shared: whether all prompts have one part in common.
    :param subjects: number of parts that some prompts share.
    :param lost: share of the messages between entries that are lost.
    :param own_ends: rate at which servers end of themselves.
    :param mass_end_at: when a third of the servers end at once, or 0.
    :param slow_rate: rate of requests with a part of which no answer begins before
        their callers leave.
    :param hang: seconds for which a server answers others after a fatal request, which
        gets no answer; 0 if the server crashes as it begins to answer.
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
    slow_rate: float = 0.0
    hang: float = 0.0


@dataclass(eq=False)
class _Job:
    """A request; `began_at` is when the current attempt's answer begins."""

    entry: Entry
    features: frozenset[str]
    fatal: bool
    length: float
    attempt: str = ""
    sent_at: float = 0.0
    began_at: float = 0.0
    suspicion: int = 0
    server: str = ""


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


class CrashReplay(GossipReplay):
    """
    One replay.

    :param load: what happens.
    :param seed: of all random numbers.
    """

    def __init__(self, load: Load, seed: int):
        super().__init__(entries=load.entries, lost=load.lost, seed=seed)
        self.load = load
        self.outcome = Outcome()
        self.numbers = itertools.count()
        self.incarnations = {f"s{n}": 1 for n in range(load.servers)}
        self.jobs: dict[str, set[_Job]] = {name: set() for name in self.incarnations}
        self._update_servers()

    def run(self) -> Outcome:
        """Play the load to its end."""
        load = self.load
        self.repeat(load.sound_rate, self._arrive_sound)
        self.after(
            load.fatal_from, lambda: self.repeat(load.fatal_rate, self._arrive_fatal)
        )
        self.repeat(load.slow_rate, self._arrive_slow)
        self.repeat(load.own_ends, self._end_one)
        if load.mass_end_at:
            self.after(load.mass_end_at, self._end_a_third)
        self.play(load.seconds)
        self.outcome.message_bytes = self.message_bytes
        return self.outcome

    # requests

    def _arrive_sound(self) -> None:
        self._arrive(fatal=False)

    def _arrive_fatal(self) -> None:
        self._arrive(fatal=True)

    def _arrive_slow(self) -> None:
        self._arrive(fatal=False, slow=True)

    def _arrive(self, *, fatal: bool, slow: bool = False) -> None:
        subject = f"m/subject{self.random.randrange(self.load.subjects)}"
        number = next(self.numbers)
        features = {subject, f"m/own{number}", f"={number}"}
        if self.load.shared:
            features.add("m/shared")
        if fatal:
            features.add(FATAL)
        if slow:
            features.add(SLOW)
        job = _Job(
            entry=self.random.choice(self.entries),
            features=frozenset(features),
            fatal=fatal,
            length=self.random.uniform(0.5, 4.0),
            attempt=str(number),
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
        job.entry.quarantine.record_start(job.features, job.server)
        job.sent_at = self.now
        job.began_at = self.now + self.random.uniform(0.05, 0.3)
        incarnation = self.incarnations[job.server]
        if job.fatal:
            self.outcome.fatal_arrivals.append(self.now)
        if job.fatal and self.load.hang:
            job.began_at = float("inf")
            self.after(self.load.hang, self._crash_by, job, incarnation)
            self.after(PATIENCE_SECONDS, self._give_up, job, incarnation)
        elif job.fatal:
            delay = job.began_at + self.random.uniform(0.005, 0.1) - self.now
            self.after(delay, self._crash_by, job, incarnation)
        elif SLOW in job.features:
            job.began_at = float("inf")
            self.after(PATIENCE_SECONDS, self._give_up, job, incarnation)
        else:
            self.after(job.began_at - self.now, self._begin, job, incarnation)
            end = job.began_at + job.length - self.now
            self.after(end, self._complete, job, incarnation)

    def _is_up(self, name: str) -> bool:
        listed = self.entries[0].fleet.servers.get(name)
        return listed is not None and listed.incarnation == self.incarnations[name]

    def _runs(self, job: _Job, incarnation: int) -> bool:
        """Tell whether an attempt at an incarnation of a server is in progress."""
        if self.incarnations[job.server] != incarnation:
            return False
        return job in self.jobs[job.server]

    def _begin(self, job: _Job, incarnation: int) -> None:
        if self._runs(job, incarnation):
            job.entry.quarantine.record_beginning(job.features)

    def _complete(self, job: _Job, incarnation: int) -> None:
        if self._runs(job, incarnation):
            self.jobs[job.server].discard(job)
            job.entry.quarantine.record_answer(job.entry.fleet.servers[job.server])
            job.entry.quarantine.record_end(job.features, job.server)
            job.entry.quarantine.record_survival(job.features, job.sent_at)
            self.outcome.served_sound += 1

    def _give_up(self, job: _Job, incarnation: int) -> None:
        """End an attempt whose caller leaves."""
        if self._runs(job, incarnation):
            self.jobs[job.server].discard(job)
            job.entry.quarantine.record_end(job.features, job.server)
            job.entry.quarantine.record_unanswered(
                (job.entry.fleet.servers[job.server],),
                job.features,
                job.sent_at,
                broken_off=False,
                attempt=job.attempt,
            )

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
            self.after(self.random.uniform(0.02, 0.2), self._notice, entry, ended)
        self.after(DOWNTIME_SECONDS, self._update_servers)

    def _cut(self, job: _Job, ended) -> None:
        events = max(0.0, self.now - job.began_at) / EVENT_SECONDS
        progress = Progress.WAITING
        if events >= BEGINNING_EVENTS:
            progress = Progress.FLOWING
        elif 0 < events < 1 or (job.fatal and self.now >= job.began_at):
            progress = Progress.BEGINNING
        job.entry.quarantine.record_end(job.features, job.server)
        job.entry.quarantine.record_unanswered(
            (ended,),
            job.features,
            job.sent_at,
            broken_off=True,
            beginning=progress is Progress.BEGINNING,
            attempt=job.attempt,
        )
        job.suspicion += progress
        if job.suspicion >= MAX_SUSPICION:
            self.outcome.given_up_sound += not job.fatal
            return
        self.after(self.random.uniform(0.01, 0.1), self._send, job)

    def _notice(self, entry: Entry, ended) -> None:
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
