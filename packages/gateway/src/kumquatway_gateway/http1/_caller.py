"""
Caller.

One connection of a caller: requests in order, framed strictly, and their responses.
"""

import asyncio
import time
from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

import httptools

from kumquatway_gateway.http1._headers import Field, Headers, render_response

READ_AHEAD = 4  # requests parsed before the first is answered


class Bounds(Protocol):
    """What a caller may send; see `Limits`."""

    header_bytes: int
    body_bytes: int
    header_seconds: float
    idle_seconds: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Incoming:
    """
    A whole request as it was read.

    :param arrived: when its head was read, monotonic seconds.
    :param chunks: whether the caller understands a body in chunks.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    arrived: float
    keep_alive: bool
    chunks: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class Malformed:
    """A request that cannot be served; the connection ends with this status."""

    status: int
    detail: str


Serve = Callable[["CallerConnection", Incoming], Awaitable[None]]


class CallerConnection(asyncio.Protocol):
    """
    A connection of a caller.

    :param bounds: gives what a caller may send now.
    :param serve: answers one request.
    :param opened: called with the connection once it is open.
    :param ended: called with the connection once it is closed.
    """

    def __init__(
        self,
        *,
        bounds: Callable[[], Bounds],
        serve: Serve,
        opened: Callable[["CallerConnection"], None],
        ended: Callable[["CallerConnection"], None],
    ):
        self.bounds = bounds
        self.serve = serve
        self.opened = opened
        self.ended = ended
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.waiting: deque[Incoming | Malformed] = deque()
        self.arrival = asyncio.Event()
        self.lost = False
        self.busy = False
        self.chunks = True  # the caller in progress understands them
        self.closing = False  # no request after the one in progress
        self.draining = False  # the next response is the last
        self.on_flow: Callable[[bool], None] | None = None
        self.paused = False  # the caller reads too slowly
        self.task: asyncio.Task | None = None
        self._url = b""
        self._fields: list[Field] = []
        self._head_bytes = 0
        self._head_since = 0.0
        self._reading_body = False
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._arrived = 0.0

    # what a server of requests calls

    def respond(
        self, status: int, fields: Iterable[Field], body: bytes, *, keep: bool
    ) -> None:
        """
        Write a whole response.

        :param status: the HTTP status.
        :param fields: without framing.
        :param body: the whole body.
        :param keep: whether the connection may carry another request.
        """
        if self.lost:
            return
        framing = [*fields, (b"Content-Length", b"%d" % len(body))]
        if not self._keeps(keep):
            framing.append((b"Connection", b"close"))
        self.transport.write(render_response(status, framing) + body)

    def start_stream(self, status: int, fields: Iterable[Field], *, keep: bool) -> None:
        """
        Write the head of a response that follows in chunks.

        :param status: the HTTP status.
        :param fields: without framing.
        :param keep: whether the connection may carry another request.
        """
        if self.lost:
            return
        framing = list(fields)
        if self.chunks:
            framing.append((b"Transfer-Encoding", b"chunked"))
        if not self._keeps(keep and self.chunks):
            framing.append((b"Connection", b"close"))
        self.transport.write(render_response(status, framing))

    def write_chunk(self, data: bytes) -> None:
        """Write a piece of a streamed body."""
        if self.lost:
            return
        if self.chunks:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self.transport.write(data)

    def end_stream(self) -> None:
        """Write the end of a streamed body."""
        if not self.lost and self.chunks:
            self.transport.write(b"0\r\n\r\n")

    def abort(self) -> None:
        """Cut the connection, so that an unfinished body cannot look whole."""
        self.closing = True
        if self.transport is not None:
            self.transport.abort()

    def finish(self) -> None:
        """Close after the request in progress, or now if there is none."""
        self.closing = True
        self.arrival.set()

    def _keeps(self, keep: bool) -> bool:
        if not keep or self.draining:
            self.closing = True
        return not self.closing

    # asyncio.Protocol

    def connection_made(self, transport):
        """Start the task of the connection."""
        self.transport = transport
        self.opened(self)
        self.task = asyncio.get_running_loop().create_task(self._run())

    def data_received(self, data):
        """Parse requests; what follows a malformed one is not read."""
        if not self._reading_body:
            self._head_bytes += len(data)
            if not self._head_since:
                self._head_since = time.monotonic()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400, "upgrades are not supported")
        except httptools.HttpParserError as error:
            self._refuse(400, f"the request is not HTTP/1.1: {error}")
        if not self._reading_body and self._head_bytes > self.bounds().header_bytes:
            self._refuse(431, "the head of the request is too large")
        if len(self.waiting) > READ_AHEAD:
            self.transport.pause_reading()

    def eof_received(self):
        """Take a half-closed connection for a caller that left."""
        if self.busy:
            # A close would wait until what was written before is sent, if ever.
            self.transport.abort()
        return False

    def connection_lost(self, error):
        """Stop the work for a caller that left."""
        self.lost = True
        self.arrival.set()
        if self.busy and self.task is not None:
            self.task.cancel()

    def pause_writing(self):
        """Have what the caller is sent held back."""
        self.paused = True
        if self.on_flow is not None:
            self.on_flow(False)

    def resume_writing(self):
        """Let what the caller is sent flow again."""
        self.paused = False
        if self.on_flow is not None:
            self.on_flow(True)

    # httptools

    def on_message_begin(self):
        """Begin a request."""
        self._url = b""
        self._fields = []

    def on_url(self, url):
        """Take a part of the target."""
        self._url += url

    def on_header(self, name, value):
        """Take a field."""
        self._fields.append((name, value))

    def on_headers_complete(self):
        """Note the arrival; from here on bytes count as the body's."""
        self._arrived = time.monotonic()
        self._reading_body = True
        self._head_bytes = 0
        self._head_since = 0.0
        self._body = []
        self._body_bytes = 0
        length = _length(self._fields)
        if self._size() > self.bounds().header_bytes:
            self._refuse(431, "the head of the request is too large")
        elif length > self.bounds().body_bytes:
            self._refuse(413, "the body of the request is too large")
        elif _expects_continue(self._fields) and not self.lost:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data):
        """Keep a piece of the body."""
        self._body_bytes += len(data)
        if self._body_bytes > self.bounds().body_bytes:
            self._refuse(413, "the body of the request is too large")
            return
        self._body.append(data)

    def on_message_complete(self):
        """Queue the whole request."""
        self._reading_body = False
        if self.closing:
            return
        self.waiting.append(
            Incoming(
                method=self.parser.get_method().decode("latin-1"),
                target=self._url.decode("latin-1"),
                headers=Headers(self._fields),
                body=b"".join(self._body),
                arrived=self._arrived,
                keep_alive=self.parser.should_keep_alive(),
                chunks=self.parser.get_http_version() != "1.0",
            )
        )
        self._body = []
        self.arrival.set()

    def _size(self) -> int:
        """Count the bytes of the head, with its separators."""
        fields = sum(len(name) + len(value) + 4 for name, value in self._fields)
        return len(self._url) + fields

    # the task of the connection

    async def _run(self) -> None:
        try:
            while not self.lost:
                incoming = await self._next()
                if incoming is None:
                    break
                if isinstance(incoming, Malformed):
                    self._respond_malformed(incoming)
                    break
                await self._answer(incoming)
                if self.closing:
                    break
        finally:
            if not self.transport.is_closing():
                self.transport.close()
            self.ended(self)

    async def _answer(self, incoming: Incoming) -> None:
        self.busy = True
        self.chunks = incoming.chunks
        try:
            await self.serve(self, incoming)
        finally:
            self.busy = False
            self.on_flow = None
        if not incoming.keep_alive:
            self.closing = True

    async def _next(self) -> Incoming | Malformed | None:
        while not self.waiting:
            if self.lost or self.closing:
                return None
            self.arrival.clear()
            bounds = self.bounds()
            try:
                async with asyncio.timeout(self._patience(bounds)):
                    await self.arrival.wait()
            except TimeoutError:
                if self.waiting:
                    break
                if self._reading_body or self._head_since:
                    return Malformed(status=408, detail="the request took too long")
                return None
        incoming = self.waiting.popleft()
        if len(self.waiting) < READ_AHEAD and not self.lost:
            self.transport.resume_reading()
        return incoming

    def _patience(self, bounds: Bounds) -> float:
        if not self._head_since:
            return bounds.idle_seconds
        passed = time.monotonic() - self._head_since
        return max(0.05, bounds.header_seconds - passed)

    def _refuse(self, status: int, detail: str) -> None:
        if self.closing:
            return
        self.closing = True
        self.waiting.append(Malformed(status=status, detail=detail))
        self.arrival.set()

    def _respond_malformed(self, malformed: Malformed) -> None:
        text = (b"Content-Type", b"text/plain; charset=utf-8")
        self.respond(
            malformed.status, [text], malformed.detail.encode() + b"\n", keep=False
        )


