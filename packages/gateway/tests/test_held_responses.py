"""Tests that all responses together, and the objects in them, stay within memory."""

import asyncio
import gc
import tracemalloc
import weakref
from collections.abc import Callable, Iterator

import pytest

from kumquatway_core.memory import MemoryBudget
from kumquatway_gateway.http1 import (
    ConnectionPool,
    Exchange,
    ResponseEnd,
    UpstreamConnection,
)
from kumquatway_gateway.http1._pool import MAX_IDLE_PER_SERVER
from kumquatway_gateway.relay._event_relay import EventRelay
from kumquatway_gateway.relay._event_stream import has_field

# What an entry may grow by while 100 requests are at faulty servers, and each of them.
MAX_GROWTH_BYTES = 64 << 20
REQUESTS = 100
SHARE_BYTES = MAX_GROWTH_BYTES // REQUESTS
PIECE_BYTES = 16 * 1024  # that arrive at a time
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"


class _Transport:
    """A connection to a server that takes all requests."""

    def __init__(self):
        self.aborted = False

    def write(self, data):
        pass

    def get_write_buffer_size(self):
        return 0

    def abort(self):
        self.aborted = True

    close = abort


def _connect(memory: MemoryBudget, sender: str = "") -> UpstreamConnection:
    connection = UpstreamConnection(
        on_reusable=lambda connection: None, memory=memory, sender=sender
    )
    connection.connection_made(_Transport())
    return connection


