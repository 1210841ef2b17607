"""Tests of the connections of a listener."""

import asyncio
import socket

import anyio
import pytest
from starlette.applications import Starlette
from starlette.responses import PlainTextResponse, StreamingResponse
from starlette.routing import Route

from kumquatway_core.http import _connection, _serve, serve
from kumquatway_fakes import HOST, free_address

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
PIECE = b"x" * 65536
WAIT = 20  # seconds

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def eventually(holds) -> None:
    with anyio.fail_after(WAIT):
        while not holds():
            await anyio.sleep(0.01)


async def with_listener(handler, use) -> None:
    address = free_address()
    port = int(address.rpartition(":")[2])
    async with anyio.create_task_group() as group:
        group.start_soon(serve, Starlette(routes=[Route("/", handler)]), address)
        with anyio.fail_after(WAIT):
            while True:
                try:
                    stream = await anyio.connect_tcp(HOST, port)
                    break
                except OSError:
                    await anyio.sleep(0.01)
        await stream.aclose()
        await use(port)
        group.cancel_scope.cancel()


def busy() -> int:
    """Count the tasks that serve connections."""
    return sum("_server_callback" in repr(task) for task in asyncio.all_tasks())


class TestConnections:
    """A connection whose other end is gone or stuck is freed."""

    async def test_closed_connections_do_not_wait_for_their_keep_alive(
        self, monkeypatch
    ):
        monkeypatch.setattr(_serve, "KEEP_ALIVE_SECONDS", 10 * WAIT)

        async def answer(request):
            return PlainTextResponse("ok")

        async def use(port):
            for _ in range(20):
                async with await anyio.connect_tcp(HOST, port) as stream:
                    await stream.send(REQUEST)
                    assert await stream.receive()
                    assert busy() > 0
            await eventually(lambda: busy() == 0)

        await with_listener(answer, use)

    async def test_a_caller_that_reads_nothing_is_reset(self, monkeypatch):
        monkeypatch.setattr(_connection, "WRITE_TIMEOUT_MS", 200)

        async def answer(request):
            return StreamingResponse(pieces())

        async def pieces():
            while True:
                yield PIECE

        async def use(port):
            with socket.create_connection((HOST, port)) as stuck:
                stuck.send(REQUEST)
                await eventually(lambda: busy() == 1)
                await eventually(lambda: busy() == 0)

        await with_listener(answer, use)
