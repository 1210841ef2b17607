"""Tests of who waits, who goes next and who is refused, by replayed loads."""

import asyncio
import random
from dataclasses import dataclass, field

from kumquatway_gateway.waiting import (
    AGING_SECONDS,
    MAX_WAIT_SECONDS,
    RepeatBudget,
    Waiter,
    WaitingRoom,
    next_waiter,
    retry_after,
)


class _Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


def _waiter(account: str = "a", *, at: float = 0.0, **fields) -> Waiter:
    defaults = {"priority": 1, "tokens": 900.0, "give_up": at + MAX_WAIT_SECONDS}
    return Waiter(account=account, arrived=at, **{**defaults, **fields})


class TestOrder:
    """Who goes next."""

    def test_the_account_that_is_served_least(self):
        large = _waiter("large", at=0.0)
        small = _waiter("small", at=0.1)
        served = {"large": 9000.0, "small": 900.0}
        assert next_waiter([large, small], served, 0.2) is small

    def test_the_oldest_among_equals(self):
        first, second = _waiter(at=0.0), _waiter(at=0.1)
        assert next_waiter([second, first], {}, 0.2) is first

    def test_the_urgent_before_all(self):
        plain, urgent = _waiter(), _waiter(priority=0, at=0.1)
        assert next_waiter([plain, urgent], {}, 0.2) is urgent

    def test_waiting_makes_up_for_rank(self):
        old = _waiter(priority=2, at=0.0)
        new = _waiter(priority=1, at=2 * AGING_SECONDS)
        assert next_waiter([new, old], {}, 2.1 * AGING_SECONDS) is old

    def test_waiting_does_not_make_up_for_a_large_share(self):
        old = _waiter("large", at=0.0)
        new = _waiter("small", at=3 * AGING_SECONDS)
        served = {"large": 9000.0}
        assert next_waiter([old, new], served, 3.1 * AGING_SECONDS) is new

    def test_size_plays_no_part(self):
        big = _waiter(tokens=4000.0, at=0.0)
        little = _waiter(tokens=100.0, at=0.1)
        assert next_waiter([little, big], {}, 0.2) is big

    def test_nobody(self):
        assert next_waiter([], {}, 0.0) is None


@dataclass
class _Chains:
    """Room for tokens, each request of which stays for a second."""

    clock: _Clock
    room: float
    used: float = 0.0
    ends: list[tuple[float, Waiter]] = field(default_factory=list)

    def claim(self, waiter: Waiter) -> Waiter | None:
        if self.used + waiter.tokens > self.room:
            return None
        self.used += waiter.tokens
        self.ends.append((self.clock.now + 1.0, waiter))
        return waiter

    def free(self, waiter: Waiter) -> None:
        self.used -= waiter.tokens


@dataclass
class _Served:
    """What became of the requests of a replay."""

    served: dict[str, int] = field(default_factory=dict)
    asked: dict[str, int] = field(default_factory=dict)
    waits: list[float] = field(default_factory=list)
    refused_late: int = 0

    def share(self, account: str) -> float:
        return self.served.get(account, 0) / self.asked[account]


async def _replay(arrivals: list[Waiter], room_tokens: float) -> _Served:
    """Play arrivals against chains in virtual time."""
    clock = _Clock()
    chains = _Chains(clock=clock, room=room_tokens)
    room: WaitingRoom[Waiter] = WaitingRoom(
        claim=chains.claim,
        undo=chains.free,
        least_rate=lambda: room_tokens / 2,
        clock=clock,
    )
    outcome = _Served()
    tasks: dict[asyncio.Task, Waiter] = {}
    pending = sorted(arrivals, key=lambda waiter: waiter.arrived)
    while pending or tasks or chains.ends:
        clock.now += 0.01
        while pending and pending[0].arrived <= clock.now:
            waiter = pending.pop(0)
            outcome.asked[waiter.account] = outcome.asked.get(waiter.account, 0) + 1
            tasks[asyncio.create_task(room.enter(waiter))] = waiter
        for end in [end for end in chains.ends if end[0] <= clock.now]:
            chains.ends.remove(end)
            chains.free(end[1])
            room.end(end[1])
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        for task in [task for task in tasks if task.done()]:
            waiter = tasks.pop(task)
            if task.result() is not None:
                room.begin(waiter)
                served = outcome.served.get(waiter.account, 0)
                outcome.served[waiter.account] = served + 1
                outcome.waits.append(clock.now - waiter.arrived)
            elif clock.now - waiter.arrived > 0.1:
                outcome.refused_late += 1
        for task, waiter in tasks.items():
            if clock.now > waiter.give_up:
                task.cancel()
        tasks = {task: one for task, one in tasks.items() if not task.cancelling()}
    return outcome


