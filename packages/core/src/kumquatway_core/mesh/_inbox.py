"""
Inbox.

The receiving side: drops repeats, answers beats, acknowledges.
"""

import time
from collections import OrderedDict
from collections.abc import Callable

import anyio
import zmq
import zmq.asyncio
from loguru import logger

from kumquatway_core.exceptions import WireError
from kumquatway_core.mesh._connection import SEQUENCE_BYTES
from kumquatway_core.mesh._traffic import Traffic
from kumquatway_core.wire import Ack, Beat, BeatReply, Message, decode, encode

ACK_INTERVAL = 0.05  # seconds
ACK_THRESHOLD_BYTES = 1024 * 1024  # taken in before an early acknowledgement
MAX_SENDERS = 10_000
FRAME_COUNT = 3  # identity, sequence, message


class Sender:
    """
    What is known of one life of a sender.

    :param address: where the sender listens.
    :param incarnation: its life.
    """

    def __init__(self, *, address: str, incarnation: int):
        self.address = address
        self.incarnation = incarnation
        self.identity = b""
        self.sequence = 0
        self.last_received_at = 0.0
        self.unacked_bytes = 0


class Inbox:
    """
    Takes in the messages of every sender.

    :param socket: a bound ROUTER.
    :param incarnation: of this process.
    :param handle: called with each source and message, once and in order.
    :param hlc: reads the hybrid logical clock.
    :param merge: takes in the clock of a sender.
    :param traffic: counts the messages.
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
        """Take in messages until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._ack_often)
            while True:
                frames = await self.socket.recv_multipart()
                self.traffic.add_received(frames[1:])
                await self._take(frames)

    async def _take(self, frames: list[bytes]) -> None:
        try:
            source, sequence, message = self._open(frames)
        except WireError as error:
            self.failed_messages += 1
            logger.warning("a message was refused: {}", error)
            return
        source.last_received_at = self.clock()
        if isinstance(message, Beat):
            await self._answer(source, message)
            return
        if sequence <= source.sequence:
            return
        source.sequence = sequence
        source.unacked_bytes += len(frames[2])
        self.ack_due.add((source.address, source.incarnation))
        self._deliver(source, message)
        if source.unacked_bytes > ACK_THRESHOLD_BYTES:
            await self._ack(source)

    def _deliver(self, source: Sender, message: Message) -> None:
        try:
            self.handle(source, message)
        except Exception as error:
            self.failed_messages += 1
            logger.opt(exception=error).error(
                "a message of {} from {} failed: {}",
                type(message).__name__,
                source.address,
                error,
            )

    def _open(self, frames: list[bytes]) -> tuple[Sender, int, Message]:
        if len(frames) != FRAME_COUNT or len(frames[1]) != SEQUENCE_BYTES:
            raise WireError(f"{len(frames)} frames of a wrong size")
        source = self._source(frames[0])
        sequence = int.from_bytes(frames[1], "big")
        return source, sequence, decode(frames[2])

    def _source(self, identity: bytes) -> Sender:
        try:
            address, incarnation, _ = identity.decode().split("|")
            key = (address, int(incarnation))
        except ValueError as error:
            raise WireError("an identity of a wrong form") from error
        source = self.senders.get(key)
        if source is None:
            source = Sender(address=key[0], incarnation=key[1])
            self.senders[key] = source
        source.identity = identity
        self.senders.move_to_end(key)
        if len(self.senders) > MAX_SENDERS:
            self.senders.popitem(last=False)
        return source

    async def _answer(self, source: Sender, beat: Beat) -> None:
        self.merge_hlc(beat.clock)
        reply = BeatReply(
            clock=self.hlc(), sequence=beat.sequence, incarnation=self.incarnation
        )
        await self._send(source, reply)

    async def _ack(self, source: Sender) -> None:
        source.unacked_bytes = 0
        await self._send(source, Ack(sequence=source.sequence))

    async def _ack_often(self) -> None:
        while True:
            await anyio.sleep(ACK_INTERVAL)
            for key in list(self.ack_due):
                source = self.senders.get(key)
                if source is not None:
                    await self._ack(source)
            self.ack_due.clear()

    async def _send(self, source: Sender, message: Message) -> None:
        head = (0).to_bytes(SEQUENCE_BYTES, "big")
        frames = [head, encode(message)]
        self.traffic.add_sent(frames)
        await self.socket.send_multipart([source.identity, *frames])
