"""
Bounds what an unfinished message of a sender holds.

ZeroMQ keeps the parts of a message until the last one has come. It bounds the bytes of
a part and the number of messages, not the parts of one. So the socket listens on a
private endpoint; a guard listens on the address, reads the frames of each connection
(ZMTP 3, RFC 23), passes them on and closes a connection whose message is too long.
"""

import asyncio
import uuid
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from loguru import logger

from kumquatway_core.exceptions import WireError

# Looked through at a time, so that no sender holds up the others.
READ_BYTES = 16 * 1024
READ_BYTES_WITHIN_FRAME = 128 * 1024  # at a time, where there is nothing to look at
BACKLOG = 1024  # connections that wait to be accepted
PART_BYTES = 64  # that a part takes besides its content
GREETING_BYTES = 64
MIN_VERSION = 3  # of ZMTP; a greeting of fixed size, and frames as below
MORE, LONG, COMMAND = 1, 2, 4  # flags of a frame

# One for all connections: what is read is passed on before the next read.
_read_buffer = memoryview(bytearray(READ_BYTES_WITHIN_FRAME))


class FrameReader:
    """
    Follows the frames of one sender and counts what its unfinished message holds.

    :param max_bytes: of a message, with `PART_BYTES` for each part.
    :ivar held: bytes of the message that has not ended.
    :ivar frame_left: bytes of the current frame that are still to come.
    """

    def __init__(self, max_bytes: int):
        self.max_bytes = max_bytes
        self.held = 0
        self._greeted = False
        self._in_message = False
        self._head = b""  # of a frame, as far as it has come
        self.frame_left = 0

    def read(self, data: bytes) -> None:
        """
        Follow what a sender has sent.

        :param data: the bytes that arrived next.
        :raises WireError: if it is no ZMTP, or a message of more than `max_bytes`.
        """
        if self.frame_left >= len(data):
            self.frame_left -= len(data)
            return
        data = self._head + data[self.frame_left :]
        self._head, self.frame_left = b"", 0
        self._read_frames(data, 0 if self._greeted else self._read_greeting(data))

    def _read_greeting(self, data: bytes) -> int:
        """Return where the frames begin."""
        if len(data) < GREETING_BYTES:
            return 0
        if data[0] != 0xFF or not data[9] & 1 or data[10] < MIN_VERSION:
            raise WireError(f"no greeting of ZMTP {MIN_VERSION}")
        self._greeted = True
        return GREETING_BYTES

    def _read_frames(self, data: bytes, position: int) -> None:
        end = len(data)
        while self._greeted and position < end:
            is_long = data[position] & LONG
            start = position + (9 if is_long else 2)
            if start > end:
                break
            size = int.from_bytes(data[position + 1 : start], "big")
            self._count(data[position], size)
            position = start + size
        self._head = data[position:]
        self.frame_left = max(position - end, 0)

    def _count(self, flags: int, size: int) -> None:
        if flags & COMMAND:
            if flags & MORE:
                raise WireError("a command in parts")
        else:
            self._in_message = bool(flags & MORE)
        # Commands within a message keep the memory that they were read into.
        self.held += size + PART_BYTES
        if self.held > self.max_bytes:
            raise WireError(f"a message of more than {self.max_bytes} bytes")
        if not self._in_message:
            self.held = 0


class _End(asyncio.BufferedProtocol):
    """
    One end of a connection that is passed on.

    :ivar other: the other end.
    """

    def __init__(self):
        self.transport: asyncio.Transport | None = None
        self.other: _End = self

    def connection_made(self, transport) -> None:
        self.transport = transport

    def get_buffer(self, sizehint: int) -> memoryview:
        return _read_buffer

    def buffer_updated(self, count: int) -> None:
        self.other.transport.write(bytes(_read_buffer[:count]))

    def pause_writing(self) -> None:
        self.other.transport.pause_reading()

    def resume_writing(self) -> None:
        self.other.transport.resume_reading()

    def connection_lost(self, error: Exception | None) -> None:
        self.other.transport.abort()


class _SenderEnd(_End):
    """
    The end at the sender.

    :param guard: of the address.
    """

    def __init__(self, guard: "_Guard"):
        super().__init__()
        self.guard = guard
        self.frames = FrameReader(guard.max_bytes)

    def connection_made(self, transport) -> None:
        super().connection_made(transport)
        transport.pause_reading()
        self.guard.open(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        return _read_buffer[: max(self.frames.frame_left, READ_BYTES)]

    def buffer_updated(self, count: int) -> None:
        data = bytes(_read_buffer[:count])
        try:
            self.frames.read(data)
        except WireError as error:
            sender = self.transport.get_extra_info("peername")
            logger.warning("closing the connection of {}: {}", sender, error)
            self.transport.abort()
            self.other.transport.abort()
            return
        self.other.transport.write(data)

    def connection_lost(self, error: Exception | None) -> None:
        self.guard.ends.discard(self)
        # What the sender sent before it closed is still passed on.
        self.other.transport.close()


class _Guard:
    """
    Passes connections on to a private endpoint.

    :param path: of its Unix socket.
    :param max_bytes: of a message, with `PART_BYTES` for each part.
    :ivar ends: of senders.
    """

    def __init__(self, *, path: str, max_bytes: int):
        self.path = path
        self.max_bytes = max_bytes
        self.ends: set[_SenderEnd] = set()
        self._tasks: set[asyncio.Task] = set()

    def open(self, sender: _SenderEnd) -> None:
        """
        Connect a new sender to the endpoint.

        :param sender: does not read yet.
        """
        self.ends.add(sender)
        task = asyncio.get_running_loop().create_task(self._connect(sender))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, sender: _SenderEnd) -> None:
        loop = asyncio.get_running_loop()
        try:
            _, end = await loop.create_unix_connection(_End, self.path)
        except OSError as error:
            logger.warning("no connection to the mesh's own socket: {}", error)
            sender.transport.abort()
            return
        end.other, sender.other = sender, end
        if sender.transport.is_closing():
            end.transport.abort()
        sender.transport.resume_reading()

    def close(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        for end in self.ends:
            end.transport.abort()


def private_endpoint() -> str:
    """
    Return a new endpoint for the socket behind a guard.

    :return: of ZeroMQ, in the abstract namespace of Linux.
    """
    return f"ipc://@kumquatway-{uuid.uuid4().hex}"


@asynccontextmanager
async def guarding(address: str, endpoint: str, max_bytes: int) -> AsyncIterator[None]:
    """
    Pass on connections to an address while their messages are short enough.

    :param address: `host:port` to listen on.
    :param endpoint: of `private_endpoint`, where a socket listens.
    :param max_bytes: of a message, with `PART_BYTES` for each part.
    :raises OSError: if the address can't be listened on.
    """
    host, _, port = address.rpartition(":")
    host = None if host == "*" else host.strip("[]")
    guard = _Guard(path=endpoint.replace("ipc://@", "\0"), max_bytes=max_bytes)
    server = await asyncio.get_running_loop().create_server(
        lambda: _SenderEnd(guard), host, int(port), backlog=BACKLOG
    )
    try:
        yield
    finally:
        server.close()
        guard.close()
