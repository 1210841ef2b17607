"""Tests of the client of an engine: its connections and its verdicts."""

import time
from types import SimpleNamespace

import anyio
import httpcore
import httpx
import msgspec
import pytest
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from kumquatway_core import NOT_RUN, Reason
from kumquatway_core.engine import EngineClient, EngineOrder, EngineOrderReply
from kumquatway_core.http import serve
from kumquatway_core.http._serve import KEEP_ALIVE_SECONDS
from kumquatway_core.wire import Holding
from kumquatway_fakes import free_address

pytestmark = pytest.mark.anyio
LIMIT = 10.0  # seconds
ORDER = EngineOrder(
    fencing_number=1,
    load=True,
    holding=Holding(model="m", version="1", first=0, end=4),
)


@pytest.fixture
def anyio_backend():
    return "asyncio"


class SlowEngine:
    """Takes an order and answers when it is told to."""

    def __init__(self):
        self.taken = anyio.Event()
        self.done = anyio.Event()
        self.app = Starlette(routes=[Route("/orders", self.order, methods=["POST"])])

    async def order(self, request: Request) -> Response:
        self.taken.set()
        await self.done.wait()
        return Response(msgspec.msgpack.encode(EngineOrderReply(done=True)))


async def listening(address: str) -> None:
    host, _, port = address.rpartition(":")
    while True:
        try:
            stream = await anyio.connect_tcp(host, int(port))
        except OSError:
            await anyio.sleep(0.01)
        else:
            await stream.aclose()
            return


class TestReconnect:
    """A new pool replaces connections that may be silent, and ends no order."""

    async def test_an_order_in_flight_outlasts_a_reconnect(self):
        engine = SlowEngine()
        address = free_address()
        client = EngineClient(url=f"http://{address}")
        found: list = []

        async def give() -> None:
            found.append(await client.order(ORDER, LIMIT))

        async with anyio.create_task_group() as group:
            group.start_soon(serve, engine.app, address)
            with anyio.fail_after(LIMIT):
                await listening(address)
                async with anyio.create_task_group() as calls:
                    calls.start_soon(give)
                    await engine.taken.wait()
                    await client.reconnect()
                    engine.done.set()
            await client.close()
            group.cancel_scope.cancel()
        assert found == [EngineOrderReply(done=True)]


class TestIdleConnection:
    """A step met the close of a connection that its engine had kept for long enough."""

    async def test_it_is_not_used_as_its_server_is_about_to_close_it(self, monkeypatch):
        clients = set()
        passed = 0.0

        async def state(request: Request) -> Response:
            clients.add(request.client)
            return Response(b"")

        clock = SimpleNamespace(monotonic=lambda: time.monotonic() + passed)
        monkeypatch.setattr(httpcore._async.http11, "time", clock)
        address = free_address()
        client = EngineClient(url=f"http://{address}")
        app = Starlette(routes=[Route("/state", state)])
        async with anyio.create_task_group() as group:
            group.start_soon(serve, app, address)
            with anyio.fail_after(LIMIT):
                await listening(address)
                for _ in range(2):
                    await client.state()
                assert len(clients) == 1
                passed = KEEP_ALIVE_SECONDS - 1
                await client.state()
            await client.close()
            group.cancel_scope.cancel()
        assert len(clients) == 2


class TestVerdicts:
    """An engine that refuses is told from one that is silent."""

    @pytest.mark.parametrize(
        ("error", "reason"),
        [
            (httpx.ConnectError, Reason.UNREACHABLE),
            (httpx.ConnectTimeout, Reason.SILENCE),
        ],
    )
    async def test_a_connection_that_is_not_made_ran_nothing(self, error, reason):
        class Transport(httpx.AsyncBaseTransport):
            async def handle_async_request(self, request):
                raise error("no connection")

        client = EngineClient(url="http://engine", transport=Transport())
        verdict = (await client.order(ORDER, LIMIT)).verdict
        assert (verdict.ran, verdict.reason) == (NOT_RUN, reason)
