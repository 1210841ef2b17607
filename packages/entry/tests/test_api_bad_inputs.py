"""Tests of bad inputs: each gets a clear error, and the process serves on."""

import hashlib
import json
import string

import anyio
import httpx
import pytest
import zmq
import zmq.asyncio
from hypothesis import HealthCheck, Phase, given, settings, strategies as st

from kumquatway._demo import Deployment, Layout, Pipeline
from kumquatway_core.wire import Ack, Pieces, RevisionCopy, RevisionSeen, encode

KEY = "test-key"
WAIT = 20  # seconds
GENERATED = 200
SOURCE = f"""
name = "test"
[models.bulletin]
layers = 4
max_context = 64
[services.desk]
[accounts.guests]
keys = ["{hashlib.sha256(KEY.encode()).hexdigest()}"]
[accelerators.any]
memory_mib = 80000
layer_us = 0
token_us = 0
"""

pytestmark = pytest.mark.anyio
generate = settings(
    max_examples=GENERATED,
    derandomize=True,
    deadline=None,
    database=None,
    phases=(Phase.generate,),
    suppress_health_check=list(HealthCheck),
)

words = st.text(max_size=12)
leaves = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | words
    | st.sampled_from(["bulletin", "user", "text", "\ud800"])
)
values = st.recursive(
    leaves,
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(words, inner, max_size=4)
    ),
    max_leaves=12,
)
FIELDS = (
    "model prompt messages stream max_tokens max_completion_tokens stop seed n "
    "stream_options role content"
)
fields = st.sampled_from(FIELDS.split())
near = st.fixed_dictionaries(
    {"model": st.just("bulletin")},
    optional={
        "prompt": st.just("a") | values,
        "messages": values,
        "stream": values,
        "max_tokens": values,
        "stop": values,
        "seed": values,
        "n": values,
        "stream_options": values,
    },
)
documents = (near | st.dictionaries(fields, values) | values).map(
    lambda value: json.dumps(value).encode()
)
deep = st.integers(50, 5000).map(lambda depth: b"[" * depth + b"]" * depth)
bodies = st.one_of(documents, documents, st.binary(max_size=60), deep)
tokens = st.text(string.ascii_letters + string.digits, min_size=1, max_size=8)
visible = st.text(string.ascii_letters + string.digits + '"*/,;=-', max_size=20)
ADMIN_PATHS = (
    "/admin/text /admin/audit /admin/status /admin/events /admin/drain/none "
    "/admin/drain/%00 /admin /openapi.json /metrics /nothing"
)
CALLER_PATHS = (
    "/v1/completions /v1/chat/completions /v1/models /v1/models/x /services/desk/a "
    "/services/none/b /nothing"
)
paths = st.sampled_from(CALLER_PATHS.split())
methods = st.sampled_from(["GET", "POST", "PUT", "DELETE", "PATCH", "NONE"])


@pytest.fixture(scope="module")
def anyio_backend():
    return "asyncio"


@pytest.fixture(scope="module")
async def deployment(anyio_backend):
    layout = Layout(
        entries=1,
        pipelines=(Pipeline(model="bulletin", stages=2, replicas=1),),
        services={"desk": 1},
        admin_key=hashlib.sha256(KEY.encode()).hexdigest(),
    )
    deployment = Deployment(source=SOURCE, layout=layout)
    async with anyio.create_task_group() as group:
        await group.start(deployment.run)
        yield deployment
        deployment.stop()


def open_client(address: str) -> httpx.AsyncClient:
    headers = {"Authorization": f"Bearer {KEY}"}
    return httpx.AsyncClient(
        base_url=f"http://{address}", headers=headers, timeout=WAIT
    )


async def check_serves(deployment) -> None:
    """The entry answers as ever and no child of it was started again."""
    entry = deployment.entries[0]
    async with open_client(entry.settings.caller_address) as http:
        body = {"model": "bulletin", "prompt": "a", "max_tokens": 2}
        response = await http.post("/v1/completions", json=body)
    assert response.status_code == 200
    assert response.headers["Kumquatway-Verdict"] == "ran"
    assert entry.supervisor.restarts == 0


def examples(strategy) -> list:
    """Generate the examples of a test, the same on each run."""
    found = []

    @generate
    @given(strategy)
    def collect(example):
        found.append(example)

    collect()
    assert len(found) >= GENERATED * 0.9
    return found


