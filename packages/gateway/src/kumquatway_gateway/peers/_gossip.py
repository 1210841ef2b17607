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

PERIOD_SECONDS = 0.25
LEAST_PERIOD_SECONDS = 0.05  # between words, however much happens
FRESH_SECONDS = 1.5  # after which a peer's word on its load no longer counts
SILENT_SECONDS = 1.6  # six words missed, after which a peer's duty may be taken
PEER_SECONDS = 8.0  # without a word, after which a peer is no longer counted
TELL_SECONDS = 6.0  # for which a mark or a report is repeated
MAX_PEERS = 8  # told in one period, drawn anew each time
MAX_HURRIED = 40  # told of what was just seen here
MAX_DATAGRAM = 60_000  # bytes


class _Load(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    server: str
    tokens: int
    requests: int


class _Mark(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    server: str
    born: int
    down: bool
    age: float
    reason: str
    ended: bool = False
    refuses: bool = False


class _Held(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    server: str
    born: int
    start: int
    stop: int
    sequence: int
    busy: bool
    age: float
    loaded: int = 0


class _Slow(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    server: str
    born: int
    pace: float
    age: float


class _Leaving(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    server: str
    born: int


class Freshness(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    How new an entry's copy of the store is, so that its peers need not ask as well.

    :param confirmed: seconds since its configuration was known to be the newest.
    :param stamp: of its list of servers, as `stamp_servers` gives it.
    :param read: seconds since the store had that list.
    :param grace: seconds for which entries that lapsed with the store stay listed.
    :param document: size of its configuration, bytes.
    """

    confirmed: float
    stamp: int
    read: float
    grace: float = 0.0
    document: int = 0


class Word(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    What an entry tells its peers.

    :param life: id of the sender's process.
    :param address: where its peers reach it.
    :param revision: of the configuration in force there.
    :param fresh: how new the sender's copy of the store is.
    :param has_duty: whether the sender holds the lease of the placement.
    """

    life: int
    address: str
    revision: int
    loads: tuple[_Load, ...]
    marks: tuple[_Mark, ...]
    held: tuple[_Held, ...]
    leaving: tuple[_Leaving, ...]
    slow: tuple[_Slow, ...] = ()
    fresh: Freshness | None = None
    has_duty: bool = False


class _Peer(msgspec.Struct, kw_only=True):
    life: int
    lives: set[int]
    heard: float
    loads: dict[str, ChainLoad]
    has_duty: bool


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Word)


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
        life: int,
        fleet: Fleet,
        own_loads: Callable[[], dict[str, ChainLoad]],
        revision: Callable[[], int],
        fresh: Callable[[], Freshness],
        heard: Callable[[Word], None],
        clock: Callable[[], float] = time.monotonic,
    ):
        self.address = address
        self.life = life
        self.fleet = fleet
        self.own_loads = own_loads
        self.revision = revision
        self.fresh = fresh
        self.heard = heard
        self.clock = clock
        self.addresses: set[str] = set()
        self.peers: dict[str, _Peer] = {}
        self.transport: asyncio.DatagramTransport | None = None
        self.has_duty: Callable[[], bool] = lambda: False
        self.sent_bytes = 0
        self._hurry = asyncio.Event()

    async def run(self) -> None:
        """Tell the peers, often and at each change of a mark, for ever."""
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, int(port))
        )
        try:
            while True:
                self._tell(MAX_HURRIED if self._hurry.is_set() else MAX_PEERS)
                self._hurry.clear()
                await asyncio.sleep(LEAST_PERIOD_SECONDS)
                try:
                    async with asyncio.timeout(PERIOD_SECONDS - LEAST_PERIOD_SECONDS):
                        await self._hurry.wait()
                except TimeoutError:
                    continue
        finally:
            self.transport.close()

    def hurry(self) -> None:
        """
        Tell the peers at once, or soon after the last word.

        Load pattern: a server goes, and all entries hear of it. Only who saw it tells
        of it at once: were it passed on at once as well, each change would cost a word
        from every entry to every other.
        """
        self._hurry.set()

    def know(self, addresses: set[str]) -> None:
        """
        Take the addresses of all entries.

        :param addresses: `host:port`, this entry's own may be among them.
        """
        self.addresses = {one for one in addresses if one != self.address}

    def live(self) -> list[str]:
        """
        Give the peers heard lately.

        :return: their addresses.
        """
        since = self.clock() - PEER_SECONDS
        return [name for name, peer in self.peers.items() if peer.heard > since]

    def is_gone(self, life: int) -> bool:
        """
        Tell whether a peer's life has ended, or is silent.

        :param life: id of its process.
        :return: True if its address has a newer life, or was silent for several words.
        """
        now = self.clock()
        for peer in self.peers.values():
            if life in peer.lives:
                return peer.life != life or now - peer.heard > SILENT_SECONDS
        return False

    def is_duty_held(self) -> bool:
        """
        Tell whether a peer said lately that it holds the lease.

        :return: False once it is silent for several words.
        """
        since = self.clock() - SILENT_SECONDS
        return any(p.has_duty and p.heard > since for p in self.peers.values())

    def loads(self) -> dict[str, ChainLoad]:
        """
        Sum up what peers have in progress.

        :return: loads by id of the first server.
        """
        since = self.clock() - FRESH_SECONDS
        total: dict[str, ChainLoad] = {}
        for peer in self.peers.values():
            if peer.heard < since:
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
        if word.life == self.life:
            return
        if word.address not in self.peers:
            logger.info("peer {} found", word.address)
        self._take(word)

    def error_received(self, error):
        """Ignore that a peer's port is closed: it may come back."""

    def _take(self, word: Word) -> None:
        now = self.clock()
        loads = {
            load.server: ChainLoad(tokens=load.tokens, requests=load.requests)
            for load in word.loads
        }
        self.addresses.add(word.address)
        known = self.peers.get(word.address)
        lives = known.lives if known else set()
        lives.add(word.life)
        if word.life < max(lives):
            return
        self.peers[word.address] = _Peer(
            life=word.life,
            lives=lives,
            heard=now,
            loads=loads,
            has_duty=word.has_duty,
        )
        for mark in word.marks:
            self.fleet.update_health(
                mark.server,
                HealthStatus(
                    incarnation=mark.born,
                    down=mark.down,
                    observed_at=now - mark.age,
                    reason=mark.reason,
                    ended=mark.ended,
                    refuses_work=mark.refuses,
                ),
            )
        for held in word.held:
            layers = LayerRange(start=held.start, stop=held.stop)
            self.fleet.update_layers(
                held.server,
                LayerReport(
                    incarnation=held.born,
                    layers=layers,
                    sequence=held.sequence,
                    busy=held.busy,
                    reported_at=now - held.age,
                    loaded=held.loaded,
                ),
            )
        for leaving in word.leaving:
            self.fleet.mark_leaving(leaving.server, leaving.born)
        for slow in word.slow:
            self.fleet.update_slowdown(
                slow.server, slow.born, slow.pace, now - slow.age
            )
        self.heard(word)

    def _tell(self, most: int) -> None:
        data = _encoder.encode(self._word())
        if len(data) > MAX_DATAGRAM:
            logger.warning("a word of {} bytes is too long for peers", len(data))
            return
        targets = list(self.addresses)
        # Who holds a duty tells all: its silence would have the duty taken from it.
        if len(targets) > most and not self.has_duty():
            targets = random.sample(targets, most)
        for target in targets:
            host, _, port = target.rpartition(":")
            self.transport.sendto(data, (host, int(port)))
        self.sent_bytes += len(data) * len(targets)

    def _word(self) -> Word:
        now = self.clock()
        fleet = self.fleet
        return Word(
            life=self.life,
            address=self.address,
            revision=self.revision(),
            loads=tuple(
                _Load(server=name, tokens=int(load.tokens), requests=load.requests)
                for name, load in self.own_loads().items()
            ),
            marks=tuple(
                _Mark(
                    server=name,
                    born=mark.incarnation,
                    down=mark.down,
                    age=now - mark.observed_at,
                    reason=mark.reason[:80],
                    ended=mark.ended,
                    refuses=mark.refuses_work,
                )
                for name, mark in fleet.health.items()
                if now - mark.observed_at < TELL_SECONDS or mark.down
            ),
            held=tuple(
                _Held(
                    server=name,
                    born=held.incarnation,
                    start=held.layers.start,
                    stop=held.layers.stop,
                    sequence=held.sequence,
                    busy=held.busy,
                    age=now - held.reported_at,
                    loaded=held.loaded,
                )
                for name, held in fleet.layer_reports.items()
            ),
            leaving=tuple(
                _Leaving(server=server.id, born=server.incarnation)
                for server in fleet.servers.values()
                if not fleet.is_up(server) and server.state.value == "leaving"
            ),
            slow=tuple(
                _Slow(
                    server=name,
                    born=note.incarnation,
                    pace=note.factor,
                    age=now - note.observed_at,
                )
                for name, note in fleet.slowdowns.items()
                if note.is_recent(now, TELL_SECONDS)
            ),
            fresh=self.fresh(),
            has_duty=self.has_duty(),
        )
