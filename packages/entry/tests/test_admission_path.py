"""Tests of admission in the ordinary path of requests."""

import hashlib

import anyio
import httpx
import pytest

from kumquatway._demo import Deployment, Layout, Pipeline
from kumquatway.admission import Admission, Ask, Kind, Queueing, Ticket
from kumquatway.admission._queueing import WINDOW_SECONDS
from kumquatway_core import Reason
from kumquatway_core.events import Refused
from kumquatway_core.revisions import Accepted
from kumquatway_fakes import Speed

WAIT = 20  # seconds
ACCOUNTS = ("guests", "small", "frugal")


def digest(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


SOURCE = f"""
name = "test"
[models.bulletin]
layers = 6
[services.desk]
[accounts.guests]
keys = ["{digest("guests")}"]
[accounts.small]
keys = ["{digest("small")}"]
requests_per_second = 0.01
burst = 100.0
[accounts.frugal]
keys = ["{digest("frugal")}"]
tokens_per_second = 1.0
burst = 1000.0
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
            Pipeline(model="bulletin", stages=2, replicas=1, speed=Speed(layer_us=500)),
        ),
        services={"desk": 1},
        admin_key=digest("admin"),
    )
    deployment = Deployment(source=SOURCE, layout=layout)
    async with anyio.create_task_group() as group:
        await group.start(deployment.run)
        yield deployment
        deployment.stop()


@pytest.fixture
def entry(deployment):
    return deployment.entries[0]


@pytest.fixture
async def http(entry):
    url = f"http://{entry.settings.caller_address}"
    async with httpx.AsyncClient(base_url=url, timeout=WAIT) as http:
        yield http


def key(account: str) -> dict[str, str]:
    return {"Authorization": f"Bearer {account}"}


async def complete(http, account="guests", max_tokens=8, **headers):
    body = {"model": "bulletin", "prompt": "pass", "max_tokens": max_tokens}
    headers = {**key(account), **headers}
    return await http.post("/v1/completions", json=body, headers=headers)


async def until(condition):
    with anyio.fail_after(WAIT):
        while not condition():
            await anyio.sleep(0.01)


class Full:
    """A target without room for more requests."""

    def __init__(self, entry, target):
        self.admission = entry.admission.admission
        self.pool = self.admission._pool(target)
        self.taken = int(self.pool.capacity.limit)

    def __enter__(self):
        self.pool.running += self.taken
        return self

    def __exit__(self, *exception):
        self.free()

    def free(self):
        self.pool.running -= self.taken
        self.taken = 0
        self.admission._start_waiting(self.pool)


class TestRefusals:
    """Requests over their account's limit."""

    async def test_one_over_the_rate_is_told_so_and_counted(self, entry, http):
        assert (await complete(http, "small")).status_code == 200
        refused = await complete(http, "small")
        assert refused.status_code == 429
        assert refused.headers["Kumquatway-Verdict"] == "not-run"
        assert int(refused.headers["Retry-After"]) >= 1
        name = refused.headers["X-Request-Id"]
        events = [record.event for record in entry.journal.records]
        assert Refused(request=name, reason="limited", account="small") in events
        metrics = await http.get(
            f"http://{entry.settings.admin_address}/metrics", headers=key("admin")
        )
        assert 'kumquatway_refused_total{reason="limited"} 1' in metrics.text
        assert 'kumquatway_admitted_total{target="bulletin"}' in metrics.text

    async def test_a_new_revision_changes_the_limit(self, entry, http):
        while (await complete(http, "small")).status_code == 200:
            pass
        source = entry.configuration.replica.current.text
        source = source.replace("= 0.01", "= 1000.0")
        number = entry.configuration.number()
        edit = await entry.configuration.propose(source, number, "tester")
        assert isinstance(edit, Accepted)
        with anyio.fail_after(WAIT):
            while (await complete(http, "small")).status_code != 200:
                await anyio.sleep(0.01)


class TestTickets:
    """The charge and the slot of a request."""

    async def test_unused_tokens_are_given_back(self, entry, http):
        assert (await complete(http, "frugal", 900)).status_code == 200
        state = entry.admission.admission.accounts.states["frugal"]
        assert state.running == 0
        assert state.tokens.level > 500

    async def test_a_failed_request_frees_its_slot(self, entry, http, monkeypatch):
        pool = entry.admission.admission._pool("bulletin")
        monkeypatch.setattr(entry, "_usable", list)
        refused = await complete(http)
        assert refused.status_code == 503
        assert pool.running == 0

    async def test_a_vanished_caller_frees_its_slot(self, entry, http):
        pool = entry.admission.admission._pool("bulletin")
        async with anyio.create_task_group() as group:
            group.start_soon(complete, http, "guests", 4000)
            await until(lambda: pool.running)
            group.cancel_scope.cancel()
        await until(lambda: not pool.running)

    async def test_a_service_call_frees_its_slot(self, entry, http):
        answer = await http.post("/services/desk/seats", headers=key("guests"))
        assert answer.status_code == 200
        assert entry.admission.admission._pool("desk").running == 0


class TestQueue:
    """Requests that wait for room."""

    async def test_a_vanished_caller_leaves_the_queue(self, entry, http):
        with Full(entry, "bulletin") as full:
            async with anyio.create_task_group() as group:
                group.start_soon(complete, http)
                await until(lambda: full.pool.queue.count)
                group.cancel_scope.cancel()
            await until(lambda: not full.pool.queue.count)
        assert entry.admission.admission.accounts.states["guests"].running == 0

    async def test_one_that_waited_is_served(self, entry, http):
        with Full(entry, "bulletin") as full:
            async with anyio.create_task_group() as group:
                got = []

                async def ask():
                    got.append(await complete(http))

                group.start_soon(ask)
                await until(lambda: full.pool.queue.count)
                full.free()
        assert got[0].status_code == 200

    async def test_status_reads_pass_calls_that_wait(self, entry, http):
        with Full(entry, "desk") as full:
            async with anyio.create_task_group() as group:
                group.start_soon(post_seat, http)
                await until(lambda: full.pool.queue.count)
                read = await http.get("/services/desk/seats", headers=key("guests"))
                assert read.status_code == 200
                assert full.pool.queue.count == 1
                group.cancel_scope.cancel()
            await until(lambda: not full.pool.queue.count)


async def post_seat(http):
    await http.post("/services/desk/seats", headers=key("guests"))


class TestDeadline:
    """The header that bounds how long a caller waits."""

    async def test_a_call_that_failed_late_does_not_refuse_the_next(self, entry):
        now = 0.0
        admission = Admission(
            lookup=entry.text().accounts.get, clock=lambda: now, random=lambda: 0.5
        )

        def offer():
            ask = Ask(
                account="guests",
                target="desk",
                kind=Kind.SERVICE_CALL,
                deadline=now + 30.0,
            )
            return admission.offer(ask, print)

        failed = offer()
        now += 31.0
        failed.close(well=False)
        first, second = offer(), offer()
        assert isinstance(first, Ticket) and isinstance(second, Ticket)
        now += 100.0
        first.close()
        second.close()
        third = offer()
        assert isinstance(third, Ticket)
        assert offer().reason is Reason.DEADLINE

    async def test_one_that_passes_in_the_queue_was_not_run(self, entry, http):
        with Full(entry, "bulletin"):
            late = await complete(http, **{"Kumquatway-Deadline-S": "0.2"})
        assert late.status_code == 504
        assert late.headers["Kumquatway-Verdict"] == "not-run"

    @pytest.mark.parametrize("said", ["soon", "0", "-1", "nan", "inf"])
    async def test_a_bad_one_is_refused(self, http, said):
        headers = {"Kumquatway-Deadline-S": said}
        assert (await complete(http, **headers)).status_code == 400
        path = "/services/desk/seats"
        answer = await http.get(path, headers={**key("guests"), **headers})
        assert answer.status_code == 400


class TestQueueing:
    """The wait that a first token shows."""

    def make(self):
        self.now = 0.0
        return Queueing(clock=lambda: self.now)

    async def test_the_least_time_of_like_prompts_is_no_wait(self):
        queueing = self.make()
        assert queueing.wait("m", 100, 0.5, 0.0) == 0
        assert queueing.wait("m", 120, 0.8, 0.0) == pytest.approx(0.3)
        assert queueing.wait("m", 4000, 9.0, 0.0) == 0
        assert queueing.wait("m", 100, 0.4, 0.0) == 0

    async def test_slower_steps_of_a_larger_batch_are_no_wait(self):
        queueing = self.make()
        queueing.wait("m", 100, 0.5, 0.02)
        assert queueing.wait("m", 100, 0.58, 0.10) == pytest.approx(0.0)
        assert queueing.wait("m", 100, 0.88, 0.10) == pytest.approx(0.3)

    async def test_an_old_least_time_is_forgotten(self):
        queueing = self.make()
        queueing.wait("m", 100, 0.1, 0.0)
        self.now = WINDOW_SECONDS + 1
        assert queueing.wait("m", 100, 0.5, 0.0) == pytest.approx(0.4)
        self.now = 2 * WINDOW_SECONDS + 2
        assert queueing.wait("m", 100, 0.5, 0.0) == 0

    async def test_the_first_tokens_of_streams_feed_it(self, entry, http):
        assert (await complete(http)).status_code == 200
        assert any(
            target == "bulletin" for target, _ in entry.admission.queueing.firsts
        )
