"""Tests of responses without end, to the clients of services, engines and the store."""

import contextlib
import gzip
import tracemalloc

import anyio
import httpx
import pytest
from anyio.lowlevel import checkpoint

from kumquatway_core.engine import EngineClient, EngineFailure
from kumquatway_core.http import open_client
from kumquatway_core.memory import MemoryBudget

pytestmark = pytest.mark.anyio
LIMIT = 10.0  # seconds
MAX_BYTES = 100_000
TINY_CHUNKS = 200_000


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Body(httpx.AsyncByteStream):
    """A body of many equal parts, and whether its connection was closed."""

    def __init__(self, part: bytes, count: float = float("inf")):
        self.part = part
        self.count = count
        self.sent = 0
        self.closed = False

    async def __aiter__(self):
        while self.sent < self.count and not self.closed:
            self.sent += 1
            yield self.part
            if self.sent % 100 == 0:
                await anyio.sleep(0)

    async def aclose(self) -> None:
        self.closed = True


class BodyThatFallsSilent(Body):
    """A body that stops before its end."""

    async def __aiter__(self):
        async for part in super().__aiter__():
            yield part
        await anyio.sleep_forever()


class BodyThatIsThere(Body):
    """A body whose parts have all arrived, so that no read waits."""

    async def __aiter__(self):
        for _ in range(int(self.count)):
            yield self.part


class Servers(httpx.AsyncBaseTransport):
    """Answers each call with the body of its host, and the head."""

    def __init__(self, fields: int = 0, encoding: bytes = b"identity", **bodies):
        self.bodies = bodies
        self.head = [(b"a", b"b")] * fields + [(b"content-encoding", encoding)]

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        body = self.bodies[request.url.host]()
        return httpx.Response(200, headers=self.head, stream=body)


class Client:
    """A client with a small budget, and the outcomes of its calls."""

    def __init__(self, **options):
        self.memory = MemoryBudget(max_bytes=MAX_BYTES)
        self.http = open_client(
            "",
            timeout=httpx.Timeout(None),
            limits=httpx.Limits(),
            transport=Servers(**options),
            memory=self.memory,
        )
        self.failed = 0
        self.sizes = []

    async def get(self, host: str) -> None:
        try:
            response = await self.http.get(f"http://{host}")
        except httpx.RemoteProtocolError:
            self.failed += 1
        else:
            self.sizes.append(len(response.content))


class TestResponsesOfAProcess:
    """What all responses of a process hold together is bounded."""

    async def test_many_bodies_without_end_hold_no_more_than_one(self):
        bodies = []

        def endless() -> Body:
            bodies.append(Body(bytes(1000)))
            return bodies[-1]

        client = Client(faulty=endless)
        with anyio.fail_after(LIMIT):
            async with anyio.create_task_group() as group:
                for _ in range(20):
                    group.start_soon(client.get, "faulty")
        assert client.failed == 20
        assert all(body.closed for body in bodies)
        # Each call may hold one part beyond the bound.
        assert sum(body.sent for body in bodies) <= 20 * (MAX_BYTES / 1000 + 1)
        assert client.memory.held == 0

    async def test_a_body_that_fell_silent_gives_way(self):
        silent = BodyThatFallsSilent(bytes(1000), 60)
        client = Client(silent=lambda: silent, sound=lambda: Body(bytes(1000), 50))
        with anyio.fail_after(LIMIT):
            async with anyio.create_task_group() as group:
                group.start_soon(client.get, "silent")
                await anyio.wait_all_tasks_blocked()
                group.start_soon(client.get, "sound")
        assert client.failed == 1
        assert client.sizes == [50_000]
        assert silent.closed

    async def test_a_sound_server_beside_it_is_heard(self):
        client = Client(
            faulty=lambda: Body(bytes(1000)), sound=lambda: Body(bytes(10), 100)
        )
        with anyio.fail_after(LIMIT):
            async with anyio.create_task_group() as group:
                for _ in range(20):
                    group.start_soon(client.get, "faulty")
                    group.start_soon(client.get, "sound")
        assert client.sizes == [1000] * 20
        assert client.failed == 20

    async def test_fields_of_a_head_count_as_objects(self):
        client = Client(fields=10_000, faulty=lambda: Body(b""))
        with anyio.fail_after(LIMIT):
            await client.get("faulty")
        assert client.failed == 1
        assert client.memory.held == 0

    async def test_what_was_read_or_cancelled_is_not_held(self):
        client = Client(
            endless=lambda: BodyThatFallsSilent(bytes(1000), 50),
            sound=lambda: Body(bytes(1000), 50),
        )
        for _ in range(5):
            with anyio.move_on_after(0.01):
                await client.get("endless")
            await client.get("sound")
        assert client.memory.held == 0
        assert client.sizes == [50_000] * 5


class TestEventLoop:
    """Reading what has arrived leaves the event loop to others in between."""

    async def test_others_run_between_two_parts(self):
        client = Client(faulty=lambda: BodyThatIsThere(b"x", 1000))
        turns = 0

        async def count_turns() -> None:
            nonlocal turns
            while True:
                await checkpoint()
                turns += 1

        async with anyio.create_task_group() as group:
            group.start_soon(count_turns)
            await client.get("faulty")
            group.cancel_scope.cancel()
        assert client.sizes == [1000]
        assert turns >= 999


class TestCompressedResponse:
    """A compressed response is not decoded, since it may be of any size."""

    async def test_a_compressed_response_is_refused(self):
        zeros = gzip.compress(bytes(10_000_000))
        client = Client(encoding=b"gzip", faulty=lambda: Body(zeros, 1))
        tracemalloc.start()
        try:
            await client.get("faulty")
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert client.failed == 1
        assert peak < 1_000_000


class TestFieldsOfAHead:
    """Each field of a few bytes takes objects, and time of the event loop."""

    async def read(self, fields: int) -> httpx.Response | httpx.HTTPError:
        """Call a server that answers with as many fields."""
        head = b"HTTP/1.1 204 No Content\r\n" + b"a: b\r\n" * fields + b"\r\n"

        async def answer(stream: anyio.abc.SocketStream) -> None:
            async with stream:
                await stream.receive()
                with contextlib.suppress(anyio.BrokenResourceError):
                    await stream.send(head)

        async with (
            await anyio.create_tcp_listener(local_host="127.0.0.1") as listener,
            anyio.create_task_group() as group,
        ):
            group.start_soon(listener.serve, answer)
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            async with open_client(
                f"http://127.0.0.1:{port}",
                timeout=httpx.Timeout(LIMIT),
                limits=httpx.Limits(),
            ) as http:
                try:
                    return await http.get("/")
                except httpx.HTTPError as error:
                    return error
                finally:
                    group.cancel_scope.cancel()

    async def test_too_many_are_refused_before_they_are_parsed(self):
        tracemalloc.start()
        try:
            outcome = await self.read(10_000)
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert isinstance(outcome, httpx.RemoteProtocolError)
        assert peak < 2_000_000

    async def test_as_many_as_sound_servers_send_are_read(self):
        response = await self.read(200)
        assert len(response.headers.get_list("a")) == 200


class TestEngineReply:
    """What a reply of an engine takes, until it is refused."""

    async def test_tiny_chunks_take_no_object_each(self):
        engine = EngineClient(
            url="http://engine",
            transport=Servers(engine=lambda: Body(b"x", TINY_CHUNKS)),
        )
        tracemalloc.start()
        try:
            with anyio.fail_after(LIMIT):
                assert isinstance(await engine.state(), EngineFailure)
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert peak < 5 * TINY_CHUNKS