def _arrivals(rates: dict[str, float], seconds: float, seed: int = 1) -> list[Waiter]:
    chance = random.Random(seed)
    found = []
    for account, rate in rates.items():
        at = 0.0
        while at < seconds:
            at += chance.expovariate(rate)
            found.append(_waiter(account, at=at))
    return found


class TestLoads:
    """Load patterns, replayed."""

    def test_one_account_with_many_times_its_share(self):
        """First come first served would give each account the same share."""
        rates = {"large": 120.0, "one": 4.0, "two": 4.0}
        outcome = asyncio.run(_replay(_arrivals(rates, 8.0), room_tokens=45_000))
        assert outcome.share("one") > 0.95
        assert outcome.share("two") > 0.95
        assert outcome.share("large") < 0.7

    def test_a_burst_is_refused_on_arrival_and_not_after_waiting(self):
        arrivals = _arrivals({"a": 40.0, "b": 40.0}, 6.0)
        outcome = asyncio.run(_replay(arrivals, room_tokens=45_000))
        assert outcome.refused_late <= 0.05 * len(arrivals)
        assert max(outcome.waits) <= MAX_WAIT_SECONDS + 0.1

    def test_within_the_room_nobody_waits(self):
        outcome = asyncio.run(
            _replay(_arrivals({"a": 20.0, "b": 15.0}, 6.0), room_tokens=60_000)
        )
        assert outcome.share("a") == outcome.share("b") == 1.0
        assert max(outcome.waits) < 0.05


class TestRoom:
    """The queue itself."""

    def test_who_leaves_while_waiting_frees_its_place(self):
        async def story():
            clock = _Clock()
            chains = _Chains(clock=clock, room=1000)
            room = WaitingRoom(claim=chains.claim, undo=chains.free, clock=clock)
            first = _waiter()
            assert await room.enter(first) is first
            waiting = asyncio.create_task(room.enter(_waiter("b")))
            await asyncio.sleep(0)
            waiting.cancel()
            await asyncio.gather(waiting, return_exceptions=True)
            assert not room.waiting
            assert room.queued_tokens == 0

        asyncio.run(story())

    def test_who_leaves_as_its_room_is_given_gives_it_back(self):
        async def story():
            clock = _Clock()
            chains = _Chains(clock=clock, room=1000)
            room = WaitingRoom(claim=chains.claim, undo=chains.free, clock=clock)
            first = _waiter()
            await room.enter(first)
            waiting = asyncio.create_task(room.enter(_waiter("b")))
            await asyncio.sleep(0)
            chains.free(first)
            room.wake()
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
        self.clock = _Clock()
        self.entries = 2
        self.budget = RepeatBudget(
            ratio=0.2,
            slack=100,
            window=10,
            entries=lambda: self.entries,
            clock=self.clock,
        )

    def _drain(self) -> int:
        taken = 0
        while self.budget.take():
            taken += 1
        return taken

    def test_all_entries_together_stay_within(self):
        for _ in range(100):
            self.budget.request()
        assert self._drain() * self.entries <= 0.2 * 200 + 100

    def test_the_window_slides(self):
        taken = self._drain()
        assert taken
        self.clock.now = 9.9
        assert not self.budget.take()
        self.clock.now = 10.1
        assert self._drain() == taken

    def test_more_entries_leave_less(self):
        before = self.budget.left()
        self.entries = 4
        assert self.budget.left() == before / 2

    def test_the_share_that_is_left(self):
        assert self.budget.share_left() == 1.0
        self._drain()
        assert self.budget.share_left() < 0.05
