"""
Peer.

One task that sends to one address: connect, prove, send, and connect anew.
"""

import enum
import time
from collections import deque
from collections.abc import Callable

import anyio
import zmq
import zmq.asyncio
from loguru import logger

from kumquatway_core import Reason, Verdict, not_run
from kumquatway_core.exceptions import WireError
from kumquatway_core.mesh._connection import CLOSED_EVENTS, REFUSED_EVENTS, Connection
from kumquatway_core.mesh._heartbeats import (
    AckDelayEstimator,
    heartbeat_interval,
    silence_timeout,
)
from kumquatway_core.mesh._traffic import Traffic
from kumquatway_core.wire import (
    Ack,
    Beat,
    BeatReply,
    Message,
    Steps,
    decode,
    encode,
)

WINDOW_BYTES = 8 * 1024 * 1024  # bytes sent and not yet acknowledged
MAX_OUTBOX_BYTES = 64 * 1024 * 1024  # bytes waiting for the window
FIRST_REPLY_TIMEOUT = 0.15  # seconds for the first answer on a new connection
MAX_FIRST_REPLY_TIMEOUT = 2.0  # seconds
TIMER_TOLERANCE = 0.02  # seconds by which a timer of a busy process is off
LAG_WAIT_FACTOR = 4
STREAMING_WINDOW = 2.0  # seconds after a step
MIN_IDLE_HEARTBEAT_INTERVAL = 0.5  # seconds
ROUND_TRIP_GAIN = 0.2
UNSEQUENCED = 0


class PeerState(enum.StrEnum):
    """What is known of the other end."""

    CONNECTING = "connecting"
    UP = "up"
    DOWN = "down"


class OutgoingMessage:
    """
    A message on its way.

    :param message: what is sent.
    :param sequence: its place among the messages to this peer.
    """

    __slots__ = ("data", "message", "send_count", "sent_at", "sequence", "withdrawn")

    def __init__(self, *, message: Message, sequence: int):
        self.message = message
        self.sequence = sequence
        self.data = encode(message)
        self.send_count = 0
        self.sent_at = 0.0
        self.withdrawn = False

    @property
    def was_sent(self) -> bool:
        """
        Tell whether a byte of it may have left this process.

        :return: False before it is first sent.
        """
        return self.send_count > 0


