"""
Reads HTTP/1.1 requests from callers and writes the responses.

Each connection serves its requests in order. Requests whose framing is invalid or
ambiguous are rejected.
"""

import asyncio
import contextlib
import enum
import math
import random
import select
import socket
import struct
import time
from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

import httptools
from loguru import logger

from kumquatway_core import Reason, not_run
from kumquatway_core.memory import MemoryBudget
from kumquatway_gateway.http1._headers import (
    MAX_FIELDS,
    Field,
    Headers,
    render_request,
    render_response,
    verdict_fields,
    without_upgrade,
)
from kumquatway_gateway.http1._request_bodies import BodyShare, RequestBodies

FLUSH_CHECK_SECONDS = 0.02  # between looks at what a slow caller has yet to take
MIN_READ_SECONDS = 0.05  # for bytes that this process is late to read
MAX_PIPELINED_REQUESTS = 4  # queued on a connection before reading is paused
COPIED_BODY_BYTES = 64 * 1024  # larger bodies of responses are sent apart from the head
LEFT_CHECK_SECONDS = 0.1  # between looks for a caller's close while reading is paused
KEPT_SHARE = 0.8  # of the idle time of a connection, at most, that callers are told
KEPT_MARGIN_SECONDS = 1.0  # for a request that is sent as the time told runs out
FIRST_REQUEST_SECONDS = 1.0  # after a connection was opened, at a shutdown
LINGER_SECONDS = 2.0  # for a caller to read a rejection while it sends
BODIES_RETRY_SECONDS = 1.0  # mean time until a body that was refused should come again
NO_MEMORY = "the bodies of other requests take the memory of this entry"


class RequestLimits(Protocol):
    """Limits on the requests of callers; see `Limits`."""

    header_bytes: int
    body_bytes: int
    header_seconds: float
    idle_seconds: float


