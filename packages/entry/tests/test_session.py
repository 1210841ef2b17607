"""Tests of a session alone: its deadline, its silence, its recoveries."""

import anyio
import pytest

from kumquatway.streams import Ask, Routes, Session
from kumquatway.streams._session import FIRST_PIECE_BOUND, MAX_RECOVERIES
from kumquatway_core import MAY_HAVE_RUN, NOT_RUN, Reason, Verdict, not_run
from kumquatway_core.events import RouteChosen
from kumquatway_core.text import Model
from kumquatway_core.wire import (
    EMPTY_DIGEST,
    GeneratedToken,
    Stage,
    Trouble,
    extend_digest,
)

LAYERS = 4
DEADLINE = 100.0  # seconds
LIMIT = 10.0  # seconds until a test gives up
MAX_LOSSES = 3  # upstreams that one request may end, as many as in the gateway


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Bench:
    """A session with a clock of its own, and what it yields."""

    def __init__(self, *, routes: int = 1000):
        self.now = 0.0
        self.routes = routes
        self.events: list = []
        self.yielded: list = []
        self.sent: list = []
        self.session = Session(
            ask=Ask(
                request="r",
                name="m",
                model=Model(layers=LAYERS),
                adapter="",
                prompt=bytes(4),
                max_tokens=1000,
                seed=0,
                priority=1,
                deadline=DEADLINE,
            ),
            entry="entry",
            routes=Routes(
                route=self.route,
                replacement=lambda ask, stage, avoid: None,
                change=lambda old, new: None,
            ),
            send=lambda address, message: self.sent.append(message),
            emit=self.events.append,
            clock=lambda: self.now,
            sleep=self.sleep,
        )

    async def sleep(self, seconds: float) -> None:
        self.now += seconds
        await anyio.sleep(0)

    def route(self, ask, avoid):
        if not self.routes:
            return not_run(Reason.NO_UPSTREAM)
        self.routes -= 1
        name = f"vm-{self.routes}"
        stage = Stage(vm=name, address=name, incarnation=1, first=0, end=LAYERS)
        return (stage,)

    async def run(self) -> None:
        async for found in self.session.run():
            self.yielded.append(found)

    def piece(self, number: int, **changes) -> GeneratedToken:
        chain = EMPTY_DIGEST
        for token in range(number):
            chain = extend_digest(chain, token)
        fields = {
            "request": "r",
            "attempt": self.session.attempt,
            "position": 1 + number,
            "token": number,
            "text": "x",
            "prefix_digest": chain,
        }
        return GeneratedToken(**(fields | changes))

    def trouble(self, reason: Reason) -> Trouble:
        return Trouble(
            request="r",
            attempt=self.session.attempt,
            stage=0,
            vm=self.session.route[0].vm,
            reason=reason.value,
            detail="lost",
        )

    def attempts(self) -> int:
        return sum(isinstance(event, RouteChosen) for event in self.events)

    async def until(self, condition) -> None:
        with anyio.fail_after(LIMIT):
            while not condition():
                await anyio.sleep(0)


