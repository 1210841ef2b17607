"""Tests of what keeps work from bad upstreams, eases new ones in, and bounds memory."""

from collections import Counter

import anyio
import httpx
import pytest
from starlette.responses import PlainTextResponse

from kumquatway.api._memory import BODY_COPIES, KIB, REQUEST_BYTES, Memory
from kumquatway.calls import Answer, GuardedCalls, ServiceAsk
from kumquatway.membership import Member
from kumquatway.protect import Groups, MemoryBound, Newcomers
from kumquatway.protect._breaker import FAILURES_IN_A_ROW, OPEN_SECONDS
from kumquatway.protect._outliers import MIN_RECORDS
from kumquatway.protect._slow_start import MIN_WEIGHT, RAMP_SECONDS
from kumquatway.routing import choose_replacement, choose_route
from kumquatway_core import Reason, may_have_run, not_run
from kumquatway_core.text import Model
from kumquatway_core.wire import Holding, Load, Stage, Status, VMState

pytestmark = pytest.mark.anyio
VMS = tuple(f"v{index}" for index in range(4))
ASK = ServiceAsk(
    request="r",
    service="desk",
    method="GET",
    path="/",
    headers=(),
    body=b"",
    timeout=1.0,
    idempotent=True,
)


@pytest.fixture
def anyio_backend():
    return "asyncio"


def make_member(vm):
    status = Status(
        vm=vm,
        address=vm,
        incarnation=1,
        data_centre="d",
        accelerator="any",
        state=VMState.LIVE,
        version=1,
        holdings=(Holding(model="m", version="1", first=0, end=4),),
        load=Load(step_seconds=0.01),
    )
    return Member(vm=vm, address=vm, status=status)


class TestGroups:
    """Upstreams that are out of their group."""

    def make(self, groups):
        self.now = 0.0
        found = Groups(clock=lambda: self.now)
        found.keep(groups)
        return found

    def fail(self, groups, vm):
        for _ in range(FAILURES_IN_A_ROW):
            groups.end(vm, well=False)
        self.now += 0.1

    def test_one_that_fails_is_out_until_a_probe_goes_well(self):
        groups = self.make({"g": VMS})
        self.fail(groups, "v0")
        assert groups.out() == {"v0"}
        self.now += 2 * OPEN_SECONDS
        assert groups.out() == frozenset()
        groups.start("v0")
        self.now += 0.1
        assert groups.out() == {"v0"}
        groups.end("v0", well=True)
        self.now += 0.1
        assert groups.out() == frozenset()

    def test_each_group_keeps_its_floor(self):
        groups = self.make({"large": VMS, "small": ("w0", "w1")})
        for vm in (*VMS, "w0", "w1"):
            self.fail(groups, vm)
        assert len(groups.out()) == 1
        assert groups.out() < set(VMS)

    def test_records_stay_when_others_come_and_go(self):
        groups = self.make({"g": VMS})
        self.fail(groups, "v0")
        groups.keep({"g": ("v0", "v4", "v5", "v6")})
        assert groups.out() == {"v0"}
        groups.keep({})
        assert groups.out() == frozenset()


class TestGuardedCalls:
    """Ends of calls, and whose fault they were."""

    @pytest.mark.parametrize(
        ("result", "is_out"),
        [
            (Answer(status=500, headers=(), body=b""), True),
            (may_have_run(Reason.SILENCE), True),
            (not_run(Reason.UNREACHABLE), True),
            (Answer(status=404, headers=(), body=b""), False),
            (not_run(Reason.SHUTTING_DOWN), False),
            (not_run(Reason.OVERLOADED), False),
        ],
    )
    async def test_only_faults_of_the_upstream_take_it_out(self, result, is_out):
        class Calls:
            async def send(self, ask, member):
                return result

        groups = Groups()
        groups.keep({"desk": VMS})
        calls = GuardedCalls(calls=Calls(), groups=groups)
        for _ in range(FAILURES_IN_A_ROW):
            assert await calls.send(ASK, make_member("v0")) is result
        assert ("v0" in groups.out()) == is_out

    @pytest.mark.parametrize("is_silent", [True, False])
    async def test_a_silence_of_the_agent_is_no_fault_of_each_call(self, is_silent):
        class Calls:
            async def send(self, ask, member):
                return may_have_run(Reason.SILENCE)

        groups = Groups()
        groups.keep({"desk": VMS})
        calls = GuardedCalls(
            calls=Calls(), groups=groups, is_silent=lambda address: is_silent
        )
        for _ in range(MIN_RECORDS):
            await calls.send(ASK, make_member("v0"))
        assert ("v0" in groups.out()) != is_silent


