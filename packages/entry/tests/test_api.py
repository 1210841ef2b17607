"""Tests of the caller API over a whole deployment."""

import hashlib

import anyio
import httpx
import openai
import pytest
from loguru import logger

from kumquatway._demo import Deployment, Layout, Pipeline
from kumquatway.api._body import check_depth, read_body
from kumquatway.api._context import Callers
from kumquatway.api._generate import COMPLETION, Generated
from kumquatway.api._services import _response as to_response
from kumquatway.calls import Answer
from kumquatway.streams import Ask, Routes, Streams
from kumquatway_core import Reason
from kumquatway_core.events import RequestEnded
from kumquatway_core.text import Model, parse
from kumquatway_core.wire import GeneratedToken, Stage
from kumquatway_fakes import Speed, answer

KEY = "test-key"
HEADERS = {"Authorization": f"Bearer {KEY}"}
LAYERS = 6
LONG_SEED = 352  # its answer is long
WAIT = 20  # seconds
PROMPT = "pass closed"
SOURCE = f"""
name = "test"
[models.bulletin]
layers = {LAYERS}
adapters = ["night"]
[services.desk]
[accounts.guests]
keys = ["{hashlib.sha256(KEY.encode()).hexdigest()}"]
[accelerators.any]
memory_mib = 80000
layer_us = 0
token_us = 0
"""

pytestmark = pytest.mark.anyio


@pytest.fixture(scope="module")
def anyio_backend():
    return "asyncio"


@pytest.fixture(scope="module")
async def deployment(anyio_backend):
    layout = Layout(
        entries=1,
        pipelines=(
            Pipeline(
                model="bulletin", stages=3, replicas=1, speed=Speed(layer_us=1000)
            ),
        ),
        services={"desk": 1},
        admin_key=hashlib.sha256(KEY.encode()).hexdigest(),
    )
    deployment = Deployment(source=SOURCE, layout=layout)
    async with anyio.create_task_group() as group:
        await group.start(deployment.run)
        yield deployment
        deployment.stop()


@pytest.fixture
def url(deployment) -> str:
    return f"http://{deployment.entries[0].settings.caller_address}"


@pytest.fixture
async def http(url):
    async with httpx.AsyncClient(base_url=url, headers=HEADERS, timeout=WAIT) as http:
        yield http


@pytest.fixture
async def client(url):
    found = openai.AsyncOpenAI(base_url=f"{url}/v1", api_key=KEY, max_retries=0)
    async with found:
        yield found


def expected(prompt: str = PROMPT, **options) -> tuple[str, str]:
    texts, finish = answer(
        prompt=prompt.encode(), layers=LAYERS, model="bulletin", **options
    )
    return "".join(texts), finish


def one_stage(ask, avoid) -> tuple[Stage, ...]:
    return (Stage(vm="v", address="a", incarnation=1, first=0, end=LAYERS),)


def make_ask() -> Ask:
    return Ask(
        request="r",
        name="m",
        model=Model(layers=LAYERS),
        adapter="",
        prompt=bytes(4),
        max_tokens=9,
        seed=0,
        priority=1,
        deadline=float("inf"),
    )


def last_end(deployment) -> RequestEnded:
    records = deployment.entries[0].journal.records
    ends = [record.event for record in records if type(record.event) is RequestEnded]
    return ends[-1]


async def post_forever(http: httpx.AsyncClient, body: dict) -> None:
    async with http.stream("POST", "/v1/completions", json=body) as response:
        assert response.status_code == 200, await response.aread()
        async for _ in response.aiter_bytes():
            pass


async def eventually(holds) -> None:
    with anyio.fail_after(WAIT):
        while not holds():
            await anyio.sleep(0.01)


def check_error(response: httpx.Response, status: int, verdict: str = "not-run"):
    assert response.status_code == status, response.text
    error = response.json()["error"]
    assert error["message"]
    assert error["type"]
    assert error["verdict"] == verdict
    assert response.headers["Kumquatway-Verdict"] == verdict
    assert len(response.headers["X-Request-Id"]) == 16
    return error


