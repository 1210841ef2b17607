"""
Keeps the configuration and the list of servers up to date, from the store or a peer.

The entry that holds the placement lease reads the store often. The others learn from
gossip messages whether their copies are current. They read the store themselves when
no message is recent enough.
"""

import asyncio
import hashlib
import random
import time
from collections import deque
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
from kumquatway_gateway.fleet import REREGISTRATION_GRACE_SECONDS, Fleet, Membership
from kumquatway_gateway.model import Configuration, Server, ServerList
from kumquatway_gateway.peers import (
    CopyClient,
    Freshness,
    Gossip,
    GossipMessage,
    decode_gap,
    digest_servers,
)
from kumquatway_gateway.relay import Relay

# Timeouts of one poll of the store. Peers rely on its result, so each is well below the
# maximum age that they accept.
CONFIGURATION_WAIT_SECONDS = 1.0
SERVERS_WAIT_SECONDS = 0.3
SERVERS_PAUSE_SECONDS = 0.5  # between reads, since the list changes constantly
# Maximum age of a copy that peers have confirmed. One read and one message may be
# missed, and this entry's next poll still ends within the bound of 2 s of the users'
# platform.
CONFIGURATION_MAX_AGE_SECONDS = 1.4
SERVERS_MAX_AGE_SECONDS = 1.1
# Both after an outage, so that a further interruption is noticed.
GRACE_PAUSE_SECONDS = 0.25
GRACE_MAX_AGE_SECONDS = 0.4
# By which a peer's list may be newer than the store's clock, as this entry knows it.
MAX_LEAD_SECONDS = 2.0
MIN_WAIT_SECONDS = 0.001  # shorter ones are due to rounding
RETRY_SECONDS = 0.25  # after a failed poll
# Bytes that a peer may have to send if all others fetch its configuration at once: half
# a second of the slowest link (10 Mbit/s in the users' deployments).
MAX_COPIED_BYTES = 600_000
MAX_PARALLEL_COPIES = 2  # of a configuration; they share this entry's link
MAX_REMEMBERED_DOCUMENTS = 64  # digests of configurations that are no longer in force
PEER_AFTER_SECONDS = 0.6  # of a store outage, before a peer is asked
# Between reads of the list of entries. Live peers also announce themselves by gossip.
ENTRIES_SECONDS = 20.0
ALONE_SECONDS = 1.0  # between such reads while no peer is live


