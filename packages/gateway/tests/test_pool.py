"""Tests that a pooled connection is only used for the server that it is open to."""

import asyncio

import pytest

from kumquatway_fakes import free_address
from kumquatway_gateway.http1 import ConnectionPool, Exchange, Listener, render_request
from kumquatway_gateway.model import Limits


async def _call(pool: ConnectionPool, key: str, address: str) -> bytes:
    connection = await pool.connect(key, address)
    exchange = Exchange()
    connection.send(exchange, render_request("GET", "/", [(b"Host", b"x")]))
    await exchange.ended
    return b"".join(exchange.body)


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