@pytest.mark.anyio
class TestSession:
    """Each token once, or an explicit end."""

    async def test_the_deadline_ends_it(self):
        bench = Bench()
        async with anyio.create_task_group() as group:
            group.start_soon(bench.run)
            await bench.until(lambda: bench.attempts() == 1)
            bench.now = DEADLINE
            bench.session.look(bench.now)
            await bench.until(lambda: bench.yielded)
        (verdict,) = bench.yielded
        assert (verdict.ran, verdict.reason) == (MAY_HAVE_RUN, Reason.DEADLINE)

    async def test_silence_begins_a_new_attempt(self):
        bench = Bench()
        async with anyio.create_task_group() as group:
            group.start_soon(bench.run)
            await bench.until(lambda: bench.attempts() == 1)
            bench.now = FIRST_PIECE_BOUND - 1
            bench.session.look(bench.now)
            assert not bench.session.recoveries
            bench.now = FIRST_PIECE_BOUND + 1
            bench.session.look(bench.now)
            await bench.until(lambda: bench.attempts() == 2)
            group.cancel_scope.cancel()

    async def test_no_route_at_the_start_did_not_run(self):
        bench = Bench(routes=0)
        await bench.run()
        assert [found.ran for found in bench.yielded] == [NOT_RUN]

    async def test_failures_without_a_token_between_them_end_it(self):
        bench = Bench()
        async with anyio.create_task_group() as group:
            group.start_soon(bench.run)
            for count in range(MAX_RECOVERIES + 1):
                await bench.until(lambda count=count: bench.attempts() == count + 1)
                vm = bench.session.route[0].address
                bench.session.lose_address(vm, "lost")
            await bench.until(lambda: bench.yielded)
        assert isinstance(bench.yielded[0], Verdict)
        assert bench.yielded[0].ran is MAY_HAVE_RUN

    async def test_a_request_that_ends_its_upstreams_ends_few_of_them(self):
        bench = Bench()
        async with anyio.create_task_group() as group:
            group.start_soon(bench.run)
            for count in range(MAX_LOSSES + 1):
                await bench.until(lambda count=count: bench.attempts() == count + 1)
                bench.session.take_trouble(bench.trouble(Reason.UNREACHABLE))
            await bench.until(lambda: bench.yielded)
        assert bench.attempts() == MAX_LOSSES + 1
        assert bench.yielded[0].ran is MAY_HAVE_RUN

    async def test_refusals_of_full_routes_do_not_end_a_stream(self):
        bench = Bench()
        tries = 2 * MAX_RECOVERIES
        async with anyio.create_task_group() as group:
            group.start_soon(bench.run)
            await bench.until(lambda: bench.attempts() == 1)
            bench.session.take_piece(bench.piece(0))
            await bench.until(lambda: bench.yielded)
            for count in range(tries):
                await bench.until(lambda count=count: bench.attempts() == count + 1)
                bench.session.take_trouble(bench.trouble(Reason.OVERLOADED))
            await bench.until(lambda: bench.attempts() == tries + 1)
            bench.session.take_piece(bench.piece(1, finish="stop"))
        assert [piece.token for piece in bench.yielded] == [0, 1]
        assert bench.now > 1.0

    async def test_refusals_until_the_deadline_are_told(self):
        bench = Bench()
        async with anyio.create_task_group() as group:
            group.start_soon(bench.run)
            while not bench.yielded:
                await bench.until(lambda: bench.session.route or bench.yielded)
                if not bench.yielded:
                    bench.session.take_trouble(bench.trouble(Reason.OVERLOADED))
                await anyio.sleep(0)
        (verdict,) = bench.yielded
        assert (verdict.ran, verdict.reason) == (MAY_HAVE_RUN, Reason.OVERLOADED)
        assert DEADLINE - 2.0 < bench.now <= DEADLINE

    async def test_a_single_refusal_is_followed_by_another_route_at_once(self):
        bench = Bench()
        async with anyio.create_task_group() as group:
            group.start_soon(bench.run)
            await bench.until(lambda: bench.attempts() == 1)
            bench.session.take_trouble(bench.trouble(Reason.SHUTTING_DOWN))
            await bench.until(lambda: bench.attempts() == 2)
            assert bench.now == 0.0
            group.cancel_scope.cancel()

    async def test_what_a_replaced_stage_says_late_replaces_no_other(self):
        bench = Bench()
        first, spare, last = (
            Stage(vm=vm, address=vm, incarnation=1, first=start, end=start + 2)
            for vm, start in (("first", 0), ("spare", 0), ("last", 2))
        )
        bench.session.routes = Routes(
            route=lambda ask, avoid: (first, last),
            replacement=lambda ask, stage, avoid: spare,
            change=lambda old, new: None,
        )
        async with anyio.create_task_group() as group:
            group.start_soon(bench.run)
            await bench.until(lambda: bench.session.route)
            bench.session.lose_address("first", "silent")
            await bench.until(lambda: bench.session.route == (spare, last))
            trouble = Trouble(
                request="r",
                attempt=1,
                stage=1,
                vm="last",
                reason=Reason.UNREACHABLE,
                detail="silent",
            )
            bench.session.take_trouble(trouble, "first")
            await anyio.wait_all_tasks_blocked()
            assert bench.session.route == (spare, last)
            assert bench.session.recoveries == 1
            group.cancel_scope.cancel()

    async def test_silences_of_sound_stages_count_as_no_losses(self):
        bench = Bench()
        async with anyio.create_task_group() as group:
            group.start_soon(bench.run)
            for count in range(2 * MAX_LOSSES):
                await bench.until(lambda count=count: bench.attempts() == count + 1)
                if count % 2:
                    bench.session.take_trouble(bench.trouble(Reason.SILENCE))
                else:
                    bench.session.lose_address(bench.session.route[0].vm, "silent")
            await bench.until(lambda: bench.attempts() == 2 * MAX_LOSSES + 1)
            bench.session.take_piece(bench.piece(0, finish="stop"))
        assert [piece.token for piece in bench.yielded] == [0]

    async def test_agents_that_restart_count_as_losses(self):
        bench = Bench()
        async with anyio.create_task_group() as group:
            group.start_soon(bench.run)
            for count in range(MAX_LOSSES + 1):
                await bench.until(lambda count=count: bench.attempts() == count + 1)
                vm = bench.session.route[0].vm
                bench.session.lose_address(vm, "restarted", Reason.UNREACHABLE)
            await bench.until(lambda: bench.yielded)
        assert bench.attempts() == MAX_LOSSES + 1
        assert bench.yielded[0].ran is MAY_HAVE_RUN

    async def test_a_stream_that_gets_on_survives_any_number_of_failures(self):
        bench = Bench()
        async with anyio.create_task_group() as group:
            group.start_soon(bench.run)
            for count in range(3 * MAX_RECOVERIES):
                await bench.until(lambda count=count: bench.attempts() == count + 1)
                bench.session.take_piece(bench.piece(count))
                await bench.until(lambda count=count: len(bench.yielded) == count + 1)
                vm = bench.session.route[0].address
                bench.session.lose_address(vm, "lost")
            group.cancel_scope.cancel()
        assert all(isinstance(found, GeneratedToken) for found in bench.yielded)

    async def test_a_token_that_follows_from_others_is_not_delivered(self):
        bench = Bench()
        async with anyio.create_task_group() as group:
            group.start_soon(bench.run)
            await bench.until(lambda: bench.attempts() == 1)
            bench.session.take_piece(bench.piece(0))
            await bench.until(lambda: bench.yielded)
            bench.session.take_piece(bench.piece(1, prefix_digest=EMPTY_DIGEST))
            await bench.until(lambda: bench.attempts() == 2)
            assert len(bench.yielded) == 1
            group.cancel_scope.cancel()

    @pytest.mark.parametrize("changes", [{"attempt": 9}, {"position": 1}])
    async def test_late_and_repeated_tokens_are_dropped(self, changes):
        bench = Bench()
        async with anyio.create_task_group() as group:
            group.start_soon(bench.run)
            await bench.until(lambda: bench.attempts() == 1)
            bench.session.take_piece(bench.piece(0))
            await bench.until(lambda: bench.yielded)
            bench.session.take_piece(bench.piece(1, **changes))
            bench.session.take_piece(bench.piece(1, finish="stop"))
            await bench.until(lambda: len(bench.yielded) == 2)
        assert [piece.token for piece in bench.yielded] == [0, 1]
        assert bench.session.dropped == 1
