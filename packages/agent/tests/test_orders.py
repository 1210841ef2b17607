"""Tests of the planner's orders through the agent."""

import anyio
import pytest

from kumquatway_agent.orders import Orders, in_use
from kumquatway_core import Reason, may_have_run
from kumquatway_core.engine import EngineFailure, EngineOrder
from kumquatway_core.exceptions import PlatformUnavailable
from kumquatway_core.leases import LeaseRow
from kumquatway_core.wire import Holding, Order, OrderReply, Stage, StreamSetup
from kumquatway_fakes import Engine

pytestmark = pytest.mark.anyio
BOUND = 30.0  # seconds, of the lease's orders
LOW = Holding(model="m", version="1", first=0, end=4)
HIGH = Holding(model="m", version="1", first=4, end=8)
ALL = Holding(model="m", version="1", first=0, end=8)


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Rig:
    """An agent's orders before a stand-in, with a clock of its own."""

    def __init__(self, *, checks_fencing: bool = False, bound: float = 0.0):
        self.now = 100.0
        self.row: LeaseRow | None = LeaseRow(
            holder="a", fencing_number=5, duration=10.0, order_bound=bound
        )
        self.engine = Engine(holdings=(HIGH,), checks_fencing=checks_fencing)
        self.given: list[tuple[int, float]] = []
        self.lost = False
        self.used = 0
        self.at_engine = 0
        self.most_at_engine = 0
        self.gate = anyio.Event()
        self.gate.set()
        self.renew()

    def renew(self) -> None:
        """Start the agent anew."""
        self.orders = Orders(
            vm="vm-1",
            give=self.give,
            read=self.read,
            in_use=self.in_use,
            closing=set(),
            refresh=self.refresh,
            clock=lambda: self.now,
            sleep=self.sleep,
        )

    async def give(self, order: EngineOrder, timeout: float):
        self.given.append((order.fencing_number, self.now))
        self.at_engine += 1
        self.most_at_engine = max(self.at_engine, self.most_at_engine)
        await self.gate.wait()
        self.at_engine -= 1
        if self.lost:
            return EngineFailure(verdict=may_have_run(Reason.SILENCE, "silent"))
        return await self.engine.order(order)

    async def read(self) -> LeaseRow | None:
        if self.row is None:
            raise PlatformUnavailable("down")
        return self.row

    def in_use(self, holding: Holding) -> bool:
        self.used -= 1
        return self.used >= 0

    async def refresh(self) -> None:
        pass

    async def sleep(self, seconds: float) -> None:
        self.now += seconds
        await anyio.lowlevel.checkpoint()

    async def take(self, fence: int, **changes) -> OrderReply:
        asked = {"load": True, "holding": LOW, "timeout": 5.0, "vm": "vm-1"} | changes
        return await self.orders.take(Order(order="o", fencing_number=fence, **asked))


@pytest.mark.parametrize("checks_fencing", [False, True])
class TestNumbers:
    """No order of an older holder reaches either kind of engine."""

    async def test_an_older_number_is_refused_and_an_equal_one_is_not(
        self, checks_fencing
    ):
        rig = Rig(checks_fencing=checks_fencing)
        assert (await rig.take(7)).done
        refused = await rig.take(6, holding=ALL)
        assert (refused.done, refused.highest_fencing_number) == (False, 7)
        assert (await rig.take(7, holding=ALL)).done
        assert [number for number, _ in rig.given] == [7, 7]

    async def test_a_new_life_learns_the_number_before_its_first_order(
        self, checks_fencing
    ):
        rig = Rig(checks_fencing=checks_fencing)
        assert not (await rig.take(4)).done
        assert rig.given == []
        assert (await rig.take(5)).done

    async def test_nothing_is_ordered_while_the_number_is_unknown(self, checks_fencing):
        rig = Rig(checks_fencing=checks_fencing)
        row, rig.row = rig.row, None
        assert not (await rig.take(9)).done
        rig.row = row
        assert (await rig.take(9)).done

    async def test_an_order_that_waited_past_a_newer_one_is_not_given(
        self, checks_fencing
    ):
        rig = Rig(checks_fencing=checks_fencing)
        rig.gate = anyio.Event()
        replies: dict[int, OrderReply] = {}

        async def take(number: int) -> None:
            replies[number] = await rig.take(number)

        async with anyio.create_task_group() as group:
            for number in (5, 6, 7):
                group.start_soon(take, number)
                await anyio.wait_all_tasks_blocked()
            rig.gate.set()
        assert [number for number, _ in rig.given] == [5, 7]
        assert [replies[number].done for number in (5, 6, 7)] == [True, False, True]
        assert rig.most_at_engine == 1


