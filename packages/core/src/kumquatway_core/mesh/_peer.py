"""
Sends messages to one address over connections that are replaced when they break.

A new connection is used once the other end answers a heartbeat on it. Messages that
were not acknowledged on a broken connection are sent again on the next one.
"""

import enum
import math
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
FIRST_REPLY_TIMEOUT = 0.15  # seconds to the first reply on a new connection
MAX_FIRST_REPLY_TIMEOUT = 2.0  # seconds; the timeout doubles at each failure
TIMER_TOLERANCE = 0.02  # seconds; normal lateness of timers in a busy process
LAG_WAIT_FACTOR = 4  # extra wait for an Ack, in multiples of the lag
STREAMING_WINDOW = 2.0  # seconds after the last step
MIN_IDLE_HEARTBEAT_INTERVAL = 0.5  # seconds, on connections without streams
ROUND_TRIP_GAIN = 0.2
UNSEQUENCED = 0  # sequence number of heartbeats


class PeerState(enum.StrEnum):
    """State of the connection to a peer."""

    CONNECTING = "connecting"
    UP = "up"
    DOWN = "down"


class OutgoingMessage:
    """
    A message that is queued or sent and not yet acknowledged.

    :param message: the message.
    :param sequence: its sequence number among the messages to this peer.
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
        Check whether any byte of the message may have left this process.

        :return: True once sending has started.
        """
        return self.send_count > 0


