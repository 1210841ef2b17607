"""
Gossip.

Datagrams between entries: what each has in progress, and what it saw of servers.

A datagram may be lost or late; each carries the whole of its sender's recent word, so
the next one makes up for it.
"""

import asyncio
import random
import time
from collections.abc import Callable

import msgspec
from loguru import logger

from kumquatway_gateway.chains import ChainLoad
from kumquatway_gateway.fleet import Fleet, HealthStatus
from kumquatway_gateway.model import LayerRange, LayerReport

SEND_PERIOD_SECONDS = 0.25
MIN_SEND_INTERVAL_SECONDS = 0.05  # between words, however much happens
LOAD_EXPIRY_SECONDS = 1.5  # after which a peer's word on its load no longer counts
PEER_FAILURE_SECONDS = 1.6  # six words missed, after which a peer's duty may be taken
PEER_EXPIRY_SECONDS = 8.0  # without a word, after which a peer is no longer counted
REPEAT_SECONDS = 6.0  # for which a mark or a report is repeated
MAX_TARGETS = 8  # told in one period, drawn anew each time
MAX_URGENT_TARGETS = 40  # told of what was just seen here
MAX_DATAGRAM_BYTES = 60_000  # bytes


class _Load(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    server: str
    tokens: int
    requests: int


class _ServerHealth(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    server: str
    incarnation: int
    down: bool
    age: float
    reason: str
    ended: bool = False
    refuses_work: bool = False


class _LayerReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    server: str
    incarnation: int
    start: int
    stop: int
    sequence: int
    busy: bool
    age: float
    loaded: int = 0


class _Slowdown(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    server: str
    incarnation: int
    factor: float
    age: float


class _LeavingServer(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    server: str
    incarnation: int


class Freshness(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    How new an entry's copy of the store is, so that its peers need not ask as well.

    :param confirmed: seconds since its configuration was known to be the newest.
    :param stamp: of its list of servers, as `stamp_servers` gives it.
    :param read: seconds since the store had that list.
    :param grace: seconds for which entries that lapsed with the store stay listed.
    :param document: size of its configuration, bytes.
    """

    configuration_age: float
    servers_digest: int
    servers_age: float
    grace: float = 0.0
    document_bytes: int = 0


class GossipMessage(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    What an entry tells its peers.

    :param life: id of the sender's process.
    :param address: where its peers reach it.
    :param revision: of the configuration in force there.
    :param fresh: how new the sender's copy of the store is.
    :param has_duty: whether the sender holds the lease of the placement.
    """

    incarnation: int
    address: str
    revision: int
    loads: tuple[_Load, ...]
    health: tuple[_ServerHealth, ...]
    layer_reports: tuple[_LayerReport, ...]
    leaving_servers: tuple[_LeavingServer, ...]
    slowdowns: tuple[_Slowdown, ...] = ()
    freshness: Freshness | None = None
    has_duty: bool = False


class _Peer(msgspec.Struct, kw_only=True):
    incarnation: int
    incarnations: set[int]
    received_at: float
    loads: dict[str, ChainLoad]
    has_duty: bool


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(GossipMessage)


class Gossip(asyncio.DatagramProtocol):
    """
    This entry's part of the gossip.

    :param address: of this entry, `host:port`, for datagrams.
    :param life: id of this process.
    :param fleet: gives and takes marks and reports.
    :param own_loads: gives what this entry has in progress, by first server.
    :param revision: gives the revision in force here.
    :param fresh: gives how new this entry's copy of the store is.
    :param heard: called with each word.
    """

    def __init__(
        self,
        *,
        address: str,
        incarnation: int,
        fleet: Fleet,
        own_loads: Callable[[], dict[str, ChainLoad]],
        revision: Callable[[], int],
        freshness: Callable[[], Freshness],
        on_message: Callable[[GossipMessage], None],
        clock: Callable[[], float] = time.monotonic,
    ):
        self.address = address
        self.incarnation = incarnation
        self.fleet = fleet
        self.own_loads = own_loads
        self.revision = revision
        self.freshness = freshness
        self.on_message = on_message
        self.clock = clock
        self.addresses: set[str] = set()
        self.peers: dict[str, _Peer] = {}
        self.transport: asyncio.DatagramTransport | None = None
        self.has_duty: Callable[[], bool] = lambda: False
        self.sent_bytes = 0
        self._send_requested = asyncio.Event()

    async def run(self) -> None:
        """Tell the peers, often and at each change of a mark, for ever."""
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, int(port))
        )
        try:
            while True:
                self._send(
                    MAX_URGENT_TARGETS if self._send_requested.is_set() else MAX_TARGETS
                )
                self._send_requested.clear()
                await asyncio.sleep(MIN_SEND_INTERVAL_SECONDS)
                try:
                    async with asyncio.timeout(
                        SEND_PERIOD_SECONDS - MIN_SEND_INTERVAL_SECONDS
                    ):
                        await self._send_requested.wait()
                except TimeoutError:
                    continue
        finally:
            self.transport.close()

    def send_soon(self) -> None:
        """
        Tell the peers at once, or soon after the last word.

        Load pattern: a server goes, and all entries hear of it. Only who saw it tells
        of it at once: were it passed on at once as well, each change would cost a word
        from every entry to every other.
        """
        self._send_requested.set()

    def set_addresses(self, addresses: set[str]) -> None:
        """
        Take the addresses of all entries.

        :param addresses: `host:port`, this entry's own may be among them.
        """
        self.addresses = {one for one in addresses if one != self.address}

    def live_peers(self) -> list[str]:
        """
        Give the peers heard lately.

        :return: their addresses.
        """
        since = self.clock() - PEER_EXPIRY_SECONDS
        return [name for name, peer in self.peers.items() if peer.received_at > since]

    def is_gone(self, incarnation: int) -> bool:
        """
        Tell whether a peer's life has ended, or is silent.

        :param life: id of its process.
        :return: True if its address has a newer life, or was silent for several words.
        """
        now = self.clock()
        for peer in self.peers.values():
            if incarnation in peer.incarnations:
                return (
                    peer.incarnation != incarnation
                    or now - peer.received_at > PEER_FAILURE_SECONDS
                )
        return False

    def is_lease_held_by_peer(self) -> bool:
        """
        Tell whether a peer said lately that it holds the lease.

        :return: False once it is silent for several words.
        """
        since = self.clock() - PEER_FAILURE_SECONDS
        return any(p.has_duty and p.received_at > since for p in self.peers.values())

    def peer_loads(self) -> dict[str, ChainLoad]:
        """
        Sum up what peers have in progress.

        :return: loads by id of the first server.
        """
        since = self.clock() - LOAD_EXPIRY_SECONDS
        total: dict[str, ChainLoad] = {}
        for peer in self.peers.values():
            if peer.received_at < since:
                continue
            for name, load in peer.loads.items():
                total[name] = total.get(name, ChainLoad()).plus(load)
        return total

    # asyncio.DatagramProtocol

    def datagram_received(self, data, sender):
        """Take a peer's word."""
        try:
            word = _decoder.decode(data)
        except msgspec.MsgspecError as error:
            logger.warning("a datagram of {} cannot be read: {}", sender, error)
            return
        if word.incarnation == self.incarnation:
            return
        if word.address not in self.peers:
            logger.info("peer {} found", word.address)
        self._apply(word)

    def error_received(self, error):
        """Ignore that a peer's port is closed: it may come back."""

    def _apply(self, word: GossipMessage) -> None:
        now = self.clock()
        loads = {
            load.server: ChainLoad(tokens=load.tokens, requests=load.requests)
            for load in word.loads
        }
        self.addresses.add(word.address)
        known = self.peers.get(word.address)
        lives = known.incarnations if known else set()
        lives.add(word.incarnation)
        if word.incarnation < max(lives):
            return
        self.peers[word.address] = _Peer(
            incarnation=word.incarnation,
            incarnations=lives,
            received_at=now,
            loads=loads,
            has_duty=word.has_duty,
        )
        for mark in word.health:
            self.fleet.update_health(
                mark.server,
                HealthStatus(
                    incarnation=mark.incarnation,
                    down=mark.down,
                    observed_at=now - mark.age,
                    reason=mark.reason,
                    ended=mark.ended,
                    refuses_work=mark.refuses_work,
                ),
            )
        for held in word.layer_reports:
            layers = LayerRange(start=held.start, stop=held.stop)
            self.fleet.update_layers(
                held.server,
                LayerReport(
                    incarnation=held.incarnation,
                    layers=layers,
                    sequence=held.sequence,
                    busy=held.busy,
                    reported_at=now - held.age,
                    loaded=held.loaded,
                ),
            )
        for leaving in word.leaving_servers:
            self.fleet.mark_leaving(leaving.server, leaving.incarnation)
        for slow in word.slowdowns:
            self.fleet.update_slowdown(
                slow.server, slow.incarnation, slow.factor, now - slow.age
            )
        self.on_message(word)

    def _send(self, max_targets: int) -> None:
        data = _encoder.encode(self._build_message())
        if len(data) > MAX_DATAGRAM_BYTES:
            logger.warning("a word of {} bytes is too long for peers", len(data))
            return
        targets = list(self.addresses)
        # Who holds a duty tells all: its silence would have the duty taken from it.
        if len(targets) > max_targets and not self.has_duty():
            targets = random.sample(targets, max_targets)
        for target in targets:
            host, _, port = target.rpartition(":")
            self.transport.sendto(data, (host, int(port)))
        self.sent_bytes += len(data) * len(targets)

    def _build_message(self) -> GossipMessage:
        now = self.clock()
        fleet = self.fleet
        return GossipMessage(
            incarnation=self.incarnation,
            address=self.address,
            revision=self.revision(),
            loads=tuple(
                _Load(server=name, tokens=int(load.tokens), requests=load.requests)
                for name, load in self.own_loads().items()
            ),
            health=tuple(
                _ServerHealth(
                    server=name,
                    incarnation=mark.incarnation,
                    down=mark.down,
                    age=now - mark.observed_at,
                    reason=mark.reason[:80],
                    ended=mark.ended,
                    refuses_work=mark.refuses_work,
                )
                for name, mark in fleet.health.items()
                if now - mark.observed_at < REPEAT_SECONDS or mark.down
            ),
            layer_reports=tuple(
                _LayerReport(
                    server=name,
                    incarnation=held.incarnation,
                    start=held.layers.start,
                    stop=held.layers.stop,
                    sequence=held.sequence,
                    busy=held.busy,
                    age=now - held.reported_at,
                    loaded=held.loaded,
                )
                for name, held in fleet.layer_reports.items()
            ),
            leaving_servers=tuple(
                _LeavingServer(server=server.id, incarnation=server.incarnation)
                for server in fleet.servers.values()
                if not fleet.is_up(server) and server.state.value == "leaving"
            ),
            slowdowns=tuple(
                _Slowdown(
                    server=name,
                    incarnation=note.incarnation,
                    factor=note.factor,
                    age=now - note.observed_at,
                )
                for name, note in fleet.slowdowns.items()
                if note.is_recent(now, REPEAT_SECONDS)
            ),
            freshness=self.freshness(),
            has_duty=self.has_duty(),
        )
