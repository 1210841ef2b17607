"""Tests of the calls that an agent makes to the plain service beside it."""

import gzip
import tracemalloc

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
