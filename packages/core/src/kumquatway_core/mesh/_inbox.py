"""Receives messages, drops duplicates, answers heartbeats and sends Acks."""

import time
from collections import OrderedDict
from collections.abc import Callable

import anyio
import zmq
import zmq.asyncio
from anyio.lowlevel import checkpoint
from loguru import logger

from kumquatway_core.exceptions import WireError
from kumquatway_core.mesh._connection import SEQUENCE_BYTES
from kumquatway_core.mesh._traffic import Traffic
from kumquatway_core.wire import Ack, Beat, BeatReply, Message, decode, encode

ACK_INTERVAL = 0.05  # seconds
ACK_THRESHOLD_BYTES = 1024 * 1024  # unacknowledged bytes that trigger an early Ack
MAX_TURN = 0.02  # seconds for which messages hold the event loop
MAX_SENDERS = 10_000
FRAME_COUNT = 3  # identity, sequence number, message


class Sender:
    """
    The receive state of one incarnation of a sending process.

    :param address: `host:port` where the sender listens.
    :param incarnation: incarnation of the sender.
    """

    def __init__(self, *, address: str, incarnation: int):
        self.address = address
        self.incarnation = incarnation
        self.identity = b""
        self.connection = 0
        self.last_sequence = 0
        self.last_received_at = 0.0
        self.unacked_bytes = 0


class Inbox:
    """
    Receives the messages of all senders.

    :param socket: a bound ROUTER socket.
    :param incarnation: incarnation of this process.
    :param handle: called with each sender and message, once and in order.
    :param hlc: returns the hybrid logical clock of this process.
    :param merge_hlc: called with the hybrid logical clock of a sender.
    :param clock: returns the monotonic time in seconds.
    :param traffic: counter of the messages sent and received.
    """

    def __init__(
        self,
        *,
        socket: zmq.asyncio.Socket,
        incarnation: int,
        handle: Callable[[Sender, Message], None],
        hlc: Callable[[], int],
        merge_hlc: Callable[[int], None],
        clock: Callable[[], float] = time.monotonic,
        traffic: Traffic | None = None,
    ):
        self.traffic = traffic or Traffic()
        self.socket = socket
        self.incarnation = incarnation
        self.handle = handle
        self.hlc = hlc
        self.merge_hlc = merge_hlc
        self.clock = clock
        self.senders: OrderedDict[tuple[str, int], Sender] = OrderedDict()
        self.ack_due: set[tuple[str, int]] = set()
        self.failed_messages = 0

    async def run(self) -> None:
        """Receive messages until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._send_due_acks)
            turn_ends_at = self.clock() + MAX_TURN
            while True:
                frames = await self.socket.recv_multipart()
                self.traffic.add_received(frames[1:])
                await self._receive(frames)
                # Neither of these waits while there are messages.
                if self.clock() >= turn_ends_at:
                    await checkpoint()
                    turn_ends_at = self.clock() + MAX_TURN

    async def _receive(self, frames: list[bytes]) -> None:
        try:
            sender, sequence, message = self._parse(frames)
        except WireError as error:
            self.failed_messages += 1
            logger.warning("rejected a message: {}", error)
            return
        sender.last_received_at = self.clock()
        if isinstance(message, Beat):
            await self._answer_heartbeat(sender, message)
            return
        # Also for a repeat: the acknowledgement of the first copy may be lost.
        self.ack_due.add((sender.address, sender.incarnation))
        if sequence <= sender.last_sequence:
            return
        sender.last_sequence = sequence
        sender.unacked_bytes += len(frames[2])
        self._deliver(sender, message)
        if sender.unacked_bytes > ACK_THRESHOLD_BYTES:
            await self._send_ack(sender)

    def _deliver(self, sender: Sender, message: Message) -> None:
        try:
            self.handle(sender, message)
        except Exception as error:
            self.failed_messages += 1
            logger.opt(exception=error).error(
                "handling a {} message from {} failed: {}",
                type(message).__name__,
                sender.address,
                error,
            )

    def _parse(self, frames: list[bytes]) -> tuple[Sender, int, Message]:
        if len(frames) != FRAME_COUNT or len(frames[1]) != SEQUENCE_BYTES:
            raise WireError(
                f"expected {FRAME_COUNT} frames with a sequence number of "
                f"{SEQUENCE_BYTES} bytes, got {len(frames)} frames"
            )
        sender = self._find_sender(frames[0])
        sequence = int.from_bytes(frames[1], "big")
        return sender, sequence, decode(frames[2])

    def _find_sender(self, identity: bytes) -> Sender:
        try:
            address, incarnation, number = identity.decode().split("|")
            key = (address, int(incarnation))
            connection = int(number)
        except ValueError as error:
            raise WireError(
                f"invalid identity {identity!r}, expected "
                "'address|incarnation|connection number'"
            ) from error
        sender = self.senders.get(key)
        if sender is None:
            sender = Sender(address=key[0], incarnation=key[1])
            self.senders[key] = sender
        # Frames held back on an earlier connection may come after those of a later one.
        if connection >= sender.connection:
            sender.identity = identity
            sender.connection = connection
        self.senders.move_to_end(key)
        if len(self.senders) > MAX_SENDERS:
            self.senders.popitem(last=False)
        return sender

    async def _answer_heartbeat(self, sender: Sender, heartbeat: Beat) -> None:
        self.merge_hlc(heartbeat.clock)
        reply = BeatReply(
            clock=self.hlc(),
            sequence=heartbeat.sequence,
            incarnation=self.incarnation,
        )
        await self._send(sender, reply)

    async def _send_ack(self, sender: Sender) -> None:
        sender.unacked_bytes = 0
        await self._send(sender, Ack(sequence=sender.last_sequence))

    async def _send_due_acks(self) -> None:
        while True:
            await anyio.sleep(ACK_INTERVAL)
            for key in list(self.ack_due):
                sender = self.senders.get(key)
                if sender is not None:
                    await self._send_ack(sender)
            self.ack_due.clear()

    async def _send(self, sender: Sender, message: Message) -> None:
        header = (0).to_bytes(SEQUENCE_BYTES, "big")
        frames = [header, encode(message)]
        self.traffic.add_sent(frames)
        await self.socket.send_multipart([sender.identity, *frames])
