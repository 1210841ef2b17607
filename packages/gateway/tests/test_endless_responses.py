"""Tests that bytes which a server sends without end are given up, and not stored."""

import asyncio
import contextlib

import pytest

from kumquatway_fakes import free_address
from kumquatway_gateway.http1 import (
    ConnectionPool,
    Exchange,
    Fetcher,
    FetchFailed,
    ResponseEnd,
    render_request,
)

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
PADDING = b"x" * 1024
# What a server sends once, and what it then repeats until the connection is closed.
ENDLESS_OVERHEAD = {
    "status line": (b"HTTP/1.1 200 ", PADDING),
    "field": (b"HTTP/1.1 200 OK\r\nPad: ", PADDING),
    "fields": (b"HTTP/1.1 200 OK\r\n", b"Pad: x\r\n" * 100),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 40),
    "responses to others": (
        b"",
        b"HTTP/1.1 200 OK\r\nOf: other\r\nContent-Length: 0\r\n\r\n" * 20,
    ),
    "chunk extension": (CHUNKED + b"1;", PADDING),
    "trailer": (CHUNKED + b"1\r\na\r\n0\r\n", b"Pad: x\r\n" * 100),
}
LARGE_BYTES = 10 << 20  # of a body
CONNECT_SECONDS = 10.0  # the one event loop also sends all large bodies
MAX_LARGE_BODIES_BYTES = 32 << 20  # a quarter of what an entry may use for control
MAX_OVERHEAD_BYTES = 8 << 20  # that arrive, those in the kernel's buffers included


class _EndlessServer:
    """A server that answers with bytes until the connection is closed."""

    def __init__(self, prefix: bytes, filler: bytes):
        self.prefix = prefix
        self.filler = filler
        self.bytes_sent = 0
        self.closed = asyncio.Event()
        self.address = free_address()

    async def __aenter__(self):
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self._serve, host, int(port))
        return self

    async def __aexit__(self, *_):
        self.server.close()

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.prefix)
            while True:
                writer.write(self.filler)
                await writer.drain()
                self.bytes_sent += len(self.filler)
        self.closed.set()


async def _exchange(server: _EndlessServer, **options) -> ResponseEnd:
    connection = await ConnectionPool().connect("s", server.address)
    exchange = Exchange(**options)
    connection.send(exchange, render_request("GET", "/", [(b"Host", b"a")]))
    async with asyncio.timeout(20):
        end = await exchange.ended
        await server.closed.wait()
    return end


class TestEndlessResponse:
    """The connection is closed; neither the bytes nor the time grow without bound."""

    @pytest.mark.parametrize("where", ENDLESS_OVERHEAD)
    def test_overhead_is_bounded(self, where):
        async def scenario():
            async with _EndlessServer(*ENDLESS_OVERHEAD[where]) as server:
                end = await _exchange(
                    server, accepts=lambda _, headers: headers.get(b"of") is None
                )
                assert end is ResponseEnd.TOO_LARGE
                assert server.bytes_sent < MAX_OVERHEAD_BYTES

        asyncio.run(scenario())

    def test_buffered_body_is_bounded(self):
        async def scenario():
            async with _EndlessServer(b"HTTP/1.1 200 OK\r\n\r\n", PADDING) as server:
                assert await _exchange(server) is ResponseEnd.TOO_LARGE

        asyncio.run(scenario())

    def test_fetch_fails_as_sent(self):
        async def scenario():
            async with _EndlessServer(*ENDLESS_OVERHEAD["fields"]) as server:
                fetcher = Fetcher(pool=ConnectionPool())
                with pytest.raises(FetchFailed) as failure:
                    await fetcher.fetch(server.address, "GET", "/", timeout=20.0)
                assert failure.value.sent
                assert ResponseEnd.TOO_LARGE.value in str(failure.value)

        asyncio.run(scenario())


class TestManyLargeBodies:
    """
    Bodies that are all within the limit of one.

    Load pattern: every server of a service sends bodies without end, to as many
    requests as it takes.
    """

    def test_total_is_bounded_and_others_are_served(self):
        async def serve(reader, writer):
            request = await reader.readuntil(b"\r\n\r\n")
            if request.startswith(b"GET /small"):
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            else:
                writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + bytes(LARGE_BYTES))
            with contextlib.suppress(ConnectionError):
                await reader.read()

        async def send(pool: ConnectionPool, address: str, target: str) -> Exchange:
            connection = await pool.connect(target, address, CONNECT_SECONDS)
            exchange = Exchange()
            fields = [(b"Host", b"a")]
            connection.send(exchange, render_request("GET", target, fields))
            return exchange

        async def scenario():
            address = free_address()
            host, _, port = address.rpartition(":")
            pool = ConnectionPool()
            async with await asyncio.start_server(serve, host, int(port)):
                sent = [await send(pool, address, f"/large{n}") for n in range(8)]
                async with asyncio.timeout(20):
                    while any(
                        not one.ended.done() and one.buffered_bytes < LARGE_BYTES
                        for one in sent
                    ):
                        await asyncio.sleep(0.01)
                    small = await send(pool, address, "/small")
                    assert await small.ended is ResponseEnd.COMPLETE
                held = [one for one in sent if not one.ended.done()]
                assert sum(one.buffered_bytes for one in held) <= MAX_LARGE_BODIES_BYTES
                assert held
                ends = {one.ended.result() for one in sent if one not in held}
                assert ends == {ResponseEnd.TOO_LARGE}

        asyncio.run(scenario())
