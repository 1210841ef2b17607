"""Tests of admission."""

import random

import anyio
import pytest
from benchmarks._admission_sim import (
    PEAK_PER_SECOND,
    Outcome,
    Source,
    World,
    account,
    goodput,
    jain,
    overload,
    quantile,
    rush,
)
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from kumquatway.admission import Admission, Ask, Capacity, Kind, Limits, Ticket, Waiting
from kumquatway.admission._classes import AGING_SECONDS
from kumquatway_core import NOT_RUN, Reason, Verdict
from kumquatway_core.text import Priority

BASE = {"account": "a", "target": "m", "prompt_tokens": 100, "answer_tokens": 50}


class Clock:
    """A clock that stands until it is moved."""

    def __init__(self):
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


class Bed:
    """An admission with a clock and accounts of its own."""

    def __init__(self, *, slots=2, limits=None, accounts=None, draw=lambda: 0.0):
        self.clock = Clock()
        self.woken = []
        self.accounts = accounts or {}
        capacity = Capacity(limit=slots, floor=slots, ceiling=slots)
        self.admission = Admission(
            lookup=lambda name: self.accounts.get(name, account()),
            capacity=lambda target: capacity,
            limits=limits,
            clock=self.clock,
            random=draw,
        )

    def offer(self, **changes):
        return self.admission.offer(Ask(**(BASE | changes)), self.woken.append)


class TestLimits:
    """The limits of an account."""

    def bed(self, draw=lambda: 0.0, **changes):
        values = {"requests_per_second": 10.0, "burst": 1.0}
        return Bed(slots=1000, accounts={"a": account(**values | changes)}, draw=draw)

    def test_the_burst_passes_and_the_next_is_refused_at_once(self):
        bed = self.bed()
        results = [bed.offer() for _ in range(11)]
        assert all(isinstance(result, Ticket) for result in results[:10])
        assert results[10].ran is NOT_RUN
        assert results[10].reason is Reason.LIMITED
        assert results[10].retry_after == pytest.approx(0.1)

    def test_an_unused_estimate_is_given_back(self):
        bed = self.bed(tokens_per_second=150.0)
        ticket = bed.offer()
        assert bed.offer().reason is Reason.LIMITED
        ticket.close(served_tokens=0)
        ticket.close(served_tokens=0)
        assert bed.admission.accounts.states["a"].running == 0
        assert bed.admission.pools["m"].running == 0
        assert isinstance(bed.offer(), Ticket)
        assert bed.offer().reason is Reason.LIMITED

    def test_a_request_that_leaves_the_queue_gets_its_charge_back(self):
        bed = Bed(slots=1, accounts={"a": account(tokens_per_second=150.0)})
        bed.offer(account="b")
        waiting = bed.offer()
        bucket = bed.admission.accounts.states["a"].tokens
        assert bucket.level == 150.0
        bed.admission.withdraw(waiting, [])
        assert bucket.level == 300.0

    def test_requests_in_progress_are_bounded(self):
        bed = self.bed(max_concurrent=1)
        ticket = bed.offer()
        assert bed.offer().reason is Reason.LIMITED
        ticket.close(served_tokens=150)
        assert isinstance(bed.offer(), Ticket)

    def test_an_unknown_account_is_refused(self):
        admission = Admission(lookup=lambda name: None)
        verdict = admission.offer(Ask(**BASE), print)
        assert verdict.reason is Reason.UNAUTHORIZED

    @pytest.mark.parametrize("tokens", [0, 5, 40])
    def test_clients_that_come_back_when_told_are_admitted(self, tokens):
        """Retry-After is honest also for many refused at once, with jitter."""
        draw = random.Random(3).random
        bed = self.bed(draw, tokens_per_second=50.0)
        shape = {"prompt_tokens": tokens, "answer_tokens": 0}
        results = [bed.offer(**shape) for _ in range(60)]
        waits = [r.retry_after for r in results if isinstance(r, Verdict)]
        assert len(waits) >= 50
        assert len(set(waits)) == len(waits)
        for wait in sorted(waits):
            bed.clock.now = wait
            assert isinstance(bed.offer(**shape), Ticket)

    def test_idle_accounts_are_forgotten_but_not_their_debts(self):
        bed = self.bed()
        [bed.offer(account=f"x{i}").close(150) for i in range(20)]
        held = bed.offer(account="held")
        bed.clock.now = 60.0
        bed.admission.sweep()
        assert list(bed.admission.accounts.states) == ["held"]
        held.close(150)