class ConfigurationFollower:
    """
    Holds the newest configuration that this entry has seen, never an older one.

    :param source: source of the configuration in the store.
    :param relay: relay that each new configuration is applied to.
    :param copies: client that fetches copies from peers.
    :param emit: called with each event.
    :param clock: monotonic seconds.
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
        # Invalid documents, by revision and digest, and who offered which revision.
        self.rejected: deque[tuple[int, bytes]] = deque(maxlen=MAX_REMEMBERED_DOCUMENTS)
        self.rejected_offers: deque[tuple[str, int]] = deque(
            maxlen=MAX_REMEMBERED_DOCUMENTS
        )
        # Generation of the store in which it gave out a revision again that this entry
        # or a peer had; what was read before it no longer counts.
        self.reissued_in = 0
        self.last_read: ConfigurationDocument | None = None  # from the store
        self.outage_since: float | None = None
        # When the store last had no newer configuration, as far as this entry knows:
        # generation, and seconds by the store's clock.
        self.confirmed = (0, 0.0)
        # Whether this entry reads the store regularly, without relying on peers.
        self.reads_store: Callable[[], bool] = lambda: True
        # Called when the store returned a newer revision.
        self.on_change: Callable[[], None] = lambda: None
        self.peers: Callable[[], list[str]] = list  # addresses
        # Set when the store has a newer revision that is to be read from there.
        self._newer_in_store = asyncio.Event()
        self._fetching: set[str] = set()
        # Digests of the documents that were in force before.
        self._replaced: deque[bytes] = deque(maxlen=MAX_REMEMBERED_DOCUMENTS)
        self._tasks: set[asyncio.Task] = set()

    def revision(self) -> int:
        """Return the revision in force."""
        return self.document.revision

    async def run(self) -> None:
        """Poll the store whenever the peers' messages are not recent enough."""
        while True:
            wait = self.seconds_until_read()
            if wait and not await self._wait_for_newer(wait):
                continue
            self._newer_in_store.clear()
            started_at = self.clock()
            try:
                found = await self.source.poll(CONFIGURATION_WAIT_SECONDS)
            except PlatformError as error:
                self._record_outage(error)
                await self._fetch_from_any_peer()
                await asyncio.sleep(RETRY_SECONDS)
                continue
            self._record_recovery()
            # A long document may be older than the end of its transfer.
            self._confirm(
                self.source.generation,
                self.source.read_at,
                self.clock() if found is None else started_at,
            )
            if found is not None and self.apply_from_store(found):
                self.on_change()

    def seconds_until_read(self) -> float:
        """
        Return for how long the peers' messages are recent enough.

        :return: seconds, 0 if the store is to be polled now.
        """
        if self.reads_store() or self.outage_since is not None:
            return 0.0
        until = self.relay.configuration_confirmed_at + CONFIGURATION_MAX_AGE_SECONDS
        return max(0.0, until - self.clock())

    def receive(self, message: GossipMessage) -> None:
        """
        Process what a peer reports about its configuration.

        A newer revision is fetched; the same revision confirms this entry's copy, if
        the store had it later than this entry knows. Otherwise the message says nothing
        new, and its age lacks the time for which it was passed on.

        :param message: the peer's message.
        """
        if message.reissued_in != self.reissued_in:
            self._compare_reissue(message)
            return
        if message.revision > self.revision():
            if (message.address, message.revision) in self.rejected_offers:
                return
            if self._is_too_long(message) and self.outage_since is None:
                self._newer_in_store.set()
            else:
                self.fetch_from(message.address)
        elif message.revision == self.revision() and message.freshness is not None:
            freshness = message.freshness
            confirmed = (freshness.configuration_generation, freshness.configuration_at)
            if confirmed > self.confirmed:
                self._confirm(*confirmed, self.clock() - freshness.configuration_age)

    def _confirm(self, generation: int, store_time: float, at: float) -> None:
        """
        Record that the store had no newer configuration.

        :param generation: generation of the store.
        :param store_time: when that was, by the store's clock, seconds.
        :param at: the same, monotonic seconds.
        """
        self.confirmed = (generation, store_time)
        self.relay.configuration_confirmed_at = max(
            self.relay.configuration_confirmed_at, at
        )

    def _compare_reissue(self, message: GossipMessage) -> None:
        """
        Process a message of a peer that knows a newer or older reissue.

        The revision of a peer that does not know of it may be forgotten by the store.
        """
        if message.reissued_in < self.reissued_in:
            return
        logger.warning(
            "peer {} has revision {} that the store gave out again in generation {}",
            message.address,
            message.revision,
            message.reissued_in,
        )
        self.reissued_in = message.reissued_in
        last_read = self.last_read
        if last_read is not None and last_read.read_in >= message.reissued_in:
            self._apply_reissued(last_read, "the store")
        else:
            self._newer_in_store.set()

    def apply_from_store(self, document: ConfigurationDocument) -> bool:
        """
        Put a document of the store into force if it is newer or a reissue.

        Load pattern: the store comes back from a copy some seconds old. It shows a
        revision that is no longer in force, until the operators write the newest one
        again. They may then use a number again for another text.

        :param document: the document.
        :return: whether it was put into force.
        """
        self.last_read = document
        if document.revision > self.revision():
            return self.apply_if_newer(document, "the store")
        if self._is_reissue(document):
            self.reissued_in = document.read_in
            return self._apply_reissued(document, "the store")
        if document.data == self.document.data:
            self.document = document
        return False

    def _is_reissue(self, document: ConfigurationDocument) -> bool:
        """Tell whether the store gave out a revision again, with another text."""
        known = self.document
        if document.data == known.data or not known.read_in:
            return False
        if known.read_in < self.reissued_in <= document.read_in:
            return True  # a peer has seen the reissue
        if document.written_in > known.read_in:
            return _digest(document.data) not in self._replaced
        same_number = document.revision == known.revision
        return same_number and document.read_in > known.read_in

    def _apply_reissued(self, document: ConfigurationDocument, origin: str) -> bool:
        if document.data == self.document.data:
            self.document = document
            return False
        logger.warning(
            "the store lost revision {}; revision {} of generation {} replaces it",
            self.revision(),
            document.revision,
            document.read_in,
        )
        return self._apply(document, origin)

    def _is_too_long(self, message: GossipMessage) -> bool:
        """
        Tell whether a peer's configuration is too long to be fetched from the peer.

        Load pattern: a configuration with hundreds of routes is published, and all
        entries fetch it from the entry that announced it, whose link also serves
        callers.
        """
        size = message.freshness.document_bytes if message.freshness is not None else 0
        return size * len(self.peers()) > MAX_COPIED_BYTES

    async def _wait_for_newer(self, seconds: float) -> bool:
        """
        Wait until the store is known to have a newer revision.

        :param seconds: longest time to wait.
        :return: False if the time has passed.
        """
        try:
            async with asyncio.timeout(seconds):
                await self._newer_in_store.wait()
        except TimeoutError:
            return False
        return True

    def apply_if_newer(self, document: ConfigurationDocument, origin: str) -> bool:
        """
        Put a document into force if it is newer and valid.

        :param document: the document, from the store or a peer.
        :param origin: where it comes from, for the event.
        :return: whether it was put into force.
        """
        if document.revision <= self.document.revision:
            return False
        return self._apply(document, origin)

    def _apply(self, document: ConfigurationDocument, origin: str) -> bool:
        name = (document.revision, _digest(document.data))
        if name in self.rejected:
            return False
        try:
            configuration = self._decode(document)
        except ConfigurationError as error:
            # Only this text: the next one may have a lower number, and a copy with
            # this number may be sound.
            self.rejected.append(name)
            logger.error(
                "configuration revision {} from {} rejected: {}",
                document.revision,
                origin,
                error,
            )
            return False
        before = self.document.revision
        self._replaced.append(_digest(self.document.data))
        self.document = document
        self.relay.configure(configuration)
        self.emit(
            ConfigurationChanged(
                revision=document.revision, source=origin, detail=f"after {before}"
            )
        )
        return True

    def _decode(self, document: ConfigurationDocument) -> Configuration:
        configuration = self.source.decode(document.data)
        if configuration.revision != document.revision:
            raise ConfigurationError(
                f"the text says that it is revision {configuration.revision}"
            )
        return configuration

    def fetch_from(self, address: str) -> None:
        """
        Start to fetch the configuration from a peer that has a newer revision.

        Load pattern: the store refuses some entries, the others announce a revision
        with hundreds of routes, and copies from all of them fill the link at once. One
        more than a single copy, as its peer may have gone.

        :param address: address of the peer.
        """
        if address in self._fetching or len(self._fetching) >= MAX_PARALLEL_COPIES:
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
        if copy is None or not copy.revision or copy.reissued_in != self.reissued_in:
            return
        found = ConfigurationDocument(
            revision=copy.revision, data=copy.document, read_in=copy.read_in
        )
        is_newer = found.revision > self.revision()
        if not self.apply_if_newer(found, f"peer {address}") and is_newer:
            self.rejected_offers.append((address, found.revision))
            self._newer_in_store.set()

    async def _fetch_from_any_peer(self) -> None:
        """Fetch from a random peer, if the outage has lasted long enough."""
        if self.clock() - self.outage_since < PEER_AFTER_SECONDS:
            return
        peers = self.peers()
        if peers:
            await self._fetch(random.choice(peers))

    def _record_outage(self, error: PlatformError) -> None:
        if self.outage_since is None:
            self.outage_since = self.clock()
            self.emit(DependencyChanged(name="store", state="lost", detail=str(error)))

    def _record_recovery(self) -> None:
        if self.outage_since is not None:
            duration = self.clock() - self.outage_since
            self.outage_since = None
            self.emit(
                DependencyChanged(
                    name="store", state="regained", detail=f"after {duration:.1f} s"
                )
            )


