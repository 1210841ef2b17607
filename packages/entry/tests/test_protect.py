"""Tests of retries, breakers and bounds."""

import random

import anyio
import pytest
from hypothesis import given, settings, strategies as st

from kumquatway.protect import (
    Avoid,
    Breaker,
    HedgePolicy,
    MemoryBound,
    Outliers,
    RetryBudget,
    RetryPolicy,
    backoff,
    hedge,
    hedge_budget,
    retry,
    slow_start,
)
from kumquatway_core import MAY_HAVE_RUN, NOT_RUN, Reason, may_have_run, not_run

NAMES = tuple(f"u{i}" for i in range(10))


class Clock:
    """A clock that stands until it is moved."""

    def __init__(self):
        self.now = 0.0

    def __call__(self) -> float:
        return self.now

    async def sleep(self, seconds: float) -> None:
        self.now += seconds


def half() -> float:
    return 0.5


class TestRetryBudget:
    """The balance of extra attempts."""

    def test_retries_are_a_share_of_requests(self):
        clock = Clock()
        budget = RetryBudget(share=0.1, min_per_second=1.0, clock=clock)
        taken = 0
        for _ in range(10_000):
            clock.now += 0.01
            budget.request()
            taken += budget.take()
        assert taken == pytest.approx(10_000 * 0.1 + 100 * 1.0 + 10, rel=0.03)

    def test_an_unused_balance_fades(self):
        clock = Clock()
        budget = RetryBudget(min_per_second=0.0, window=10.0, clock=clock)
        for _ in range(100):
            budget.request()
        assert budget.take()
        clock.now = 10.0
        assert not budget.take()

    def test_a_quiet_entry_may_still_retry(self):
        clock = Clock()
        budget = RetryBudget(min_per_second=0.5, window=4.0, clock=clock)
        assert [budget.take() for _ in range(3)] == [True, True, False]
        clock.now = 2.0
        assert budget.take()


class TestBackoff:
    """Waits between attempts."""

    @given(st.integers(1, 10_000), st.floats(0, 1))
    @settings(derandomize=True)
    def test_it_lies_below_the_doubled_bound(self, attempt, draw):
        wait = backoff(attempt, base=0.1, cap=2.0, random=lambda: draw)
        assert 0 <= wait <= min(2.0, 0.1 * 2 ** min(attempt - 1, 20))

    def test_it_fills_the_whole_range(self):
        draw = random.Random(1).random
        waits = [backoff(3, base=1.0, cap=9.0, random=draw) for _ in range(500)]
        assert min(waits) < 0.1
        assert max(waits) > 3.9


class TestBreaker:
    """One upstream's breaker."""

    def opened(self):
        clock = Clock()
        breaker = Breaker(failures=3, clock=clock, random=half)
        for _ in range(3):
            breaker.start()
            breaker.failure()
        return breaker, clock

    def test_it_opens_and_lets_one_probe_pass_later(self):
        breaker, clock = self.opened()
        assert not breaker.allows()
        clock.now = 1.2
        assert breaker.allows()
        breaker.start()
        assert not breaker.allows()
        breaker.success()
        assert breaker.allows()

    def test_a_failed_probe_keeps_it_open_for_longer(self):
        breaker, clock = self.opened()
        clock.now = 1.2
        breaker.start()
        breaker.failure()
        clock.now = 1.2 + 2.0
        assert not breaker.allows()
        clock.now = 1.2 + 2.5
        assert breaker.allows()

    def test_a_late_answer_does_not_close_it(self):
        breaker, _ = self.opened()
        breaker.success()
        assert not breaker.allows()

    def test_a_probe_that_never_ends_does_not_block_it_for_good(self):
        breaker, clock = self.opened()
        clock.now = 1.2
        breaker.start()
        clock.now = 10.0
        assert breaker.allows()


class TestOutliers:
    """The group's floor."""

    def group(self):
        clock = Clock()
        outliers = Outliers(clock=clock, random=half)
        outliers.keep(NAMES)
        return outliers, clock

    def feed(self, outliers, count, **odd):
        for _ in range(count):
            for name in NAMES:
                well, seconds = odd.get(name, (True, 0.1))
                outliers.start(name)
                outliers.end(name, well=well, seconds=seconds)

    @pytest.mark.parametrize("odd", [(False, 0.1), (True, 1.0)])
    def test_a_failing_or_slow_upstream_is_out_for_a_time(self, odd):
        outliers, clock = self.group()
        self.feed(outliers, 30, u3=odd)
        assert outliers.out() == {"u3"}
        clock.now = 7.0
        assert outliers.out() == frozenset()
        self.feed(outliers, 1)
        assert outliers.out() == frozenset()

    def test_never_more_than_the_share_is_out(self):
        outliers, _ = self.group()
        self.feed(outliers, 30, **dict.fromkeys(NAMES, (False, 0.1)))
        assert len(outliers.usable()) == 7
        outliers.keep(NAMES[:3])
        assert len(outliers.usable()) == 3

    def test_a_member_that_leaves_is_forgotten(self):
        outliers, _ = self.group()
        self.feed(outliers, 30, u3=(False, 0.1))
        outliers.keep(NAMES[:3])
        outliers.end("u3", well=False, seconds=0.1)
        outliers.keep(NAMES)
        assert "u3" in outliers.usable()