class TestQueue:
    """Waiting for room at a target."""

    def test_targets_do_not_wait_for_each_other(self):
        clock = Clock()
        admission = Admission(
            lookup=lambda name: account(),
            capacity=lambda target: Capacity(limit=1, floor=1, ceiling=1),
            clock=clock,
        )
        first, second, other = (
            admission.offer(Ask(**BASE | {"target": target}), print)
            for target in ("m", "m", "desk")
        )
        assert isinstance(first, Ticket)
        assert isinstance(second, Waiting)
        assert isinstance(other, Ticket)

    def test_a_large_account_leaves_room_in_the_queue(self):
        bed = Bed(limits=Limits(total=20, per_account=500))
        results = [bed.offer(account="large") for _ in range(100)]
        assert results[-1].reason is Reason.OVERLOADED
        assert isinstance(bed.offer(account="small"), Waiting)
        assert bed.admission.pools["m"].queue.count <= 20

    def test_a_status_read_passes_bulk_and_full_slots(self):
        bed = Bed()
        for _ in range(5):
            bed.offer(priority=Priority.BULK)
        read = {"kind": Kind.STATUS_READ, "prompt_tokens": 0, "answer_tokens": 0}
        assert isinstance(bed.offer(**read), Ticket)
        assert isinstance(bed.offer(**read), Waiting)
        bed.admission.pools["m"].capacity.limit = 4
        bed.admission.observe("m", 0.0)
        assert bed.woken[0].ask.kind is Kind.STATUS_READ

    def test_a_request_is_no_more_urgent_than_its_account(self):
        bed = Bed(slots=1, accounts={"a": account(priority=Priority.BULK)})
        running = bed.offer(account="b")
        bed.offer(priority=Priority.URGENT)
        bed.offer(account="b", priority=Priority.NORMAL)
        running.close(150)
        assert bed.woken[0].ask.account == "b"

    def test_a_deadline_that_cannot_be_met_is_refused_at_once(self):
        bed = Bed(slots=1)
        first = bed.offer()
        bed.clock.now = 1.0
        first.close(150)
        bed.offer()
        assert bed.offer(deadline=1.5).retry_after is None
        fits = bed.offer(account="b", deadline=3.1)
        assert isinstance(fits, Waiting)
        late = bed.offer(account="b", deadline=3.1)
        assert late.reason is Reason.DEADLINE
        assert late.ran is NOT_RUN

    def test_a_slow_request_does_not_bar_those_after_it_from_free_room(self):
        bed = Bed(slots=1)
        first = bed.offer(deadline=2.0)
        bed.clock.now = 5.0
        first.close(150)
        again = bed.offer(deadline=7.0)
        assert isinstance(again, Ticket)
        assert bed.offer(deadline=bed.clock.now).reason is Reason.DEADLINE

    def test_a_waiting_request_is_refused_once_it_is_too_late(self):
        bed = Bed(slots=1)
        first = bed.offer()
        bed.clock.now = 1.0
        first.close(150)
        bed.offer()
        waiting = bed.offer(account="b", deadline=3.1)
        bed.clock.now = 2.0
        bed.admission.sweep()
        assert not waiting.done
        bed.clock.now = 2.2
        bed.admission.sweep()
        assert bed.woken[0].reason is Reason.DEADLINE
        assert bed.admission.accounts.states["b"].running == 0

    def test_a_late_request_is_not_started(self):
        bed = Bed(slots=1)
        first = bed.offer()
        bed.offer(account="b", deadline=1.0)
        bed.clock.now = 1.1
        first.close(150)
        assert bed.woken[0].reason is Reason.DEADLINE
        assert bed.admission.pools["m"].running == 0

    def test_one_stall_does_not_refuse_each_deadline_for_ever(self):
        bed = Bed(slots=2)
        stalled = bed.offer()
        bed.clock.now = 9.0
        stalled.close(served_tokens=150)
        ticket = bed.offer(deadline=10.0)
        assert isinstance(ticket, Ticket)
        assert bed.offer(deadline=10.0).reason is Reason.DEADLINE
        bed.clock.now = 9.1
        ticket.close(served_tokens=150)

    def test_a_deadline_is_watched_until_the_end(self):
        bed = Bed(slots=1)
        first = bed.offer()
        bed.clock.now = 1.0
        first.close(150)
        bed.offer()
        bed.offer(account="b", deadline=3.1)
        bed.admission.pools["m"].mean_hold = 0.1
        bed.clock.now = 2.2
        bed.admission.sweep()
        assert not bed.woken
        bed.clock.now = 3.1
        bed.admission.sweep()
        assert bed.woken[0].reason is Reason.DEADLINE

    def test_a_ticket_for_a_caller_who_went_away_is_closed(self):
        bed = Bed(slots=1)
        first = bed.offer()
        waiting = bed.offer()
        first.close(150)
        bed.admission.withdraw(waiting, bed.woken)
        assert bed.admission.pools["m"].running == 0

    def test_clients_refused_in_overload_are_admitted_when_told(self):
        """Each comes back when told, while the queue drains at the same rate."""
        world = World([Source(name="a", per_second=1)], seed=5)
        tally = []

        def arrive(again: bool) -> None:
            now = world.timeline.now
            ask = Ask(**BASE | {"target": "model"})
            result = world.admission.offer(
                ask, lambda ticket: world._decided(ticket, ask, Outcome(), now)
            )
            if isinstance(result, Verdict):
                tally.append(again)
                world.timeline.after(result.retry_after, lambda: arrive(True))
            elif isinstance(result, Ticket):
                world._decided(result, ask, Outcome(), now)

        for _ in range(100):
            arrive(False)
        world.timeline.run(2.0)
        for _ in range(400):
            arrive(False)
        world.timeline.run(60.0)
        assert tally.count(False) > 100
        assert tally.count(True) <= 0.05 * tally.count(False)


