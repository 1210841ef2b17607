"""
Sends HTTP/1.1 requests to servers and parses the responses.

A connection carries one request at a time.
"""

import asyncio
import enum
import time
from collections.abc import Callable
from dataclasses import dataclass

import httptools
from loguru import logger

from kumquatway_core.decoding import parse_count
from kumquatway_core.memory import MemoryBudget, MemoryShare
from kumquatway_gateway.http1._headers import MAX_FIELDS, Headers

MAX_BUFFERED_BODY_BYTES = 16 * 1024 * 1024  # of a response without a sink, by default
# Received beyond twice the size of a body that is stored, or in a row without any of
# one that is passed on: heads, chunk sizes and extensions, trailers, and responses to
# other requests.
MAX_OVERHEAD_BYTES = 64 * 1024
FIELD_BYTES = 160  # that the objects of a short field take
READ_BYTES = 4 * 1024  # parsed at a time, so that no connection holds up the others

# One for all connections: what is read is parsed before the next read.
_read_buffer = bytearray(READ_BYTES)


class ResponseEnd(enum.Enum):
    """How a response ended."""

    COMPLETE = "complete"
    CLOSED = "closed early"
    RESET = "reset"
    GARBLED = "not HTTP"
    TOO_LARGE = "too large"
    ABANDONED = "abandoned here"