class TestBounds:
    """Slow start and memory."""

    def test_the_weight_ramps(self):
        weights = [slow_start(age, ramp=10.0, least=0.1) for age in (0, 5, 10, 99)]
        assert weights == [0.1, 0.5, 1.0, 1.0]

    def test_memory_is_bounded_and_given_back(self):
        bound = MemoryBound(limit=100)
        with bound.hold(60) as first, bound.hold(60) as second:
            assert first is None
            assert second.ran is NOT_RUN
            assert bound.reserve(40)
            assert not bound.reserve(1)
        bound.release(40)
        assert bound.reserved == 0
        assert bound.highest == 100


class TestRetry:
    """Sending again."""

    def run(self, outcomes, **changes):
        clock = Clock()
        values = {
            "budget": RetryBudget(clock=clock),
            "clock": clock,
            "sleep": clock.sleep,
            "random": half,
        }
        policy = RetryPolicy(**values | changes)
        tried = []

        async def send(attempt, avoid):
            upstream = avoid.prefer(("u0", "u1"))[0]
            avoid.add(upstream)
            tried.append(upstream)
            return outcomes[attempt - 1]

        return anyio.run(retry, policy, send), tried

    def test_what_did_not_run_goes_to_another_upstream(self):
        refused = not_run(Reason.UNREACHABLE)
        assert self.run([refused, "answer"]) == ("answer", ["u0", "u1"])
        _, tried = self.run([refused] * 3)
        assert tried == ["u0", "u1", "u0"]

    def test_doubt_is_retried_for_idempotent_requests_only(self):
        doubt = may_have_run(Reason.RESET)
        assert self.run([doubt, "answer"]) == (doubt, ["u0"])
        assert self.run([doubt, "answer"], idempotent=True)[0] == "answer"

    def test_doubt_of_an_earlier_attempt_stays(self):
        outcomes = [may_have_run(Reason.RESET)] + [not_run(Reason.REFUSED)] * 2
        verdict, _ = self.run(outcomes, idempotent=True)
        assert verdict.ran is MAY_HAVE_RUN
        assert verdict.reason is Reason.REFUSED

    def test_the_budget_and_the_deadline_end_it(self):
        refused = not_run(Reason.UNREACHABLE, retry_after=2.0)
        empty = RetryBudget(min_per_second=0.0, clock=Clock())
        assert len(self.run([refused] * 3, budget=empty)[1]) == 1
        assert len(self.run([refused] * 3, deadline=3.0)[1]) == 2

    @pytest.mark.parametrize("reason", [Reason.BAD_REQUEST, Reason.LIMITED])
    def test_a_refusal_that_no_upstream_would_lift_is_final(self, reason):
        assert len(self.run([not_run(reason)] * 3)[1]) == 1


class TestHedge:
    """The second attempt at a status read."""

    def run(self, *, status_read=True, budget=None, first=None):
        clock = Clock()
        tried = []

        async def send(attempt, avoid: Avoid):
            tried.append(attempt)
            if attempt == 1 and first is None:
                await anyio.sleep_forever()
            return first or "second"

        async def main():
            policy = HedgePolicy(
                budget=budget or hedge_budget(clock),
                status_read=status_read,
                delay=0.0,
            )
            with anyio.move_on_after(0.05):
                return await hedge(policy, send)

        return anyio.run(main), tried

    def test_a_slow_read_is_sent_twice_and_the_first_answer_wins(self):
        assert self.run() == ("second", [1, 2])

    def test_other_requests_and_an_empty_budget_are_not_hedged(self):
        empty = RetryBudget(share=0.0, min_per_second=0.0, clock=Clock())
        assert self.run(status_read=False) == (None, [1])
        assert self.run(budget=empty) == (None, [1])

    def test_a_verdict_is_returned(self):
        verdict = not_run(Reason.UNREACHABLE)
        assert self.run(first=verdict)[0] == verdict
