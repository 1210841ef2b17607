"""
Exchanges state between entries in UDP datagrams.

Entries tell each other about their load, about the health of servers, and about the age
of their copies of the store's data. A datagram may be lost or late, so each one carries
all recent observations of its sender and makes up for those before it.
"""

import asyncio
import functools
import random
import time
from collections.abc import Callable

import msgspec
from loguru import logger

from kumquatway_core.decoding import Age, Amount, Count, ItemwiseDecoder, Layer
from kumquatway_core.exceptions import InvalidData
from kumquatway_gateway.chains import ChainLoad
from kumquatway_gateway.fleet import Fleet, HealthStatus
from kumquatway_gateway.limits import NamedLimit, is_permit_message
from kumquatway_gateway.model import LayerRange, LayerReport, parse_address
from kumquatway_gateway.peers._lateness import Lateness
from kumquatway_gateway.quarantine import (
    MAX_FEATURE_LENGTH,
    BlockState,
    Crash,
    Quarantine,
    Suspect,
)

SEND_PERIOD_SECONDS = 0.25
MIN_SEND_INTERVAL_SECONDS = 0.05  # between messages, also when more are requested
LOAD_EXPIRY_SECONDS = 1.5  # a peer's last reported load is ignored after this time
PEER_FAILURE_SECONDS = 1.6  # six messages missed; the peer's lease may be taken over
# Between two rounds of `Gossip.run`, after which the messages in between wait unread.
HELD_UP_SECONDS = 1.0
PEER_EXPIRY_SECONDS = 8.0  # a peer is not counted after this time without a message
MISSED_INTERVALS = 4.0  # mean times between messages; 1 in 50 of live peers
REPEAT_SECONDS = 6.0  # an observation is repeated in messages for this time
MAX_TARGETS = 8  # peers that a periodic message is sent to, chosen at random
MAX_URGENT_TARGETS = 40  # peers that a message requested with `send_soon` is sent to
MAX_DATAGRAM_BYTES = 60_000
# Of crashes and blocks, messages hold little, so that they stay within 16 KB/s at 380
# entries. A crash is repeated in eight messages.
CRASH_REPEAT_SECONDS = 2.0
MAX_CRASHES = 4  # in a message, the newest ones
MAX_CRASH_SUSPECTS = 3  # of a crash in a message
MAX_SUSPECT_FEATURES = 4  # of a suspect in a message
MAX_SURVIVORS = 4  # features of suspects in a message that got through nevertheless
# Share of the messages that repeat an older crash, for peers that were cut off or have
# started since.
OLD_CRASH_SHARE = 0.25
UNKNOWN_SECONDS = 1.0  # of a suspect of which an older version tells
# Values of `_Suspect.weight`.
BEGINNING_WEIGHT = 2
OTHER_WEIGHT = 1
MAX_BLOCKS = 3  # in a message
# Of what messages may name; a faulty peer names something else in each.
MAX_PEERS = 4096
MAX_INCARNATIONS = 64  # of a peer, the newest ones
MAX_ATTEMPT_LENGTH = 256  # characters
MAX_LIMITS = 2  # of servers in a message, chosen at random


