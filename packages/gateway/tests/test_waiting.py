"""Tests of the admission queue, its order, refusals and the retry budget."""

import asyncio
import random
import time

import pytest
from replays import (
    Clock,
    TokenPool,
    draw_arrivals,
    make_waiter,
    replay_burst,
    replay_dominant_account,
    replay_queue,
)

from kumquatway_gateway.waiting import (
    AGING_SECONDS,
    MAX_WAIT_SECONDS,
    AdmissionQueue,
    RetryBudget,
    Waiter,
    WaitingRequests,
    next_waiter,
    retry_after,
    shutdown_retry_after,
)


class TestOrder:
    """Order in which waiting requests are admitted."""

    def test_account_with_fewest_tokens_in_service_goes_first(self):
        large = make_waiter("large", at=0.0)
        small = make_waiter("small", at=0.1)
        served = {"large": 9000.0, "small": 900.0}
        assert next_waiter([large, small], served, 0.2) is small

    def test_oldest_goes_first_among_equals(self):
        first, second = make_waiter(at=0.0), make_waiter(at=0.1)
        assert next_waiter([second, first], {}, 0.2) is first

    def test_most_urgent_goes_first(self):
        plain, urgent = make_waiter(), make_waiter(priority=0, at=0.1)
        assert next_waiter([plain, urgent], {}, 0.2) is urgent

    def test_waiting_raises_priority(self):
        old = make_waiter(priority=2, at=0.0)
        new = make_waiter(priority=1, at=2 * AGING_SECONDS)
        assert next_waiter([new, old], {}, 2.1 * AGING_SECONDS) is old

    def test_waiting_does_not_outweigh_tokens_in_service(self):
        old = make_waiter("large", at=0.0)
        new = make_waiter("small", at=3 * AGING_SECONDS)
        served = {"large": 9000.0}
        assert next_waiter([old, new], served, 3.1 * AGING_SECONDS) is new

    def test_size_is_not_considered(self):
        big = make_waiter(tokens=4000.0, at=0.0)
        little = make_waiter(tokens=100.0, at=0.1)
        assert next_waiter([little, big], {}, 0.2) is big

    def test_none_if_nothing_waits(self):
        assert next_waiter([], {}, 0.0) is None


class TestLoads:
    """Replays of load patterns."""

    def test_dominant_account_does_not_starve_others(self):
        """First come, first served would serve the same share of every account."""
        outcome = replay_dominant_account()
        assert outcome.share("one") > 0.95
        assert outcome.share("two") > 0.95
        assert outcome.share("large") < 0.7

    def test_burst_is_refused_on_arrival_and_not_after_waiting(self):
        outcome = replay_burst()
        sent = sum(outcome.sent.values())
        assert outcome.refused_late <= 0.05 * sent
        assert max(outcome.waits) <= MAX_WAIT_SECONDS + 0.1

    def test_no_wait_within_capacity(self):
        outcome = asyncio.run(
            replay_queue(draw_arrivals({"a": 20.0, "b": 15.0}, 6.0), capacity=60_000)
        )
        assert outcome.share("a") == outcome.share("b") == 1.0
        assert max(outcome.waits) < 0.05


class TestQueue:
    """Requests that are cancelled while they wait."""

    def test_cancelled_request_leaves_the_queue(self):
        async def scenario():
            clock = Clock()
            chains = TokenPool(clock=clock, capacity=1000)
            queue = AdmissionQueue(claim=chains.claim, release=chains.free, clock=clock)
            first = make_waiter()
            assert await queue.admit(first) is first
            waiting = asyncio.create_task(queue.admit(make_waiter("b")))
            await asyncio.sleep(0)
            waiting.cancel()
            await asyncio.gather(waiting, return_exceptions=True)
            assert not queue.waiting
            assert queue.queued_tokens == 0

        asyncio.run(scenario())

    def test_request_cancelled_on_admission_releases_its_capacity(self):
        async def scenario():
            clock = Clock()
            chains = TokenPool(clock=clock, capacity=1000)
            queue = AdmissionQueue(claim=chains.claim, release=chains.free, clock=clock)
            first = make_waiter()
            await queue.admit(first)
            waiting = asyncio.create_task(queue.admit(make_waiter("b")))
            await asyncio.sleep(0)
            chains.free(first)
            queue.admit_waiting()
            waiting.cancel()
            await asyncio.gather(waiting, return_exceptions=True)
            assert chains.used == 0

        asyncio.run(scenario())


class _CountedWaiter(Waiter):
    """A request that counts how often one of its fields is looked at."""

    __slots__ = ()
    looks = 0

    def __getattribute__(self, name):
        _CountedWaiter.looks += 1
        return super().__getattribute__(name)


