"""
Follow.

Keeps the configuration and the list of servers fresh, from the store or a peer.
"""

import asyncio
import random
import time
from collections.abc import Callable

from loguru import logger

from kumquatway_core.events import ConfigurationChanged, DependencyChanged, Event
from kumquatway_core.exceptions import ConfigurationError, PlatformError
from kumquatway_gateway._sources import (
    ConfigurationSource,
    Document,
    EntrySource,
    ServerSource,
)
from kumquatway_gateway.fleet import Fleet, Membership
from kumquatway_gateway.peers import Copies, Gossip
from kumquatway_gateway.relay import Relay

CONFIGURATION_WAIT_SECONDS = 1.5  # of a call for changes, below the bound of 2 s
SERVERS_WAIT_SECONDS = 1.5
# Between reads while the list changes all the time: short for the entry that places
# layers, which tells the others at once who leaves.
PLACER_PAUSE_SECONDS = 0.25
OTHERS_PAUSE_SECONDS = 0.8
RETRY_SECONDS = 0.25  # after a failed call
PEER_AFTER_SECONDS = 0.6  # without the store, before a peer is asked
ENTRIES_SECONDS = 4.0  # between reads of the entries


class ConfigurationFollower:
    """
    Holds the newest configuration that this entry has seen; it never goes back.

    :param source: the store's.
    :param relay: takes each configuration.
    :param copies: asks peers.
    :param emit: takes events.
    """

    def __init__(
        self,
        *,
        source: ConfigurationSource,
        relay: Relay,
        copies: Copies,
        emit: Callable[[Event], None],
        clock: Callable[[], float] = time.monotonic,
    ):
        self.source = source
        self.relay = relay
        self.copies = copies
        self.emit = emit
        self.clock = clock
        self.document = Document(revision=0, data=b"")
        self.refused = 0
        self.away_since: float | None = None
        self.peers: Callable[[], list[str]] = list
        self._fetching: set[str] = set()
        self._tasks: set[asyncio.Task] = set()

    def revision(self) -> int:
        """Give the revision in force."""
        return self.document.revision

    async def run(self) -> None:
        """Follow the store, for ever."""
        while True:
            try:
                found = await self.source.newest(CONFIGURATION_WAIT_SECONDS)
            except PlatformError as error:
                self._lost(error)
                await self._ask_peer()
                await asyncio.sleep(RETRY_SECONDS)
                continue
            self._regained()
            self.relay.confirmed = self.clock()
            if found is not None:
                self.offer(found, "the store")

    def offer(self, document: Document, origin: str) -> None:
        """
        Take a document if it is newer.

        :param document: from the store or a peer.
        :param origin: for the log.
        """
        if document.revision <= max(self.document.revision, self.refused):
            return
        try:
            configuration = self.source.decode(document.data)
        except ConfigurationError as error:
            self.refused = document.revision
            logger.error("revision {} is refused: {}", document.revision, error)
            return
        before = self.document.revision
        self.document = document
        self.relay.configure(configuration)
        self.emit(
            ConfigurationChanged(
                revision=document.revision, source=origin, detail=f"after {before}"
            )
        )

    def newer_at(self, address: str) -> None:
        """
        Fetch from a peer that says that it has a newer revision.

        :param address: of the peer.
        """
        if address in self._fetching:
            return
        self._fetching.add(address)
        task = asyncio.get_running_loop().create_task(self._fetch(address))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _fetch(self, address: str) -> None:
        try:
            copy = await self.copies.fetch(address)
        finally:
            self._fetching.discard(address)
        if copy is not None and copy.revision:
            found = Document(revision=copy.revision, data=copy.document)
            self.offer(found, f"peer {address}")

    async def _ask_peer(self) -> None:
        if self.clock() - self.away_since < PEER_AFTER_SECONDS:
            return
        peers = self.peers()
        if peers:
            await self._fetch(random.choice(peers))

    def _lost(self, error: PlatformError) -> None:
        if self.away_since is None:
            self.away_since = self.clock()
            self.emit(DependencyChanged(name="store", state="lost", detail=str(error)))

    def _regained(self) -> None:
        if self.away_since is not None:
            passed = self.clock() - self.away_since
            self.away_since = None
            self.emit(
                DependencyChanged(
                    name="store", state="regained", detail=f"after {passed:.1f} s"
                )
            )


class ServerFollower:
    """
    Keeps the fleet's list fresh.

    :param source: the store's list.
    :param fleet: takes the list.
    :param copies: asks peers.
    """

    def __init__(
        self,
        *,
        source: ServerSource,
        fleet: Fleet,
        copies: Copies,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.source = source
        self.fleet = fleet
        self.copies = copies
        self.clock = clock
        self.membership = Membership(clock=clock)
        self.read_at = float("-inf")
        self.failing_since: float | None = None
        self.places: Callable[[], bool] = lambda: True
        self.peers: Callable[[], list[str]] = list

    async def run(self) -> None:
        """Follow the store, for ever."""
        while True:
            try:
                listed = await self.source.listed(SERVERS_WAIT_SECONDS)
            except PlatformError:
                self.membership.missed()
                if self.failing_since is None:
                    self.failing_since = self.clock()
                await self._ask_peer()
                await asyncio.sleep(RETRY_SECONDS)
                continue
            self.failing_since = None
            self.read_at = self.clock()
            servers = self.membership.take(listed)
            self.fleet.list(servers, kept_up=self.membership.is_kept_up())
            pause = PLACER_PAUSE_SECONDS if self.places() else OTHERS_PAUSE_SECONDS
            await asyncio.sleep(pause)

    async def _ask_peer(self) -> None:
        """Take a peer's list if it is fresher than one's own."""
        peers = self.peers()
        if not peers or self.clock() - self.failing_since < PEER_AFTER_SECONDS:
            return
        copy = await self.copies.fetch(random.choice(peers))
        if copy is None or copy.age >= self.clock() - self.read_at:
            return
        self.read_at = self.clock() - copy.age
        servers = copy.servers()
        self.membership.servers = servers
        self.fleet.list(servers, kept_up=False)


async def follow_entries(source: EntrySource, gossip: Gossip, address: str) -> None:
    """
    Announce this entry and learn of the others, for ever.

    :param source: the store's list of entries.
    :param gossip: takes the addresses.
    :param address: where peers reach this entry.
    """
    announced = False
    while True:
        try:
            if not announced:
                await source.announce(address)
                announced = True
            gossip.know(gossip.addresses | await source.others())
            pause = ENTRIES_SECONDS if gossip.live() else 1.0
        except PlatformError as error:
            logger.info("the entries are not known from the store: {}", error)
            pause = 1.0
        await asyncio.sleep(pause)