class TestAdmit:
    """The asynchronous way in."""

    def test_it_waits_for_room_and_forgets_who_went_away(self):
        async def main():
            bed = Bed(slots=1)
            first = await bed.admission.admit(Ask(**BASE))
            with anyio.move_on_after(0):
                await bed.admission.admit(Ask(**BASE))
            pool = bed.admission.pools["m"]
            assert pool.queue.count == 0
            got = []

            async def second():
                got.append(await bed.admission.admit(Ask(**BASE)))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(second)
                await anyio.wait_all_tasks_blocked()
                first.close(150)
            assert isinstance(got[0], Ticket)
            assert pool.running == 1

        anyio.run(main)


class TestFairness:
    """Shares between accounts and classes, in virtual time."""

    def test_a_large_account_does_not_delay_small_ones(self):
        world = rush(seconds=60.0)
        share = PEAK_PER_SECOND / 10
        due = dict.fromkeys(world.sources, 0.75 * share)
        due["large"] = PEAK_PER_SECOND - 9 * 0.75 * share
        got = [world.outcomes[name].served / due[name] for name in due]
        assert jain(got) >= 0.98
        small = [
            wait
            for name, outcome in world.outcomes.items()
            for wait in outcome.first_token
            if name != "large"
        ]
        assert quantile(small, 0.95) <= 1.0
        assert all(world.outcomes[n].refused == 0 for n in due if n != "large")

    def test_service_follows_the_shares_whatever_the_size_of_requests(self):
        specs = {"one": (1.0, 0.5), "two": (2.0, 1.0), "four": (4.0, 2.0)}
        sources = [
            Source(
                name=name, per_second=60 / size, size=size, spec=account(share=share)
            )
            for name, (share, size) in specs.items()
        ]
        world = World(sources)
        world.run(40.0)
        got = [world.outcomes[n].served / share for n, (share, _) in specs.items()]
        assert jain(got) >= 0.99

    def test_an_account_is_charged_what_it_used(self):
        bed = Bed(slots=1)
        running = bed.offer()
        for _ in range(90):
            bed.offer(account="little")
            bed.offer(account="whole")
        served = []
        for _ in range(90):
            running.close(50 if running.ask.account == "little" else 150)
            running = bed.woken[-1]
            served.append(running.ask.account)
        # 50 prompt tokens cost a quarter of 100 prompt and 50 answer tokens.
        assert 3.5 <= served.count("little") / served.count("whole") <= 4.5

    def test_bulk_is_not_starved_by_urgent_work(self):
        bed = Bed(slots=1, accounts={"b": account(priority=Priority.BULK)})
        running = bed.offer()
        bed.offer(account="b", priority=Priority.BULK, prompt_tokens=100_000)
        served = {}
        for step in range(200):
            bed.offer(priority=Priority.URGENT)
            bed.clock.now += 0.1
            running.close(150)
            running = bed.woken[-1]
            served.setdefault(running.ask.account, step * 0.1)
        assert served["b"] <= AGING_SECONDS + 0.1


