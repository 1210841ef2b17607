"""
Replays entries that follow the list of servers through outages of the store.

Each entry has a real follower, fleet and membership, and a monotonic clock of its own.
Virtual time and seeded random numbers: a seed gives the same run each time.
"""

import asyncio
import random
import types
from collections.abc import Callable, Coroutine, Iterator
from dataclasses import dataclass

from engines import layer_range, server
from virtual_time import run_in_virtual_time

from kumquatway_core.events import Event, MembershipChanged
from kumquatway_core.exceptions import PlatformUnavailable
from kumquatway_gateway._follow import ServerFollower
from kumquatway_gateway.fleet import Fleet
from kumquatway_gateway.model import ServerList
from kumquatway_gateway.peers import (
    CopyServer,
    Freshness,
    GossipMessage,
    ServersCopy,
    encode_gap,
)
from kumquatway_gateway.peers._copies import FETCH_TIMEOUT_SECONDS
from kumquatway_gateway.peers._gossip import (
    MIN_SEND_INTERVAL_SECONDS,
    PEER_EXPIRY_SECONDS,
    SEND_PERIOD_SECONDS,
)

# By the pages of the users' platform.
HEARTBEAT_SECONDS = 1.2
LAPSE_SECONDS = 3.6  # of a registration, after the last heartbeat
REGISTERED_AGAIN_SECONDS = 2.0
CALL_TIMEOUT_SECONDS = 0.8  # of the store's client
CALL_SECONDS = (0.001, 0.02)  # one way, to the store or a peer's copy
STEP_SECONDS = 1e-6  # of a process, until it goes on after a wait
WAKE_SECONDS = 0.004  # in which a process that was frozen goes on with all it does
DUTY_SECONDS = (0.2, 2.0)  # until the lease of an entry that ended is taken
SERVERS = tuple(f"s{number}" for number in range(5))


@dataclass(frozen=True, kw_only=True, slots=True)
class Fault:
    """
    Something that happens to an entry or to the store.

    :param at: when it begins, seconds since the start.
    :param seconds: how long it lasts.
    :param entry: number of the entry; unused for the store.
    :param silent: whether the store does not answer, rather than refuse.
    """

    at: float
    seconds: float
    entry: int = 0
    silent: bool = False

    @property
    def end(self) -> float:
        """Return when it ends, seconds since the start."""
        return self.at + self.seconds


@dataclass(frozen=True, kw_only=True)
class Scenario:
    """
    What happens in a replay.

    :param seconds: length of the replay.
    :param lost: share of the messages between entries that are lost.
    :param delay: bounds of the time that a message takes, seconds.
    :param outages: when the store is away.
    :param refusals: when the store turns an entry away.
    :param freezes: when an entry stands still.
    :param restarts: when an entry is away between two processes.
    :param ends_at: when the first server ends without a word, or None.
    :param leaves_at: when it removes its registration and ends, or None.
    :param retry_seconds: after an outage, within which servers write whose heartbeat
        was refused.
    """

    entries: int = 3
    seconds: float = 20.0
    lost: float = 0.0
    delay: tuple[float, float] = (0.001, 0.08)
    outages: tuple[Fault, ...] = ()
    refusals: tuple[Fault, ...] = ()
    freezes: tuple[Fault, ...] = ()
    restarts: tuple[Fault, ...] = ()
    ends_at: float | None = None
    leaves_at: float | None = None
    retry_seconds: float = REGISTERED_AGAIN_SECONDS

    @property
    def faults(self) -> tuple[Fault, ...]:
        """Return all that happens to the store and to entries."""
        return (*self.outages, *self.refusals, *self.freezes, *self.restarts)

    @property
    def returned_at(self) -> float:
        """Return when the store is back for good, seconds since the start."""
        return max((outage.end for outage in self.outages), default=0.0)


@types.coroutine
def _run_thawed(
    coroutine: Coroutine, thawed: Callable[[], Coroutine]
) -> Iterator[object]:
    """Run a coroutine of a process, which goes on only while that is not frozen."""
    try:
        while True:
            try:
                awaited = coroutine.send(None)
            except StopIteration:
                return
            yield awaited
            # A wait that is too short for the clock to move would never end.
            yield from asyncio.sleep(STEP_SECONDS).__await__()
            yield from thawed().__await__()
    finally:
        coroutine.close()


