"""
Follow.

Keeps the configuration and the list of servers fresh, from the store or a peer.

The entry that holds the lease of the placement reads the store often. The others
learn from the words of their peers how new these are, and read for themselves as soon
as no word is new enough.
"""

import asyncio
import random
import time
from collections.abc import Callable

from loguru import logger

from kumquatway_core.events import ConfigurationChanged, DependencyChanged, Event
from kumquatway_core.exceptions import ConfigurationError, PlatformError
from kumquatway_gateway._sources import (
    ConfigurationDocument,
    ConfigurationSource,
    EntrySource,
    ServerSource,
)
from kumquatway_gateway.fleet import Fleet, Membership
from kumquatway_gateway.model import Server
from kumquatway_gateway.peers import CopyClient, Gossip, GossipMessage, digest_servers
from kumquatway_gateway.relay import Relay

# Of a call for changes. Peers count the answers, so it stays well below their trust.
CONFIGURATION_WAIT_SECONDS = 1.0
SERVERS_WAIT_SECONDS = 0.3
SERVERS_PAUSE_SECONDS = 0.5  # between reads, since the list changes all the time
# For which a peer's word stands for the store's: a read and a word may be missed, and
# a call of one's own still ends before the bound of 2 s of the users' platform.
CONFIGURATION_MAX_AGE_SECONDS = 1.4
SERVERS_MAX_AGE_SECONDS = 1.1
RETRY_SECONDS = 0.25  # after a failed call
# That a peer may have to send when all others fetch its configuration at once: half a
# second of the thinnest link (10 Mbit/s, site files).
MAX_COPIED_BYTES = 600_000
PEER_AFTER_SECONDS = 0.6  # without the store, before a peer is asked
ENTRIES_SECONDS = 20.0  # between reads of the entries, which also tell each other
ALONE_SECONDS = 1.0  # the same while no peer was heard


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
        copies: CopyClient,
        emit: Callable[[Event], None],
        clock: Callable[[], float] = time.monotonic,
    ):
        self.source = source
        self.relay = relay
        self.copies = copies
        self.emit = emit
        self.clock = clock
        self.document = ConfigurationDocument(revision=0, data=b"")
        self.rejected_revision = 0
        self.outage_since: float | None = None
        self.reads_store: Callable[[], bool] = lambda: True
        self.on_change: Callable[[], None] = lambda: None  # by what the store says
        self.peers: Callable[[], list[str]] = list
        self._newer_in_store = asyncio.Event()  # of a revision that the store has
        self._fetching: set[str] = set()
        self._tasks: set[asyncio.Task] = set()

    def revision(self) -> int:
        """Give the revision in force."""
        return self.document.revision

    async def run(self) -> None:
        """Follow the store, for ever."""
        while True:
            rest = self.seconds_until_read()
            if rest and not await self._is_told(rest):
                continue
            self._newer_in_store.clear()
            try:
                found = await self.source.poll(CONFIGURATION_WAIT_SECONDS)
            except PlatformError as error:
                self._lost(error)
                await self._ask_peer()
                await asyncio.sleep(RETRY_SECONDS)
                continue
            self._regained()
            self.relay.configuration_confirmed_at = self.clock()
            if found is not None and self.apply_if_newer(found, "the store"):
                self.on_change()

    def seconds_until_read(self) -> float:
        """
        Give the time for which the words of peers are new enough.

        :return: seconds, 0 where the store is to be asked now.
        """
        if self.reads_store() or self.outage_since is not None:
            return 0.0
        until = self.relay.configuration_confirmed_at + CONFIGURATION_MAX_AGE_SECONDS
        return max(0.0, until - self.clock())

    def receive(self, message: GossipMessage) -> None:
        """
        Take what a peer says of its configuration.

        :param word: the peer's.
        """
        if message.revision > max(self.revision(), self.rejected_revision):
            if self._is_long(message) and self.outage_since is None:
                self._newer_in_store.set()
            else:
                self.fetch_from(message.address)
        elif message.revision == self.revision() and message.freshness is not None:
            confirmed = self.clock() - message.freshness.configuration_age
            self.relay.configuration_confirmed_at = max(
                self.relay.configuration_confirmed_at, confirmed
            )

    def _is_long(self, word: GossipMessage) -> bool:
        """
        Tell whether a peer's configuration is too long to be fetched from it.

        Load pattern: a configuration with hundreds of routes comes, and every entry
        wants it of the one that told of it, whose link also serves callers.
        """
        size = word.freshness.document_bytes if word.freshness is not None else 0
        return size * len(self.peers()) > MAX_COPIED_BYTES

    async def _is_told(self, seconds: float) -> bool:
        """Wait until there is something to ask the store for, or some time."""
        try:
            async with asyncio.timeout(seconds):
                await self._newer_in_store.wait()
        except TimeoutError:
            return False
        return True

    def apply_if_newer(self, document: ConfigurationDocument, origin: str) -> bool:
        """
        Take a document if it is newer.

        :param document: from the store or a peer.
        :param origin: for the log.
        :return: whether it is in force now, and was not before.
        """
        if document.revision <= max(self.document.revision, self.rejected_revision):
            return False
        try:
            configuration = self.source.decode(document.data)
        except ConfigurationError as error:
            self.rejected_revision = document.revision
            logger.error("revision {} is refused: {}", document.revision, error)
            return False
        before = self.document.revision
        self.document = document
        self.relay.configure(configuration)
        self.emit(
            ConfigurationChanged(
                revision=document.revision, source=origin, detail=f"after {before}"
            )
        )
        return True

    def fetch_from(self, address: str) -> None:
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
            copy = await self.copies.fetch_configuration(address)
        finally:
            self._fetching.discard(address)
        if copy is not None and copy.revision:
            found = ConfigurationDocument(revision=copy.revision, data=copy.document)
            self.apply_if_newer(found, f"peer {address}")

    async def _ask_peer(self) -> None:
        if self.clock() - self.outage_since < PEER_AFTER_SECONDS:
            return
        peers = self.peers()
        if peers:
            await self._fetch(random.choice(peers))

    def _lost(self, error: PlatformError) -> None:
        if self.outage_since is None:
            self.outage_since = self.clock()
            self.emit(DependencyChanged(name="store", state="lost", detail=str(error)))

    def _regained(self) -> None:
        if self.outage_since is not None:
            passed = self.clock() - self.outage_since
            self.outage_since = None
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
        copies: CopyClient,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.source = source
        self.fleet = fleet
        self.copies = copies
        self.clock = clock
        self.membership = Membership(clock=clock)
        self.read_at = float("-inf")
        self.reads_store: Callable[[], bool] = lambda: True
        self.on_change: Callable[[], None] = lambda: None  # by what the store says
        self._stamp = 0
        self._stamped: dict[str, Server] | None = None
        self._fetching: asyncio.Task | None = None

    async def run(self) -> None:
        """Follow the store, for ever."""
        while True:
            rest = self.seconds_until_read()
            if rest:
                await asyncio.sleep(rest)
                continue
            try:
                listed = await self.source.poll(SERVERS_WAIT_SECONDS)
            except PlatformError:
                self.membership.record_store_failure()
                await asyncio.sleep(RETRY_SECONDS)
                continue
            before = self.fleet.generation
            self._list(self.membership.update(listed), self.clock())
            if self.fleet.generation != before:
                self.on_change()
            await asyncio.sleep(SERVERS_PAUSE_SECONDS)

    def seconds_until_read(self) -> float:
        """
        Give the time for which the words of peers are new enough.

        :return: seconds, 0 where the store is to be asked now.
        """
        if self.reads_store():
            return 0.0
        return max(0.0, self.read_at + SERVERS_MAX_AGE_SECONDS - self.clock())

    def digest(self) -> int:
        """Sum up the list that routing uses."""
        if self._stamped is not self.fleet.servers:
            self._stamped = self.fleet.servers
            self._stamp = digest_servers(self._stamped)
        return self._stamp

    def receive(self, message: GossipMessage) -> None:
        """
        Take what a peer says of its list, where that is newer than one's own.

        :param word: the peer's.
        """
        fresh = message.freshness
        if fresh is None or (
            self.reads_store() and self._age() < SERVERS_MAX_AGE_SECONDS
        ):
            return
        if fresh.servers_age >= self._age():
            return
        if fresh.servers_digest == self.digest():
            self._adopt(self.fleet.servers, fresh.servers_age, fresh.grace)
        elif self._fetching is None:
            task = asyncio.get_running_loop().create_task(self.fetch(message.address))
            self._fetching = task
            task.add_done_callback(self._fetched)

    async def fetch(self, address: str) -> None:
        """
        Take a peer's list if it is newer than one's own.

        :param address: of the peer.
        """
        copy = await self.copies.fetch_servers(address)
        if copy is not None and copy.age < self._age():
            self._adopt(copy.servers(), copy.age, copy.grace)

    def _fetched(self, task: asyncio.Task) -> None:
        self._fetching = None

    def _age(self) -> float:
        return self.clock() - self.read_at

    def _adopt(self, servers: dict[str, Server], age: float, grace: float) -> None:
        self.membership.adopt(servers, grace)
        self._list(servers, self.clock() - age)

    def _list(self, servers: dict[str, Server], at: float) -> None:
        self.read_at = at
        self.fleet.update_servers(
            servers, up_to_date=self.membership.is_up_to_date(), as_of=at
        )


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
            gossip.set_addresses(gossip.addresses | await source.addresses())
            pause = ENTRIES_SECONDS if gossip.live_peers() else ALONE_SECONDS
        except PlatformError as error:
            logger.info("the entries are not known from the store: {}", error)
            pause = ALONE_SECONDS
        await asyncio.sleep(pause)