class Listener:
    """
    The open connections of one address.

    :param bounds: gives what a caller may send now.
    :param serve: answers one request.
    """

    def __init__(self, *, bounds: Callable[[], Bounds], serve: Serve):
        self.bounds = bounds
        self.serve = serve
        self.connections: set[CallerConnection] = set()
        self.server: asyncio.Server | None = None
        self.draining = False

    async def start(self, address: str) -> None:
        """
        Listen.

        :param address: `host:port`.
        :raises OSError: if the address cannot be had.
        """
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            self._open, host, int(port), backlog=1024, reuse_address=True
        )

    def close(self) -> None:
        """Stop listening; open connections go on."""
        if self.server is not None:
            self.server.close()

    def drain(self) -> None:
        """Make the next response on each connection its last."""
        self.draining = True
        for connection in self.connections:
            connection.draining = True

    def finish(self) -> None:
        """Close each connection after the request in progress on it."""
        for connection in list(self.connections):
            connection.finish()

    @property
    def busy(self) -> int:
        """Count the requests in progress."""
        return sum(connection.busy for connection in self.connections)

    def _open(self) -> CallerConnection:
        connection = CallerConnection(
            bounds=self.bounds,
            serve=self.serve,
            opened=self.connections.add,
            ended=self.connections.discard,
        )
        connection.draining = self.draining
        return connection


def _length(fields: list[Field]) -> int:
    for name, value in fields:
        if name.lower() == b"content-length" and value.isdigit():
            return int(value)
    return 0


def _expects_continue(fields: list[Field]) -> bool:
    return any(
        name.lower() == b"expect" and value.lower() == b"100-continue"
        for name, value in fields
    )