class Peer:
    """
    The sending side of the connection to one address.

    :param context: of pyzmq.
    :param address: `host:port` of the other end.
    :param identity: this process's address and incarnation.
    :param peers: tells the number of open connections of the process.
    :param hot_peers: tells the number of those that streams depend on.
    :param hlc: reads the hybrid logical clock.
    :param on_state: called with the peer at each change of its state.
    :param on_lost: called with the peer and the messages that a new incarnation
        of the other end will never see.
    :param traffic: counts the messages.
    """

    def __init__(
        self,
        *,
        context: zmq.asyncio.Context,
        address: str,
        identity: str,
        count_peers: Callable[[], int],
        count_streaming_peers: Callable[[], int],
        hlc: Callable[[], int],
        on_state: Callable[["Peer"], None],
        on_lost: Callable[["Peer", list[Message]], None],
        clock: Callable[[], float] = time.monotonic,
        traffic: Traffic | None = None,
    ):
        self.traffic = traffic or Traffic()
        self.context = context
        self.address = address
        self.identity = identity
        self.count_peers = count_peers
        self.count_streaming_peers = count_streaming_peers
        self.hlc = hlc
        self.on_state = on_state
        self.on_lost = on_lost
        self.clock = clock
        self.state = PeerState.CONNECTING
        self.incarnation = 0
        self.connection_count = 0
        self.round_trip = 0.0
        self.last_used = clock()
        self.last_step_at = float("-inf")
        self._outbox: deque[OutgoingMessage] = deque()
        self._outbox_bytes = 0
        self._unacked: deque[OutgoingMessage] = deque()
        self._unacked_bytes = 0
        self._sequence = 0
        self._beats = 0
        self._beat_sent: dict[int, float] = {}
        self._heard = 0.0
        self._lag = 0.0
        self._ack_delay = AckDelayEstimator()
        self._wake = anyio.Event()
        self._awaited = anyio.Event()
        self._heated = anyio.Event()
        self._broken = anyio.Event()
        self._scope = anyio.CancelScope()

    def send(self, message: Message) -> OutgoingMessage | Verdict:
        """
        Put a message in the queue to this peer; it never blocks.

        :param message: what to send.
        :return: the parcel, or a verdict of `not_run` if the queue is full.
        """
        if self._outbox_bytes > MAX_OUTBOX_BYTES:
            return not_run(Reason.OVERLOADED, f"the queue to {self.address} is full")
        self._sequence += 1
        parcel = OutgoingMessage(message=message, sequence=self._sequence)
        self._outbox.append(parcel)
        self._outbox_bytes += len(parcel.data)
        self.last_used = self.clock()
        if isinstance(message, Steps):
            self._heat()
        self._wake.set()
        return parcel

    def continue_from(self, closed_peer: "Peer") -> None:
        """
        Go on counting where an earlier peer for the same address ended.

        The other end takes a sequence that it has seen for a repeat, and one
        identity for one connection.

        :param before: a peer that was closed.
        """
        self._sequence = closed_peer._sequence
        self.connection_count = closed_peer.connection_count

    def withdraw(self, parcel: OutgoingMessage) -> bool:
        """
        Take back a message that has not left this process.

        :param parcel: as returned by `send`.
        :return: True if no byte of it left, now or later.
        """
        if parcel.was_sent:
            return False
        parcel.withdrawn = True
        return True

    def is_streaming(self) -> bool:
        """
        Tell whether streams depend on this connection now.

        :return: True if a step was sent within the last `HOT_FOR` seconds.
        """
        return self.clock() - self.last_step_at < STREAMING_WINDOW

    def backlog(self) -> int:
        """
        Tell how much waits for this peer.

        :return: bytes not yet acknowledged.
        """
        return self._outbox_bytes + self._unacked_bytes

    def close(self) -> None:
        """Stop the peer's task."""
        self._scope.cancel()

    async def run(self) -> None:
        """Keep a proved connection until the peer is closed."""
        wait = FIRST_REPLY_TIMEOUT
        with self._scope:
            while True:
                if await self._live_once(wait):
                    wait = FIRST_REPLY_TIMEOUT
                    continue
                self._change(PeerState.DOWN)
                await anyio.sleep(wait)
                wait = min(wait * 2, MAX_FIRST_REPLY_TIMEOUT)

    async def _live_once(self, wait: float) -> bool:
        """
        Use one connection until it breaks.

        :return: whether it was ever proved.
        """
        self.connection_count += 1
        connection = self._connect()
        if connection is None:
            return False
        try:
            if not await self._prove(connection, wait):
                return False
            await self._serve(connection)
            return True
        except Exception as error:
            # One connection's failure must not end the connections to others.
            logger.opt(exception=error).error("a connection to {} failed", self.address)
            return False
        finally:
            connection.close()

    def _connect(self) -> Connection | None:
        """Open a connection; None for an address, told by a peer, that is none."""
        try:
            return Connection(
                context=self.context,
                address=self.address,
                identity=f"{self.identity}|{self.connection_count}",
                traffic=self.traffic,
            )
        except zmq.ZMQError as error:
            logger.warning("{!r} is no address: {}", self.address, error)
            return None

    async def _prove(self, connection: Connection, wait: float) -> bool:
        """Wait for the first answer, or for the address to refuse."""
        self._beat_sent.clear()
        proved = False
        with anyio.move_on_after(wait + 2 * self.round_trip):
            async with anyio.create_task_group() as group:
                group.start_soon(self._fail_if_refused, connection, group.cancel_scope)
                proved = await self._first_answer(connection)
                group.cancel_scope.cancel()
        return proved

    async def _first_answer(self, connection: Connection) -> bool:
        heard = self._heard
        await self._send_beat(connection)
        while self._heard == heard:
            self._take(await connection.receive())
        return True

    async def _fail_if_refused(
        self, connection: Connection, scope: anyio.CancelScope
    ) -> None:
        if self.incarnation == 0:
            # A process that was never there may be about to start.
            return
        await connection.wait_for_event(REFUSED_EVENTS)
        scope.cancel()

    async def _serve(self, connection: Connection) -> None:
        self._rewind()
        self._broken = anyio.Event()
        self._change(PeerState.UP)
        async with anyio.create_task_group() as group:
            group.start_soon(self._pump, connection)
            group.start_soon(self._hear, connection)
            group.start_soon(self._watch, connection)
            group.start_soon(self._guard)
            group.start_soon(self._beat, connection)
            await self._broken.wait()
            group.cancel_scope.cancel()

    def _rewind(self) -> None:
        """Send again what may not have arrived over the last connection."""
        while self._unacked:
            parcel = self._unacked.pop()
            self._unacked_bytes -= len(parcel.data)
            self._outbox.appendleft(parcel)
            self._outbox_bytes += len(parcel.data)

    async def _pump(self, connection: Connection) -> None:
        while True:
            while self._outbox and self._unacked_bytes < WINDOW_BYTES:
                await self._send_parcel(connection, self._outbox.popleft())
            self._wake = anyio.Event()
            await self._wake.wait()

    async def _send_parcel(
        self, connection: Connection, parcel: OutgoingMessage
    ) -> None:
        self._outbox_bytes -= len(parcel.data)
        if parcel.withdrawn:
            return
        parcel.send_count += 1
        parcel.sent_at = self.clock()
        self._unacked.append(parcel)
        self._unacked_bytes += len(parcel.data)
        self._awaited.set()
        await connection.send(parcel.sequence, parcel.data)

    async def _hear(self, connection: Connection) -> None:
        while True:
            self._take(await connection.receive())

    def _take(self, data: bytes) -> None:
        try:
            message = decode(data)
        except WireError as error:
            logger.warning("a bad answer from {}: {}", self.address, error)
            return
        if isinstance(message, BeatReply):
            self._take_reply(message)
        elif isinstance(message, Ack):
            self._take_ack(message)

    def _take_reply(self, reply: BeatReply) -> None:
        now = self.clock()
        self._heard = now
        sent = self._beat_sent.pop(reply.sequence, None)
        if sent is not None:
            self._smooth(now - sent)
        if reply.incarnation == self.incarnation:
            return
        known = self.incarnation
        self.incarnation = reply.incarnation
        if known:
            self._forget()

    def _smooth(self, sample: float) -> None:
        if self.round_trip:
            self.round_trip += ROUND_TRIP_GAIN * (sample - self.round_trip)
        else:
            self.round_trip = sample

    def _forget(self) -> None:
        """Drop what was sent to an incarnation that is gone."""
        lost = [parcel.message for parcel in self._unacked]
        self._unacked.clear()
        self._unacked_bytes = 0
        self.on_lost(self, lost)

    def _take_ack(self, ack: Ack) -> None:
        now = self.clock()
        self._heard = now
        if self._unacked and self._unacked[0].sequence <= ack.sequence:
            delay = now - self._unacked[0].sent_at
            self._ack_delay.add_sample(delay, self._unacked_bytes)
        while self._unacked and self._unacked[0].sequence <= ack.sequence:
            parcel = self._unacked.popleft()
            self._unacked_bytes -= len(parcel.data)
        self._wake.set()

    async def _watch(self, connection: Connection) -> None:
        """Notice at once that the other end closed the connection."""
        await connection.wait_for_event(CLOSED_EVENTS)
        self._broken.set()

    async def _guard(self) -> None:
        """Doubt a connection on which messages stay without acknowledgement."""
        while True:
            if not self._unacked:
                self._awaited = anyio.Event()
                await self._awaited.wait()
            oldest = self._unacked[0]
            late = oldest.sent_at + self._ack_delay.timeout(
                self._lag, self._unacked_bytes
            )
            before = self.clock()
            await anyio.sleep(max(late - before, 0))
            overslept = self.clock() - max(late, before)
            self._lag = max(overslept, self._lag / 2)
            if overslept > TIMER_TOLERANCE:
                # This process itself runs late; the answer may wait for its turn.
                await anyio.sleep(LAG_WAIT_FACTOR * overslept)
            waits = self._unacked and self._unacked[0] is oldest
            if waits:
                if self._ack_delay.record_timeout():
                    # Beats get through and data does not, or not in time.
                    self._change(PeerState.DOWN)
                self._broken.set()
                return

    def _heat(self) -> None:
        if not self.is_streaming():
            self._heated.set()
        self.last_step_at = self.clock()

    def _interval(self) -> float:
        if self.is_streaming():
            return heartbeat_interval(self.count_streaming_peers())
        return max(heartbeat_interval(self.count_peers()), MIN_IDLE_HEARTBEAT_INTERVAL)

    async def _beat(self, connection: Connection) -> None:
        while True:
            interval = self._interval()
            before = self.clock()
            self._heated = anyio.Event()
            with anyio.move_on_after(interval):
                await self._heated.wait()
                await self._send_beat(connection)
                continue
            now = self.clock()
            self._lag = max(now - before - interval, 0.0, self._lag / 2)
            bound = silence_timeout(interval, self.round_trip, self._lag)
            if now - self._heard > bound:
                self._broken.set()
                return
            await self._send_beat(connection)

    async def _send_beat(self, connection: Connection) -> None:
        self._beats += 1
        self._beat_sent[self._beats] = self.clock()
        beat = Beat(clock=self.hlc(), sequence=self._beats)
        await connection.send(UNSEQUENCED, encode(beat))

    def _change(self, state: PeerState) -> None:
        if state is self.state:
            return
        self.state = state
        try:
            self.on_state(self)
        except Exception as error:
            logger.opt(exception=error).error("a change of {} is lost", self.address)
