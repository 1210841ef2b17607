"""Tests of who waits, who goes next and who is refused, by replayed loads."""

import asyncio
import random

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
    next_waiter,
    retry_after,
)


class TestOrder:
    """Who goes next."""

    def test_the_account_that_is_served_least(self):
        large = make_waiter("large", at=0.0)
        small = make_waiter("small", at=0.1)
        served = {"large": 9000.0, "small": 900.0}
        assert next_waiter([large, small], served, 0.2) is small

    def test_the_oldest_among_equals(self):
        first, second = make_waiter(at=0.0), make_waiter(at=0.1)
        assert next_waiter([second, first], {}, 0.2) is first

    def test_the_urgent_before_all(self):
        plain, urgent = make_waiter(), make_waiter(priority=0, at=0.1)
        assert next_waiter([plain, urgent], {}, 0.2) is urgent

    def test_waiting_makes_up_for_rank(self):
        old = make_waiter(priority=2, at=0.0)
        new = make_waiter(priority=1, at=2 * AGING_SECONDS)
        assert next_waiter([new, old], {}, 2.1 * AGING_SECONDS) is old

    def test_waiting_does_not_make_up_for_a_large_share(self):
        old = make_waiter("large", at=0.0)
        new = make_waiter("small", at=3 * AGING_SECONDS)
        served = {"large": 9000.0}
        assert next_waiter([old, new], served, 3.1 * AGING_SECONDS) is new

    def test_size_plays_no_part(self):
        big = make_waiter(tokens=4000.0, at=0.0)
        little = make_waiter(tokens=100.0, at=0.1)
        assert next_waiter([little, big], {}, 0.2) is big

    def test_nobody(self):
        assert next_waiter([], {}, 0.0) is None


class TestLoads:
    """Load patterns, replayed."""

    def test_one_account_with_many_times_its_share(self):
        """First come first served would give each account the same share."""
        outcome = replay_dominant_account()
        assert outcome.share("one") > 0.95
        assert outcome.share("two") > 0.95
        assert outcome.share("large") < 0.7

    def test_a_burst_is_refused_on_arrival_and_not_after_waiting(self):
        outcome = replay_burst()
        asked = sum(outcome.asked.values())
        assert outcome.refused_late <= 0.05 * asked
        assert max(outcome.waits) <= MAX_WAIT_SECONDS + 0.1

    def test_within_the_room_nobody_waits(self):
        outcome = asyncio.run(
            replay_queue(draw_arrivals({"a": 20.0, "b": 15.0}, 6.0), room_tokens=60_000)
        )
        assert outcome.share("a") == outcome.share("b") == 1.0
        assert max(outcome.waits) < 0.05


class TestRoom:
    """The queue itself."""

    def test_who_leaves_while_waiting_frees_its_place(self):
        async def story():
            clock = Clock()
            chains = TokenPool(clock=clock, capacity=1000)
            room = AdmissionQueue(claim=chains.claim, release=chains.free, clock=clock)
            first = make_waiter()
            assert await room.admit(first) is first
            waiting = asyncio.create_task(room.admit(make_waiter("b")))
            await asyncio.sleep(0)
            waiting.cancel()
            await asyncio.gather(waiting, return_exceptions=True)
            assert not room.waiting
            assert room.queued_tokens == 0

        asyncio.run(story())

    def test_who_leaves_as_its_room_is_given_gives_it_back(self):
        async def story():
            clock = Clock()
            chains = TokenPool(clock=clock, capacity=1000)
            room = AdmissionQueue(claim=chains.claim, release=chains.free, clock=clock)
            first = make_waiter()
            await room.admit(first)
            waiting = asyncio.create_task(room.admit(make_waiter("b")))
            await asyncio.sleep(0)
            chains.free(first)
            room.admit_waiting()
            waiting.cancel()
            await asyncio.gather(waiting, return_exceptions=True)
            assert chains.used == 0

        asyncio.run(story())


class TestRefusal:
    """When a refused caller returns."""

    def test_returns_are_spread(self):
        chance = random.Random(1)
        times = [retry_after(2.0, random=chance.random) for _ in range(200)]
        assert min(times) < 1.2 < 2.8 < max(times)
        assert 1.8 < sum(times) / len(times) < 2.2

    def test_never_at_once(self):
        assert retry_after(0.0, random=lambda: 0.0) > 0.1


class TestBudget:
    """Repeats that the entries share."""

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

    def _drain(self) -> int:
        taken = 0
        while self.budget.try_withdraw():
            taken += 1
        return taken

    def test_all_entries_together_stay_within(self):
        for _ in range(100):
            self.budget.record_request()
        assert self._drain() * self.entries <= 0.2 * 200 + 100

    def test_the_window_slides(self):
        taken = self._drain()
        assert taken
        self.clock.now = 9.9
        assert not self.budget.try_withdraw()
        self.clock.now = 10.1
        assert self._drain() == taken

    def test_more_entries_leave_less(self):
        before = self.budget.remaining()
        self.entries = 4
        assert self.budget.remaining() == before / 2

    def test_the_share_that_is_left(self):
        assert self.budget.remaining_share() == 1.0
        self._drain()
        assert self.budget.remaining_share() < 0.05