class TestManyWaiting:
    """Each request that ended or arrived went through all that wait."""

    def _count_looks(self, waiting: int, act, **fields) -> int:
        """Count the looks at requests that wait while something is done."""

        async def scenario():
            clock = Clock()
            chains = TokenPool(clock=clock, capacity=1000)
            queue = AdmissionQueue(
                claim=lambda waiter, reserved=frozenset(): chains.claim(waiter),
                release=chains.free,
                min_rate=lambda: 1e9,
                clock=clock,
            )
            running = make_waiter()
            await queue.admit(running)
            tasks = []
            for number in range(waiting):
                counted = make_waiter(f"account{number % 2}", **fields)
                counted = _CountedWaiter(
                    **{name: getattr(counted, name) for name in Waiter.__slots__}
                )
                tasks.append(asyncio.create_task(queue.admit(counted)))
            await asyncio.sleep(0)
            assert len(queue.waiting) == waiting
            _CountedWaiter.looks = 0
            await act(queue, chains, running)
            looks = _CountedWaiter.looks
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            return looks

        return asyncio.run(scenario())

    @pytest.mark.parametrize("only", [None, frozenset({"one"})])
    def test_an_end_costs_the_same_however_many_wait(self, only):
        async def end(queue, chains, running):
            chains.free(running)
            queue.end_service(running)

        few, many = (self._count_looks(size, end, only=only) for size in (10, 300))
        assert many == few

    @pytest.mark.parametrize("only", [None, frozenset({"one"})])
    def test_an_arrival_costs_the_same_however_many_wait(self, only):
        async def arrive(queue, chains, running):
            late = make_waiter("account0", at=0.1)
            task = asyncio.create_task(queue.admit(late))
            await asyncio.sleep(0)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        few, many = (self._count_looks(size, arrive, only=only) for size in (10, 300))
        assert many == few

    @pytest.mark.parametrize("seed", range(5))
    def test_the_order_is_that_of_a_look_at_each(self, seed):
        rng = random.Random(seed)
        waiting = WaitingRequests()
        all_waiting = []
        for number in range(300):
            if all_waiting and rng.random() < 0.4:
                now = rng.uniform(0.0, 4.0)
                served = {name: rng.choice([0.0, 5.0, 9.0]) for name in "abc"}
                unmet = {(frozenset(), None)} if rng.random() < 0.3 else set()
                left = [one for one in all_waiting if one.restriction not in unmet]
                expected = next_waiter(left, served, now)
                assert waiting.next(served, now, unmet) is expected
                gone = expected or rng.choice(all_waiting)
                all_waiting.remove(gone)
                assert waiting.remove(gone)
                assert waiting.remove(gone) is None
                continue
            waiter = make_waiter(
                rng.choice("abc"),
                at=round(rng.uniform(0.0, 3.0), 1),
                priority=rng.randrange(3),
                tokens=float(rng.randrange(1, 900)),
                only=rng.choice([None, frozenset({"one"})]),
            )
            served = {name: rng.choice([0.0, 5.0, 9.0]) for name in "abc"}
            rank = (waiter.priority, served[waiter.account], waiter.arrived)
            assert waiting.tokens_ahead(waiter, served) == sum(
                one.tokens
                for one in all_waiting
                if (one.priority, served[one.account], one.arrived) < rank
            )
            all_waiting.append(waiter)
            waiting.add(waiter, f"value {number}")
        assert list(waiting) == all_waiting


class TestTooLarge:
    """A request that no chain can hold kept all others waiting behind it."""

    def test_others_do_not_wait_behind_it(self):
        async def scenario():
            clock = Clock()
            chains = TokenPool(clock=clock, capacity=2000)
            queue = AdmissionQueue(
                claim=chains.claim,
                release=chains.free,
                can_serve=lambda waiter: waiter.tokens <= chains.capacity,
                clock=clock,
            )
            running = make_waiter()
            await queue.admit(running)
            huge = make_waiter("b", tokens=5000.0)
            assert await asyncio.wait_for(queue.admit(huge), 1) is None
            other = make_waiter("c")
            assert await asyncio.wait_for(queue.admit(other), 1) is other

        asyncio.run(scenario())


