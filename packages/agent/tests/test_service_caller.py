"""Tests of the calls that an agent makes to the plain service beside it."""

import gzip
import socket
import tracemalloc

import anyio
import httpx
import pytest

from kumquatway_agent.service import ServiceCaller
from kumquatway_core.wire import Call, CallReply

pytestmark = pytest.mark.anyio
ZEROS = gzip.compress(bytes(10_000_000))


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def call_service(transport: httpx.MockTransport) -> CallReply:
    """Make one call, and return the reply to the entry."""
    replies = []
    caller = ServiceCaller(
        name="s",
        url="http://service",
        incarnation=1,
        send=lambda entry, reply: replies.append(reply),
        transport=transport,
    )
    call = Call(
        call="c",
        request="r",
        entry="entry:1",
        service="s",
        incarnation=1,
        method="GET",
        path="/",
        headers=(),
        body=b"",
        timeout=5.0,
        idempotent=True,
    )
    await caller.take(call)
    await caller.close()
    return replies[0]


class TestCompressedAnswer:
    """An answer may decode to any size, so it is passed on as it came."""

    async def test_it_is_passed_on_as_it_came(self):
        headers = {"content-encoding": "gzip"}
        transport = httpx.MockTransport(
            lambda request: httpx.Response(
                200, headers=headers, stream=httpx.ByteStream(ZEROS)
            )
        )
        tracemalloc.start()
        try:
            reply = await call_service(transport)
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert reply.body == ZEROS
        assert ("content-encoding", "gzip") in reply.headers
        assert peak < 1_000_000

    async def test_none_is_asked_for(self):
        asked = []

        def answer(request: httpx.Request) -> httpx.Response:
            asked.append(request.headers["accept-encoding"])
            return httpx.Response(200)

        await call_service(httpx.MockTransport(answer))
        assert asked == ["identity"]


class TestReceiveBuffers:
    """What may arrive at once on hundreds of connections is small."""

    async def test_a_connection_receives_little_at_once(self):
        async with await anyio.create_tcp_listener(local_host="127.0.0.1") as listener:
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            caller = ServiceCaller(
                name="s",
                url=f"http://127.0.0.1:{port}",
                incarnation=1,
                send=lambda entry, reply: None,
            )

            async def answer(stream: anyio.abc.SocketStream) -> None:
                await stream.receive()
                await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                await anyio.sleep_forever()

            async with anyio.create_task_group() as group:
                group.start_soon(listener.serve, answer)
                async with caller.kept.stream("GET", "/") as response:
                    stream = response.extensions["network_stream"]
                    client = stream.get_extra_info("socket")
                    size = client.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
                await caller.close()
                group.cancel_scope.cancel()
        # The kernel reports twice the size that was asked for.
        assert size <= 2 * 32 * 1024
