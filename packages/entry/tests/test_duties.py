"""Tests of duties under a lease: who stands, orders, and the planner's caution."""

import hashlib

import anyio
import httpx
import pytest

from kumquatway._demo import Deployment, Layout, Pipeline
from kumquatway.duties import Duty, Orders, Planner
from kumquatway.duties._duty import CANDIDATES
from kumquatway.duties._planner import GRACE, SETTLE
from kumquatway.membership import Members
from kumquatway_core import MAY_HAVE_RUN, NOT_RUN, RAN, Reason, not_run
from kumquatway_core.events import LeaseChanged
from kumquatway_core.leases import DURATION_SECONDS, Lease
from kumquatway_core.platform import VM, Channel, Table
from kumquatway_core.text import Text
from kumquatway_core.wire import Holding, Order, OrderReply, Status, VMState
from kumquatway_fakes import Faults, TableService, answer

KEY = "test-key"
DIGEST = hashlib.sha256(KEY.encode()).hexdigest()
WAIT = 60  # seconds
LAYERS = 8
SOURCE = f"""
name = "test"
[models.bulletin]
layers = {LAYERS}
layer_mib = 1024
[accounts.guests]
keys = ["{DIGEST}"]
[accelerators.any]
memory_mib = 8192
layer_us = 100
token_us = 1
"""
HOLDING = Holding(model="m", version="1", first=0, end=4)

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Entries:
    """Duties of some entries over one table service."""

    def __init__(self, count):
        self.now = 0.0
        self.service = TableService()
        self.addresses = tuple(f"e{index}" for index in range(count))
        self.events = []
        self.duties = [self.make(address) for address in self.addresses]

    def make(self, address):
        channel = Channel(
            addresses=("http://store",),
            make_transport=lambda: httpx.ASGITransport(app=self.service.app),
        )
        lease = Lease(
            table=Table(channel=channel),
            name="planner",
            holder=address,
            clock=lambda: self.now,
        )
        return Duty(
            lease=lease,
            address=address,
            entries=lambda: self.addresses,
            emit=self.events.append,
        )

    async def run(self, seconds):
        for _ in range(round(seconds / 3)):
            self.now += 3.0
            for duty in self.duties:
                if duty.address in self.addresses:
                    await duty.step()

    def holders(self):
        return [duty for duty in self.duties if duty.number() is not None]


class TestDuty:
    """Who does what only one may do."""

    async def test_one_holds_it_and_the_store_is_asked_by_few(self):
        entries = Entries(20)
        await entries.run(3)
        (holder,) = entries.holders()
        assert sum(duty.stands() for duty in entries.duties) == CANDIDATES
        before = entries.service.gate.counts["reads"]
        await entries.run(30)
        assert entries.holders() == [holder]
        asked = entries.service.gate.counts["reads"] - before
        assert asked <= 10 * CANDIDATES

    async def test_a_holder_that_is_gone_is_followed_with_a_higher_number(self):
        entries = Entries(3)
        await entries.run(3)
        (holder,) = entries.holders()
        number = holder.number()
        entries.addresses = tuple(a for a in entries.addresses if a != holder.address)
        await entries.run(3 * DURATION_SECONDS)
        (follower,) = entries.holders()
        assert follower is not holder
        assert follower.number() == number + 1

    async def test_an_outage_ends_it_and_the_events_say_so(self):
        entries = Entries(1)
        await entries.run(3)
        entries.service.gate.faults = Faults(down=True)
        await entries.run(DURATION_SECONDS + 3)
        assert not entries.holders()
        states = [event.state for event in entries.events]
        assert states == ["taken", "lost"]

    async def test_a_planned_stop_gives_it_back_at_once(self):
        entries = Entries(2)
        await entries.run(3)
        (holder,) = entries.holders()
        await holder.stand_down()
        assert entries.events[-1] == LeaseChanged(
            lease="planner", state="released", fencing=1
        )
        await entries.run(3)
        assert [duty.number() for duty in entries.holders()] == [2]

    async def test_a_task_runs_only_while_it_is_held(self):
        entries = Entries(1)
        (duty,) = entries.duties
        running = []

        async def task():
            running.append(True)
            try:
                await anyio.sleep_forever()
            finally:
                running.pop()

        async def until(expected):
            with anyio.fail_after(WAIT):
                while bool(running) != expected:
                    await anyio.sleep(0.005)

        duty.sleep = lambda _: anyio.sleep(0.001)
        async with anyio.create_task_group() as group:
            group.start_soon(duty.run_while_held, task)
            await entries.run(3)
            await until(True)
            await duty.stand_down()
            await until(False)
            group.cancel_scope.cancel()