class TestTime:
    """Orders of an earlier life, or without an answer, are waited out."""

    async def test_a_new_life_waits_out_the_orders_of_the_one_before(self):
        rig = Rig(bound=BOUND)
        assert not (await rig.take(5)).done
        assert (await rig.take(5, timeout=BOUND + 1)).done
        assert rig.given == [(5, 100.0 + BOUND)]

    async def test_a_number_that_every_engine_checks_needs_no_wait(self):
        rig = Rig(checks_fencing=True, bound=0.0)
        assert (await rig.take(5)).done
        assert rig.given == [(5, 100.0)]

    async def test_nothing_follows_an_order_that_may_still_be_at_the_engine(self):
        rig = Rig(bound=BOUND)
        rig.now += BOUND
        rig.lost = True
        assert not (await rig.take(5)).done
        rig.lost = False
        assert not (await rig.take(6)).done
        assert (await rig.take(6, timeout=BOUND + 1)).done
        assert rig.given[1] == (6, rig.given[0][1] + BOUND)

    async def test_an_order_in_hand_over_a_pause_is_not_given(self):
        rig = Rig(bound=BOUND)
        rig.now += BOUND
        rig.gate = anyio.Event()
        replies: list[OrderReply] = []

        async def take(number: int) -> None:
            replies.append(await rig.take(number, holding=ALL, timeout=5.0))

        async with anyio.create_task_group() as group:
            group.start_soon(take, 5)
            await anyio.wait_all_tasks_blocked()
            group.start_soon(take, 5)
            await anyio.wait_all_tasks_blocked()
            rig.now += BOUND + 10.0
            rig.gate.set()
        assert [reply.done for reply in replies] == [True, False]
        assert len(rig.given) == 1


class TestUnload:
    """Layers are unloaded only when no stream uses them."""

    async def test_an_unload_waits_until_the_last_stream_has_ended(self):
        rig = Rig()
        rig.used = 3
        assert (await rig.take(5, load=False, holding=HIGH)).done
        assert rig.engine.holdings == []
        assert rig.given[0][1] > 100.1

    async def test_an_unload_of_layers_in_use_is_refused_in_time(self):
        rig = Rig()
        rig.used = 1000
        reply = await rig.take(5, load=False, holding=HIGH)
        assert (reply.done, reply.detail) == (False, "streams use the layers")
        assert rig.given == []
        assert not rig.orders.hidden

    async def test_an_unload_gives_way_to_a_newer_holder(self):
        rig = Rig()
        rig.used = 50
        async with anyio.create_task_group() as group:
            group.start_soon(lambda: rig.take(5, load=False, holding=HIGH))
            while not rig.orders.hidden:
                await anyio.lowlevel.checkpoint()
            group.start_soon(lambda: rig.take(6))
        assert [number for number, _ in rig.given] == [6]

    def test_a_stream_needs_layers_that_no_other_holding_has(self):
        stage = Stage(vm="v", address="a", incarnation=1, first=5, end=7)
        open = StreamSetup(
            request="r",
            attempt=1,
            route=(stage,),
            entry="e",
            model="m",
            version="1",
            adapter="",
            prompt_tokens=1,
            end_position=2,
            seed=0,
            priority=0,
        )
        assert in_use(HIGH, [(open, stage)], ())
        assert not in_use(HIGH, [(open, stage)], (ALL,))
        assert not in_use(LOW, [(open, stage)], ())