class TestRestrictedRequests:
    """
    Requests that may use some places only.

    Load pattern: a server is silent, and the streams on it wait for another one.
    """

    def setup_method(self):
        self.room = {"one": 0.0, "two": 0.0}
        self.claims = 0

    def _places(self, waiter) -> frozenset[str]:
        places = self.room.keys() - waiter.avoid
        return frozenset(places if waiter.only is None else places & waiter.only)

    def _claim(self, waiter, *, reserved: frozenset[str] = frozenset()):
        self.claims += 1
        for place in sorted(self._places(waiter) - reserved):
            if self.room[place] >= waiter.tokens:
                self.room[place] -= waiter.tokens
                return place
        return None

    def _run(self, scenario) -> None:
        async def run():
            queue = AdmissionQueue(
                claim=self._claim,
                release=lambda place: None,
                min_rate=lambda: 1e9,
                places=self._places,
            )
            await scenario(queue)

        asyncio.run(run())

    def _wait(self, queue, **fields) -> asyncio.Task:
        deadline = time.monotonic() + 30.0
        waiter = make_waiter(at=time.monotonic(), deadline=deadline, **fields)
        return asyncio.create_task(queue.admit(waiter))

    def test_a_place_that_one_waits_for_is_not_taken_by_smaller_ones(self):
        async def scenario(queue):
            large = self._wait(
                queue, tokens=20.0, priority=-1, avoid=frozenset({"one"})
            )
            await asyncio.sleep(0)
            small = [self._wait(queue, tokens=2.0) for _ in range(20)]
            for _ in range(10):
                await asyncio.sleep(0)
                self.room["two"] += 2.0
                queue.admit_waiting()
            for _ in range(5):
                await asyncio.sleep(0)
            assert large.done()
            assert large.result() == "two"
            assert not any(task.done() for task in small)
            for task in small:
                task.cancel()

        self._run(scenario)

    def test_others_use_the_places_that_one_must_avoid(self):
        async def scenario(queue):
            held = self._wait(queue, tokens=20.0, priority=-1, avoid=frozenset({"one"}))
            await asyncio.sleep(0)
            self.room["one"] = 2.0
            other = self._wait(queue, tokens=2.0)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            assert other.done()
            assert not held.done()
            held.cancel()

        self._run(scenario)

    def test_many_with_the_same_restriction_cost_one_claim_in_vain(self):
        async def scenario(queue):
            held = [
                self._wait(queue, tokens=20.0, only=frozenset({"one"}))
                for _ in range(50)
            ]
            await asyncio.sleep(0)
            self.claims = 0
            queue.admit_waiting()
            assert self.claims == 1
            for task in held:
                task.cancel()

        self._run(scenario)


class TestRefusal:
    """Retry times of refused callers."""

    def test_retry_times_are_spread(self):
        rng = random.Random(1)
        times = [retry_after(2.0, random=rng.random) for _ in range(200)]
        assert min(times) < 1.2 < 2.8 < max(times)
        assert 1.8 < sum(times) / len(times) < 2.2

    def test_nobody_returns_while_there_is_certainly_no_capacity(self):
        rng = random.Random(1)
        times = [retry_after(0.5, earliest=2.0, random=rng.random) for _ in range(200)]
        assert 2.0 <= min(times) < 2.1
        assert 3.9 < max(times) <= 4.0

    def test_never_immediately(self):
        assert retry_after(0.0, random=lambda: 0.0) > 0.1

    def test_a_caller_refused_at_the_shutdown_returns_soon_if_a_peer_serves(self):
        assert shutdown_retry_after(9.0, [0.0, 4.0]) < 0.5

    @pytest.mark.parametrize("peers", [[], [9.0], [0.25, 9.0]])
    def test_else_callers_return_as_the_entries_should_be_back(self, peers):
        returns = [6.0, *peers]
        rng = random.Random(1)
        times = [
            shutdown_retry_after(6.0, peers, random=rng.random) for _ in range(200)
        ]
        assert min(returns) <= min(times) <= min(returns) + 0.2
        last = max([*returns, min(returns) + 1.0])
        assert last - 0.2 <= max(times) <= last

    def test_no_caller_returns_while_all_entries_are_away(self):
        """Load pattern: four entries stop at 1 s, and each is away for 9 s."""
        rng = random.Random(1)
        stops = [0.0, 1.0, 2.0, 3.0]
        for step in range(300, 900):
            now = step / 100
            own, *peers = rng.sample([stop + 9.0 - now for stop in stops], len(stops))
            wait = shutdown_retry_after(own, peers, random=rng.random)
            assert now + wait >= stops[0] + 9.0


class TestBudget:
    """Retry budget that the entries share."""

    def setup_method(self):
        self.clock = Clock()
        self.entries = 2
        self.budget = RetryBudget(
            ratio=0.2,
            slack=100,
            window=10,
            entry_count=lambda: self.entries,
            clock=self.clock,
        )

    def _spend_all(self) -> int:
        withdrawn = 0
        while self.budget.try_withdraw():
            withdrawn += 1
        return withdrawn

    def test_all_entries_together_stay_within_budget(self):
        for _ in range(100):
            self.budget.record_request()
        assert self._spend_all() * self.entries <= 0.2 * 200 + 100

    def test_window_slides(self):
        withdrawn = self._spend_all()
        assert withdrawn
        self.clock.now = 9.9
        assert not self.budget.try_withdraw()
        self.clock.now = 10.1
        assert self._spend_all() == withdrawn

    def test_more_entries_get_smaller_shares(self):
        before = self.budget.remaining()
        self.entries = 4
        assert self.budget.remaining() == before / 2

    @pytest.mark.parametrize("slack", [0, 2, 3, 20, 100])
    def test_silence_leaves_a_part_to_losses(self, slack):
        self.budget.slack = slack
        for _ in range(10):
            self.budget.record_request()
        total = self.budget.remaining()
        while self.budget.try_withdraw(is_lost=False):
            pass
        left = self.budget.remaining()
        assert left >= min(total, max(1.0, 0.2 * total))
        assert left < max(1.0, 0.2 * total) + 1
        assert self._spend_all() == int(left)

    def test_remaining_share(self):
        assert self.budget.remaining_share() == 1.0
        self._spend_all()
        assert self.budget.remaining_share() < 0.05
