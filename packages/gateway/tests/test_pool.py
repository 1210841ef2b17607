"""Tests of the connections to servers."""

import asyncio

import pytest
from virtual_time import Clock, virtual_time

from kumquatway_fakes import free_address
from kumquatway_gateway.http1 import (
    ConnectionPool,
    Exchange,
    Fetcher,
    FetchFailed,
    Listener,
    Unreachable,
    render_request,
)
from kumquatway_gateway.model import Limits


async def _call(pool: ConnectionPool, key: str, address: str) -> bytes:
    connection = await pool.connect(key, address)
    exchange = Exchange()
    connection.send(exchange, render_request("GET", "/", [(b"Host", b"x")]))
    await exchange.ended
    return bytes(exchange.body)


class _Servers:
    """Two servers; each responds with its name."""

    async def __aenter__(self):
        self.listeners = []
        self.addresses = []
        for name in (b"a", b"b"):
            listener = Listener(limits=Limits, serve=self._serve(name))
            self.listeners.append(listener)
            self.addresses.append(free_address())
            await listener.start(self.addresses[-1])
        return self

    def _serve(self, name: bytes):
        async def serve(caller, incoming):
            caller.respond(200, [], name, keep_alive=True)

        return serve

    async def __aexit__(self, *_):
        for listener in self.listeners:
            listener.close()


@pytest.mark.parametrize("keys", [("", ""), ("a1", "b1")])
class TestReuse:
    """Calls to two servers in turn, without a key in the pool and with one."""

    def test_no_call_reaches_the_other_server(self, keys):
        async def scenario():
            pool = ConnectionPool()
            async with _Servers() as servers:
                pairs = list(zip(keys, servers.addresses, strict=True))
                names = [await _call(pool, *pair) for pair in pairs * 3]
                pool.close()
            assert names == [b"a", b"b"] * 3

        asyncio.run(scenario())


class TestWithoutKey:
    """A connection that is not to be reused."""

    def test_is_closed_after_its_response(self):
        async def scenario():
            pool = ConnectionPool()
            async with _Servers() as servers:
                await _call(pool, "", servers.addresses[0])
                assert pool.idle == {}

        asyncio.run(scenario())


class TestProcessThatIsLate:
    """
    Servers and the store were taken for unreachable although they had answered in time.

    Load pattern: a process with too little processor time reads the answer in the same
    iteration in which the time for it is up.
    """

    def test_a_connection_that_has_opened_is_used(self):
        async def scenario(clock: Clock):
            async with _Servers() as servers:
                pool = ConnectionPool()
                calling = asyncio.create_task(_call(pool, "a", servers.addresses[0]))
                await asyncio.sleep(0)
                clock.advance(0.5)
                assert await calling == b"a"
                pool.close()

        with virtual_time() as clock:
            asyncio.run(scenario(clock))

    @pytest.mark.parametrize("size", [2, 1_500_000])
    def test_a_response_that_has_arrived_is_read(self, size):
        async def scenario(clock: Clock):
            body = b"x" * size

            async def answer(reader, writer):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
                writer.write(body)
                clock.advance(1.0)
                await writer.drain()
                writer.close()

            address = free_address()
            server = await asyncio.start_server(answer, *address.split(":"))
            pool = ConnectionPool()
            fetcher = Fetcher(pool=pool)
            response = await fetcher.fetch(address, "GET", "/", timeout=0.8)
            assert response.body == body
            pool.close()
            server.close()

        with virtual_time() as clock:
            asyncio.run(scenario(clock))

    def test_a_server_that_does_not_answer_in_time_is_given_up(self):
        async def scenario():
            loop = asyncio.get_running_loop()

            async def stay_silent(reader, writer):
                await reader.read()
                writer.close()

            address = free_address()
            server = await asyncio.start_server(stay_silent, *address.split(":"))
            start = loop.time()
            with pytest.raises(FetchFailed):
                await Fetcher(pool=ConnectionPool()).fetch(
                    address, "GET", "/", timeout=0.8
                )
            assert loop.time() - start == pytest.approx(0.8, abs=0.05)
            server.close()

        with virtual_time():
            asyncio.run(scenario())

    def test_a_server_that_does_not_connect_in_time_is_given_up(self, monkeypatch):
        async def scenario():
            loop = asyncio.get_running_loop()

            async def hang(*args):
                await asyncio.sleep(3600)

            monkeypatch.setattr(loop, "create_connection", hang)
            start = loop.time()
            with pytest.raises(Unreachable):
                await ConnectionPool().connect("", "127.0.0.1:9", 0.3)
            assert loop.time() - start == pytest.approx(0.3, abs=0.05)

        with virtual_time():
            asyncio.run(scenario())