class _Store:
    """
    The platform's store: registrations that lapse, and its own clock.

    :ivar rows: when each registration lapses, seconds since the start.
    """

    def __init__(self, replay: "LapseReplay"):
        self.replay = replay
        self.offset = replay.random.uniform(0.0, 1e6)
        self.rows: dict[str, float] = {}
        self.back = asyncio.Event()
        self.written = asyncio.Event()

    def outage(self) -> Fault | None:
        """Return the outage that lasts now, or None."""
        now = self.replay.now()
        outages = self.replay.scenario.outages
        return next((one for one in outages if one.at <= now < one.end), None)

    def write(self, name: str) -> None:
        """Write a registration or a heartbeat."""
        self.rows[name] = self.replay.now() + LAPSE_SECONDS
        self._wake()

    def remove(self, name: str) -> None:
        """Remove a registration."""
        self.rows.pop(name, None)
        self._wake()

    def _wake(self) -> None:
        self.written.set()
        self.written = asyncio.Event()

    def list_servers(self) -> ServerList:
        """Return the list as it is now."""
        now = self.replay.now()
        listed = [
            name for name, lapses_at in sorted(self.rows.items()) if lapses_at > now
        ]
        return ServerList(
            servers={name: REGISTERED[name] for name in listed},
            listed_at=int((self.offset + now) * 1000) / 1000,
            generation=1,
        )

    async def read(self, entry: "Entry", wait: float) -> ServerList | None:
        """Return the list once it has changed or the wait has passed, or None."""
        try:
            async with asyncio.timeout(wait + CALL_TIMEOUT_SECONDS):
                return await self._read(entry, wait)
        except TimeoutError:
            return None

    async def _read(self, entry: "Entry", wait: float) -> ServerList | None:
        await self.replay.travel(CALL_SECONDS)
        outage = self.outage()
        if outage is not None and outage.silent:
            await asyncio.sleep(outage.end - self.replay.now())
        if self.outage() is not None or self.replay.is_turned_away(entry):
            await self.replay.travel(CALL_SECONDS)
            return None
        try:
            async with asyncio.timeout(wait):
                await self.written.wait()
        except TimeoutError:
            pass
        if self.outage() is not None:
            return None
        found = self.list_servers()
        await self.replay.travel(CALL_SECONDS)
        return found


class Entry:
    """
    One process of an entry.

    :param number: number of the entry.
    :param replay: what it takes part in.
    """

    def __init__(self, number: int, replay: "LapseReplay"):
        self.number = number
        self.replay = replay
        self.started_at = replay.now()
        self.ended = False
        self.heard: dict[str, float] = {}
        self.inbox: list[GossipMessage] = []
        offset = replay.random.uniform(0.0, 1e5)
        self.clock = lambda: replay.now() + offset
        self.fleet = Fleet(emit=self._record, clock=self.clock)
        self.follower = ServerFollower(
            source=self, fleet=self.fleet, copies=self, clock=self.clock
        )
        self.follower.reads_store = self.reads_store
        self.follower.on_change = self._tell_soon
        self.copies = CopyServer(
            revision=lambda: 1,
            document=lambda: b"",
            membership=self.follower.membership,
            read_at=lambda: self.follower.read_at,
            clock=self.clock,
        )
        self.tasks = [
            asyncio.create_task(_run_thawed(self.follower.run(), self.thawed)),
            asyncio.create_task(_run_thawed(self._tell_regularly(), self.thawed)),
        ]

    @property
    def address(self) -> str:
        """Return the address for peers."""
        return f"10.0.0.{self.number}:9"

    def end(self) -> None:
        """End the process."""
        self.ended = True
        for task in self.tasks:
            task.cancel()

    def reads_store(self) -> bool:
        """Tell whether it reads the store without relying on peers."""
        since = self.replay.now() - PEER_EXPIRY_SECONDS
        is_alone = not any(at > since for at in self.heard.values())
        return self.replay.reader == self.number or is_alone

    def frozen_until(self) -> float:
        """Return when it goes on if it stands still, seconds since the start."""
        now = self.replay.now()
        freezes = self.replay.scenario.freezes
        return max(
            (f.end for f in freezes if f.entry == self.number and f.at <= now < f.end),
            default=0.0,
        )

    async def thawed(self) -> None:
        """Wait until the process does not stand still."""
        while until := self.frozen_until():
            late = self.replay.random.uniform(0.0, WAKE_SECONDS)
            await asyncio.sleep(until + late - self.replay.now())

    def _record(self, event: Event) -> None:
        if isinstance(event, MembershipChanged):
            self.replay.changes.append(
                Change(
                    at=self.replay.now(),
                    entry=self,
                    server=event.vm,
                    is_gone=event.state == "gone",
                    is_reader=self.reads_store(),
                )
            )

    # What the follower has of the store and of peers.

    async def poll(self, wait: float) -> ServerList:
        """Read the store, see `ServerSource`."""
        asked_at = self.replay.now()
        found = await asyncio.create_task(self.replay.store.read(self, wait))
        await self.thawed()
        is_late = self.replay.now() - asked_at > wait + CALL_TIMEOUT_SECONDS
        if found is None or (is_late and self.replay.random.random() < 0.5):
            raise PlatformUnavailable("the store is away")
        return found

    async def fetch_servers(self, address: str) -> ServersCopy | None:
        """Fetch a peer's list, see `CopyClient`."""
        copy = await self._fetch(self.replay.find(address))
        await self.thawed()
        return copy

    async def _fetch(self, peer: "Entry") -> ServersCopy | None:
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_SECONDS):
                await self.replay.travel(CALL_SECONDS)
                await peer.thawed()
                copy = None if peer.ended else peer.copies._copy_servers()
                await self.replay.travel(CALL_SECONDS)
                return copy
        except TimeoutError:
            return None

    # Gossip

    async def _tell_regularly(self) -> None:
        await asyncio.sleep(self.replay.random.uniform(0.0, SEND_PERIOD_SECONDS))
        while True:
            self._tell()
            await asyncio.sleep(SEND_PERIOD_SECONDS)

    def _tell_soon(self) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(MIN_SEND_INTERVAL_SECONDS, self._tell)

    def _tell(self) -> None:
        if not self.ended and not self.frozen_until():
            self.replay.send(self, self._build_message())

    def _build_message(self) -> GossipMessage:
        listed = self.follower.membership.newest
        freshness = Freshness(
            configuration_age=0.0,
            servers_digest=self.follower.digest(),
            servers_age=min(1e6, self.follower.age()),
            listed_at=listed.listed_at if listed else 0.0,
            generation=listed.generation if listed else 0,
            gap=encode_gap(self.follower.membership),
            followed_since=max(0.0, self.follower.membership.gaps.followed_since),
        )
        return GossipMessage(
            incarnation=1,
            address=self.address,
            revision=1,
            loads=(),
            health=(),
            layer_reports=(),
            leaving_servers=(),
            freshness=freshness,
        )

    def hear(self, message: GossipMessage) -> None:
        """Receive a message, or keep it until the process goes on."""
        if self.ended:
            return
        until = self.frozen_until()
        if not until and not self.inbox:
            self._receive(message)
            return
        if not self.inbox:
            late = self.replay.random.uniform(0.0, WAKE_SECONDS)
            self.replay.at(until + late, self._empty_inbox)
        self.inbox.append(message)

    def _empty_inbox(self) -> None:
        messages, self.inbox = self.inbox, []
        for message in messages:
            self.hear(message)

    def _receive(self, message: GossipMessage) -> None:
        self.heard[message.address] = self.replay.now()
        self.follower.receive(message)


@dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """
    A server that an entry uses from now on, or no longer.

    :param at: seconds since the start.
    """

    at: float
    entry: Entry
    server: str
    is_gone: bool
    is_reader: bool

    def __str__(self) -> str:
        change = "drops" if self.is_gone else "uses"
        reads = " (reads the store)" if self.is_reader else ""
        return f"{self.at:.3f} entry {self.entry.number}{reads} {change} {self.server}"


class LapseReplay:
    """
    Entries, servers and a store in virtual time.

    :param scenario: what happens.
    :param seed: of all random numbers.
    :ivar reader: number of the entry that reads the store, or None.
    :ivar changes: all changes of what entries use.
    """

    def __init__(self, scenario: Scenario, seed: int):
        self.scenario = scenario
        self.random = random.Random(seed)
        self.reader: int | None = None
        self.changes: list[Change] = []
        self.entries: list[Entry] = []

    def run(self) -> "LapseReplay":
        """Play it, and return it with what happened."""
        run_in_virtual_time(self._play)
        return self

    def now(self) -> float:
        """Return seconds since the start."""
        return self.loop.time() - self.started_at

    def at(self, seconds: float, action: Callable, *arguments) -> None:
        """Do something at a time since the start."""
        self.loop.call_at(self.started_at + seconds, action, *arguments)

    async def travel(self, bounds: tuple[float, float]) -> None:
        """Wait while bytes are on their way."""
        await asyncio.sleep(self.random.uniform(*bounds))

    def is_turned_away(self, entry: Entry) -> bool:
        """Tell whether the store refuses an entry's calls now."""
        return any(
            fault.entry == entry.number and fault.at <= self.now() < fault.end
            for fault in self.scenario.refusals
        )

    def find(self, address: str) -> Entry:
        """Return the entry that has an address."""
        return next(one for one in self.entries if one.address == address)

    def send(self, sender: Entry, message: GossipMessage) -> None:
        """Send a message to all peers."""
        for number, peer in enumerate(self.entries):
            if (
                peer.number != sender.number
                and self.random.random() >= self.scenario.lost
            ):
                delay = self.random.uniform(*self.scenario.delay)
                self.at(self.now() + delay, self._deliver, number, message)

    def _deliver(self, number: int, message: GossipMessage) -> None:
        self.entries[number].hear(message)

    async def _play(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.started_at = self.loop.time()
        self.store = _Store(self)
        servers = {name: asyncio.create_task(self._serve(name)) for name in SERVERS}
        self.entries = [Entry(n, self) for n in range(self.scenario.entries)]
        self.reader = 0
        self._schedule(servers[SERVERS[0]])
        await asyncio.sleep(self.scenario.seconds)
        for entry in self.entries:
            entry.end()
        for task in servers.values():
            task.cancel()

    def _schedule(self, first_server: asyncio.Task) -> None:
        for outage in self.scenario.outages:
            self.at(outage.at, self.store.back.clear)
            self.at(outage.end, self.store.back.set)
        for restart in self.scenario.restarts:
            self.at(restart.at, self._end_entry, restart.entry)
            self.at(restart.end, self._start_entry, restart.entry)
        if self.scenario.ends_at is not None:
            self.at(self.scenario.ends_at, first_server.cancel)
        if self.scenario.leaves_at is not None:
            self.at(self.scenario.leaves_at, first_server.cancel)
            self.at(self.scenario.leaves_at, self.store.remove, SERVERS[0])

    def _end_entry(self, number: int) -> None:
        self.entries[number].end()
        if self.reader == number:
            self.reader = None
            self._take_duty_later()

    def _start_entry(self, number: int) -> None:
        self.entries[number] = Entry(number, self)

    def _take_duty_later(self) -> None:
        self.at(self.now() + self.random.uniform(*DUTY_SECONDS), self._take_duty)

    def _take_duty(self) -> None:
        """Let an entry that can write to the store take the lease."""
        able = [
            entry.number
            for entry in self.entries
            if not (entry.ended or entry.frozen_until() or self.is_turned_away(entry))
        ]
        if self.store.outage() is None and able:
            self.reader = self.random.choice(able)
        else:
            self._take_duty_later()

    async def _serve(self, name: str) -> None:
        """Register a server, and write its heartbeats."""
        self.store.back.set()
        self.store.write(name)
        await asyncio.sleep(self.random.uniform(0.0, HEARTBEAT_SECONDS))
        while True:
            if self.store.outage() is None:
                self.store.write(name)
                await asyncio.sleep(HEARTBEAT_SECONDS)
            else:
                await self.store.back.wait()
                await asyncio.sleep(
                    self.random.uniform(0.0, self.scenario.retry_seconds)
                )

    # What happened.

    @property
    def ended_server(self) -> str | None:
        """Return the server that ended or left, or None."""
        times = (self.scenario.ends_at, self.scenario.leaves_at)
        return SERVERS[0] if times != (None, None) else None

    def unlisted_at(self) -> float:
        """Return since when the store does not list the server that ended."""
        if self.scenario.leaves_at is not None:
            return self.scenario.leaves_at
        return self.store.rows[SERVERS[0]]

    def drops_of_live(self) -> list[Change]:
        """Return when entries dropped servers that live."""
        return [
            change
            for change in self.changes
            if change.is_gone and change.server != self.ended_server
        ]

    def kept_after(self, deadline: Callable[[Entry], float]) -> list[str]:
        """
        Describe which entries used the server that ended after a deadline.

        :param deadline: returns it for an entry, seconds since the start.
        """
        last = {
            change.entry: change
            for change in self.changes
            if change.server == self.ended_server
        }
        return [
            f"{change} (deadline {deadline(entry):.3f})"
            for entry, change in last.items()
            if entry in self.entries
            and (not change.is_gone or change.at > deadline(entry))
        ]

    def missing_at_the_end(self) -> list[str]:
        """Describe which entries do not use a server that lives."""
        live = set(SERVERS) - {self.ended_server}
        return [
            f"entry {entry.number} lacks {sorted(live - set(entry.fleet.servers))}"
            for entry in self.entries
            if live - set(entry.fleet.servers)
        ]

    def learnt_late(self, seconds: float) -> list[str]:
        """
        Describe what processes learnt late that started in an outage or after it.

        :param seconds: longest time from when a process is able to, see `able_at`.
        """
        return [
            str(change)
            for change in self.changes
            if not change.is_gone and change.at > self.able_at(change.entry) + seconds
        ]

    def able_at(self, entry: Entry, *, refused: bool = True) -> float:
        """
        Return since when a process goes on and the store is back for it.

        :param refused: whether the store is away for an entry that it turns away.
        """
        refusals = self.scenario.refusals if refused else ()
        faults = (*self.scenario.freezes, *refusals)
        ends = [fault.end for fault in faults if fault.entry == entry.number]
        return max(self.scenario.returned_at, entry.started_at, *ends)


REGISTERED = {name: server(name, "a", "big", layer_range(0, 10)) for name in SERVERS}