class TestOpenAI:
    """The official client is served."""

    async def test_a_whole_completion(self, client):
        found = await client.completions.create(
            model="bulletin", prompt=PROMPT, max_tokens=12, seed=7
        )
        choice = found.choices[0]
        assert (choice.text, choice.finish_reason) == expected(max_tokens=12, seed=7)
        assert found.usage.prompt_tokens == len(PROMPT)
        assert found.usage.completion_tokens == 12
        assert found.usage.total_tokens == len(PROMPT) + 12

    async def test_a_streamed_chat_with_usage_and_verdict(self, client):
        stream = await client.chat.completions.create(
            model="bulletin:night",
            messages=[{"role": "user", "content": [{"type": "text", "text": "Hi"}]}],
            max_completion_tokens=9,
            stream=True,
            stream_options={"include_usage": True},
        )
        chunks = [chunk async for chunk in stream]
        whole = await client.chat.completions.create(
            model="bulletin:night",
            messages=[{"role": "user", "content": "Hi"}],
            max_tokens=9,
        )
        *pieces, usage = chunks
        text = "".join(chunk.choices[0].delta.content or "" for chunk in pieces)
        assert pieces[0].choices[0].delta.role == "assistant"
        assert text == whole.choices[0].message.content
        prompt = "<|user|>Hi\n<|assistant|>"
        assert text == expected(prompt, max_tokens=9, adapter="night")[0]
        assert pieces[-1].choices[0].finish_reason == "length"
        assert pieces[-1].kumquatway_verdict == "ran"
        assert usage.choices == []
        assert usage.usage == whole.usage

    async def test_a_stop_string_that_spans_tokens(self, client):
        text, _ = expected(max_tokens=12)
        stop = text[14:20]
        found = await client.completions.create(
            model="bulletin", prompt=PROMPT, max_tokens=12, stop=["never", stop]
        )
        assert found.choices[0].text == text[: text.index(stop)]
        assert found.choices[0].finish_reason == "stop"

    async def test_the_models(self, client):
        found = await client.models.list()
        names = [model.id for model in found.data]
        assert names == ["bulletin", "bulletin:night"]
        assert (await client.models.retrieve("bulletin:night")).id == names[1]
        with pytest.raises(openai.NotFoundError):
            await client.models.retrieve("none")

    async def test_errors_are_those_of_the_api(self, client, url):
        with pytest.raises(openai.NotFoundError) as missing:
            await client.completions.create(model="none", prompt="a")
        assert missing.value.code == "not_found"
        with pytest.raises(openai.BadRequestError):
            await client.completions.create(model="bulletin", prompt=["a", "b"])
        with pytest.raises(openai.BadRequestError):
            await client.completions.create(model="bulletin", prompt=[1, 2])
        with pytest.raises(openai.BadRequestError):
            await client.completions.create(model="bulletin", prompt="a", n=2)
        async with openai.AsyncOpenAI(base_url=f"{url}/v1", api_key="x") as other:
            with pytest.raises(openai.AuthenticationError):
                await other.models.list()