class ServerFollower:
    """
    Keeps the fleet's list of servers up to date.

    :param source: source of the list in the store.
    :param fleet: fleet that each list is applied to.
    :param copies: client that fetches copies from peers.
    :param clock: monotonic seconds.
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
        self.membership = Membership()
        self.read_at = float("-inf")  # when the list was read from the store
        # Whether this entry reads the store regularly, without relying on peers.
        self.reads_store: Callable[[], bool] = lambda: True
        # Called when a list from the store changed the fleet.
        self.on_change: Callable[[], None] = lambda: None
        self._digest = 0
        self._digested_servers: dict[str, Server] | None = None
        self._fetching: asyncio.Task | None = None
        self._replaced_at = float("-inf")  # when the newest list was taken

    async def run(self) -> None:
        """Read the store whenever the peers' messages are not recent enough."""
        while True:
            wait = self.seconds_until_read()
            if wait:
                await asyncio.sleep(wait)
                continue
            # Neither an outdated list nor servers that register again are waited for.
            is_urgent = self._is_outdated() or self._in_grace()
            wait = 0.0 if is_urgent else SERVERS_WAIT_SECONDS
            started_at = self.clock()
            try:
                found = await self.source.poll(wait)
            except PlatformError:
                self._record_failure(started_at)
                await asyncio.sleep(RETRY_SECONDS)
                continue
            self._record_read(found, started_at)
            # A store that is slow is read as often.
            delay = self.clock() - started_at - wait
            in_grace = self._in_grace()
            pause = GRACE_PAUSE_SECONDS if in_grace else SERVERS_PAUSE_SECONDS
            await asyncio.sleep(max(0.0, pause - max(0.0, delay)))

    def _record_read(self, found: ServerList, started_at: float) -> None:
        """
        Take a list of the store, unless a peer's newer one came meanwhile.

        :param found: the list that was read.
        :param started_at: when the read began, monotonic seconds.
        """
        is_newer = self.membership.is_newer(found.listed_at, found.generation)
        if not is_newer and started_at < self._replaced_at:
            return
        before = self.fleet.generation
        self._update(found, self.clock())
        if self.fleet.generation != before:
            self.on_change()

    def _record_failure(self, started_at: float) -> None:
        """
        Record that a read of the store has failed, if it tells of the time since then.

        A read that hung in an outage may fail after a peer has read the list.

        :param started_at: when the read began, monotonic seconds.
        """
        if started_at > self._replaced_at:
            self.membership.record_failure()

    def seconds_until_read(self) -> float:
        """
        Return for how long the peers' messages are recent enough.

        :return: seconds, 0 if the store is to be polled now.
        """
        if self.reads_store():
            return 0.0
        return 0.0 if self._is_outdated() else self._max_age() - self.age()

    def _max_age(self) -> float:
        return GRACE_MAX_AGE_SECONDS if self._in_grace() else SERVERS_MAX_AGE_SECONDS

    def _in_grace(self) -> bool:
        membership = self.membership
        return membership.newest is not None and not membership.is_up_to_date()

    def age(self) -> float:
        """Return the seconds since the list was read from the store."""
        return self.clock() - self.read_at

    def grace_left(self) -> float:
        """Return for how long servers that the list lacks are kept, seconds."""
        return self.membership.grace_left(self.age())

    def digest(self) -> int:
        """Return the digest of the newest list, without the servers that are kept."""
        listed = self.membership.newest.servers if self.membership.newest else {}
        if self._digested_servers is not listed:
            self._digested_servers = listed
            self._digest = digest_servers(listed)
        return self._digest

    def receive(self, message: GossipMessage) -> None:
        """
        Process what a peer reports about its list, if that is newer than this one.

        A different list is fetched; the same list confirms this entry's copy. So is the
        list of a peer that keeps servers of which this entry cannot know.

        :param message: the peer's message.
        """
        freshness = message.freshness
        if freshness is None or not self._is_plausible(freshness.listed_at):
            return
        self._narrow_gap(freshness)
        gap = decode_gap(freshness.gap)
        newest = self.membership.newest
        is_newer = self.membership.is_newer(freshness.listed_at, freshness.generation)
        relies_on_peers = not self.reads_store() or self._is_outdated()
        if self.membership.may_learn(gap, freshness.generation):
            self._begin_fetch(message.address)
        elif not (is_newer and relies_on_peers):
            return
        elif newest is None or freshness.servers_digest != self.digest():
            self._begin_fetch(message.address)
        else:
            confirmed = ServerList(
                servers=newest.servers,
                listed_at=freshness.listed_at,
                generation=freshness.generation,
            )
            self._update(confirmed, self.clock() - freshness.servers_age, gap=gap)

    def _narrow_gap(self, freshness: Freshness) -> None:
        if self.membership.narrow_gap(
            freshness.followed_since, freshness.listed_at, freshness.generation
        ):
            self._apply()

    def _is_outdated(self) -> bool:
        return self.age() > self._max_age() - MIN_WAIT_SECONDS

    def _is_plausible(self, listed_at: float) -> bool:
        """Tell whether the store's clock may have reached the time of a peer's list."""
        newest = self.membership.newest
        if newest is None or not newest.listed_at:
            return True
        return listed_at < newest.listed_at + self.age() + MAX_LEAD_SECONDS

    def _begin_fetch(self, address: str) -> None:
        if self._fetching is None:
            task = asyncio.get_running_loop().create_task(self.fetch(address))
            self._fetching = task
            task.add_done_callback(self._clear_fetching)

    async def fetch(self, address: str) -> None:
        """
        Fetch a peer's list, and adopt what it has that this entry cannot know.

        :param address: address of the peer.
        """
        copy = await self.copies.fetch_servers(address)
        if copy is None or not copy.records or not self._is_plausible(copy.listed_at):
            return
        found = copy.server_list()
        gap = decode_gap(copy.gap)
        lapsed = copy.lapsed_servers()
        if self.membership.is_newer(found.listed_at, found.generation):
            self._update(found, self.clock() - copy.age, gap=gap, lapsed=lapsed)
        elif self.membership.may_learn(gap, copy.generation):
            # What that list has may have lapsed by the time of this entry's one.
            self.membership.learn({**found.servers, **lapsed}, gap)
            self._log_gap()
            self._apply()

    def _clear_fetching(self, task: asyncio.Task) -> None:
        self._fetching = None

    def _update(self, found: ServerList, read_at: float, **known_by_peer) -> None:
        """
        Replace the list by a newer one.

        :param found: list of the store, read by this entry or a peer.
        :param read_at: when it was read, monotonic seconds.
        :param known_by_peer: what the peer knows of outages, see `Membership.update`.
        """
        before, gap = self.membership.servers, self.membership.gaps.last
        after = self.membership.update(found, **known_by_peer)
        self.read_at = max(self.read_at, read_at)
        self._replaced_at = self.clock()
        if self.membership.gaps.last is not gap:
            self._log_gap()
        self._apply(is_same=after is before)

    def _log_gap(self) -> None:
        gap = self.membership.gaps.last
        logger.warning(
            "no list of servers is known of {:.1f} s, so the store may have been away; "
            "{} servers that the list lacks are kept for {} s",
            gap.end - gap.start,
            len(self.membership.lapsed()),
            REREGISTRATION_GRACE_SECONDS,
        )

    def _apply(self, *, is_same: bool = False) -> None:
        self.fleet.update_servers(
            self.fleet.servers if is_same else self.membership.servers,
            up_to_date=self.membership.is_up_to_date(),
            as_of=self.read_at,
        )


async def follow_entries(
    source: EntrySource,
    gossip: Gossip,
    address: str,
    clock: Callable[[], float] = time.monotonic,
) -> None:
    """
    Announce this entry in the store, and keep reading the addresses of the others.

    The entry is announced again if the store came back from an older copy.

    :param source: source of the list of entries in the store.
    :param gossip: gossip that the addresses are passed to.
    :param address: address where peers reach this entry.
    :param clock: monotonic seconds.
    """
    announced = False
    while True:
        generation = source.generation
        try:
            if not announced:
                await source.announce(address)
                announced = True
                generation = generation or source.generation
            gossip.set_addresses(gossip.addresses | await source.addresses())
            pause = ENTRIES_SECONDS if gossip.live_peers() else ALONE_SECONDS
        except PlatformError as error:
            logger.info("cannot read the list of entries from the store: {}", error)
            pause = ALONE_SECONDS
        end = clock() + pause
        while clock() < end and source.generation == generation:
            await asyncio.sleep(ALONE_SECONDS)
        announced = announced and source.generation == generation


def _digest(data: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=16).digest()