class TestNewcomers:
    """Upstreams that began a short time ago."""

    def make(self):
        self.now = 0.0
        return Newcomers(clock=lambda: self.now)

    def test_those_met_at_the_start_have_their_full_weight(self):
        newcomers = self.make()
        newcomers.see("v0", 1)
        assert newcomers.weight("v0") == 1.0

    def test_a_new_life_begins_anew(self):
        newcomers = self.make()
        newcomers.see("v0", 1)
        self.now = 2 * RAMP_SECONDS
        newcomers.see("v0", 1)
        assert newcomers.weight("v0") == 1.0
        newcomers.see("v0", 2)
        assert newcomers.weight("v0") == MIN_WEIGHT
        self.now += RAMP_SECONDS / 2
        assert newcomers.weight("v0") == 0.5
        self.now += RAMP_SECONDS / 2
        assert newcomers.weight("v0") == 1.0

    def test_one_that_is_gone_is_forgotten(self):
        newcomers = self.make()
        self.now = 2 * RAMP_SECONDS
        newcomers.see("v0", 1)
        newcomers.forget("v0")
        assert not newcomers.lives

    def test_routing_sends_a_newcomer_less(self):
        members = [make_member("old"), make_member("new")]
        streams = Counter()
        for _ in range(110):
            (stage,) = choose_route(
                members=members,
                name="m",
                model=Model(layers=4),
                in_flight=streams.__getitem__,
                weight={"old": 1.0, "new": 0.1}.__getitem__,
                jitter=lambda: 0.0,
            )
            streams[stage.vm] += 1
        assert streams["new"] == pytest.approx(10, abs=1)
        found = choose_replacement(
            members=members,
            name="m",
            version="1",
            adapter="",
            stage=Stage(vm="x", address="x", incarnation=1, first=0, end=4),
            avoid=(),
            weight={"old": 1.0, "new": 0.1}.__getitem__,
        )
        assert found.vm == "old"


class TestMemory:
    """Memory reserved for requests in progress."""

    def make(self, limit):
        async def app(scope, receive, send):
            self.held = self.bound.reserved
            await self.proceed.wait()
            await PlainTextResponse("ok")(scope, receive, send)

        self.proceed = anyio.Event()
        self.proceed.set()
        self.bound = MemoryBound(limit=limit)
        app = Memory(app, bound=self.bound, body_kib=4)
        transport = httpx.ASGITransport(app=app)
        return httpx.AsyncClient(transport=transport, base_url="http://entry")

    async def test_a_body_is_reserved_and_given_back(self):
        async with self.make(limit=10 * REQUEST_BYTES) as http:
            assert (await http.post("/", content=b"x" * 1000)).status_code == 200
        assert self.held == REQUEST_BYTES + BODY_COPIES * 1000
        assert self.bound.reserved == 0

    async def test_one_without_a_length_reserves_the_bound(self):
        async def chunks():
            yield b"x"

        async with self.make(limit=10 * REQUEST_BYTES) as http:
            await http.post("/", content=chunks())
        assert self.held == REQUEST_BYTES + BODY_COPIES * 4 * KIB

    async def test_one_that_never_fits_is_too_large(self):
        async with self.make(limit=REQUEST_BYTES) as http:
            answer = await http.post("/", content=b"x")
        assert answer.status_code == 413
        assert answer.headers["Kumquatway-Verdict"] == "not-run"

    async def test_one_for_which_there_is_no_room_now_may_come_back(self):
        async with self.make(limit=REQUEST_BYTES) as http:
            self.proceed = anyio.Event()
            async with anyio.create_task_group() as group:
                group.start_soon(http.get, "/")
                with anyio.fail_after(5):
                    while not self.bound.reserved:
                        await anyio.sleep(0.001)
                answer = await http.get("/")
                self.proceed.set()
            assert answer.status_code == 503
            assert answer.headers["Kumquatway-Verdict"] == "not-run"
            assert "Retry-After" in answer.headers
            assert (await http.get("/")).status_code == 200