class TestCallers:
    """The caller API."""

    async def test_generated_requests(self, deployment):
        address = deployment.entries[0].settings.caller_address
        named = st.tuples(tokens, visible)
        requests = st.tuples(methods, paths, bodies, st.lists(named, max_size=3))
        posts = st.tuples(
            st.just("POST"),
            st.sampled_from(["/v1/completions", "/v1/chat/completions"]),
            bodies,
            st.just([]),
        )
        async with open_client(address) as http:
            for method, path, body, headers in examples(requests | posts):
                extra = {f"X-{name}": value for name, value in headers}
                response = await http.request(method, path, content=body, headers=extra)
                self.check(response, method, path, body)
        await check_serves(deployment)

    @staticmethod
    def check(response: httpx.Response, method: str, path: str, body: bytes) -> None:
        shown = (method, path, body, response.status_code, response.content)
        assert response.status_code < 500, shown
        assert len(response.headers["X-Request-Id"]) == 16, shown
        if response.status_code >= 400:
            assert response.headers["Kumquatway-Verdict"] == "not-run", shown
            if method != "HEAD":
                error = response.json()["error"]
                assert error["message"] and error["type"], shown

    @pytest.mark.parametrize(
        "data",
        [
            b"\0\1\2\3\r\n\r\n",
            b"GET /v1/models\r\n\r\n",
            b"GET /\xff HTTP/1.1\r\nHost: a\r\n\r\n",
            b"GET /%ff%00 HTTP/1.1\r\nHost: a\r\n\r\n",
            b"POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
            b"POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab",
            b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            b"GET / HTTP/1.1\r\nHost: a\r\nX: \xff\xfe\r\n\r\n",
            b"GET / HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer \xff\r\n\r\n",
            b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\xff" * 64,
            b"GET / HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\n"
            b"Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
            b"Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n",
            b"GET / HTTP/1.1\r\nHost: a\r\n" + b"X: " + b"a" * 200_000,
        ],
    )
    async def test_what_is_hardly_http(self, deployment, data):
        host, _, port = deployment.entries[0].settings.caller_address.rpartition(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(data)
            await stream.send_eof()
            with anyio.fail_after(WAIT):
                found = await read_some(stream)
        assert not found.startswith((b"HTTP/1.1 2", b"HTTP/1.1 5")), found
        await check_serves(deployment)


async def read_some(stream) -> bytes:
    try:
        return await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return b""


class TestOperators:
    """The admin API."""

    async def test_generated_requests(self, deployment):
        entry = deployment.entries[0]
        number = entry.configuration.number()
        paths = st.sampled_from(ADMIN_PATHS.split())
        queries = st.dictionaries(
            st.sampled_from(["after", "since", "limit", "kind", "request", "vm"]),
            st.text(max_size=8) | st.integers().map(str),
            max_size=3,
        )
        tags = visible | st.integers().map('"{}"'.format) | st.integers().map(str)
        texts = st.binary(max_size=80) | st.text(max_size=80).map(
            lambda text: text.encode(errors="replace")
        )
        requests = st.tuples(methods, paths, queries, tags, texts)
        edits = st.tuples(
            st.just("PUT"), st.just("/admin/text"), st.just({}), tags, texts
        )
        async with open_client(entry.settings.admin_address) as http:
            for method, path, query, tag, text in examples(requests | edits):
                response = await http.request(
                    method,
                    path,
                    params=query,
                    content=text,
                    headers={"If-Match": tag},
                )
                shown = (method, path, query, tag, text, response.text)
                assert response.status_code < 500, shown
                assert response.status_code < 400 or response.content, shown
        assert entry.configuration.number() == number
        await check_serves(deployment)


class TestMesh:
    """The entry's port of the mesh."""

    async def test_garbage_of_raw_tcp(self, deployment):
        host, _, port = deployment.entries[0].settings.mesh_address.rpartition(":")
        for data in examples(st.binary(min_size=1, max_size=200))[:40]:
            async with await anyio.connect_tcp(host, int(port)) as stream:
                await stream.send(data)
        await check_serves(deployment)

    async def test_garbage_frames(self, deployment):
        entry = deployment.entries[0]
        address = entry.settings.mesh_address
        inbox = entry.mesh.inbox
        wrong = [
            encode(Ack(sequence=2**62)),
            encode(Pieces(items=())),
            encode(RevisionSeen(address="no address", number=10**9)),
            encode(RevisionSeen(address="", number=-1)),
            encode(RevisionCopy(number=10**9, data=b"\xc1")),
            encode(RevisionCopy(number=10**9, data=b"\x93\1\2\3")),
        ]
        messages = st.sampled_from(wrong)
        heads = st.binary(min_size=8, max_size=8)
        frames = st.one_of(
            st.tuples(heads, messages).map(list),
            st.tuples(heads, st.binary(max_size=60)).map(list),
            st.lists(st.binary(max_size=20), min_size=1, max_size=5),
        )
        before = inbox.failed_messages
        context = zmq.asyncio.Context()
        try:
            for identity in (b"garbage", b"a|1|b", b"\xff|x|y", b"127.0.0.1:1|9|c"):
                socket = context.socket(zmq.DEALER)
                socket.setsockopt(zmq.IDENTITY, identity)
                socket.connect(f"tcp://{address}")
                for number, message in enumerate(wrong):
                    head = (2**62 + number).to_bytes(8, "big")
                    await socket.send_multipart([head, message])
                for found in examples(frames)[::4]:
                    await socket.send_multipart(found)
                await socket.send_multipart([b"last"])
                socket.close(linger=WAIT * 1000)
            with anyio.fail_after(WAIT):
                while inbox.failed_messages < before + 100:
                    await anyio.sleep(0.01)
        finally:
            await anyio.to_thread.run_sync(context.term)
        await check_serves(deployment)