class TestOrders:
    """Orders and their ends."""

    def order(self, timeout=WAIT):
        return Order(
            order="o",
            vm="a",
            fencing_number=1,
            load=True,
            holding=HOLDING,
            timeout=timeout,
        )

    async def give(self, reply=None, timeout=WAIT, sent=None):
        def send(address, order):
            if reply is not None:
                orders.take(reply)
            return sent

        orders = Orders(find={"a": "address"}.get, send=send)
        verdict = await orders.give("a", self.order(timeout))
        assert not orders.waiting
        return verdict

    async def test_a_done_order_ran(self):
        reply = OrderReply(order="o", vm="a", done=True, highest_fencing_number=1)
        assert (await self.give(reply)).ran is RAN

    async def test_a_refused_order_says_why(self):
        reply = OrderReply(
            order="o", vm="a", done=False, highest_fencing_number=2, detail="older"
        )
        assert (await self.give(reply)).detail == "older"

    async def test_a_silent_agent_leaves_a_doubt(self):
        assert (await self.give(timeout=0.01)).ran is MAY_HAVE_RUN

    async def test_one_that_never_left_did_not_run(self):
        verdict = await self.give(sent=not_run(Reason.OVERLOADED))
        assert verdict.ran is NOT_RUN

    async def test_a_vm_that_is_gone_gets_none(self):
        orders = Orders(find=lambda vm: None, send=print)
        assert (await orders.give("a", self.order())).ran is NOT_RUN


class View:
    """A planner's view of a fleet."""

    def __init__(self, count=4):
        self.now = 100.0
        self.down = set()
        self.members = Members(clock=lambda: self.now)
        vms = tuple(
            VM(name=f"v{index}", address=f"v{index}", data_centre="d")
            for index in range(count)
        )
        self.members.take_list(vms)
        entries = Entries(1)
        self.duty = entries.duties[0]
        self.duty.lease.fencing_number, self.duty.lease.expires = 7, float("inf")
        self.planner = Planner(
            duty=self.duty,
            orders=Orders(find=lambda vm: vm, send=print),
            members=self.members,
            is_down=self.down.__contains__,
            text=lambda: Text(name="t"),
            clock=lambda: self.now,
        )

    def report(self, *vms, state=VMState.LIVE, version=1, service=""):
        for vm in vms:
            status = Status(
                vm=vm,
                address=vm,
                incarnation=1,
                data_centre="d",
                accelerator="any",
                state=state,
                version=version,
                service=service,
            )
            self.members.take_status(status)

    def live(self):
        return {node.name for node in self.planner.fleet().nodes if node.live}


class TestPlannersView:
    """What the planner takes for the fleet, and when it may act."""

    async def test_it_waits_until_the_fleet_has_reported(self):
        view = View()
        view.report("v0")
        assert view.planner.number() is None
        view.now += SETTLE
        assert view.planner.number() is None
        view.report("v1", "v2")
        assert view.planner.number() == 7

    async def test_one_that_sees_half_of_the_fleet_or_less_does_not_act(self):
        view = View()
        view.report("v0", "v1", "v2", "v3")
        view.planner.number()
        view.now += SETTLE
        view.down |= {"v0"}
        assert view.planner.number() == 7
        view.down |= {"v1"}
        assert view.planner.number() is None

    async def test_a_short_silence_moves_nothing(self):
        view = View()
        view.report("v0", "v1", "v2", "v3")
        view.down.add("v0")
        view.report("v1", state=VMState.SICK, version=2)
        assert len(view.live()) == 4
        view.now += GRACE
        assert view.live() == {"v2", "v3"}
        view.down.clear()
        assert view.live() == {"v0", "v2", "v3"}

    async def test_one_that_leaves_is_not_live_at_once(self):
        view = View()
        view.report("v0", "v1", state=VMState.LEAVING)
        view.report("v2", "v3")
        assert view.live() == {"v2", "v3"}

    async def test_plain_services_are_not_planned(self):
        view = View()
        view.report("v0", service="desk")
        view.report("v1")
        assert view.live() == {"v1"}


class TestPlannedDeployment:
    """Engines that start empty and get their layers from the planner."""

    async def test_a_request_is_served_once_the_plan_is_carried_out(self, monkeypatch):
        # A new agent waits out the bound of orders that a life before it may have got.
        monkeypatch.setattr("kumquatway._entry.ORDER_BOUND", 0.5)
        monkeypatch.setattr("kumquatway.duties._planner.SETTLE", 0.5)
        pipeline = Pipeline(model="bulletin", stages=2, replicas=1)
        layout = Layout(
            entries=2,
            pipelines=(pipeline,),
            services={},
            admin_key=DIGEST,
            planned=True,
        )
        deployment = Deployment(source=SOURCE, layout=layout)
        async with anyio.create_task_group() as group:
            await group.start(deployment.run)
            assert not any(engine.holdings for engine in deployment.engines.values())
            entry = deployment.entries[0]
            url = f"http://{entry.settings.caller_address}"
            headers = {"Authorization": f"Bearer {KEY}"}
            body = {"model": "bulletin", "prompt": "pass", "max_tokens": 5}
            async with httpx.AsyncClient(
                base_url=url, headers=headers, timeout=WAIT
            ) as http:
                with anyio.fail_after(WAIT):
                    while True:
                        got = await http.post("/v1/completions", json=body)
                        if got.status_code == 200:
                            break
                        await anyio.sleep(0.1)
            texts, _ = answer(
                prompt=b"pass", layers=LAYERS, model="bulletin", max_tokens=5
            )
            assert got.json()["choices"][0]["text"] == "".join(texts)
            events = [r.event for e in deployment.entries for r in e.journal.records]
            taken = [
                event
                for event in events
                if isinstance(event, LeaseChanged) and event.lease == "planner"
            ]
            assert [event.state for event in taken] == ["taken"]
            deployment.stop()