@dataclass(frozen=True, kw_only=True, slots=True)
class IncomingRequest:
    """
    A request with its complete body.

    :param target: path and query.
    :param arrived: when the head was complete, monotonic seconds.
    :param keep_alive: whether the caller wants to keep the connection open.
    :param accepts_chunked: whether the caller supports chunked responses (HTTP/1.1).
    :param share: what the body takes of the bound on all bodies.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    arrived: float
    keep_alive: bool
    accepts_chunked: bool = True
    share: BodyShare | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class RejectedRequest:
    """A request that is not served; the connection closes after this error response."""

    status: int
    detail: str
    fields: tuple[Field, ...] = ()


class ResponseProgress(enum.Enum):
    """How much of the response to the request in progress was written."""

    NOTHING = "nothing"
    HEAD = "head"  # of a streamed response, and maybe some of its body
    COMPLETE = "complete"


class _HeadTooLarge(Exception):
    """The head of a request has too many fields; ends its parsing."""


RequestHandler = Callable[["CallerConnection", IncomingRequest], Awaitable[None]]


class CallerConnection(asyncio.Protocol):
    """
    The server side of one connection from a caller.

    :param limits: returns the limits on requests that apply now.
    :param serve: writes the response to one request.
    :param bodies: decides which bodies are read.
    :param kept_seconds: see `Listener`.
    :param memory: bounds what responses take.
    :param on_opened: called with the connection once it is open.
    :param on_closed: called with the connection once its task has ended.
    """

    def __init__(
        self,
        *,
        limits: Callable[[], RequestLimits],
        serve: RequestHandler,
        bodies: RequestBodies,
        kept_seconds: int = 0,
        memory: MemoryBudget | None = None,
        on_opened: Callable[["CallerConnection"], None],
        on_closed: Callable[["CallerConnection"], None],
    ):
        self.limits = limits
        self.serve = serve
        self.bodies = bodies
        self.kept_seconds = kept_seconds
        self.memory = memory or MemoryBudget(max_bytes=float("inf"))
        self.on_opened = on_opened
        self.on_closed = on_closed
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.pending: deque[IncomingRequest | RejectedRequest] = deque()
        self.wakeup = asyncio.Event()
        self.lost = False
        self.busy = False
        self.flushing = False  # the response is complete, and has yet to leave
        self.response = ResponseProgress.NOTHING  # to the request in progress
        self.accepts_chunked = True  # for the request in progress
        self.bodyless = False  # the same: its response has no body, as for HEAD
        self.closing = False  # close after the requests that were read
        self.draining = False  # the same, with those that are being read
        self.ending = False  # the same, and close if there is none
        self.leaves_at = math.inf  # when it closes at the latest, monotonic seconds
        self.caller_keeps = True  # the connection, after the request in progress
        # For which a caller may trust an idle connection, and until when, monotonic.
        self.trusted_seconds = FIRST_REQUEST_SECONDS if kept_seconds else 0.0
        self.trusted_until = 0.0
        self.on_flow_change: Callable[[bool], None] | None = None
        self.writing_paused = False  # the write buffer is full
        self.reading_paused = False
        self.task: asyncio.Task | None = None
        self._url = b""
        self._fields: list[Field] = []
        self._head_bytes = 0
        self._head_started_at = 0.0
        self._reading_body = False
        self._continue_due = False  # before the caller sends the body
        self._offers_upgrade = False
        self._body = bytearray()
        self._body_bytes = 0
        self._body_share: BodyShare | None = None
        self._body_timer: asyncio.TimerHandle | None = None  # while the body waits
        self._left_timer: asyncio.TimerHandle | None = None  # while reading is paused
        self._arrived = 0.0

    @property
    def is_unfinished(self) -> bool:
        """Whether a request is being read or answered, or its answer leaves yet."""
        return self.busy or self.flushing or self._has_more()

    @property
    def is_awaited(self) -> bool:
        """Whether the caller may still send a request that it expects to be read."""
        open_for_more = not (self.lost or self.closing or self.is_unfinished)
        return open_for_more and time.monotonic() < self.trusted_until

    @property
    def is_kept(self) -> bool:
        """Whether the caller may send a request after one that was answered."""
        return self.is_awaited and self.response is not ResponseProgress.NOTHING

    def _has_more(self) -> bool:
        """Tell whether another request is being read, or waits for its answer."""
        return bool(self.pending or self._reading_body or self._head_started_at)

    # called by request handlers and by the listener

    def respond(
        self,
        status: int,
        fields: Iterable[Field],
        body: bytes | bytearray,
        *,
        keep_alive: bool,
    ) -> None:
        """
        Write a complete response.

        :param status: HTTP status code.
        :param fields: header fields, without the framing fields.
        :param body: the complete body.
        :param keep_alive: whether the connection may be used for another request.
        """
        if self.lost:
            return
        head_fields = [*fields, (b"Content-Length", b"%d" % len(body))]
        head_fields += self._connection_fields(keep_alive)
        head = render_response(status, head_fields)
        self.response = ResponseProgress.COMPLETE
        if self.bodyless:
            self.transport.write(head)
        elif len(body) <= COPIED_BODY_BYTES:
            self.transport.write(head + body)
        else:
            self.transport.write(head)
            self.transport.write(memoryview(body))

    def start_stream(
        self, status: int, fields: Iterable[Field], *, keep_alive: bool
    ) -> None:
        """
        Write the head of a streamed response.

        The body is chunked; for a caller that does not support chunks, it ends when
        the connection closes.

        :param status: HTTP status code.
        :param fields: header fields, without the framing fields.
        :param keep_alive: whether the connection may be used for another request.
        """
        if self.lost:
            return
        head_fields = list(fields)
        if self.accepts_chunked:
            head_fields.append((b"Transfer-Encoding", b"chunked"))
        else:
            self._reset_on_close(True)
        head_fields += self._connection_fields(keep_alive and self.accepts_chunked)
        head = render_response(status, head_fields)
        self.response = ResponseProgress.HEAD
        self.transport.write(head)

    def write_chunk(self, data: bytes) -> None:
        """Write part of a streamed body."""
        if self.lost or self.bodyless:
            return
        if self.accepts_chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self.transport.write(data)

    def end_stream(self) -> None:
        """Write the end of a streamed body."""
        self.response = ResponseProgress.COMPLETE
        if self.lost or self.bodyless:
            return
        if self.accepts_chunked:
            self.transport.write(b"0\r\n\r\n")
        else:
            self._reset_on_close(False)

    async def flush(self) -> None:
        """
        Wait until a response that was written has left.

        A caller that takes nothing for the idle time of a connection is given up.
        """
        waited = 0.0
        size = self._unsent_bytes()
        self.flushing = True
        share = self.memory.begin(self._host(), self.abort)
        try:
            while size:
                self.memory.resize(share, size)
                await asyncio.sleep(FLUSH_CHECK_SECONDS)
                before, size = size, self._unsent_bytes()
                waited = 0.0 if size < before else waited + FLUSH_CHECK_SECONDS
                if waited > self.limits().idle_seconds:
                    self.abort()
                    break
        finally:
            self.memory.resize(share, 0)
        self.flushing = False

    def _host(self) -> str:
        """Return the host of the caller, whose connections are judged together."""
        host, *_ = self.transport.get_extra_info("peername") or ("",)
        return host

    def _unsent_bytes(self) -> int:
        return 0 if self.lost else self.transport.get_write_buffer_size()

    def abort(self) -> None:
        """Abort the connection, so that a truncated body cannot look complete."""
        self._accept_no_more()
        if self.transport is not None:
            self.transport.abort()

    def has_left(self) -> bool:
        """
        Tell whether the caller has closed the connection, or its half of it.

        A close that was not read counts: this process may be late, or have stopped
        reading.
        """
        if self.lost or self.transport.is_closing():
            return True
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket"), select.POLLRDHUP)
        return bool(poll.poll(0))

    def end_if_left(self) -> bool:
        """
        Cancel the request in progress if its caller has left.

        :return: whether the caller has left.
        """
        if not self.has_left():
            return False
        self._cancel_request()
        self.transport.abort()
        return True

    def _cancel_request(self) -> None:
        if self.busy and not self.flushing and self.task is not None:
            self.task.cancel()

    def _reset_on_close(self, enabled: bool) -> None:
        """
        Choose how the connection ends, also if this process is killed.

        An orderly close would complete a body that ends with the connection.
        """
        linger = struct.pack("ii", enabled, 0)
        raw = self.transport.get_extra_info("socket")
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def close_when_idle(self) -> None:
        """Close after the last request that has arrived, or now if there is none."""
        self.draining = self.ending = True
        self.wakeup.set()

    def _connection_fields(self, keep_alive: bool) -> list[Field]:
        """Return the fields that tell how long the connection may be used."""
        if not self._decide_keep_alive(keep_alive):
            return [(b"Connection", b"close")]
        if not self.kept_seconds or self.draining or not self.caller_keeps:
            return []
        idle_seconds = self.limits().idle_seconds
        told = min(self.kept_seconds, int(idle_seconds * KEPT_SHARE))
        self.trusted_seconds = min(idle_seconds, told + KEPT_MARGIN_SECONDS)
        return [(b"Keep-Alive", b"timeout=%d" % told)] if told > 0 else []

    def _decide_keep_alive(self, keep_alive: bool) -> bool:
        """Tell whether another response follows; requests that were read get one."""
        if not keep_alive:
            self._accept_no_more()
        elif self.draining and not self._has_more():
            self.closing = True
        return not self.closing or bool(self.pending)

    def _accept_no_more(self) -> None:
        """Close after the request in progress, whatever the caller sent after it."""
        self.closing = True
        for queued in self.pending:
            self._discard_share(queued)
        self.pending.clear()
        self._drop_body()

    # asyncio.Protocol

    def connection_made(self, transport):
        """Start the task that serves the connection."""
        self.transport = transport
        self.on_opened(self)
        self.task = asyncio.get_running_loop().create_task(self._run())

    def data_received(self, data):
        """Parse requests; a malformed one closes the connection."""
        if self.closing:
            return
        if not self._reading_body:
            self._head_bytes += len(data)
            if not self._head_started_at:
                self._head_started_at = time.monotonic()
        try:
            self._feed(data)
        except httptools.HttpParserCallbackError as error:
            self._reject_unreadable(error)
        except httptools.HttpParserError as error:
            self._reject(400, f"the request is not HTTP/1.1: {error}")
        if not self._reading_body and self._head_bytes > self.limits().header_bytes:
            self._reject(431, "the head of the request is too large")
        self._update_reading()

    def _reject_unreadable(self, error: httptools.HttpParserCallbackError) -> None:
        """Reject a request that one of the callbacks did not accept."""
        if isinstance(error.__context__, _HeadTooLarge):
            self._reject(431, "the head of the request has too many fields")
            return
        logger.opt(exception=error).error("a request could not be read: {!r}", error)
        self._reject(503, "an internal error")

    def _update_reading(self) -> None:
        """Pause reading while many requests are queued, or the body has to wait."""
        if self.lost:
            return
        queued = len(self.pending) > MAX_PIPELINED_REQUESTS
        must_wait = queued or self._body_timer is not None
        self.reading_paused = must_wait and not self.closing
        if self.reading_paused:
            self.transport.pause_reading()
            self._watch_for_close()
        else:
            self.transport.resume_reading()

    def _watch_for_close(self) -> None:
        """Look for the caller's close while reading is paused during a request."""
        if self.reading_paused and self.busy and self._left_timer is None:
            loop = asyncio.get_running_loop()
            self._left_timer = loop.call_later(LEFT_CHECK_SECONDS, self._look_for_close)

    def _look_for_close(self) -> None:
        self._left_timer = None
        in_progress = self.busy and not self.flushing
        if not (in_progress and self.reading_paused and self.end_if_left()):
            self._watch_for_close()

    def _feed(self, data: bytes) -> None:
        """Parse data; an offer to upgrade the connection is ignored (RFC 9110, 7.8)."""
        while True:
            try:
                self.parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as upgrade:
                method = self.parser.get_method()
                if method == b"CONNECT" or self.parser.get_http_version() == "1.0":
                    self._reject(
                        400, "tunnels are not supported, nor upgrades of HTTP/1.0"
                    )
                    return
                data = self._without_offer(method) + data[upgrade.args[0] :]

    def _without_offer(self, method: bytes) -> bytes:
        """
        Return the head of a request again, without its offer to upgrade.

        The parser takes what follows the head for another protocol, so a new one reads
        the request.
        """
        self._offers_upgrade = False
        self.parser = httptools.HttpRequestParser(self)
        return render_request(
            method.decode("latin-1"),
            self._url.decode("latin-1"),
            without_upgrade(self._fields),
        )

    def eof_received(self):
        """Treat a half-closed connection as a disconnect of the caller."""
        if self.busy and not self.flushing:
            # close() would first wait for buffered data to be sent, possibly forever.
            self.transport.abort()
        return False

    def connection_lost(self, error):
        """Cancel the request in progress."""
        self.lost = True
        self.wakeup.set()
        self._cancel_request()

    def pause_writing(self):
        """Report that the write buffer is full."""
        self.writing_paused = True
        if self.on_flow_change is not None:
            self.on_flow_change(False)

    def resume_writing(self):
        """Report that the write buffer has space again."""
        self.writing_paused = False
        if self.on_flow_change is not None:
            self.on_flow_change(True)

    # httptools callbacks

    def on_message_begin(self):
        """Reset the parsed fields for a new request."""
        # Its first bytes may come with the end of another one.
        self._head_started_at = self._head_started_at or time.monotonic()
        self._url = b""
        self._fields = []

    def on_url(self, url):
        """Append to the request target, which may arrive in parts."""
        self._url += url

    def on_header(self, name, value):
        """Store a header field."""
        if len(self._fields) >= MAX_FIELDS:
            raise _HeadTooLarge
        self._fields.append((name, value))

    def on_headers_complete(self):
        """Check the head against the limits and start to read the body."""
        if self.parser.should_upgrade():
            self._offers_upgrade = True
            return
        self._arrived = time.monotonic()
        self._reading_body = True
        self._head_bytes = 0
        self._head_started_at = 0.0
        self._body = bytearray()
        self._body_bytes = 0
        length = _content_length(self._fields)
        if self._head_size() > self.limits().header_bytes:
            self._reject(431, "the head of the request is too large")
        elif length > self.limits().body_bytes:
            self._reject(413, "the body of the request is too large")
        elif length:
            self._begin_body(length)
        elif _expects_continue(self._fields):
            self._begin_body(0)

    def _begin_body(self, length: int) -> None:
        """Ask for the memory of a body, whose length is 0 if it is not declared."""
        self._body_share = self.bodies.begin(length, self._read_body)
        if self._body_share.admitted:
            self._read_body()
        else:
            self._wait_for_memory()

    def _read_body(self) -> None:
        """Read a body that was admitted."""
        self._stop_waiting()
        self._continue_due = _expects_continue(self._fields) and not self._body_bytes
        self._invite_body()

    def _invite_body(self) -> None:
        """Tell a caller to send a body, once the responses before it are written."""
        if not self._continue_due or self.lost or self.busy or self.pending:
            return
        self._continue_due = False
        self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _wait_for_memory(self) -> None:
        """Stop reading until the body is admitted, or refuse it."""
        if self._body_share.refused:
            self._refuse_body()
        elif self._body_timer is None:
            loop = asyncio.get_running_loop()
            patience = self.limits().header_seconds
            self._body_timer = loop.call_later(patience, self._refuse_body)

    def _stop_waiting(self) -> None:
        if self._body_timer is not None:
            self._body_timer.cancel()
            self._body_timer = None
            self._update_reading()

    def _refuse_body(self) -> None:
        """Refuse the request whose body is being read: it was not run."""
        wait = BODIES_RETRY_SECONDS * random.uniform(0.5, 1.5)
        verdict = not_run(Reason.OVERLOADED, NO_MEMORY, retry_after=wait)
        self._reject(
            verdict.status(),
            verdict.detail,
            *verdict_fields(verdict),
        )

    def _drop_body(self) -> None:
        """Free the part of a body that has arrived."""
        self._body = bytearray()
        self._stop_waiting()
        if self._body_share is not None:
            self.bodies.discard(self._body_share)
            self._body_share = None

    def on_body(self, data):
        """Store part of the body, up to the limit."""
        if self.closing:
            return
        if self._body_share is None:
            self._begin_body(0)
        self._body_bytes += len(data)
        if self._body_bytes > self.limits().body_bytes:
            self._reject(413, "the body of the request is too large")
        if self.closing:
            return
        self._body += data
        self.bodies.receive(self._body_share, len(data))
        if not self._body_share.admitted:
            self._wait_for_memory()

    def on_message_complete(self):
        """Queue the complete request."""
        if self._offers_upgrade:
            return
        self._reading_body = self._continue_due = False
        if self.closing:
            return
        share, self._body_share = self._body_share, None
        if share is not None and not self.bodies.complete(share):
            self._body_share = share
            self._refuse_body()
            return
        self._stop_waiting()
        self.pending.append(
            IncomingRequest(
                method=self.parser.get_method().decode("latin-1"),
                target=self._url.decode("latin-1"),
                headers=Headers(self._fields),
                body=bytes(self._body),
                arrived=self._arrived,
                keep_alive=self.parser.should_keep_alive(),
                accepts_chunked=self.parser.get_http_version() != "1.0",
                share=share,
            )
        )
        self._body = bytearray()
        self.wakeup.set()

    def _head_size(self) -> int:
        """Return the size of the head in bytes, including separators."""
        fields = sum(len(name) + len(value) + 4 for name, value in self._fields)
        return len(self._url) + fields

    # the task that serves the connection

    async def _run(self) -> None:
        try:
            while not self.lost and await self._serve_next():
                pass
        finally:
            self._drop_body()
            for queued in self.pending:
                self._discard_share(queued)
            if not self.transport.is_closing():
                self.transport.close()
            self.on_closed(self)

    async def _serve_next(self) -> bool:
        """Serve a request, which is freed then; return whether another may follow."""
        incoming = await self._next_request()
        if incoming is None or self.lost:
            self._discard_share(incoming)
            return False
        if isinstance(incoming, RejectedRequest):
            self._drop_body()
            self._respond_rejected(incoming)
            await self._linger()
            return False
        try:
            await self._serve_request(incoming)
        finally:
            self._discard_share(incoming)
        if not (self._has_more() or self._outlasts_trust()):
            self.closing = True
        if self.closing and not self.pending and not self.lost:
            await self._linger()
        return not self.closing or bool(self.pending)

    def _outlasts_trust(self) -> bool:
        """Tell whether the connection stays open for as long as its caller was told."""
        return time.monotonic() + self.trusted_seconds <= self.leaves_at

    def _discard_share(
        self, incoming: IncomingRequest | RejectedRequest | None
    ) -> None:
        share = getattr(incoming, "share", None)
        if share is not None:
            self.bodies.discard(share)

    async def _linger(self) -> None:
        """
        Discard what the caller still sends, until it has closed the connection.

        A close with unread bytes resets the connection, and the response may get lost.
        """
        self._update_reading()
        if self.transport.is_closing():
            return
        self.transport.write_eof()
        try:
            async with asyncio.timeout(LINGER_SECONDS):
                while not self.lost:
                    self.wakeup.clear()
                    await self.wakeup.wait()
        except TimeoutError:
            return

    async def _serve_request(self, incoming: IncomingRequest) -> None:
        self.busy = True
        self.response = ResponseProgress.NOTHING
        self.accepts_chunked = incoming.accepts_chunked
        self.bodyless = incoming.method == "HEAD"
        self.caller_keeps = incoming.keep_alive
        self._watch_for_close()
        try:
            # A close that this process is late to read is read after the request.
            await asyncio.sleep(0)
            if not self.transport.is_closing():
                await self.serve(self, incoming)
        except Exception as error:
            self._respond_failed(incoming, error)
        finally:
            self.busy = False
            self.on_flow_change = None
        if not incoming.keep_alive:
            self._accept_no_more()
        self._invite_body()
        await self.flush()

    def _respond_failed(self, incoming: IncomingRequest, error: Exception) -> None:
        """Respond to a request whose handler raised an exception, and log it."""
        logger.opt(exception=error).error(
            "the handler of {} {} failed: {!r}", incoming.method, incoming.target, error
        )
        if self.response is ResponseProgress.NOTHING:
            self.respond(500, [], b"", keep_alive=True)
        elif self.response is ResponseProgress.HEAD:
            self.abort()

    async def _next_request(self) -> IncomingRequest | RejectedRequest | None:
        idle_since = time.monotonic()
        self.trusted_until = idle_since + self.trusted_seconds
        while not self.pending:
            if self.lost or self.closing or (self.ending and not self._has_more()):
                return None
            self.wakeup.clear()
            left = self._read_deadline(idle_since) - time.monotonic()
            try:
                async with asyncio.timeout(max(MIN_READ_SECONDS, left)):
                    await self.wakeup.wait()
            except TimeoutError:
                if self.pending:
                    break
                if time.monotonic() < self._read_deadline(idle_since):
                    continue
                if self._reading_body or self._head_started_at:
                    return RejectedRequest(
                        status=408, detail="the request took too long"
                    )
                return None
        incoming = self.pending.popleft()
        self._update_reading()
        return incoming

    def _read_deadline(self, idle_since: float) -> float:
        """Return when the next request has to be complete, or else to have begun."""
        limits = self.limits()
        if self._reading_body:
            return self._arrived + limits.idle_seconds
        if self._head_started_at:
            return self._head_started_at + limits.header_seconds
        return max(idle_since + limits.idle_seconds, self.trusted_until)

    def _reject(self, status: int, detail: str, *fields: Field) -> None:
        if self.closing:
            return
        self.closing = True
        self._drop_body()
        rejected = RejectedRequest(status=status, detail=detail, fields=fields)
        self.pending.append(rejected)
        self.wakeup.set()

    def _respond_rejected(self, rejected: RejectedRequest) -> None:
        content_type = (b"Content-Type", b"text/plain; charset=utf-8")
        self.respond(
            rejected.status,
            [content_type, *rejected.fields],
            rejected.detail.encode() + b"\n",
            keep_alive=False,
        )