class TestErrors:
    """Every refusal has the shape of the API and says that nothing ran."""

    @pytest.mark.parametrize(
        ("method", "path"),
        [
            ("GET", "/v1/models"),
            ("POST", "/v1/completions"),
            ("POST", "/services/desk/a"),
        ],
    )
    async def test_no_text_in_force_is_no_fault_of_the_key(
        self, deployment, http, method, path, monkeypatch
    ):
        monkeypatch.setattr(deployment.entries[0].configuration, "text", None)
        response = await http.request(method, path, json={})
        assert response.status_code == 503
        assert response.headers["Kumquatway-Verdict"] == "not-run"
        assert "Retry-After" in response.headers

    @pytest.mark.parametrize(
        ("method", "path", "status"),
        [
            ("GET", "/nothing", 404),
            ("GET", "/v1/completions", 405),
            ("DELETE", "/v1/models", 405),
            ("GET", "/services/none/a", 404),
            ("POST", "/v1/completions/", 404),
        ],
    )
    async def test_a_path_that_is_not_served(self, http, method, path, status):
        response = await http.request(method, path)
        check_error(response, status)
        assert ("Allow" in response.headers) == (status == 405)

    async def test_an_unknown_key(self, url):
        async with httpx.AsyncClient(base_url=url) as http:
            for path in ("/v1/models", "/services/desk/a"):
                response = await http.get(path, headers={"Authorization": "Bearer x"})
                check_error(response, 401)
                assert response.headers["WWW-Authenticate"] == "Bearer"

    async def test_a_body_over_its_bound(self, http):
        large = b"x" * (4096 * 1024 + 1)

        async def chunks():
            yield large

        check_error(await http.post("/v1/completions", content=large), 413)
        check_error(await http.post("/services/desk/a", content=chunks()), 413)

    async def test_a_prompt_over_its_bound(self, http):
        body = {"model": "bulletin", "prompt": "a" * 8192}
        check_error(await http.post("/v1/completions", json=body), 413)

    async def test_headers_over_their_bound(self, http):
        for size in (17, 40):
            headers = {"X-Large": "a" * size * 1024}
            check_error(await http.get("/v1/models", headers=headers), 431)

    async def test_what_is_no_text_is_refused(self, http):
        image = {"type": "image_url", "image_url": {"url": "a"}}
        message = {"role": "user", "content": [image]}
        body = {"model": "bulletin", "messages": [message]}
        check_error(await http.post("/v1/chat/completions", json=body), 400)

    async def test_no_route_says_when_to_retry(self, deployment, http):
        entry = deployment.entries[0]
        saved, entry._usable = entry._usable, list
        try:
            body = {"model": "bulletin", "prompt": "a", "stream": True}
            response = await http.post("/v1/completions", json=body)
        finally:
            entry._usable = saved
        check_error(response, 503)
        assert int(response.headers["Retry-After"]) >= 1

    async def test_a_handler_that_fails_may_have_run(self, deployment, http):
        dispatcher = deployment.entries[0].dispatcher
        lines = []
        handler = logger.add(lambda line: lines.append(line.record), level="ERROR")
        dispatcher.run, saved = None, dispatcher.run
        try:
            response = await http.post("/services/desk/a")
        finally:
            dispatcher.run = saved
            logger.remove(handler)
        check_error(response, 500, "may-have-run")
        request = response.headers["X-Request-Id"]
        assert [line["extra"]["request"] for line in lines] == [request]
        ended = last_end(deployment)
        assert (ended.request, ended.reason) == (request, "internal")


class TestBody:
    """Bodies are read and judged within bounds."""

    @pytest.mark.parametrize(
        ("body", "deep"),
        [
            (b"[" * 3 + b"]" * 3, False),
            (b"[" * 4, True),
            (b'{"a":[{"b":[]}]}', True),
            (b"[[],[],[],[],[]]", False),
            (rb'["\"[[[[", "]]", "{{{{"]', False),
            (rb'["\\", [[[1]]]]', True),
            (rb'"\"[[[[\"', False),
            (b"]]]]][[[[", False),
        ],
    )
    async def test_depth(self, body, deep):
        assert (check_depth(body, 3) is not None) == deep

    async def test_a_body_that_does_not_arrive(self):
        class Slow:
            headers = {}

            async def stream(self):
                yield b"a"
                await anyio.sleep_forever()

        verdict = await read_body(Slow(), 1, seconds=0.01)
        assert (verdict.reason, verdict.header_value()) == (Reason.DEADLINE, "not-run")


class TestCallers:
    """Keys are looked up in the text in force."""

    async def test_a_new_text_replaces_the_keys(self):
        callers = Callers()
        text = parse(SOURCE, "text")
        assert callers.find(text, f"bearer {KEY}").name == "guests"
        for wrong in ("", "Bearer", "Bearer ", f"Basic {KEY}", "Bearer x"):
            assert callers.find(text, wrong) is None
        other = parse(SOURCE.replace("guests", "hosts"), "text")
        assert callers.find(other, f"Bearer {KEY}").name == "hosts"


class TestServices:
    """Calls and answers of services pass, without what belongs to a connection."""

    async def test_headers_of_an_answer(self):
        headers = (
            ("set-cookie", "a=1"),
            ("Set-Cookie", "b=2"),
            ("Date", "then"),
            ("kumquatway-verdict", "not-run"),
            ("content-type", "text/a"),
        )
        response = to_response(Answer(status=201, headers=headers, body=b"ab"))
        assert response.headers.getlist("set-cookie") == ["a=1", "b=2"]
        assert response.headers.getlist("kumquatway-verdict") == ["ran"]
        assert response.headers["content-type"] == "text/a"
        assert "date" not in response.headers

    async def test_a_call_keeps_its_method_query_and_body(self, deployment, http):
        service = deployment.services["desk-0"]
        response = await http.patch(
            "/services/desk/a%20b/c?d=%26", content=b"\xff", headers={"TE": "trailers"}
        )
        assert response.status_code == 200
        assert response.headers.get_list("date") == [response.headers["date"]]
        assert service.executions[-1].path == "/a b/c"
        assert service.executions[-1].method == "PATCH"
        head = await http.head("/services/desk/a")
        assert head.headers["Kumquatway-Verdict"] == "ran"

    async def test_what_is_idempotent(self, http):
        wrong = {"Kumquatway-Idempotent": "perhaps"}
        check_error(await http.post("/services/desk/a", headers=wrong), 400)
        long = {"Idempotency-Key": "k" * 256}
        check_error(await http.post("/services/desk/a", headers=long), 400)