class _Load(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    server: str
    tokens: Count
    requests: Count


class _ServerHealth(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    server: str
    incarnation: Count
    down: bool
    age: Age
    reason: str
    ended: bool = False
    refuses_work: bool = False


class _LayerReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    server: str
    incarnation: Count
    start: Layer
    stop: Layer
    sequence: Count
    busy: bool
    age: Age
    loaded: Count = 0


class _Slowdown(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    server: str
    incarnation: Count
    factor: Amount
    age: Age


class _Limit(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    server: str
    incarnation: Count
    rate: Amount | None
    age: Age


class _LeavingServer(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    server: str
    incarnation: Count


class _Suspect(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    features: tuple[str, ...]
    weight: Count
    seconds: Age = UNKNOWN_SECONDS
    attempt: str = ""


class _Crash(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    server: str
    incarnation: Count
    age: Age
    suspects: tuple[_Suspect, ...]


class _Block(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    features: tuple[str, ...]
    age: Age
    stored: bool = True  # read by older versions only
    version: Count = 1
    trials: Count = 0
    lifted: bool = False


class Freshness(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    Ages of an entry's copies of the store's data.

    Peers need not read the store while a copy is recent enough.

    :param configuration_age: seconds since the configuration was confirmed as the
        newest.
    :param servers_digest: digest of the list of servers, see `digest_servers`.
    :param servers_age: seconds since the list was read from the store.
    :param grace: seconds for which servers that the list lacks are kept after an outage
        of the store, for older versions.
    :param document_bytes: size of the configuration document, bytes.
    :param listed_at: when the store had the list of servers, by its clock, seconds; 0
        if unknown.
    :param generation: generation of the store that the list is from, 0 if unknown.
    :param gap: start and end of the last time for which the sender knows no list, by
        the store's clock, seconds; None if servers that the list lacks are not kept.
    :param followed_since: time since which the sender's lists follow each other without
        a gap, by the store's clock, seconds; 0 if unknown.
    :param configuration_at: when the store had no newer configuration, by its clock,
        seconds; 0 if unknown.
    :param configuration_generation: generation of the store at that time, 0 if unknown.
    """

    configuration_age: Age
    servers_digest: int
    servers_age: Age
    grace: Amount = 0.0
    document_bytes: Count = 0
    listed_at: Amount = 0.0
    generation: Count = 0
    gap: tuple[Amount, Amount] | None = None
    followed_since: Amount = 0.0
    configuration_at: Amount = 0.0
    configuration_generation: Count = 0


class GossipMessage(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    The state that an entry sends to its peers.

    Times are sent as ages, in seconds.

    :param incarnation: incarnation of the sender's process.
    :param address: the sender's address for peers, `host:port`.
    :param revision: revision of the configuration that the sender uses.
    :param loads: the sender's requests in progress, by first server of the chain.
    :param health: servers that are down, and servers whose health changed recently.
    :param layer_reports: the layers that servers last reported.
    :param leaving_servers: servers that are shutting down.
    :param slowdowns: servers that are, or recently were, slower than usual.
    :param freshness: ages of the sender's copies of the store's data.
    :param has_duty: whether the sender holds the placement lease.
    :param reissued_in: generation of the store in which it gave out a revision again
        that the sender or a peer had, or 0.
    :param crashes: recent crashes, with the requests in progress at them; also those
        that the sender heard of.
    :param survivors: features of suspects that got through, for older versions.
    :param blocks: some of the sets of features whose requests reach no server, or did
        not until lately.
    :param limits: some of the request rates that servers take, and limits that ended.
    :param survived: features of suspects that got through at the sender or its peers,
        and the seconds since then.
    :param back_in: time until the sender serves new requests, seconds: 0 unless it
        stops, and starts again then.
    :param sent_at: monotonic seconds of the sender, 0 if unknown.
    """

    incarnation: Count
    address: str
    revision: Count
    loads: tuple[_Load, ...]
    health: tuple[_ServerHealth, ...]
    layer_reports: tuple[_LayerReport, ...]
    leaving_servers: tuple[_LeavingServer, ...]
    slowdowns: tuple[_Slowdown, ...] = ()
    freshness: Freshness | None = None
    has_duty: bool = False
    reissued_in: Count = 0
    crashes: tuple[_Crash, ...] = ()
    blocks: tuple[_Block, ...] = ()
    survivors: dict[str, Count] = {}
    limits: tuple[_Limit, ...] = ()
    survived: dict[str, Age] = {}
    back_in: Amount = 0.0
    sent_at: Amount = 0.0


class _Peer(msgspec.Struct, kw_only=True):
    incarnation: int
    incarnations: set[int]
    received_at: float
    loads: dict[str, ChainLoad]
    has_duty: bool
    back_in: float
    lateness: Lateness


_encoder = msgspec.msgpack.Encoder()
_decoder = ItemwiseDecoder(GossipMessage, codec=msgspec.msgpack)


def _log_invalid(sender: object, field: str, error: InvalidData) -> None:
    logger.warning(
        "ignored an invalid part of {} in a gossip message from {}: {}",
        field,
        sender,
        error,
    )


def _valid_features(features: tuple[str, ...]) -> frozenset[str]:
    """Return the features of a peer that may be those of requests."""
    return frozenset(f for f in features if len(f) <= MAX_FEATURE_LENGTH)


def _with_age(message: GossipMessage, late: float) -> GossipMessage:
    """Return a message whose copies are older by the time for which it was late."""
    freshness = message.freshness
    if not late or freshness is None:
        return message
    aged = msgspec.structs.replace(
        freshness,
        configuration_age=freshness.configuration_age + late,
        servers_age=freshness.servers_age + late,
    )
    return msgspec.structs.replace(message, freshness=aged)


class Gossip(asyncio.DatagramProtocol):
    """
    Sends this entry's state to its peers and receives theirs.

    :param address: address of this entry for datagrams, `host:port`.
    :param incarnation: incarnation of this process.
    :param fleet: source of the observations to send; updated with those received.
    :param quarantine: crashes and blocked requests to tell of; updated likewise.
    :param own_loads: returns this entry's requests in progress, by first server of the
        chain.
    :param revision: returns the revision of the configuration that this entry uses.
    :param freshness: returns the ages of this entry's copies of the store's data.
    :param on_message: called with each message.
    :param clock: returns monotonic seconds.
    """

    def __init__(
        self,
        *,
        address: str,
        incarnation: int,
        fleet: Fleet,
        quarantine: Quarantine,
        own_loads: Callable[[], dict[str, ChainLoad]],
        revision: Callable[[], int],
        freshness: Callable[[], Freshness],
        on_message: Callable[[GossipMessage], None],
        clock: Callable[[], float] = time.monotonic,
    ):
        self.address = address
        self.incarnation = incarnation
        self.fleet = fleet
        self.quarantine = quarantine
        self.own_loads = own_loads
        self.revision = revision
        self.freshness = freshness
        self.on_message = on_message
        self.clock = clock
        self.started_at = clock()
        self.ran_at: float | None = None  # last round of `run`
        self.listening_since = float("-inf")  # without a long pause between rounds
        self.addresses: set[str] = set()
        self.peers: dict[str, _Peer] = {}
        self.transport: asyncio.DatagramTransport | None = None
        self.has_duty: Callable[[], bool] = lambda: False
        self.reissued_in: Callable[[], int] = lambda: 0
        self.back_in: Callable[[], float] = lambda: 0.0
        self.sent_bytes = 0
        self._send_requested = asyncio.Event()

    async def run(self) -> None:
        """Send messages periodically and on request, until cancelled."""
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, int(port))
        )
        try:
            while True:
                self._record_round()
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

    def _record_round(self) -> None:
        if self._is_held_up():
            self.listening_since = self.clock()
        self.ran_at = self.clock()

    def _is_held_up(self) -> bool:
        return self.ran_at is not None and self.clock() - self.ran_at > HELD_UP_SECONDS

    def send_soon(self) -> None:
        """
        Send a message now, or once the minimum interval since the last one has passed.

        Load pattern: a server fails, and all entries learn of it. Only the entries that
        observed the failure themselves send a message at once. If received observations
        were also passed on at once, each change would cost a message from every entry
        to every other one.
        """
        self._send_requested.set()

    def set_addresses(self, addresses: set[str]) -> None:
        """
        Set the addresses of the peers.

        :param addresses: addresses of all entries, `host:port`; this entry's own one is
            left out.
        """
        invalid = {peer for peer in addresses if parse_address(peer) is None}
        if invalid:
            logger.warning("ignored invalid addresses of peers: {}", sorted(invalid))
        self.addresses = addresses - invalid - {self.address}

    def send_to(self, address: str, data: bytes) -> None:
        """
        Send a message to one peer; it may get lost.

        :param address: address of the peer, `host:port`.
        :param data: the message.
        """
        target = parse_address(address)
        if target is None or self.transport is None:
            return
        self.transport.sendto(data, target)
        self.sent_bytes += len(data)

    def live_peers(self) -> list[str]:
        """
        Return the peers that recently sent a message.

        :return: the addresses of the peers.
        """
        since = self.clock() - PEER_EXPIRY_SECONDS
        return [name for name, peer in self.peers.items() if peer.received_at > since]

    def count_entries(self) -> int:
        """
        Count the entries that run, for what all of them share in equal parts.

        Load pattern: hundreds of entries, each of which hears another one every ten
        seconds or so; or all entries start at once, and have heard none yet. An entry
        that counts too few takes more than its part.

        :return: this entry and the peers, as long as several messages of theirs may
            have been missed; all known ones until then.
        """
        interval = SEND_PERIOD_SECONDS * len(self.addresses) / MAX_TARGETS
        silence = max(PEER_EXPIRY_SECONDS, MISSED_INTERVALS * interval)
        if self.clock() - self.started_at < silence:
            return 1 + max(len(self.addresses), len(self.peers))
        since = self.clock() - silence
        return 1 + sum(peer.received_at > since for peer in self.peers.values())

    def is_gone(self, incarnation: int) -> bool:
        """
        Return whether a peer's process has ended or is no longer sending messages.

        Load pattern: this entry gets no processor for seconds, and has heard nobody
        since, as the messages wait for it.

        :param incarnation: incarnation of the peer's process.
        :return: True if a newer incarnation uses the same address, or if several
            messages in a row were missed; False for an unknown incarnation. If several
            peers have the incarnation, True if that holds for all of them.
        """
        since = self.clock() - PEER_FAILURE_SECONDS
        has_listened = self.listening_since < since and not self._is_held_up()
        peers = [p for p in self.peers.values() if incarnation in p.incarnations]
        return bool(peers) and all(
            peer.incarnation != incarnation
            or (has_listened and peer.received_at < since)
            for peer in peers
        )

    def is_lease_held_by_peer(self) -> bool:
        """
        Return whether a peer reports that it holds the placement lease.

        :return: True if the last message of a peer says so and is recent; False once
            several messages in a row were missed from that peer.
        """
        since = self.clock() - PEER_FAILURE_SECONDS
        return any(
            peer.has_duty and peer.received_at > since for peer in self.peers.values()
        )

    def peer_returns(self) -> list[float]:
        """
        Return when each peer serves new requests.

        :return: seconds, 0 for a peer that serves now. Left out are peers that fell
            silent without a notice, or are not back long after they should be.
        """
        now = self.clock()
        returns = []
        for peer in self.peers.values():
            silence = now - peer.received_at
            if peer.back_in and silence < peer.back_in + PEER_EXPIRY_SECONDS:
                returns.append(max(SEND_PERIOD_SECONDS, peer.back_in - silence))
            elif not peer.back_in and silence < PEER_FAILURE_SECONDS:
                returns.append(0.0)
        return returns

    def peer_loads(self) -> dict[str, ChainLoad]:
        """
        Estimate the total load of the peers.

        Load pattern: tens of entries, each of which sends to a few others at a time. At
        any moment a part of the peers was not heard recently. Without their loads the
        chains look emptier than they are, and refuse what is sent to them for want of
        memory. So the others' loads stand for them too.

        :return: load by ID of the first server of the chain.
        """
        since = self.clock() - LOAD_EXPIRY_SECONDS
        recent = [peer for peer in self.peers.values() if peer.received_at >= since]
        total: dict[str, ChainLoad] = {}
        for peer in recent:
            for name, load in peer.loads.items():
                total[name] = total.get(name, ChainLoad()).plus(load)
        factor = self._sending_peers() / len(recent) if recent else 1.0
        return {name: load.scaled(factor) for name, load in total.items()}

    def _sending_peers(self) -> int:
        """
        Count the peers that still send, by how rarely each of them is heard.

        Load pattern: a few entries hear each other all the time, and some of them stop.
        Their requests have ended, and no other load stands for them.
        """
        mean_interval = SEND_PERIOD_SECONDS * len(self.live_peers()) / MAX_TARGETS
        silence = max(LOAD_EXPIRY_SECONDS, MISSED_INTERVALS * mean_interval)
        since = self.clock() - silence
        return sum(peer.received_at >= since for peer in self.peers.values())

    # asyncio.DatagramProtocol

    def datagram_received(self, data, sender):
        """Decode and apply a peer's message."""
        if is_permit_message(data):
            self.fleet.permits.receive(data)
            return
        try:
            message = _decoder.decode(data, functools.partial(_log_invalid, sender))
        except InvalidData as error:
            logger.warning(
                "ignored an invalid gossip datagram from {}: {}", sender, error
            )
            return
        if parse_address(message.address) is None:
            logger.warning(
                "ignored a gossip message from {}: {!r} is not an address",
                sender,
                message.address,
            )
            return
        # Entries that start in the same microsecond have equal incarnations.
        if message.address == self.address:
            return
        if message.address not in self.peers:
            logger.info("discovered peer {}", message.address)
        self._apply(message)

    def error_received(self, error):
        """Ignore a peer's closed port: the peer may come back."""

    def _apply(self, message: GossipMessage) -> None:
        now = self.clock()
        loads = {
            load.server: ChainLoad(tokens=load.tokens, requests=load.requests)
            for load in message.loads
            if load.server in self.fleet.servers
        }
        if len(self.addresses) < MAX_PEERS:
            self.addresses.add(message.address)
        self.fleet.permits.ranking.record_alive(message.address)
        previous = self.peers.get(message.address)
        incarnations = previous.incarnations if previous else set()
        incarnations.add(message.incarnation)
        if len(incarnations) > MAX_INCARNATIONS:
            incarnations.discard(min(incarnations))
        if message.incarnation < max(incarnations):
            return
        is_known = previous is not None and previous.incarnation == message.incarnation
        lateness = previous.lateness if is_known else Lateness()
        late = lateness.measure(message.sent_at, now)
        self.peers[message.address] = _Peer(
            incarnation=message.incarnation,
            incarnations=incarnations,
            received_at=now,
            loads=loads,
            has_duty=message.has_duty,
            back_in=message.back_in,
            lateness=lateness,
        )
        if len(self.peers) > MAX_PEERS:
            del self.peers[min(self.peers, key=self._last_heard)]
        self._apply_observations(message, now - late)
        self._apply_crashes(message, late)
        self.on_message(_with_age(message, late))

    def _apply_observations(self, message: GossipMessage, due_at: float) -> None:
        """
        Tell the fleet what a peer knows of servers.

        Load pattern: a process gets no processor, or a link holds datagrams back, for
        seconds. What they say of servers is then as old, and may be over.

        :param due_at: when the message would have arrived without that, monotonic
            seconds.
        """
        for status in message.health:
            self.fleet.update_health(
                status.server,
                HealthStatus(
                    incarnation=status.incarnation,
                    down=status.down,
                    observed_at=due_at - status.age,
                    reason=status.reason,
                    ended=status.ended,
                    refuses_work=status.refuses_work,
                ),
                is_copy=True,
            )
        for report in message.layer_reports:
            layers = LayerRange(start=report.start, stop=report.stop)
            self.fleet.update_layers(
                report.server,
                LayerReport(
                    incarnation=report.incarnation,
                    layers=layers,
                    sequence=report.sequence,
                    busy=report.busy,
                    reported_at=due_at - report.age,
                    loaded=report.loaded,
                ),
                is_copy=True,
            )
        for leaving in message.leaving_servers:
            self.fleet.mark_leaving(leaving.server, leaving.incarnation)
        for slowdown in message.slowdowns:
            self.fleet.update_slowdown(
                slowdown.server,
                slowdown.incarnation,
                slowdown.factor,
                due_at - slowdown.age,
                is_copy=True,
            )
        for limit in message.limits:
            self.fleet.update_limit(
                limit.server,
                NamedLimit(
                    incarnation=limit.incarnation,
                    rate=limit.rate,
                    observed_at=due_at - limit.age,
                ),
            )

    def _last_heard(self, address: str) -> float:
        return self.peers[address].received_at

    def _apply_crashes(self, message: GossipMessage, late: float) -> None:
        now = self.clock()
        for crash in message.crashes:
            suspects = [
                Suspect(
                    features=_valid_features(s.features),
                    seconds=s.seconds,
                    beginning=s.weight >= BEGINNING_WEIGHT,
                    attempt=s.attempt if len(s.attempt) <= MAX_ATTEMPT_LENGTH else "",
                )
                for s in crash.suspects
            ]
            server = (crash.server, crash.incarnation)
            self.quarantine.receive_crash(server, suspects, crash.age + late)
        for block in message.blocks:
            state = BlockState(
                version=block.version,
                trials=block.trials,
                lifted=block.lifted,
                changed_at=now - block.age - late,
            )
            features = _valid_features(block.features)
            if len(features) == len(set(block.features)):  # fewer would block more
                self.quarantine.receive_block(features, state)
        self.quarantine.receive_survivals(
            {feature: age + late for feature, age in message.survived.items()}
        )

    def _send(self, max_targets: int) -> None:
        data = _encoder.encode(self._build_message())
        if len(data) > MAX_DATAGRAM_BYTES:
            logger.warning(
                "gossip message not sent: {} bytes, the limit is {}",
                len(data),
                MAX_DATAGRAM_BYTES,
            )
            return
        targets = list(self.addresses)
        # The lease holder sends to all peers: one that misses its messages would have
        # the lease taken over.
        if len(targets) > max_targets and not self.has_duty():
            targets = random.sample(targets, max_targets)
        for target in targets:
            self.transport.sendto(data, parse_address(target))
        self.sent_bytes += len(data) * len(targets)

    def _choose_suspects(self, crash: Crash) -> tuple[_Suspect, ...]:
        """
        Choose some suspects of a crash: the most telling ones, and one at random.

        Which of them return is not known yet.
        """
        evidence = self.quarantine.evidence
        ranked = sorted(crash.suspects.values(), key=evidence.interest, reverse=True)
        suspects = ranked[: MAX_CRASH_SUSPECTS - 1]
        if len(ranked) > len(suspects):
            suspects.append(random.choice(ranked[len(suspects) :]))
        return tuple(
            _Suspect(
                features=tuple(
                    evidence.most_suspect(suspect.features, MAX_SUSPECT_FEATURES)
                ),
                weight=BEGINNING_WEIGHT if suspect.beginning else OTHER_WEIGHT,
                seconds=round(suspect.seconds, 3),
                attempt=suspect.attempt,
            )
            for suspect in suspects
        )

    def _choose_crashes(self) -> list:
        """Choose the newest crashes, and at times one that a peer may have missed."""
        crashes = self.quarantine.recent_crashes(CRASH_REPEAT_SECONDS)[:MAX_CRASHES]
        if not crashes and random.random() < OLD_CRASH_SHARE:
            return self.quarantine.sample_crashes()
        return crashes

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
                    incarnation=status.incarnation,
                    down=status.down,
                    age=now - status.observed_at,
                    reason=status.reason[:80],
                    ended=status.ended,
                    refuses_work=status.refuses_work,
                )
                for name, status in fleet.health.items()
                if now - status.observed_at < REPEAT_SECONDS or status.down
            ),
            layer_reports=tuple(
                _LayerReport(
                    server=name,
                    incarnation=report.incarnation,
                    start=report.layers.start,
                    stop=report.layers.stop,
                    sequence=report.sequence,
                    busy=report.busy,
                    age=now - report.reported_at,
                    loaded=report.loaded,
                )
                for name, report in fleet.layer_reports.items()
            ),
            leaving_servers=tuple(
                _LeavingServer(server=server.id, incarnation=server.incarnation)
                for server in fleet.servers.values()
                if fleet.is_leaving(server)
            ),
            slowdowns=tuple(
                _Slowdown(
                    server=name,
                    incarnation=slowdown.incarnation,
                    factor=slowdown.factor,
                    age=now - slowdown.observed_at,
                )
                for name, slowdown in fleet.slowdowns.items()
                if slowdown.is_recent(now, REPEAT_SECONDS)
            ),
            freshness=self.freshness(),
            has_duty=self.has_duty(),
            reissued_in=self.reissued_in(),
            crashes=tuple(
                _Crash(
                    server=server_id,
                    incarnation=incarnation,
                    age=now - crash.seen_at,
                    suspects=self._choose_suspects(crash),
                )
                for (server_id, incarnation), crash in self._choose_crashes()
            ),
            blocks=tuple(
                _Block(
                    features=tuple(names),
                    age=now - state.changed_at,
                    version=state.version,
                    trials=state.trials,
                    lifted=state.lifted,
                )
                for names, state in self.quarantine.blocks.sample(MAX_BLOCKS)
            ),
            survived=self.quarantine.evidence.surviving_suspects(MAX_SURVIVORS),
            limits=tuple(
                _Limit(
                    server=name,
                    incarnation=limit.incarnation,
                    rate=limit.rate,
                    age=now - limit.observed_at,
                )
                for name, limit in fleet.limits.sample(MAX_LIMITS)
            ),
            back_in=self.back_in(),
            sent_at=now,
        )