class Listener:
    """
    Accepts connections of callers on one address.

    :param limits: returns the limits on requests that apply now.
    :param serve: writes the response to one request.
    :param bodies: decides which bodies are read; by default, all are.
    :param kept_seconds: for which callers are told that they may use an idle
        connection, or 0 to tell them nothing. It stays open for longer.
    :param memory: bounds what responses take that have yet to leave.
    """

    def __init__(
        self,
        *,
        limits: Callable[[], RequestLimits],
        serve: RequestHandler,
        bodies: RequestBodies | None = None,
        kept_seconds: int = 0,
        memory: MemoryBudget | None = None,
    ):
        self.limits = limits
        self.serve = serve
        self.bodies = bodies or RequestBodies()
        self.kept_seconds = kept_seconds
        self.memory = memory
        self.connections: set[CallerConnection] = set()
        self.server: asyncio.Server | None = None
        self.draining = False
        self.leaves_at = math.inf  # see `CallerConnection`

    async def start(self, address: str) -> None:
        """
        Start to listen.

        :param address: `host:port`.
        :raises OSError: if the address cannot be bound.
        """
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            self._open, host, int(port), backlog=1024, reuse_address=True
        )

    def close(self) -> None:
        """Stop listening; open connections stay open."""
        if self.server is not None:
            self.server.close()

    async def accept_and_close(self) -> None:
        """
        Stop listening, once what callers have opened is accepted.

        The kernel resets connections that it has established and that no one accepts.
        """
        sockets = self.server.sockets if self.server is not None else ()
        listening = []
        # Without a free descriptor nothing could be accepted either.
        with contextlib.suppress(OSError):
            listening += (one.dup() for one in sockets)
        self.close()
        accepted = []
        for one in listening:
            with one:
                accepted += _accept_all(one)
        loop = asyncio.get_running_loop()
        opened = (loop.connect_accepted_socket(self._open, raw) for raw in accepted)
        await asyncio.gather(*opened, return_exceptions=True)

    def drain(self, seconds_left: float = math.inf) -> None:
        """
        Close each connection after the last request that has arrived on it.

        A response that has begun may have told that its connection is kept. It is, if
        there is time for what was told, and closes with the end of the response if not.

        :param seconds_left: until the connections close at the latest.
        """
        self.draining = True
        self.leaves_at = time.monotonic() + seconds_left
        for connection in self.connections:
            self._pass_on_drain(connection)

    def _pass_on_drain(self, connection: CallerConnection) -> None:
        """Tell a connection whether and until when it drains."""
        connection.draining = self.draining
        connection.leaves_at = self.leaves_at

    def close_when_idle(self) -> None:
        """Close each connection once no request is in progress on it."""
        for connection in list(self.connections):
            connection.close_when_idle()

    @property
    def requests_in_progress(self) -> int:
        """Number of requests in progress."""
        return sum(connection.busy for connection in self.connections)

    @property
    def unfinished_requests(self) -> int:
        """Number of requests that are being read or answered, see `is_unfinished`."""
        return sum(connection.is_unfinished for connection in self.connections)

    @property
    def awaited_connections(self) -> int:
        """Number of idle connections that callers may still use, see `is_awaited`."""
        return sum(connection.is_awaited for connection in self.connections)

    @property
    def kept_connections(self) -> int:
        """Number of idle connections that callers may use again, see `is_kept`."""
        return sum(connection.is_kept for connection in self.connections)

    @property
    def kept_seconds_left(self) -> float:
        """Time until no connection is kept any more, if none is used again, seconds."""
        kept = [one.trusted_until for one in self.connections if one.is_kept]
        return max(kept) - time.monotonic() if kept else 0.0

    def _open(self) -> CallerConnection:
        connection = CallerConnection(
            limits=self.limits,
            serve=self.serve,
            bodies=self.bodies,
            kept_seconds=self.kept_seconds,
            memory=self.memory,
            on_opened=self.connections.add,
            on_closed=self.connections.discard,
        )
        self._pass_on_drain(connection)
        return connection


def _accept_all(listening: socket.socket) -> list[socket.socket]:
    """Accept the connections that are established on a non-blocking socket."""
    accepted = []
    while True:
        try:
            accepted.append(listening.accept()[0])
        except ConnectionAbortedError:
            continue  # its caller has left
        except OSError:
            return accepted


def _content_length(fields: list[Field]) -> int:
    for name, value in fields:
        if name.lower() == b"content-length" and value.isdigit():
            return int(value)
    return 0


def _expects_continue(fields: list[Field]) -> bool:
    return any(
        name.lower() == b"expect" and value.lower() == b"100-continue"
        for name, value in fields
    )