class Peer:
    """
    The sending side of the connection to one address.

    :param context: pyzmq context of the process.
    :param address: `host:port` of the other end.
    :param identity: address and incarnation of this process.
    :param count_peers: returns the number of peers of this process.
    :param count_streaming_peers: returns the number of peers that carry streams.
    :param hlc: returns the hybrid logical clock of this process.
    :param on_state: called with the peer at each change of its state.
    :param on_lost: called with the peer, once it has restarted, and the messages
        that its earlier incarnation did not acknowledge.
    :param clock: returns the monotonic time in seconds.
    :param traffic: counter of the messages sent and received.
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
        self.refused = False  # the last connection, by an address that answered before
        self.connection_count = 0
        self.round_trip = 0.0
        self.last_used = clock()
        self.last_step_at = float("-inf")
        self._outbox: deque[OutgoingMessage] = deque()
        self._outbox_bytes = 0
        self._unacked: deque[OutgoingMessage] = deque()
        self._unacked_bytes = 0
        self._sequence = 0
        self._heartbeat_number = 0
        self._heartbeat_sent_at: dict[int, float] = {}
        self._last_received_at = 0.0
        self._lag = 0.0
        self._ack_delay = AckDelayEstimator()
        self._can_send = anyio.Event()
        self._ack_expected = anyio.Event()
        self._streaming_started = anyio.Event()
        self._connection_broken = anyio.Event()
        self._scope = anyio.CancelScope()

    def send(self, message: Message) -> OutgoingMessage | Verdict:
        """
        Queue a message for this peer, without blocking.

        :param message: message to send.
        :return: the queued message, or a `not_run` verdict if the queue is full.
        """
        if self._outbox_bytes > MAX_OUTBOX_BYTES:
            return not_run(
                Reason.OVERLOADED,
                f"queue to {self.address} is full: {self._outbox_bytes} bytes, "
                f"limit {MAX_OUTBOX_BYTES}",
            )
        self._sequence += 1
        outgoing = OutgoingMessage(message=message, sequence=self._sequence)
        self._outbox.append(outgoing)
        self._outbox_bytes += len(outgoing.data)
        self.last_used = self.clock()
        if isinstance(message, Steps):
            self._record_step()
        self._can_send.set()
        return outgoing

    def continue_from(self, closed_peer: "Peer") -> None:
        """
        Continue the numbering of a closed peer for the same address.

        The other end drops messages whose sequence numbers it has already seen, and
        needs a distinct identity for each connection.

        :param closed_peer: the closed peer.
        """
        self._sequence = closed_peer._sequence
        self.connection_count = closed_peer.connection_count

    def withdraw(self, outgoing: OutgoingMessage) -> bool:
        """
        Withdraw a message that has not left this process.

        :param outgoing: the queued message that `send` returned.
        :return: True if the message was not sent and will not be.
        """
        if outgoing.was_sent:
            return False
        outgoing.withdrawn = True
        return True

    def is_streaming(self) -> bool:
        """
        Check whether this peer carries streams at present.

        :return: True if a step was queued within the last `STREAMING_WINDOW` seconds.
        """
        return self.clock() - self.last_step_at < STREAMING_WINDOW

    def backlog(self) -> int:
        """
        Return the size of all queued and unacknowledged messages.

        :return: size in bytes.
        """
        return self._outbox_bytes + self._unacked_bytes

    def silence(self) -> float:
        """
        Return how long nothing has been heard of the other end.

        :return: seconds; infinite if it has never answered.
        """
        if not self.incarnation:
            return math.inf
        return self.clock() - self._last_received_at

    def close(self) -> None:
        """Stop the peer's task."""
        self._scope.cancel()

    async def run(self) -> None:
        """Keep a connection to the address until the peer is closed."""
        wait = FIRST_REPLY_TIMEOUT
        with self._scope:
            while True:
                if await self._run_connection(wait):
                    wait = FIRST_REPLY_TIMEOUT
                    continue
                self._set_state(PeerState.DOWN)
                await anyio.sleep(wait)
                wait = min(wait * 2, MAX_FIRST_REPLY_TIMEOUT)

    async def _run_connection(self, reply_timeout: float) -> bool:
        """
        Open one connection and use it until it breaks.

        :param reply_timeout: seconds to wait for the first reply.
        :return: True if the other end answered on it.
        """
        self.connection_count += 1
        connection = self._connect()
        if connection is None:
            return False
        try:
            if not await self._wait_until_responsive(connection, reply_timeout):
                return False
            await self._use_connection(connection)
            return True
        except Exception as error:
            # A failure here must not end the connections to other peers.
            logger.opt(exception=error).error("connection to {} failed", self.address)
            return False
        finally:
            connection.close()

    def _connect(self) -> Connection | None:
        """Open a connection; None if the address, which peers report, is invalid."""
        try:
            return Connection(
                context=self.context,
                address=self.address,
                identity=f"{self.identity}|{self.connection_count}",
                traffic=self.traffic,
            )
        except zmq.ZMQError as error:
            logger.warning("invalid address {!r}: {}", self.address, error)
            return None

    async def _wait_until_responsive(
        self, connection: Connection, timeout: float
    ) -> bool:
        """Wait for the first reply; False on a refused connection or a timeout."""
        self._heartbeat_sent_at.clear()
        self.refused = False
        responsive = False
        with anyio.move_on_after(timeout + 2 * self.round_trip):
            async with anyio.create_task_group() as group:
                group.start_soon(
                    self._cancel_if_refused, connection, group.cancel_scope
                )
                responsive = await self._receive_first_reply(connection)
                group.cancel_scope.cancel()
        return responsive

    async def _receive_first_reply(self, connection: Connection) -> bool:
        previous = self._last_received_at
        await self._send_heartbeat(connection)
        while self._last_received_at == previous:
            self._handle_reply(await connection.receive())
        return True

    async def _cancel_if_refused(
        self, connection: Connection, scope: anyio.CancelScope
    ) -> None:
        if self.incarnation == 0:
            # The other process has never answered: it may still be starting.
            return
        await connection.wait_for_event(REFUSED_EVENTS)
        self.refused = True
        scope.cancel()

    async def _use_connection(self, connection: Connection) -> None:
        self._requeue_unacked()
        self._connection_broken = anyio.Event()
        self._set_state(PeerState.UP)
        async with anyio.create_task_group() as group:
            group.start_soon(self._send_outbox, connection)
            group.start_soon(self._receive_replies, connection)
            group.start_soon(self._watch_transport, connection)
            group.start_soon(self._watch_acks)
            group.start_soon(self._send_heartbeats, connection)
            await self._connection_broken.wait()
            group.cancel_scope.cancel()

    def _requeue_unacked(self) -> None:
        """Requeue messages that the last connection may not have delivered."""
        while self._unacked:
            outgoing = self._unacked.pop()
            self._unacked_bytes -= len(outgoing.data)
            self._outbox.appendleft(outgoing)
            self._outbox_bytes += len(outgoing.data)

    async def _send_outbox(self, connection: Connection) -> None:
        while True:
            while self._outbox and self._unacked_bytes < WINDOW_BYTES:
                await self._send_message(connection, self._outbox.popleft())
            self._can_send = anyio.Event()
            await self._can_send.wait()

    async def _send_message(
        self, connection: Connection, outgoing: OutgoingMessage
    ) -> None:
        self._outbox_bytes -= len(outgoing.data)
        if outgoing.withdrawn:
            return
        outgoing.send_count += 1
        outgoing.sent_at = self.clock()
        self._unacked.append(outgoing)
        self._unacked_bytes += len(outgoing.data)
        self._ack_expected.set()
        await connection.send(outgoing.sequence, outgoing.data)

    async def _receive_replies(self, connection: Connection) -> None:
        while True:
            self._handle_reply(await connection.receive())

    def _handle_reply(self, data: bytes) -> None:
        try:
            message = decode(data)
        except WireError as error:
            logger.warning("invalid reply from {}: {}", self.address, error)
            return
        if isinstance(message, BeatReply):
            self._handle_heartbeat_reply(message)
        elif isinstance(message, Ack):
            self._handle_ack(message)

    def _handle_heartbeat_reply(self, reply: BeatReply) -> None:
        now = self.clock()
        self._last_received_at = now
        sent_at = self._heartbeat_sent_at.pop(reply.sequence, None)
        if sent_at is not None:
            self._update_round_trip(now - sent_at)
        if reply.incarnation == self.incarnation:
            return
        previous = self.incarnation
        self.incarnation = reply.incarnation
        if previous:
            self._drop_unacked()

    def _update_round_trip(self, sample: float) -> None:
        if self.round_trip:
            self.round_trip += ROUND_TRIP_GAIN * (sample - self.round_trip)
        else:
            self.round_trip = sample

    def _drop_unacked(self) -> None:
        """Drop and report the messages sent to an earlier incarnation."""
        lost = [outgoing.message for outgoing in self._unacked]
        self._unacked.clear()
        self._unacked_bytes = 0
        self.on_lost(self, lost)

    def _handle_ack(self, ack: Ack) -> None:
        now = self.clock()
        self._last_received_at = now
        if self._unacked and self._unacked[0].sequence <= ack.sequence:
            delay = now - self._unacked[0].sent_at
            self._ack_delay.add_sample(delay, self._unacked_bytes)
        while self._unacked and self._unacked[0].sequence <= ack.sequence:
            outgoing = self._unacked.popleft()
            self._unacked_bytes -= len(outgoing.data)
        self._can_send.set()

    async def _watch_transport(self, connection: Connection) -> None:
        """Report the connection as broken as soon as the other end closes it."""
        await connection.wait_for_event(CLOSED_EVENTS)
        self._connection_broken.set()

    async def _watch_acks(self) -> None:
        """Report the connection as broken when an acknowledgement is overdue."""
        while True:
            if not self._unacked:
                self._ack_expected = anyio.Event()
                await self._ack_expected.wait()
            oldest = self._unacked[0]
            deadline = oldest.sent_at + self._ack_delay.timeout(
                self._lag, self._unacked_bytes
            )
            started_at = self.clock()
            await anyio.sleep(max(deadline - started_at, 0))
            overslept = self.clock() - max(deadline, started_at)
            self._lag = max(overslept, self._lag / 2)
            if overslept > TIMER_TOLERANCE:
                # This process runs late: the Ack may have arrived but not been read.
                await anyio.sleep(LAG_WAIT_FACTOR * overslept)
            overdue = self._unacked and self._unacked[0] is oldest
            if overdue:
                if self._ack_delay.record_timeout():
                    # Heartbeats get through, but data does not, or not in time.
                    self._set_state(PeerState.DOWN)
                self._connection_broken.set()
                return

    def _record_step(self) -> None:
        if not self.is_streaming():
            self._streaming_started.set()
        self.last_step_at = self.clock()

    def _heartbeat_interval(self) -> float:
        if self.is_streaming():
            return heartbeat_interval(self.count_streaming_peers())
        return max(heartbeat_interval(self.count_peers()), MIN_IDLE_HEARTBEAT_INTERVAL)

    async def _send_heartbeats(self, connection: Connection) -> None:
        while True:
            interval = self._heartbeat_interval()
            started_at = self.clock()
            self._streaming_started = anyio.Event()
            with anyio.move_on_after(interval):
                await self._streaming_started.wait()
                await self._send_heartbeat(connection)
                continue
            now = self.clock()
            self._lag = max(now - started_at - interval, 0.0, self._lag / 2)
            timeout = silence_timeout(interval, self.round_trip, self._lag)
            if now - self._last_received_at > timeout:
                self._connection_broken.set()
                return
            await self._send_heartbeat(connection)

    async def _send_heartbeat(self, connection: Connection) -> None:
        self._heartbeat_number += 1
        self._heartbeat_sent_at[self._heartbeat_number] = self.clock()
        heartbeat = Beat(clock=self.hlc(), sequence=self._heartbeat_number)
        await connection.send(UNSEQUENCED, encode(heartbeat))

    def _set_state(self, state: PeerState) -> None:
        if state is self.state:
            return
        self.state = state
        try:
            self.on_state(self)
        except Exception as error:
            logger.opt(exception=error).error(
                "handling a state change of {} failed", self.address
            )