def _pieces(prefix: bytes, filler: bytes, size: int) -> Iterator[bytes]:
    """Yield a prefix, and then about `size` bytes of the filler, in pieces."""
    yield prefix
    piece = filler * (PIECE_BYTES // len(filler))
    for _ in range(size // len(piece)):
        yield piece


def _growth(action: Callable[[], object]) -> int:
    """Return by how much traced memory grows at most in an action, bytes."""
    tracemalloc.start()
    try:
        action()
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


class TestSmallObjects:
    """Fields and chunks of a few bytes each filled the memory with objects."""

    @pytest.mark.parametrize(
        ("prefix", "filler"),
        [(OK, b"a: b\r\n"), (CHUNKED + b"1\r\na\r\n0\r\n", b"a: b\r\n")],
        ids=["head", "trailers"],
    )
    def test_fields_are_bounded(self, prefix, filler):
        async def scenario():
            connection = _connect(ConnectionPool().memory)
            exchange = Exchange()
            connection.send(exchange, b"")

            def receive():
                for piece in _pieces(prefix, filler, 1 << 20):
                    if not connection.transport.aborted:
                        connection.data_received(piece)

            assert _growth(receive) < SHARE_BYTES
            assert exchange.ended.result() is ResponseEnd.TOO_LARGE

        asyncio.run(scenario())

    def test_chunks_take_no_more_than_their_content(self):
        async def scenario():
            connection = _connect(ConnectionPool().memory)
            exchange = Exchange()
            connection.send(exchange, b"")
            chunk = b"8\r\n12345678\r\n"
            wire = list(_pieces(CHUNKED, chunk, 1 << 20))
            content = sum(piece.count(chunk) for piece in wire) * 8

            def receive():
                for piece in wire:
                    connection.data_received(piece)

            assert _growth(receive) < 2 * content
            assert len(exchange.body) == content

        asyncio.run(scenario())

    def test_chunks_that_are_nearly_all_overhead_end_the_response(self):
        async def scenario():
            connection = _connect(ConnectionPool().memory)
            exchange = Exchange()
            connection.send(exchange, b"")
            for piece in _pieces(CHUNKED, b"1\r\na\r\n", 1 << 20):
                if not connection.transport.aborted:
                    connection.data_received(piece)
            assert exchange.ended.result() is ResponseEnd.TOO_LARGE

        asyncio.run(scenario())

    @pytest.mark.parametrize("chunk", [b"a", b"abc", b":\n\n"])
    @pytest.mark.parametrize("chunks_at_a_time", [1, 1000])
    def test_a_stream_in_small_chunks_goes_on(self, chunk, chunks_at_a_time):
        async def scenario():
            memory = ConnectionPool().memory
            connection = _connect(memory)
            exchange = Exchange()
            connection.send(exchange, b"")
            connection.data_received(CHUNKED)
            passed_on = []

            def sink(data):
                passed_on.append(len(data))
                return 0

            exchange.relay_to(sink, PIECE_BYTES)
            wire = b"%x\r\n%b\r\n" % (len(chunk), chunk)
            for _ in range(100_000 // chunks_at_a_time):
                connection.data_received(wire * chunks_at_a_time)
            assert sum(passed_on) == 100_000 * len(chunk)
            assert not exchange.ended.done()
            assert memory.held < PIECE_BYTES

        asyncio.run(scenario())

    def test_a_stream_of_overhead_alone_ends(self):
        async def scenario():
            connection = _connect(ConnectionPool().memory)
            exchange = Exchange()
            connection.send(exchange, b"")
            connection.data_received(CHUNKED + b"1\r\na\r\n")
            exchange.relay_to(lambda data: 0, PIECE_BYTES)
            connection.data_received(b"1\r\na\r\n1;")
            for _ in range((128 << 10) // PIECE_BYTES):
                if not connection.transport.aborted:
                    connection.data_received(b"x" * PIECE_BYTES)
            assert exchange.ended.result() is ResponseEnd.TOO_LARGE

        asyncio.run(scenario())

    def test_lines_are_searched_without_objects(self):
        lines = b":\n" * (1 << 20)
        assert _growth(lambda: has_field(lines)) < SHARE_BYTES
        assert has_field(lines + b"data")

    def test_an_event_takes_its_size(self):
        relay = EventRelay(write=lambda data: None)

        def receive():
            for piece in _pieces(b"data: ", b"x" * 64, SHARE_BYTES // 4):
                relay.feed(piece)

        assert _growth(receive) < SHARE_BYTES


class TestManyResponses:
    """Bodies and events, each within its limit, filled the memory together."""

    def test_bodies_below_a_megabyte_are_bounded_together(self):
        async def scenario():
            memory = ConnectionPool().memory
            connections = [_connect(memory, str(n % 4)) for n in range(REQUESTS)]
            exchanges = [Exchange() for _ in connections]

            def receive():
                for connection, exchange in zip(connections, exchanges, strict=True):
                    connection.send(exchange, b"")
                    for piece in _pieces(OK + b"\r\n", b"x", 1_000_000):
                        if not connection.transport.aborted:
                            connection.data_received(piece)

            assert _growth(receive) < MAX_GROWTH_BYTES
            assert any(not exchange.ended.done() for exchange in exchanges)

        asyncio.run(scenario())

    def test_events_that_wait_for_their_end_are_bounded_together(self):
        async def scenario():
            memory = MemoryBudget(max_bytes=10 * PIECE_BYTES)
            connections = [_connect(memory, str(n)) for n in range(8)]
            relays = []
            for connection in connections:
                relay = EventRelay(write=lambda data: None)
                relays.append(relay)
                exchange = Exchange()
                connection.send(exchange, b"")
                connection.data_received(CHUNKED)
                exchange.relay_to(_keep_in(relay), 1 << 20)
                connection.data_received(b"4000\r\n" + b"x" * 0x4000 + b"\r\n")
                connection.data_received(b"4000\r\n" + b"x" * 0x4000 + b"\r\n")
            open_ones = [one for one in connections if not one.transport.aborted]
            assert 0 < len(open_ones) < len(connections)
            assert memory.held <= 10 * PIECE_BYTES

        asyncio.run(scenario())

    def test_the_response_of_a_sound_server_is_not_given_up(self):
        async def scenario():
            memory = ConnectionPool().memory
            sound, exchange = _connect(memory, "sound"), Exchange()
            sound.send(exchange, b"")
            for piece in _pieces(OK + b"\r\n", b"x", 2_000_000):
                sound.data_received(piece)
            for number in range(REQUESTS):
                faulty = _connect(memory, str(number % 4))
                faulty.send(Exchange(), b"")
                for piece in _pieces(OK + b"\r\n", b"x", 1_000_000):
                    if not faulty.transport.aborted:
                        faulty.data_received(piece)
            sound.eof_received()
            assert exchange.ended.result() is ResponseEnd.COMPLETE

        asyncio.run(scenario())


def _keep_in(relay: EventRelay) -> Callable[[bytes], int]:
    def sink(data: bytes) -> int:
        relay.feed(data)
        return len(relay.partial_event)

    return sink


class TestEndOfAConnection:
    """What a connection had received stayed until the next garbage collection."""

    def test_frees_it_at_once(self):
        async def scenario():
            connection = _connect(ConnectionPool().memory)
            connection.send(Exchange(), b"")
            connection.data_received(OK + b"a: b\r\n" * 100)
            connection.connection_lost(None)
            gone = weakref.ref(connection)
            gc.disable()
            try:
                del connection
                assert gone() is None
            finally:
                gc.enable()

        asyncio.run(scenario())


class TestIdleConnections:
    """Each kept the head of its last response, 64 connections to a server."""

    def test_keep_no_head(self):
        async def scenario():
            memory = ConnectionPool().memory
            connections = [_connect(memory) for _ in range(MAX_IDLE_PER_SERVER)]

            def receive():
                for connection in connections:
                    connection.send(Exchange(), b"")
                    connection.data_received(OK + b"a: " + b"x" * 60_000 + b"\r\n")
                    connection.data_received(b"Content-Length: 0\r\n\r\n")

            tracemalloc.start()
            try:
                receive()
                kept, _ = tracemalloc.get_traced_memory()
            finally:
                tracemalloc.stop()
            assert all(connection.reusable for connection in connections)
            assert kept < SHARE_BYTES

        asyncio.run(scenario())