class TestOverload:
    """Goodput in virtual time."""

    def test_goodput_does_not_collapse(self):
        seconds = 40.0
        runs = {load: overload(load, seconds=seconds) for load in (0.5, 1, 2, 5)}
        good = {load: goodput(world, seconds) for load, world in runs.items()}
        best = max(good.values())
        assert good[0.5] >= 0.47
        assert good[2] >= 0.95 * best
        assert good[5] >= 0.90 * best
        refusals = [
            wait for outcome in runs[5].outcomes.values() for wait in outcome.refusal
        ]
        assert quantile(refusals, 0.95) == 0.0

    def test_the_capacity_finds_the_engines(self):
        world = overload(2, seconds=30.0)
        limit = world.admission.pools["model"].capacity.limit
        assert limit == pytest.approx(world.engine.slots, rel=0.25)


class TestCapacity:
    """The bound on requests in progress."""

    def feed(self, capacity, seconds, queueing, in_progress):
        start = capacity.since
        for step in range(1, round(seconds * 10) + 1):
            capacity.used(in_progress(capacity))
            capacity.observe(queueing(capacity, step), start + step * 0.1)

    def test_it_finds_large_engines_soon(self):
        capacity = Capacity(limit=64)
        self.feed(capacity, 5.0, lambda *_: 0.0, lambda one: int(one.limit))
        assert capacity.limit >= 320

    def test_a_limit_out_of_use_stays(self):
        capacity = Capacity(limit=64)
        self.feed(capacity, 5.0, lambda *_: 0.0, lambda one: 10)
        assert capacity.limit == 64

    def test_a_standing_queue_lowers_it_to_the_floor_and_a_burst_does_not(self):
        capacity = Capacity(limit=64, floor=8)
        self.feed(capacity, 5.0, lambda _, step: step % 5 * 0.5, lambda one: 10)
        assert capacity.limit == 64
        self.feed(capacity, 30.0, lambda *_: 0.5, lambda one: int(one.limit))
        assert capacity.limit == 8


class AdmissionMachine(RuleBasedStateMachine):
    """Offers, ends, time and withdrawals in any order."""

    def __init__(self):
        super().__init__()
        limits = Limits(total=6, per_account=3)
        accounts = {"b": account(requests_per_second=1.0, burst=3.0)}
        self.bed = Bed(slots=3, limits=limits, accounts=accounts)
        self.waiting = []
        self.tickets = []

    @rule(
        name=st.sampled_from("abc"),
        priority=st.sampled_from(Priority),
        kind=st.sampled_from(Kind),
        left=st.sampled_from([0.5, 5.0, float("inf")]),
    )
    def offer(self, name, priority, kind, left):
        deadline = self.bed.clock.now + left
        got = self.bed.offer(
            account=name, priority=priority, kind=kind, deadline=deadline
        )
        if isinstance(got, Ticket):
            self.tickets.append(got)
        elif isinstance(got, Waiting):
            self.waiting.append(got)
        else:
            assert got.ran is NOT_RUN

    @rule(index=st.integers(0, 9), tokens=st.integers(0, 150))
    def close(self, index, tokens):
        self.collect()
        if self.tickets:
            self.tickets.pop(index % len(self.tickets)).close(tokens)

    @rule(index=st.integers(0, 9))
    def withdraw(self, index):
        self.collect()
        if self.waiting:
            waiting = self.waiting.pop(index % len(self.waiting))
            self.bed.admission.withdraw(waiting, [])

    @rule(seconds=st.sampled_from([0.01, 0.4, 3.0, 20.0]))
    def wait(self, seconds):
        self.bed.clock.now += seconds
        self.bed.admission.sweep()

    @rule(queueing=st.sampled_from([0.0, 1.0]))
    def observe(self, queueing):
        self.bed.admission.observe("m", queueing)

    def collect(self):
        self.tickets += [one for one in self.bed.woken if isinstance(one, Ticket)]
        self.bed.woken.clear()
        self.waiting = [one for one in self.waiting if not one.done]

    @invariant()
    def counts_agree(self):
        self.collect()
        pool = self.bed.admission.pools.get("m")
        if pool is None:
            return
        assert pool.running == len(self.tickets)
        assert pool.queue.count == len(self.waiting) <= 6
        assert not (pool.queue.count and pool.free())
        states = self.bed.admission.accounts.states
        running = sum(state.running for state in states.values())
        assert running == len(self.tickets) + len(self.waiting)
        for state in states.values():
            assert 0 <= state.requests.level <= state.requests.size


TestAdmissionMachine = AdmissionMachine.TestCase
TestAdmissionMachine.settings = settings(
    derandomize=True, max_examples=40, stateful_step_count=30, deadline=None
)