class ResponseFraming(enum.Enum):
    """What marks the end of a response's body."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"  # the end of the connection
    NO_BODY = "no body"


@dataclass(frozen=True, kw_only=True, slots=True)
class ResponseHead:
    """Status and header fields of a response."""

    status: int
    headers: Headers
    framing: ResponseFraming


class _ResponseTooLarge(Exception):
    """More of a response has arrived than may be kept; ends its parsing."""


def accept_any(status: int, headers: Headers) -> bool:
    """Accept any response as the one to the request."""
    return True


class Exchange:
    """
    A request that was sent, and its response.

    :param accepts: returns whether a response belongs to the request; a server may
        first send a late response to another request.
    :param keeps_connection: returns whether the connection may carry another request
        after a response.
    :param bodyless: whether the response has no body, whatever its header fields say.
    :param max_buffered_bytes: limit of the body while it has no sink.
    """

    __slots__ = (
        "accepts",
        "arrived_at",
        "body",
        "bodyless",
        "ended",
        "head",
        "buffered_bytes",
        "keeps_connection",
        "max_buffered_bytes",
        "sink",
    )

    def __init__(
        self,
        *,
        accepts: Callable[[int, Headers], bool] = accept_any,
        keeps_connection: Callable[[int, Headers], bool] = accept_any,
        bodyless: bool = False,
        max_buffered_bytes: int = MAX_BUFFERED_BODY_BYTES,
    ):
        self.bodyless = bodyless
        self.max_buffered_bytes = max_buffered_bytes
        loop = asyncio.get_running_loop()
        self.accepts = accepts
        self.keeps_connection = keeps_connection
        self.sink: Callable[[bytes], int] | None = None
        self.body = bytearray()  # what arrived without a sink
        self.buffered_bytes = 0  # in the body, or by the sink
        self.arrived_at = 0.0  # when the last part of the body came, monotonic seconds
        self.head: asyncio.Future[ResponseHead | ResponseEnd] = loop.create_future()
        self.ended: asyncio.Future[ResponseEnd] = loop.create_future()

    def set_head(self, head: ResponseHead) -> None:
        """Set the head of the response."""
        if not self.head.done():
            self.head.set_result(head)

    def relay_to(self, sink: Callable[[bytes], int], max_bytes: int) -> None:
        """
        Pass on the body as it arrives, with what was stored so far.

        :param sink: called with each part of the body; returns how many bytes it keeps
            until more arrives.
        :param max_bytes: that the sink may keep.
        """
        self.sink = sink
        self.max_buffered_bytes = max_bytes
        stored, self.body = self.body, bytearray()
        self.buffered_bytes = sink(bytes(stored)) if stored else 0

    def feed(self, data: bytes) -> None:
        """Store a part of the body, or pass it to the sink."""
        self.arrived_at = time.monotonic()
        if self.sink is not None:
            self.buffered_bytes = self.sink(data)
            return
        self.body += data
        self.buffered_bytes = len(self.body)

    def framing(self) -> str:
        """Return what marks the end of the body, or "" without a head."""
        if not self.head.done() or self.head.cancelled():
            return ""
        head = self.head.result()
        return head.framing.value if isinstance(head, ResponseHead) else ""

    def how_ended(self) -> ResponseEnd | None:
        """Return how the response ended, or None if it has not, or nobody waits."""
        if not self.ended.done() or self.ended.cancelled():
            return None
        return self.ended.result()

    def end(self) -> str:
        """Return how the response ended, or "not ended"."""
        end = self.how_ended()
        return "not ended" if end is None else end.value

    def describe(self) -> str:
        """Return how the response was framed and how it ended, for a log line."""
        return f"framing {self.framing() or 'unknown'}, {self.end()}"

    def finish(self, end: ResponseEnd) -> None:
        """Set how the response ended; a body that was given up is dropped."""
        self.sink = None
        if end in (ResponseEnd.TOO_LARGE, ResponseEnd.GARBLED, ResponseEnd.ABANDONED):
            self.body = bytearray()
        if not self.head.done():
            self.head.set_result(end)
        if not self.ended.done():
            self.ended.set_result(end)


class _Message:
    """The response that is being parsed."""

    __slots__ = ("fields", "framing", "skipped")

    def __init__(self):
        self.fields: list[tuple[bytes, bytes]] = []
        self.framing = ResponseFraming.CLOSE
        self.skipped = False

    @property
    def ends_with_connection(self) -> bool:
        """Whether only the end of the connection ends the body."""
        return self.framing is ResponseFraming.CLOSE


class UpstreamConnection(asyncio.BufferedProtocol):
    """
    The client side of one connection to a server.

    :param on_reusable: called with the connection when a response is complete and the
        connection can be used for another request.
    :param memory: bounds what the responses of all connections take.
    :param sender: the server, whose responses are judged together.
    """

    def __init__(
        self,
        *,
        on_reusable: Callable[["UpstreamConnection"], None],
        memory: MemoryBudget,
        sender: str = "",
    ):
        self.on_reusable = on_reusable
        self.memory = memory
        self.sender = sender
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.message = _Message()
        self.exchange: Exchange | None = None
        self.reusable = True
        self.closed = False
        self.keep_alive_seconds = 0.0  # as sent by the server, 0 if it sent none
        self.idle_since = 0.0
        self._overhead_bytes = 0
        self._parts: list[bytes] = []  # of the body, from the bytes being parsed
        self._share: MemoryShare | None = None  # while anything is held

    def send(self, exchange: Exchange, data: bytes) -> None:
        """
        Send a request.

        :param exchange: receives the response.
        :param data: head and body of the request.
        """
        self.exchange = exchange
        self._overhead_bytes = 0
        self.transport.write(data)

    def set_reading(self, enabled: bool) -> None:
        """
        Pause or resume reading from the server.

        :param enabled: True to read, False to pause.
        """
        if self.transport is None or self.transport.is_closing():
            return
        if enabled:
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()

    def abandon(self, end: ResponseEnd = ResponseEnd.ABANDONED) -> None:
        """
        Abort the connection and the exchange in progress.

        :param end: how the response counts as ended.
        """
        self.reusable = False
        self._finish(end)
        if self.transport is not None:
            self.transport.abort()

    def give_up(self) -> None:
        """Abort the connection, as its response is too large."""
        self.abandon(ResponseEnd.TOO_LARGE)

    # asyncio.BufferedProtocol

    def connection_made(self, transport):
        """Store the transport."""
        self.transport = transport

    def get_buffer(self, sizehint):
        """Return the buffer to read into."""
        return _read_buffer

    def buffer_updated(self, nbytes):
        """Parse what was read."""
        self.data_received(bytes(memoryview(_read_buffer)[:nbytes]))

    def data_received(self, data):
        """Parse a response; unexpected data aborts the connection."""
        if self.exchange is None:
            self.abandon()
            return
        self._overhead_bytes += len(data)
        end = self._parse(data)
        if end is None and self._overhead_bytes > MAX_OVERHEAD_BYTES:
            end = ResponseEnd.TOO_LARGE
        if end is not None:
            self.abandon(end)
        self._hold(self._held_bytes())

    def _parse(self, data: bytes) -> ResponseEnd | None:
        """Parse data and pass on the body; return how the response fails, or None."""
        try:
            try:
                self.parser.feed_data(data)
            finally:
                self._pass_on()
        except httptools.HttpParserCallbackError as error:
            return _failure(error.__context__ or error)
        except httptools.HttpParserError:
            return ResponseEnd.GARBLED
        except Exception as error:
            return _failure(error)
        return None

    def _pass_on(self) -> None:
        """Pass the parts of the body that were parsed to the exchange."""
        if not self._parts:
            return
        parts, self._parts = self._parts, []
        self._overhead_bytes = max(0, self._overhead_bytes)
        exchange = self.exchange
        if exchange is None:
            return
        if exchange.sink is not None:
            self._overhead_bytes = 0  # a stream may go on for long in small chunks
        exchange.feed(parts[0] if len(parts) == 1 else b"".join(parts))
        if exchange.buffered_bytes > exchange.max_buffered_bytes:
            raise _ResponseTooLarge

    def _held_bytes(self) -> int:
        """Return what is kept of the response, objects included."""
        if self.exchange is None:
            return 0
        fields = len(self.message.fields) * FIELD_BYTES
        return self._overhead_bytes + fields + self.exchange.buffered_bytes

    def _hold(self, size: int) -> None:
        """Count what is kept of the response."""
        share = self._share
        if share is None:
            if not size:
                return
            share = self._share = self.memory.begin(self.sender, self.give_up)
        if not size:
            self._share = None
        if share.size != size:
            self.memory.resize(share, size)

    def eof_received(self):
        """Complete a response without framing; any other one is truncated."""
        if self.exchange is not None:
            until_close = (
                self.exchange.head.done() and self.message.ends_with_connection
            )
            self._finish(ResponseEnd.COMPLETE if until_close else ResponseEnd.CLOSED)
        self.reusable = False
        return False

    def connection_lost(self, error):
        """Fail the exchange in progress."""
        self.closed = True
        self.reusable = False
        self._finish(ResponseEnd.RESET if error is not None else ResponseEnd.CLOSED)
        self.parser = None  # it refers to this connection

    # httptools callbacks

    def on_message_begin(self):
        """Begin a response; one without a request aborts the connection."""
        self.message = _Message()
        if self.exchange is None:
            self.abandon()

    def on_header(self, name, value):
        """Store a header field."""
        if len(self.message.fields) >= MAX_FIELDS:
            raise _ResponseTooLarge
        self.message.fields.append((name, value))

    def on_headers_complete(self):
        """Pass the head to the exchange, unless it belongs to another request."""
        status = self.parser.get_status_code()
        if status < 200:
            return
        headers = Headers(self.message.fields)
        self.message.framing = _find_framing(status, headers)
        self.keep_alive_seconds = _keep_alive_timeout(headers.get(b"keep-alive"))
        exchange = self.exchange
        if exchange is None or exchange.head.done():
            self.reusable = False
            self.message.skipped = True
            return
        if not exchange.accepts(status, headers):
            self.reusable = False
            self.message.skipped = True
            return
        if not exchange.keeps_connection(status, headers):
            self.reusable = False
        if exchange.bodyless:
            self.message.framing = ResponseFraming.NO_BODY
        head = ResponseHead(
            status=status, headers=headers, framing=self.message.framing
        )
        exchange.set_head(head)
        if exchange.bodyless:
            # The parser would wait for the body that the header fields announce.
            self.reusable = False
            self._finish(ResponseEnd.COMPLETE)
            self.transport.close()

    def on_body(self, data):
        """Take part of the body."""
        if self.exchange is None or self.message.skipped:
            return
        self._overhead_bytes -= 2 * len(data)
        self._parts.append(data)

    def on_message_complete(self):
        """Complete the response and make the connection available for reuse."""
        if self.message.skipped or self.parser.get_status_code() < 200:
            return
        self._pass_on()
        if self.exchange is None:
            return
        if self.message.ends_with_connection:
            return
        if not self.parser.should_keep_alive():
            self.reusable = False
        if self.transport.get_write_buffer_size():
            self.reusable = False  # early response: the request body is not sent yet
        self._finish(ResponseEnd.COMPLETE)
        if self.reusable:
            self.on_reusable(self)
        else:
            self.transport.close()

    def _finish(self, end: ResponseEnd) -> None:
        exchange, self.exchange = self.exchange, None
        self.message = _Message()
        self._hold(0)
        if exchange is not None:
            exchange.finish(end)


def _failure(error: BaseException) -> ResponseEnd:
    """Return how a response ends whose parsing has raised an exception."""
    if isinstance(error, _ResponseTooLarge):
        return ResponseEnd.TOO_LARGE
    logger.opt(exception=error).error("a response could not be read: {!r}", error)
    return ResponseEnd.GARBLED


def _find_framing(status: int, headers: Headers) -> ResponseFraming:
    """Return what ends the body of a response (RFC 9112, 6.3)."""
    if status in (204, 304):
        return ResponseFraming.NO_BODY
    if b"chunked" in (headers.get(b"transfer-encoding") or b"").lower():
        return ResponseFraming.CHUNKED
    if headers.get(b"content-length") is not None:
        return ResponseFraming.LENGTH
    return ResponseFraming.CLOSE


def _keep_alive_timeout(value: bytes | None) -> float:
    """Return the timeout of a `Keep-Alive` field in seconds, or 0 if it has none."""
    for part in (value or b"").lower().split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name == b"timeout":
            return float(parse_count(seconds) or 0)
    return 0.0