class TestVanishedCaller:
    """A caller that goes away or stops reading frees the engines."""

    @staticmethod
    def busy(deployment) -> list[int]:
        return [len(engine.slots) for engine in deployment.engines.values()]

    @pytest.mark.parametrize("stream", [True, False])
    async def test_a_disconnect_frees_every_stage(self, deployment, http, stream):
        body = {
            "model": "bulletin",
            "prompt": PROMPT,
            "seed": LONG_SEED,
            "max_tokens": 8000,
            "stream": stream,
        }
        async with anyio.create_task_group() as group:
            group.start_soon(post_forever, http, body)
            await eventually(lambda: self.busy(deployment) == [1, 1, 1])
            group.cancel_scope.cancel()
        await eventually(lambda: self.busy(deployment) == [0, 0, 0])
        await eventually(lambda: not deployment.entries[0].streams.sessions)
        ended = last_end(deployment)
        assert (ended.reason, ended.verdict) == ("cancelled", "may-have-run")

    async def test_a_caller_that_stops_reading_is_given_up(self):
        events = []
        streams = Streams(
            entry="e",
            routes=Routes(
                route=one_stage,
                replacement=lambda *_: None,
                change=lambda *_: None,
            ),
            send=lambda address, message: events.append(message),
            emit=events.append,
        )
        generated = Generated(
            streams=streams,
            ask=make_ask(),
            form=COMPLETION,
            model="m",
            stream=True,
            usage=False,
            stops=(),
            emit=events.append,
            write_seconds=0.01,
        )

        async def stuck(message):
            await anyio.sleep_forever()

        async with anyio.create_task_group() as group:
            group.start_soon(generated, {}, anyio.sleep_forever, stuck)
            await eventually(lambda: "r" in streams.sessions)
            session = streams.sessions["r"]
            await eventually(lambda: session.attempt == 1)
            session.take_piece(
                GeneratedToken(request="r", attempt=1, position=1, token=1, text="a")
            )
        assert not streams.sessions
        assert [type(event).__name__ for event in events[-2:]] == [
            "Cancel",
            "RequestEnded",
        ]
        assert "read nothing" in events[-1].detail


class TestBrokenEntry:
    """A fault of the entry in the middle of an answer is told."""

    @pytest.mark.parametrize("stream", [True, False])
    async def test_an_answer_is_not_cut_without_a_verdict(self, stream):
        chains = [one_stage(None, ())]
        events, sent = [], []
        streams = Streams(
            entry="e",
            routes=Routes(
                route=lambda ask, avoid: chains.pop(),
                replacement=lambda *_: None,
                change=lambda *_: None,
            ),
            send=lambda address, message: None,
            emit=events.append,
        )
        generated = Generated(
            streams=streams,
            ask=make_ask(),
            form=COMPLETION,
            model="m",
            stream=stream,
            usage=False,
            stops=(),
            emit=events.append,
            write_seconds=WAIT,
        )

        async def send(message):
            sent.append(message)

        async with anyio.create_task_group() as group:
            group.start_soon(generated, {}, anyio.sleep_forever, send)
            await eventually(lambda: "r" in streams.sessions)
            session = streams.sessions["r"]
            await eventually(lambda: session.attempt == 1)
            session.take_piece(
                GeneratedToken(request="r", attempt=1, position=1, token=1, text="a")
            )
            await eventually(lambda: session.tokens)
            session.lose_address("a", "lost")
        body = b"".join(message.get("body", b"") for message in sent)
        assert b'"verdict":"may-have-run"' in body
        assert not sent[-1].get("more_body", False)
        assert (events[-1].reason, events[-1].verdict) == ("internal", "may-have-run")
