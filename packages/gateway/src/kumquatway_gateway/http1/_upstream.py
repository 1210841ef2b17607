"""
Upstream.

One connection to a server: a request at a time, and what becomes of its response.
"""

import asyncio
import enum
from collections.abc import Callable
from dataclasses import dataclass

import httptools

from kumquatway_gateway.http1._headers import Headers

MAX_BUFFERED_BODY_BYTES = 16 * 1024 * 1024  # of a response that is kept whole


class ResponseEnd(enum.Enum):
    """How a response ended."""

    COMPLETE = "complete"
    CLOSED = "closed early"
    RESET = "reset"
    GARBLED = "not HTTP"
    ABANDONED = "abandoned here"


@dataclass(frozen=True, kw_only=True, slots=True)
class ResponseHead:
    """Status and fields of a response."""

    status: int
    headers: Headers


def accept_any(status: int, headers: Headers) -> bool:
    """Take any response for the one that is due."""
    return True


class Exchange:
    """
    A request that was written and the response that is due for it.

    :param accepts: tells whether a response belongs to the request; a server may
        send a late one of another request first.
    :param sink: gets each piece of the body; without one the pieces are kept.
    :param bodyless: whether the response ends with its head, whatever its fields say.
    """

    __slots__ = (
        "accepts",
        "body",
        "bodyless",
        "ended",
        "head",
        "buffered_bytes",
        "sink",
    )

    def __init__(
        self,
        *,
        accepts: Callable[[int, Headers], bool] = accept_any,
        sink: Callable[[bytes], None] | None = None,
        bodyless: bool = False,
    ):
        self.bodyless = bodyless
        loop = asyncio.get_running_loop()
        self.accepts = accepts
        self.sink = sink
        self.body: list[bytes] = []
        self.buffered_bytes = 0
        self.head: asyncio.Future[ResponseHead | ResponseEnd] = loop.create_future()
        self.ended: asyncio.Future[ResponseEnd] = loop.create_future()

    def set_head(self, head: ResponseHead) -> None:
        """Take the head of the response."""
        if not self.head.done():
            self.head.set_result(head)

    def feed(self, data: bytes) -> None:
        """Take a piece of the body."""
        if self.sink is not None:
            self.sink(data)
            return
        self.body.append(data)
        self.buffered_bytes += len(data)

    def finish(self, end: ResponseEnd) -> None:
        """Settle how the response ended."""
        if not self.head.done():
            self.head.set_result(end)
        if not self.ended.done():
            self.ended.set_result(end)


class _Message:
    """Framing of the response being parsed."""

    __slots__ = ("fields", "has_framing", "skipped")

    def __init__(self):
        self.fields: list[tuple[bytes, bytes]] = []
        self.has_framing = False
        self.skipped = False


class UpstreamConnection(asyncio.Protocol):
    """
    A connection to one server.

    :param released: called when a response was taken whole and the connection can
        carry another request.
    """

    def __init__(self, *, on_reusable: Callable[["UpstreamConnection"], None]):
        self.on_reusable = on_reusable
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.message = _Message()
        self.exchange: Exchange | None = None
        self.reusable = True
        self.closed = False
        self.keep_alive_seconds = (
            0.0  # seconds that the server keeps it idle, 0 if untold
        )
        self.idle_since = 0.0

    def send(self, exchange: Exchange, data: bytes) -> None:
        """
        Write a request.

        :param exchange: gets the response.
        :param data: head and body.
        """
        self.exchange = exchange
        self.transport.write(data)

    def set_reading(self, enabled: bool) -> None:
        """
        Hold back what the server sends, or let it flow again.

        :param on: whether it flows.
        """
        if self.transport is None or self.transport.is_closing():
            return
        if enabled:
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()

    def abandon(self) -> None:
        """Close the connection, whatever is in progress on it."""
        self.reusable = False
        self._finish(ResponseEnd.ABANDONED)
        if self.transport is not None:
            self.transport.abort()

    # asyncio.Protocol

    def connection_made(self, transport):
        """Keep the transport."""
        self.transport = transport

    def data_received(self, data):
        """Parse what the server sent; anything that is not due ends the connection."""
        if self.exchange is None:
            self.abandon()
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self._fail(ResponseEnd.GARBLED)

    def eof_received(self):
        """End a response without a length; any other ended too early."""
        if self.exchange is not None:
            unframed = self.exchange.head.done() and not self.message.has_framing
            self._finish(ResponseEnd.COMPLETE if unframed else ResponseEnd.CLOSED)
        self.reusable = False
        return False

    def connection_lost(self, error):
        """Fail what is in progress."""
        self.closed = True
        self.reusable = False
        self._finish(ResponseEnd.RESET if error is not None else ResponseEnd.CLOSED)

    # httptools

    def on_message_begin(self):
        """Begin a response; one that nothing is due for ends the connection."""
        self.message = _Message()
        if self.exchange is None:
            self.abandon()

    def on_header(self, name, value):
        """Take a field."""
        self.message.fields.append((name, value))

    def on_headers_complete(self):
        """Hand the head over, unless it is another request's."""
        status = self.parser.get_status_code()
        if status < 200:
            return
        headers = Headers(self.message.fields)
        self._read_framing(status, headers)
        exchange = self.exchange
        if exchange is None or exchange.head.done():
            self.reusable = False
            self.message.skipped = True
            return
        if not exchange.accepts(status, headers):
            self.reusable = False
            self.message.skipped = True
            return
        exchange.set_head(ResponseHead(status=status, headers=headers))
        if exchange.bodyless:
            # The parser would wait for the body that the fields speak of.
            self.reusable = False
            self._finish(ResponseEnd.COMPLETE)
            self.transport.close()

    def on_body(self, data):
        """Hand a piece of the body over."""
        exchange = self.exchange
        if exchange is None or self.message.skipped:
            return
        exchange.feed(data)
        if exchange.buffered_bytes > MAX_BUFFERED_BODY_BYTES:
            self._fail(ResponseEnd.GARBLED)

    def on_message_complete(self):
        """End the response and offer the connection for reuse."""
        if self.message.skipped or self.parser.get_status_code() < 200:
            return
        if not self.message.has_framing:
            return
        if not self.parser.should_keep_alive():
            self.reusable = False
        if self.transport.get_write_buffer_size():
            self.reusable = False  # an early answer: the rest of the body is due
        self._finish(ResponseEnd.COMPLETE)
        if self.reusable:
            self.on_reusable(self)
        else:
            self.transport.close()

    def _read_framing(self, status: int, headers: Headers) -> None:
        chunked = b"chunked" in (headers.get(b"transfer-encoding") or b"").lower()
        sized = headers.get(b"content-length") is not None
        self.message.has_framing = chunked or sized or status in (204, 304)
        self.keep_alive_seconds = _keep_alive_timeout(headers.get(b"keep-alive"))

    def _fail(self, end: ResponseEnd) -> None:
        self.reusable = False
        self._finish(end)
        if self.transport is not None:
            self.transport.abort()

    def _finish(self, end: ResponseEnd) -> None:
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.finish(end)


def _keep_alive_timeout(value: bytes | None) -> float:
    """Read the seconds of a `Keep-Alive` field, 0 where there are none."""
    for part in (value or b"").lower().split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name == b"timeout" and seconds.isdigit():
            return float(seconds)
    return 0.0
