"""Tests that a link ends connections as its far end does."""

import socket

import anyio
import pytest
from anyio.abc import SocketAttribute

from kumquatway_fakes import Relay, free_address, reset_on_close

pytestmark = pytest.mark.anyio
DATA = bytes(range(256)) * 400
LIMIT = 20.0  # seconds


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def receive(*, delay: float, reset: bool) -> tuple[bytes, bool]:
    """Receive what a server sends through a link, and whether it then is reset."""

    async def serve(stream) -> None:
        async with stream:
            await stream.receive()
            await stream.send(DATA)
            if reset:
                await anyio.sleep(0.1)  # a reset may overtake what was sent before
                reset_on_close(stream.extra(SocketAttribute.raw_socket))

    relay = Relay(listen=free_address(), target=free_address())
    relay.faults.delay = delay
    received = b""
    async with anyio.create_task_group() as group:
        host, _, port = relay.target.rpartition(":")
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port)
        )
        group.start_soon(listener.serve, serve)
        await group.start(relay.run)
        host, _, port = relay.listen.rpartition(":")
        was_reset = False
        with anyio.fail_after(LIMIT):
            async with await anyio.connect_tcp(host, int(port)) as stream:
                await stream.send(b"go")
                try:
                    while True:
                        received += await stream.receive()
                except anyio.EndOfStream:
                    pass
                except anyio.BrokenResourceError:
                    was_reset = True
        group.cancel_scope.cancel()
    return received, was_reset


class TestEndOfConnection:
    """The end of a connection through a link."""

    @pytest.mark.parametrize("delay", [0.0, 0.05])
    async def test_orderly_close_delivers_all_data_first(self, delay):
        assert await receive(delay=delay, reset=False) == (DATA, False)

    async def test_reset_is_a_reset(self):
        received, was_reset = await receive(delay=0.0, reset=True)
        assert (received, was_reset) == (DATA, True)

    def test_of_a_closed_connection_nothing_is_left_to_choose(self):
        connection = socket.socket()
        connection.close()
        reset_on_close(connection)
