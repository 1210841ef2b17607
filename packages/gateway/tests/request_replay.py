"""
Replays one request that crashes servers beside sound ones, in virtual time.

The quarantine, its gossip and its use of the store are the real ones. Sound requests
share the fatal one's account, path or body. A seed gives the same run each time.
"""

import asyncio
import enum
import itertools
from dataclasses import dataclass, field, replace

from engines import layer_range, server
from gossip_replay import Entry, GossipReplay

from kumquatway_core.exceptions import PlatformUnavailable
from kumquatway_gateway.http1 import Headers
from kumquatway_gateway.model import Request
from kumquatway_gateway.quarantine import (
    BlockKeeper,
    StoredBlock,
    features_of,
)

SYNCHRONIZE_SECONDS = 0.2
CONNECT_SECONDS = 0.005
# Until an entry notices that a server refuses connections, or is silent.
REFUSED_SECONDS = (0.02, 0.2)
SILENT_SECONDS = (0.5, 1.0)
CALLER_SECONDS = 1.0  # that callers of plain services wait
HEDGE_SECONDS = 0.1  # without an answer, until a second server is asked
MAX_CRASHES_OF_ATTEMPT = 2  # of one caller's attempt, as in the relay
RETRY_SECONDS = (0.05, 0.3)  # until a caller tries again


class When(enum.Enum):
    """When servers end that run the fatal request."""

    BEFORE = "before the answer"
    LATE = "late in the answer"
    SILENT = "falling silent"
    HANGING = "after a while, in which they answer others"


@dataclass(frozen=True, kw_only=True)
class Load:
    """
    What happens in a replay; rates are per second, times in seconds.

    :param other_servers: servers of other services, which nothing happens to.
    :param answer: shortest and longest time to answer.
    :param hang: shortest and longest time from a fatal request to the end of a server
        that answers others meanwhile.
    :param caller_seconds: that callers wait for an answer.
    :param sound_rate: of requests that share some of account, path and body.
    :param accounts: number of accounts; so for paths.
    :param fatal_rate: of callers that send the fatal request.
    :param storms: times at which twenty callers send it at once.
    :param fatal_from: when it comes first.
    :param cause_ends: when servers no longer crash of it, or 0.
    :param lost: share of the messages between entries that are lost.
    :param own_ends: rate at which servers end of themselves.
    :param restarts: rate at which entries are killed and start again.
    :param cuts: rate at which an entry loses its peers and the store for a while.
    :param store_down: from when to when nobody reaches the store.
    """

    entries: int = 3
    servers: int = 3
    other_servers: int = 10
    seconds: float = 40.0
    when: When = When.BEFORE
    answer: tuple[float, float] = (0.005, 0.05)
    hang: tuple[float, float] = (0.2, 5.0)
    caller_seconds: float = CALLER_SECONDS
    downtime: float = 3.0
    sound_rate: float = 10.0
    accounts: int = 4
    paths: int = 4
    fatal_rate: float = 0.5
    storms: tuple[float, ...] = ()
    fatal_from: float = 3.0
    cause_ends: float = 0.0
    attempts: int = 2
    lost: float = 0.1
    own_ends: float = 0.02
    restarts: float = 0.0
    cuts: float = 0.0
    cut_seconds: float = 6.0
    store_down: tuple[float, float] = (0.0, 0.0)


@dataclass(eq=False)
class _Job:
    """A caller's attempt at an entry."""

    entry: Entry
    features: frozenset[str]
    fatal: bool
    retries: int
    attempt: str
    sent_at: float = 0.0
    server: str = ""
    crashes: int = 0
    tries: int = 0


@dataclass
class Outcome:
    """
    What a replay ended with; times are since its start.

    :param arrivals: when the fatal request reached a server, and whether the entry was
        in touch.
    :param crashes: when servers crashed by it.
    :param refused_fatal: when it was refused.
    :param served_fatal: when it was served, after its cause ended.
    :param blocked_sound: identities of sound requests that were refused.
    """

    arrivals: list[tuple[float, bool]] = field(default_factory=list)
    crashes: list[float] = field(default_factory=list)
    refused_fatal: list[float] = field(default_factory=list)
    served_fatal: list[float] = field(default_factory=list)
    blocked_sound: list[str] = field(default_factory=list)
    served_sound: int = 0
    message_bytes: int = 0

    def late_arrivals(self, *, crashes: int, window: float) -> int:
        """Count the arrivals from entries in touch after the n-th crash and a while."""
        if len(self.crashes) < crashes:
            return 0
        since = self.crashes[crashes - 1] + window
        return sum(at > since and in_touch for at, in_touch in self.arrivals)


