"""Tests of an entry that is asked to end while requests are in progress."""

import hashlib
from contextlib import asynccontextmanager

import anyio
import httpx
import pytest

from kumquatway import _entry
from kumquatway._demo import Deployment, Layout, Pipeline, _deployment
from kumquatway_core.events import RequestStarted
from kumquatway_core.exceptions import ProcessError
from kumquatway_fakes import Speed

KEY = "test-key"
HEADERS = {"Authorization": f"Bearer {KEY}"}
WAIT = 20  # seconds
GRACE = 2.0  # seconds of a shutdown
LONG_SEED = 352  # its answer is long
SOURCE = f"""
name = "test"
[models.bulletin]
layers = 2
[services.desk]
[accounts.guests]
keys = ["{hashlib.sha256(KEY.encode()).hexdigest()}"]
[accelerators.any]
memory_mib = 80000
layer_us = 0
token_us = 0
"""

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
def short_grace(monkeypatch):
    monkeypatch.setattr(_deployment, "SHUTDOWN", GRACE)


class Rig:
    """A deployment, and one request of a caller."""

    def __init__(self, deployment: Deployment, http: httpx.AsyncClient):
        self.deployment = deployment
        self.http = http
        self.entry = deployment.entries[0]
        self.response: httpx.Response | None = None

    async def post(self, path: str, **options) -> None:
        self.response = await self.http.post(path, **options)

    def has_started(self) -> bool:
        records = self.entry.journal.records
        return any(type(record.event) is RequestStarted for record in records)

    async def until(self, condition) -> None:
        with anyio.fail_after(WAIT):
            while not condition():
                await anyio.sleep(0.01)


@asynccontextmanager
async def running():
    speed = Speed(layer_us=50_000)
    layout = Layout(
        entries=1,
        pipelines=(Pipeline(model="bulletin", stages=1, replicas=1, speed=speed),),
        services={"desk": 1},
        admin_key=hashlib.sha256(KEY.encode()).hexdigest(),
    )
    deployment = Deployment(source=SOURCE, layout=layout)
    async with anyio.create_task_group() as group:
        await group.start(deployment.run)
        url = f"http://{deployment.entries[0].settings.caller_address}"
        async with httpx.AsyncClient(
            base_url=url, headers=HEADERS, timeout=WAIT
        ) as http:
            yield Rig(deployment, http)
        deployment.stop()


@pytest.mark.usefixtures("short_grace")
class TestPlannedStop:
    """Each request that was taken is answered, or told that it may have run."""

    @pytest.mark.parametrize("stream", [True, False])
    async def test_an_answer_that_outlasts_the_grace_is_told(self, stream):
        body = {
            "model": "bulletin",
            "prompt": "pass closed",
            "seed": LONG_SEED,
            "max_tokens": 8000,
            "stream": stream,
        }
        async with running() as rig, anyio.create_task_group() as group:
            group.start_soon(lambda: rig.post("/v1/completions", json=body))
            await rig.until(
                lambda: any(s.tokens for s in rig.entry.streams.sessions.values())
            )
            rig.entry.leave()
            await rig.until(lambda: rig.response is not None)
        assert '"code":"shutting_down"' in rig.response.text
        assert '"verdict":"may-have-run"' in rig.response.text

    async def test_a_call_that_outlasts_the_grace_is_told(self):
        async with running() as rig, anyio.create_task_group() as group:
            service = rig.deployment.services["desk-0"]
            service.faults.seconds = WAIT
            group.start_soon(rig.post, "/services/desk/seats")
            await rig.until(lambda: service.executions)
            rig.entry.leave()
            await rig.until(lambda: rig.response is not None)
        assert rig.response.headers["Kumquatway-Verdict"] == "may-have-run"
        assert rig.response.json()["error"]["code"] == "shutting_down"
        assert len(service.executions) == 1

    async def test_a_call_that_waits_for_its_claim_is_not_cut(self):
        headers = {"Idempotency-Key": "k"}
        async with running() as rig, anyio.create_task_group() as group:
            rig.deployment.table.gate.faults.slow = GRACE / 8
            group.start_soon(lambda: rig.post("/services/desk/seats", headers=headers))
            await rig.until(rig.has_started)
            rig.entry.leave()
            await rig.until(lambda: rig.response is not None)
        assert rig.response.headers["Kumquatway-Verdict"] == "ran"


class FailingTask:
    """Adds a task to entries, which fails for good once it is told to."""

    def __init__(self, monkeypatch):
        self.told = anyio.Event()
        self.error: BaseException | None = None  # with which the entry has ended
        self.add_children = _entry.Entry._add_children
        self.run_entry = _entry.Entry.run
        monkeypatch.setattr(_entry.Entry, "_add_children", lambda e: self.add(e))
        monkeypatch.setattr(_entry.Entry, "run", lambda e, **kw: self.run(e, **kw))

    def add(self, entry) -> None:
        self.add_children(entry)
        entry.supervisor.max_restarts = 0
        entry.supervisor.add("failing", self.fail)

    async def fail(self) -> None:
        await self.told.wait()
        raise ZeroDivisionError

    async def run(self, entry, **options) -> None:
        try:
            await self.run_entry(entry, **options)
        except Exception as error:
            self.error = error


class TestTaskThatFailsForGood:
    """Callers got 500 while their servers worked on, as the entry ended at once."""

    async def test_a_call_in_progress_is_answered_first(self, monkeypatch):
        task = FailingTask(monkeypatch)
        async with running() as rig, anyio.create_task_group() as group:
            service = rig.deployment.services["desk-0"]
            service.faults.seconds = 1.0
            group.start_soon(rig.post, "/services/desk/seats")
            await rig.until(lambda: service.executions)
            task.told.set()
            await rig.until(lambda: rig.response is not None)
            await rig.until(lambda: task.error is not None)
        assert rig.response.status_code == 200
        assert isinstance(task.error, ProcessError)
