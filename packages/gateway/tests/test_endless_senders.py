"""
Tests that bytes without end, to many requests at once, cost little memory and time.

Load pattern: all servers of a service are faulty, and each writes as fast as it is
read. `platform/benchmarks/endless_senders.py` measures the same on a process.
"""

import asyncio
import contextlib
import gc
import threading
import time
import tracemalloc
from collections.abc import Awaitable, Callable

import pytest
from parallel_site import Site

from kumquatway_fakes import free_address
from kumquatway_gateway.http1 import (
    ConnectionPool,
    Exchange,
    ResponseFraming,
    render_request,
)
from kumquatway_gateway.relay._event_relay import EventRelay
from kumquatway_gateway.relay._event_stream import is_body_broken_off

REQUESTS = 100
MAX_GROWTH_BYTES = 64 << 20  # of a process, whatever its number of requests
MAX_HELD_SECONDS = 0.1
QUIET_SECONDS = 0.15  # without a byte, after which all has arrived that will
CONNECT_SECONDS = 10.0  # the one event loop also runs the senders
OK = b"HTTP/1.1 200 OK\r\n"
ERROR = b"HTTP/1.1 500 Internal Server Error\r\n"
EVENTS = b"Content-Type: text/event-stream\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


class _Senders:
    """
    A server that sends the same bytes again and again on each connection.

    :param head: sent first.
    :param filler: repeated.
    :param max_bytes: after which a connection is silent; more than a reader may hold.
    """

    def __init__(self, head: bytes, filler: bytes, max_bytes: int):
        self.head = head
        self.filler = filler * (1 + 65536 // len(filler))
        self.max_bytes = max_bytes
        self.connections = 0
        self.sent_at = time.monotonic()
        self.address = free_address()
        self.handlers: set[asyncio.Task] = set()

    async def __aenter__(self):
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(
            self._serve, host, int(port), backlog=REQUESTS
        )
        return self

    async def __aexit__(self, *_):
        self.server.close()
        for task in self.handlers:
            task.cancel()
        await asyncio.gather(*self.handlers, return_exceptions=True)
        await asyncio.sleep(0)

    async def _serve(self, reader, writer):
        self.handlers.add(asyncio.current_task())
        try:
            with contextlib.suppress(ConnectionError):
                await reader.read(1)
                self.connections += 1
                await self._send(writer)
                await reader.read()
        finally:
            writer.transport.abort()

    async def _send(self, writer):
        writer.write(self.head)
        sent = 0
        while sent < self.max_bytes:
            part = self.filler[: self.max_bytes - sent]
            writer.write(part)
            await writer.drain()
            sent += len(part)
            self.sent_at = time.monotonic()
            await asyncio.sleep(0)

    async def wait_until_quiet(self) -> None:
        """Wait until all connections are closed or silent."""
        async with asyncio.timeout(20):
            while (
                self.connections < REQUESTS
                or time.monotonic() - self.sent_at < QUIET_SECONDS
            ):
                await asyncio.sleep(0.01)


@contextlib.contextmanager
def _in_a_thread(senders: _Senders):
    """Run senders on an event loop of their own, whose time does not count."""
    started, stop = threading.Event(), threading.Event()

    async def run():
        async with senders:
            started.set()
            while not stop.is_set():
                await asyncio.sleep(0.01)

    thread = threading.Thread(target=asyncio.run, args=(run(),))
    thread.start()
    started.wait()
    try:
        yield senders
    finally:
        stop.set()
        thread.join()


async def _exchange(senders: _Senders) -> None:
    """Send requests whose responses are read whole, as those of plain services."""
    pool = ConnectionPool()
    connections = [
        await pool.connect("s", senders.address, CONNECT_SECONDS)
        for _ in range(REQUESTS)
    ]
    exchanges = [Exchange() for _ in connections]
    for connection, exchange in zip(connections, exchanges, strict=True):
        connection.send(exchange, render_request("GET", "/", [(b"Host", b"a")]))
    await senders.wait_until_quiet()
    for connection in connections:
        connection.abandon()


class _OnePool:
    """Opens all connections to one address, whatever the server."""

    def __init__(self, address: str):
        self.pool = ConnectionPool()
        self.memory = self.pool.memory
        self.address = address

    async def connect(self, key, address, timeout=CONNECT_SECONDS):
        return await self.pool.connect("", self.address, CONNECT_SECONDS)


async def _stream(senders: _Senders) -> None:
    """Send requests to a model service, whose responses are relayed."""
    site = Site(chains="abcd", timeout=20.0, max_attempts=1)
    site.relay.pool = _OnePool(senders.address)
    streams = [site.job() for _ in range(REQUESTS)]
    tasks = [asyncio.create_task(stream.run()) for stream in streams]
    await senders.wait_until_quiet()
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def _growth(
    send: Callable[[_Senders], Awaitable[None]],
    head: bytes,
    filler: bytes,
    max_bytes: int,
) -> int:
    """Return by how much the memory grew at most, senders included, in bytes."""

    async def scenario():
        async with _Senders(head + b"\r\n", filler, max_bytes) as senders:
            tracemalloc.start()
            before, _ = tracemalloc.get_traced_memory()
            try:
                await send(senders)
                return tracemalloc.get_traced_memory()[1] - before
            finally:
                tracemalloc.stop()

    return asyncio.run(scenario())


@pytest.mark.parametrize("send", [_exchange, _stream])
class TestFieldsWithoutEnd:
    """A head whose fields have six bytes each."""

    def test_memory_is_bounded(self, send):
        head = OK.removesuffix(b"\r\n")
        assert _growth(send, head, b"a: b\r\n", 1 << 20) < MAX_GROWTH_BYTES


@pytest.mark.parametrize("size", [2, 8])
class TestTinyChunks:
    """A body that is read whole, in chunks of a few bytes."""

    def test_memory_is_bounded(self, size):
        bytes_sent = 20_000 * (5 + size)
        growth = _growth(_exchange, OK + CHUNKED, _chunk(b"x" * size), bytes_sent)
        assert growth < MAX_GROWTH_BYTES


@pytest.mark.parametrize(
    "filler",
    {
        "one line": _chunk(b"x" * 8192),
        "many lines": _chunk(b"data: x\n" * 1024),
        "comments": _chunk(b":\n" * 4096),
    }.values(),
    ids=["one-line", "many-lines", "comments"],
)
class TestEventWithoutEnd:
    """Streams of a model service stay in the middle of an event."""

    def test_memory_is_bounded(self, filler):
        head = OK + EVENTS + CHUNKED
        assert _growth(_stream, head, filler, 3 << 20) < MAX_GROWTH_BYTES

    def test_memory_is_bounded_without_chunks(self, filler):
        head, rest = OK + EVENTS, filler.replace(b"\r\n", b"")
        assert _growth(_stream, head, rest, 3 << 20) < MAX_GROWTH_BYTES


class TestErrorBodyWithoutEnd:
    """Bodies of errors, which say nothing that a stream needs."""

    @pytest.mark.parametrize("send", [_exchange, _stream])
    def test_memory_is_bounded(self, send):
        assert _growth(send, ERROR, b"x" * 8192, 3 << 20) < MAX_GROWTH_BYTES


class TestPlainBodyWithoutEnd:
    """Bodies of a plain service, each below the size that counts as large."""

    @pytest.mark.parametrize("fields", [EVENTS, EVENTS + CHUNKED])
    def test_memory_is_bounded(self, fields):
        filler = b"data: x\n" * 1024
        if CHUNKED in fields:
            filler = _chunk(filler)
        assert _growth(_exchange, OK + fields, filler, 3 << 20) < MAX_GROWTH_BYTES


class TestLinesOfAStream:
    """A body of short lines, all of which are looked at when it ends."""

    LINES = b":x\n" * (1 << 20)

    def _peak(self, look: Callable[[], object]) -> int:
        tracemalloc.start()
        try:
            before, _ = tracemalloc.get_traced_memory()
            look()
            return tracemalloc.get_traced_memory()[1] - before
        finally:
            tracemalloc.stop()

    def test_no_object_is_made_of_each_line(self):
        peak = self._peak(
            lambda: is_body_broken_off(ResponseFraming.LENGTH, self.LINES)
        )
        assert peak <= 2 * len(self.LINES)

    def test_no_object_is_made_of_each_line_of_an_event(self):
        relay = EventRelay(write=lambda data: None)
        relay.feed(self.LINES)
        assert self._peak(relay.has_begun_event) <= 2 * len(self.LINES)

    def test_no_event_has_begun(self):
        assert not is_body_broken_off(ResponseFraming.LENGTH, self.LINES)

    def test_an_event_that_has_begun_after_many_lines_is_found(self):
        body = self.LINES + b"data: x"
        assert is_body_broken_off(ResponseFraming.LENGTH, body)


@pytest.mark.parametrize(
    ("send", "head", "filler", "max_bytes"),
    [
        (_exchange, OK.removesuffix(b"\r\n"), b"a: b\r\n", 1 << 20),
        (_stream, OK + EVENTS + CHUNKED, _chunk(b"x" * 8), 1 << 16),
        (_stream, OK + EVENTS + CHUNKED, _chunk(b":x\n" * 4096), 3 << 20),
        (_exchange, OK + EVENTS + CHUNKED, _chunk(b"x"), 1 << 19),
    ],
    ids=["fields", "event-in-tiny-chunks", "lines-of-an-event", "tiny-chunks"],
)
class TestEventLoopHeld:
    """Nothing else runs on the event loop while it parses what arrived."""

    def test_it_is_not_held_for_long(self, send, head, filler, max_bytes):
        held = 0.0

        async def watch():
            nonlocal held
            while True:
                before = time.thread_time()
                await asyncio.sleep(0)
                held = max(held, time.thread_time() - before)

        async def scenario(senders):
            watching = asyncio.create_task(watch())
            await send(senders)
            watching.cancel()

        gc.collect()
        gc.freeze()  # a collection would take time for the objects of other tests
        try:
            with _in_a_thread(_Senders(head + b"\r\n", filler, max_bytes)) as senders:
                asyncio.run(scenario(senders))
        finally:
            gc.unfreeze()
        assert held < MAX_HELD_SECONDS