class _Store:
    """The store's blocks, as one entry reaches them."""

    generation = 1

    def __init__(self, replay: "RequestReplay", entry: Entry):
        self.replay = replay
        self.entry = entry

    def _rows(self) -> dict:
        if not self.replay.reaches_store(self.entry):
            raise PlatformUnavailable("the store is away")
        return self.replay.rows

    async def read(self) -> tuple[StoredBlock, ...]:
        now = self.replay.now
        return tuple(replace(b, age=now - at) for b, at in self._rows().values())

    async def write(self, blocks) -> None:
        for block in blocks:
            self._rows()[block.features] = (block, self.replay.now - block.age)

    async def replace(self, block: StoredBlock) -> bool:
        known = self._rows().get(block.features)
        if known is not None and known[0].version >= block.version:
            return False
        await self.write([block])
        return True


class RequestReplay(GossipReplay):
    """
    One replay.

    :param load: what happens.
    :param seed: of all random numbers.
    """

    def __init__(self, load: Load, seed: int):
        self.rows: dict = {}
        self.keepers: dict[Entry, BlockKeeper] = {}
        self.cut_until: dict[str, float] = {}
        self.disturbed_at: dict[str, float] = {}
        self.load = load
        self.outcome = Outcome()
        self.numbers = itertools.count()
        self.loop = asyncio.new_event_loop()
        super().__init__(entries=load.entries, lost=load.lost, seed=seed)
        names = [f"s{n}" for n in range(load.servers)]
        self.others = [f"o{n}" for n in range(load.other_servers)]
        self.incarnations = dict.fromkeys([*names, *self.others], 1)
        self.names = names
        self.down: set[str] = set()
        self.jobs: dict[str, list[_Job]] = {name: [] for name in names}
        for entry in self.entries:
            self._list_servers(entry)

    def run(self) -> Outcome:
        """Play the load to its end."""
        load = self.load
        self.repeat(load.sound_rate, self._arrive_sound)
        self.after(load.fatal_from, self.repeat, load.fatal_rate, self._arrive_fatal)
        for at in load.storms:
            for _ in range(20):
                self.after(at + self.random.random() * 0.2, self._arrive_fatal)
        self.repeat(load.own_ends, self._end_one)
        self.repeat(load.restarts, self._restart_one)
        self.repeat(load.cuts, self._cut_one)
        try:
            self.play(load.seconds)
        finally:
            self.loop.close()
        self.outcome.message_bytes = self.message_bytes
        return self.outcome

    # entries

    def make_entry(self, name: str, entries: int) -> Entry:
        entry = super().make_entry(name, entries)
        keeper = BlockKeeper(
            source=_Store(self, entry),
            quarantine=entry.quarantine,
            entry_count=lambda: entries,
            clock=lambda: self.now,
        )
        self.keepers[entry] = keeper
        tell = entry.quarantine.on_local_change

        def report() -> None:
            tell()
            keeper.request_read()

        entry.quarantine.on_local_change = report
        self.after(0.0, self._synchronize, entry)
        return entry

    def _synchronize(self, entry: Entry) -> None:
        if entry.ended:
            return
        wait = SYNCHRONIZE_SECONDS
        try:
            self.loop.run_until_complete(self.keepers[entry].synchronize())
        except PlatformUnavailable:
            wait = 1.0
        self.after(wait, self._synchronize, entry)

    def is_cut_off(self, entry: Entry) -> bool:
        return self.cut_until.get(entry.name, 0.0) > self.now

    def reaches_store(self, entry: Entry) -> bool:
        """Tell whether calls of the store succeed."""
        start, end = self.load.store_down
        down = start <= self.now - self.began_at < end
        return not down and not self.is_cut_off(entry)

    def _is_in_touch(self, entry: Entry) -> bool:
        disturbed = self.disturbed_at.get(entry.name, float("-inf"))
        return self.now - disturbed > 3.0 and not self.is_cut_off(entry)

    def _restart_one(self) -> None:
        number = self.random.randrange(len(self.entries))
        old = self.entries[number]
        old.ended = True
        self.disturbed_at[old.name] = self.now
        for jobs in self.jobs.values():
            jobs[:] = [job for job in jobs if job.entry is not old]
        del self.keepers[old]
        self.entries[number] = self.make_entry(old.name, len(self.entries))
        self._list_servers(self.entries[number])

    def _cut_one(self) -> None:
        entry = self.random.choice(self.entries)
        until = self.now + self.load.cut_seconds
        self.cut_until[entry.name] = until
        self.disturbed_at[entry.name] = until

    # requests

    def _features(self, account: int, path: int, body: bytes) -> frozenset[str]:
        request = Request(
            id="r",
            method="GET",
            host="h",
            target=f"/{path}",
            headers=Headers(),
            body=body,
            arrived_at=0.0,
            timeout=1.0,
        )
        return features_of("p", request, f"account-{account}")

    def _arrive_sound(self) -> None:
        account = self.random.randrange(self.load.accounts)
        path = self.random.randrange(self.load.paths)
        body = b"" if self.random.random() < 0.7 else b"%d" % next(self.numbers)
        if not account and not path and not body:
            account = 1
        self._arrive(self._features(account, path, body), fatal=False, retries=1)

    def _arrive_fatal(self) -> None:
        self._arrive(self._features(0, 0, b""), fatal=True, retries=1)

    def _arrive(self, features: frozenset[str], *, fatal: bool, retries: int) -> None:
        entry = self.random.choice(self.entries)
        job = _Job(entry, features, fatal, retries, str(next(self.numbers)))
        quarantine = entry.quarantine
        if quarantine.seconds_blocked(features):
            claim = self.keepers[entry].claim_trial(features)
            if not self.loop.run_until_complete(claim):
                self._refuse(job)
                return
            job.crashes = MAX_CRASHES_OF_ATTEMPT - 1
        self._send(job)

    def _refuse(self, job: _Job) -> None:
        at = self.now - self.began_at
        if job.fatal:
            self.outcome.refused_fatal.append(at)
        else:
            self.outcome.blocked_sound.extend(job.features)

    def _known_up(self, entry: Entry) -> list[str]:
        fleet = entry.fleet
        listed = (fleet.servers.get(name) for name in self.names)
        return [each.id for each in listed if each is not None and fleet.is_up(each)]

    def _send(self, job: _Job) -> None:
        up = [name for name in self._known_up(job.entry) if name != job.server]
        if not up or job.entry.ended:
            self._fail(job)
            return
        job.server = self.random.choice(up)
        known = job.entry.fleet.servers[job.server]
        if job.server in self.down or known.incarnation != self._incarnation(job):
            job.tries += 1
            if job.tries < 5:
                self.after(CONNECT_SECONDS, self._send, job)
            return
        job.sent_at = self.now
        job.entry.quarantine.record_start(job.features, job.server)
        self.jobs[job.server].append(job)
        incarnation = self._incarnation(job)
        answer = self.random.uniform(*self.load.answer)
        ended = self.load.cause_ends and self.now - self.began_at > self.load.cause_ends
        if job.fatal:
            in_touch = self._is_in_touch(job.entry)
            self.outcome.arrivals.append((self.now - self.began_at, in_touch))
        if job.fatal and not ended and self.load.when is When.HANGING:
            self._hang(job, incarnation)
        elif job.fatal and not ended:
            share = 0.9 if self.load.when is When.LATE else self.random.random() * 0.5
            self.after(answer * share, self._crash_by, job, incarnation)
        else:
            self.after(answer, self._answer, job, incarnation)

    def _incarnation(self, job: _Job) -> int:
        return self.incarnations[job.server]

    def _is_there(self, job: _Job, incarnation: int) -> bool:
        same = self._incarnation(job) == incarnation and job.server not in self.down
        return same and job in self.jobs[job.server] and not job.entry.ended

    def _answer(self, job: _Job, incarnation: int) -> None:
        if not self._is_there(job, incarnation):
            return
        self.jobs[job.server].remove(job)
        quarantine = job.entry.quarantine
        quarantine.record_answer(job.entry.fleet.servers[job.server])
        quarantine.record_end(job.features, job.server)
        quarantine.record_survival(job.features, job.sent_at)
        if job.fatal:
            self.outcome.served_fatal.append(self.now - self.began_at)
        else:
            self.outcome.served_sound += 1

    def _fail(self, job: _Job) -> None:
        """End an attempt without an answer; its caller may come again elsewhere."""
        if job.retries:
            self.after(self.random.uniform(*RETRY_SECONDS), self._come_again, job)

    def _come_again(self, job: _Job) -> None:
        self._arrive(job.features, fatal=job.fatal, retries=job.retries - 1)

    # crashes

    def _hang(self, job: _Job, incarnation: int) -> None:
        """Leave a request without an answer; its server ends after a while."""
        hang = self.random.uniform(*self.load.hang)
        self.after(hang, self._crash_by, job, incarnation)
        self.after(HEDGE_SECONDS, self._hedge, job, incarnation)
        self.after(self.load.caller_seconds, self._abandon, job, incarnation)

    def _hedge(self, job: _Job, incarnation: int) -> None:
        """Ask a second server too, as the first one does not answer."""
        if self._is_there(job, incarnation):
            self._retry(replace(job))

    def _abandon(self, job: _Job, incarnation: int) -> None:
        """Give a request up as its caller leaves."""
        if self._is_there(job, incarnation):
            self.jobs[job.server].remove(job)
            self._end_attempt(job, job.server, incarnation, broken_off=False)

    def _crash_by(self, job: _Job, incarnation: int) -> None:
        if self._incarnation(job) == incarnation and job.server not in self.down:
            self.outcome.crashes.append(self.now - self.began_at)
            self._crash(job.server, silent=self.load.when is When.SILENT)

    def _end_one(self) -> None:
        self._crash(self.random.choice(self.names), silent=False)

    def _crash(self, name: str, *, silent: bool) -> None:
        if name in self.down:
            return
        self.down.add(name)
        cut, self.jobs[name] = self.jobs[name], []
        for job in cut:
            if silent:
                self.after(HEDGE_SECONDS, self._retry, job)
                self.after(CALLER_SECONDS, self._give_up, job, self._incarnation(job))
            else:
                self._end_attempt(job, name, self._incarnation(job), broken_off=True)
                self._retry(job)
        ended = self.incarnations[name]
        noticed = SILENT_SECONDS if silent else REFUSED_SECONDS
        for entry in self.entries:
            seconds = self.random.uniform(*noticed)
            self.after(seconds, self._notice, entry, name, ended, not silent)
        self.after(max(self.load.downtime, 0.1), self._start, name)

    def _give_up(self, job: _Job, incarnation: int) -> None:
        self._end_attempt(job, job.server, incarnation, broken_off=False)

    def _end_attempt(
        self, job: _Job, name: str, incarnation: int, *, broken_off: bool
    ) -> None:
        if job.entry.ended:
            return
        made = replace(self._make_server(name), incarnation=incarnation)
        job.entry.quarantine.record_end(job.features, name)
        job.entry.quarantine.record_unanswered(
            (made,),
            job.features,
            job.sent_at,
            broken_off=broken_off,
            attempt=job.attempt,
        )

    def _retry(self, job: _Job) -> None:
        job.crashes += 1
        blocked = job.entry.quarantine.seconds_blocked(job.features)
        if job.crashes >= min(MAX_CRASHES_OF_ATTEMPT, self.load.attempts) or blocked:
            self._fail(job)
            return
        second = replace(job) if self.load.when is When.SILENT else job
        self.after(CONNECT_SECONDS, self._send, second)

    def _notice(self, entry: Entry, name: str, incarnation: int, refuses: bool) -> None:
        listed = entry.fleet.servers.get(name)
        if entry.ended or listed is None or listed.incarnation != incarnation:
            return
        entry.fleet.set_health(listed, down=True, reason="check", ended=refuses)

    def _start(self, name: str) -> None:
        self.down.discard(name)
        self.incarnations[name] += 1
        for entry in self.entries:
            self.after(self.random.uniform(0.2, 1.2), self._list_servers, entry)

    def _make_server(self, name: str):
        return server(name, "a", "big", layer_range(0, 10))

    def _list_servers(self, entry: Entry) -> None:
        if entry.ended:
            return
        if self.is_cut_off(entry):
            self.after(1.0, self._list_servers, entry)
            return
        servers = {
            name: replace(self._make_server(name), incarnation=incarnation)
            for name, incarnation in self.incarnations.items()
        }
        entry.fleet.update_servers(servers)
