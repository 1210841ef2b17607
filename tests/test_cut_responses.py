"""Tests of cut and endless responses, as clients of the platform and engines see."""

import contextlib

import anyio
import pytest
from anyio.abc import SocketAttribute

from kumquatway_core import MAY_HAVE_RUN, Reason
from kumquatway_core.engine import EngineClient, EngineFailure
from kumquatway_core.exceptions import ResponseLost
from kumquatway_core.platform import Channel, Key, Objects, Table, VMList
from kumquatway_fakes import free_address, reset_on_close

pytestmark = pytest.mark.anyio
LIMIT = 20.0  # seconds
HEAD = b"HTTP/1.1 200 OK\r\n\r\n"  # the body ends with the connection
PADDING = b"x" * 65536
ENDLESS = {
    "body": (HEAD, PADDING),
    "field": (b"HTTP/1.1 200 OK\r\nPad: ", PADDING),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000),
}


@pytest.fixture
def anyio_backend():
    return "asyncio"


class _Server:
    """A server that answers each request with the same bytes, and ends in one way."""

    def __init__(self, data: bytes, *, filler: bytes = b"", reset: bool = False):
        self.data = data
        self.filler = filler
        self.reset = reset
        self.address = free_address()
        self.url = f"http://{self.address}"

    async def run(self, *, task_status) -> None:
        host, _, port = self.address.rpartition(":")
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port)
        )
        task_status.started()
        await listener.serve(self._serve)

    async def _serve(self, stream) -> None:
        with contextlib.suppress(anyio.BrokenResourceError, anyio.EndOfStream):
            async with stream:
                await stream.receive()
                await stream.send(self.data)
                while self.filler:
                    await stream.send(self.filler)
                if self.reset:
                    await anyio.sleep(0.02)  # a reset may overtake what was sent before
                    reset_on_close(stream.extra(SocketAttribute.raw_socket))


@contextlib.asynccontextmanager
async def serve(data: bytes, **options):
    server = _Server(data, **options)
    async with anyio.create_task_group() as group:
        await group.start(server.run)
        with anyio.fail_after(LIMIT):
            yield server
        group.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def open_channel(server: _Server):
    channel = Channel(addresses=(server.url,), timeout=1.0)
    yield channel
    await channel.close()


READERS = {
    "table": lambda channel: Table(channel=channel).read((Key(table="t", key="a"),)),
    "object names": lambda channel: Objects(channel=channel).list_names(),
    "VM list": lambda channel: VMList(channel=channel).read(),
}


class TestPlatform:
    """Responses of the platform's services."""

    @pytest.mark.parametrize("reader", READERS)
    @pytest.mark.parametrize("body", [b"", b"\x81", b"\x81\xa4rows"])
    @pytest.mark.parametrize("reset", [False, True])
    async def test_cut_body_is_no_response(self, reader, body, reset):
        async with (
            serve(HEAD + body, reset=reset) as server,
            open_channel(server) as channel,
        ):
            with pytest.raises(ResponseLost):
                await READERS[reader](channel)

    @pytest.mark.parametrize("where", ENDLESS)
    async def test_endless_response_is_lost(self, where):
        data, filler = ENDLESS[where]
        async with (
            serve(data, filler=filler) as server,
            open_channel(server) as channel,
        ):
            with pytest.raises(ResponseLost):
                await READERS["table"](channel)


class TestEngine:
    """Responses of an engine."""

    @pytest.mark.parametrize("body", [b"", b"\x85", b"\x85\xa8hol"])
    @pytest.mark.parametrize("reset", [False, True])
    async def test_cut_body_is_a_failure(self, body, reset):
        async with serve(HEAD + body, reset=reset) as server:
            client = EngineClient(url=server.url)
            failure = await client.state()
            await client.close()
        assert isinstance(failure, EngineFailure)
        assert failure.verdict.ran is MAY_HAVE_RUN

    @pytest.mark.parametrize("where", ENDLESS)
    async def test_endless_response_is_a_failure(self, where):
        data, filler = ENDLESS[where]
        async with serve(data, filler=filler) as server:
            client = EngineClient(url=server.url)
            failure = await client.state()
            await client.close()
        assert isinstance(failure, EngineFailure)
        assert failure.verdict.reason in (Reason.RESET, Reason.SILENCE)
