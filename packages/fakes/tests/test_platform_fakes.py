"""Tests of the platform's stand-ins over real connections."""

import functools

import anyio
import httpx
import pytest
from hypercorn.asyncio import serve
from hypercorn.config import Config

from kumquatway_core.exceptions import PlatformUnavailable, ResponseLost
from kumquatway_core.platform import Channel, Key, Put, Row, Table, Transaction
from kumquatway_fakes import TableService, WeightStore

PUT = Transaction(puts=(Put(table="t", key="a", value=b"v"),))


async def with_server(app, scenario) -> None:
    """Serve an application on a free port of the loopback during a scenario."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    await listener.aclose()
    config = Config()
    config.bind = [f"127.0.0.1:{port}"]
    config.errorlog = None
    stop = anyio.Event()
    start = functools.partial(serve, app, config, shutdown_trigger=stop.wait)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(start)
        with anyio.fail_after(20):
            await scenario(f"http://127.0.0.1:{port}")
        stop.set()


async def set_faults(address: str, **faults) -> int:
    async with httpx.AsyncClient(trust_env=False) as client:
        while True:
            try:
                answer = await client.post(f"{address}/faults", json=faults)
            except httpx.ConnectError:
                await anyio.sleep(0.01)
            else:
                return answer.status_code


class TestTableService:
    """Faults set over HTTP, seen through a socket."""

    def test_down_lost_and_bad_faults(self):
        service = TableService()

        async def scenario(address):
            table = Table(channel=Channel(addresses=(address,)))
            assert await set_faults(address, down=True) == 200
            with pytest.raises(PlatformUnavailable):
                await table.commit(PUT)
            assert not service.rows
            assert await set_faults(address, lose_next=1) == 200
            with pytest.raises(ResponseLost):
                await table.commit(PUT)
            expected = Row(table="t", key="a", value=b"v", revision=1)
            assert await table.read((Key(table="t", key="a"),)) == (expected,)
            assert await set_faults(address, lose_next="x") == 400
            await table.channel.close()

        anyio.run(with_server, service.app, scenario)


class TestWeightStore:
    """A rate shared by all readers."""

    def test_two_readers_share_the_rate(self):
        waits = []

        async def sleep(seconds):
            waits.append(seconds)

        store = WeightStore(bytes_per_second=100.0, clock=lambda: 0.0, sleep=sleep)

        async def run():
            transport = httpx.ASGITransport(app=store.app)
            async with httpx.AsyncClient(transport=transport) as client:
                for _ in range(2):
                    answer = await client.get("http://store/weights/m?size=100")
                    assert len(answer.content) == 100

        anyio.run(run)
        assert waits == [1.0, 2.0]
