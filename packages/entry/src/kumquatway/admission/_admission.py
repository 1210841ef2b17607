"""
Admission.

Decides which requests start now, which wait and which are refused.
"""

import heapq
import random as _random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio

from kumquatway.admission._accounts import Accounts, AccountState
from kumquatway.admission._ask import Ask
from kumquatway.admission._bucket import MIN_RATE_PER_SECOND
from kumquatway.admission._capacity import Capacity
from kumquatway.admission._classes import MAX_WAIT_SECONDS, Lane, lane_of
from kumquatway.admission._pool import Pool
from kumquatway.admission._refusal import refusal
from kumquatway.admission._ticket import Ticket, Waiting
from kumquatway_core import Reason, Verdict, not_run
from kumquatway_core.text import Account

SWEEP_SECONDS = 0.05
REBUILD_ENTRIES = 64
RETURN_WAIT_SHARE = 0.5
CALLER_GONE = not_run(Reason.CANCELLED, "the caller went away")

Wait = Callable[[anyio.Event], Awaitable[bool]]


@dataclass(frozen=True, kw_only=True, slots=True)
class Limits:
    """
    Bounds of the queues of one entry.

    :param total: requests that wait for one target.
    :param per_account: requests of one account and lane that wait for one target.
    """

    total: int = 2000
    per_account: int = 500


async def wait_for(event: anyio.Event) -> bool:
    """
    Wait for an event, whatever the caller does.

    :param event: set once there is an outcome.
    :return: True.
    """
    await event.wait()
    return True


def whole_share(name: str) -> float:
    """
    Give an entry that stands alone the whole of each limit.

    :param name: the client account.
    :return: 1.0.
    """
    return 1.0


def new_capacity(target: str) -> Capacity:
    """
    Make the default capacity of a target.

    :param target: name of the model or plain service.
    :return: the capacity.
    """
    return Capacity()


class Admission:
    """
    Admits requests by the limits of their accounts and the room of their targets.

    :param lookup: finds an account in the text in force.
    :param share: gives this entry's part of an account's limits, 0 to 1.
    :param capacity: makes the bound on requests in progress of a target.
    :param demand: told the account and cost of each request, admitted or not, in
        seconds of the account's whole rate.
    :param limits: bounds of the queues.
    :param clock: gives the time, seconds.
    :param random: gives a number from 0 to 1, for jitter.
    """

    def __init__(
        self,
        *,
        lookup: Callable[[str], Account | None],
        share: Callable[[str], float] = whole_share,
        capacity: Callable[[str], Capacity] = new_capacity,
        demand: Callable[[str, float], None] | None = None,
        limits: Limits | None = None,
        clock: Callable[[], float] = time.monotonic,
        random: Callable[[], float] = _random.random,
    ):
        self.accounts = Accounts(lookup=lookup, share=share)
        self.capacity = capacity
        self.demand = demand
        self.limits = limits or Limits()
        self.clock = clock
        self.random = random
        self.pools: dict[str, Pool] = {}
        self.latest: list[tuple[float, int, Waiting]] = []
        self.offers = 0

    async def admit(self, ask: Ask, wait: Wait = wait_for) -> Ticket | Verdict:
        """
        Wait until a request may start; a refusal is returned as soon as it is known.

        :param ask: the request.
        :param wait: waits for an event; False if the caller went away meanwhile.
        :return: a ticket to close, or a verdict `NOT_RUN` with `retry_after`.
        """
        event = anyio.Event()
        outcomes: list[Ticket | Verdict] = []

        def wake(outcome: Ticket | Verdict) -> None:
            outcomes.append(outcome)
            event.set()

        offered = self.offer(ask, wake)
        if not isinstance(offered, Waiting):
            return offered
        stays = False
        try:
            stays = await wait(event)
        finally:
            if not stays:
                self.withdraw(offered, outcomes)
        return outcomes[0] if stays else CALLER_GONE

    def offer(
        self, ask: Ask, wake: Callable[[Ticket | Verdict], None]
    ) -> Ticket | Verdict | Waiting:
        """
        Decide on a request at once, without waiting.

        :param ask: the request.
        :param wake: called later with the outcome of a request that waits.
        :return: a ticket, a verdict, or the place in the queue.
        """
        now = self.clock()
        state = self.accounts.get(ask.account, now)
        if state is None:
            return not_run(Reason.UNAUTHORIZED, "unknown client account")
        refused = self._check_account(ask, state, now)
        if refused is not None:
            return refused
        return self._check_pool(ask, state, wake, now)

    def withdraw(self, waiting: Waiting, outcomes: list[Ticket | Verdict]) -> None:
        """
        Give up a request whose caller went away.

        :param waiting: its place in the queue.
        :param outcomes: what `wake` was called with.
        """
        if not waiting.done:
            self._take_out(waiting)
        for outcome in outcomes:
            if isinstance(outcome, Ticket):
                outcome.close()

    def observe(self, target: str, queueing: float) -> None:
        """
        Take in how long a request waited in an engine's queue.

        :param target: name of the model or plain service.
        :param queueing: seconds.
        """
        pool = self._pool(target)
        pool.capacity.observe(queueing, self.clock())
        self._start_waiting(pool)

    def sweep(self) -> None:
        """Refuse waiting requests that would end too late; forget idle accounts."""
        now = self.clock()
        while self.latest and self.latest[0][0] <= now:
            _, _, waiting = heapq.heappop(self.latest)
            if not waiting.done:
                self._refuse_late(waiting, now)
        self.accounts.sweep(now)

    async def run(
        self, sleep: Callable[[float], Awaitable[None]] = anyio.sleep
    ) -> None:
        """
        Sweep until cancelled.

        :param sleep: waits for a number of seconds.
        """
        while True:
            await sleep(SWEEP_SECONDS)
            self.sweep()

    def _check_account(
        self, ask: Ask, state: AccountState, now: float
    ) -> Verdict | None:
        if self.demand is not None:
            self.demand(ask.account, self._demand(ask, state))
        draw = self.random()
        wait = max(
            state.requests.promise(1.0, now, draw),
            state.tokens.promise(ask.tokens(), now, draw),
        )
        if wait > 0:
            return refusal(Reason.LIMITED, "the account's rate is used up", wait)
        if state.running >= state.max_running():
            hold = self._pool(ask.target).mean_hold / state.max_running()
            wait = hold * (1 + draw)
            return refusal(Reason.LIMITED, "too many requests in progress", wait)
        return None

    def _check_pool(
        self,
        ask: Ask,
        state: AccountState,
        wake: Callable[[Ticket | Verdict], None],
        now: float,
    ) -> Ticket | Verdict | Waiting:
        pool = self._pool(ask.target)
        lane = lane_of(ask, state.spec.priority)
        cost = ask.cost()
        hold = pool.hold(cost)
        # With nothing in progress one goes: else a wrong estimate would never mend.
        if now + (hold if pool.running else 0.0) > ask.deadline:
            return not_run(Reason.DEADLINE, "the deadline is too near to run at all")
        waiting = Waiting(
            ask=ask, cost=cost, state=state, pool=pool, lane=lane, wake=wake
        )
        if self._has_room(pool, lane):
            self._enqueue(waiting, now)
            pool.queue.pop(now, status_only=lane is Lane.STATUS)
            return self._start(waiting)
        refused = self._check_queue(waiting, hold, now)
        if refused is not None:
            return refused
        self._enqueue(waiting, now)
        self._watch(waiting, ask.deadline - hold)
        return waiting

    def _check_queue(self, waiting: Waiting, hold: float, now: float) -> Verdict | None:
        pool, lane = waiting.pool, waiting.lane
        ask = waiting.ask
        wait = self._wait(waiting)
        queued = pool.queue.waiting(lane, ask.account)
        # A bound on what is left of the queue keeps room for other accounts.
        room = max(1, (self.limits.total - pool.queue.count) // 2)
        if queued >= min(self.limits.per_account, room):
            return self._overloaded("the account's queue is full", waiting, wait, now)
        if pool.queue.count >= self.limits.total:
            return self._overloaded("the queue is full", waiting, wait, now)
        if now + wait + hold > ask.deadline:
            early = wait - RETURN_WAIT_SHARE * max(0.0, ask.deadline - hold - now)
            return self._overloaded(
                "the deadline cannot be met", waiting, early, now, Reason.DEADLINE
            )
        if wait > MAX_WAIT_SECONDS[lane]:
            # Some margin, so that a small error does not refuse it again.
            early = wait - RETURN_WAIT_SHARE * MAX_WAIT_SECONDS[lane]
            return self._overloaded("the wait is too long", waiting, early, now)
        return None

    def _has_room(self, pool: Pool, lane: Lane) -> bool:
        if lane is Lane.STATUS:
            return pool.free_for_status() and not pool.queue.lanes[lane].queue.count
        return pool.free() and not pool.queue.count

    def _enqueue(self, waiting: Waiting, now: float) -> None:
        state = waiting.state
        state.requests.take(1.0)
        state.tokens.take(waiting.ask.tokens())
        state.running += 1
        account = waiting.ask.account
        waiting.pool.queue.push(waiting.lane, account, state.spec.share, waiting, now)

    def _next(self, pool: Pool, now: float) -> Waiting | None:
        if pool.free():
            return pool.queue.pop(now)
        if pool.free_for_status():
            return pool.queue.pop(now, status_only=True)
        return None

    def _start(self, waiting: Waiting) -> Ticket:
        pool = waiting.pool
        pool.take()
        waiting.done = True
        return Ticket(
            ask=waiting.ask,
            state=waiting.state,
            pool=pool,
            lane=waiting.lane,
            started=self.clock(),
            clock=self.clock,
            after=self._start_waiting,
        )

    def _start_waiting(self, pool: Pool) -> None:
        now = self.clock()
        while (waiting := self._next(pool, now)) is not None:
            if now + pool.hold(waiting.cost) > waiting.ask.deadline:
                pool.queue.refuse(waiting.lane, waiting.ask.account, waiting.cost)
                self._refund(waiting)
                waiting.end(self._late(waiting, now))
            else:
                waiting.end(self._start(waiting))

    def _refuse_late(self, waiting: Waiting, now: float) -> None:
        hold = waiting.pool.hold(waiting.cost)
        if now + hold <= waiting.ask.deadline:
            self._watch(waiting, waiting.ask.deadline - hold)
            return
        self._take_out(waiting)
        waiting.end(self._late(waiting, now))

    def _watch(self, waiting: Waiting, latest: float) -> None:
        if latest == float("inf"):
            return
        self.offers += 1
        heapq.heappush(self.latest, (latest, self.offers, waiting))
        queued = sum(pool.queue.count for pool in self.pools.values())
        if len(self.latest) > 2 * queued + REBUILD_ENTRIES:
            self.latest = [entry for entry in self.latest if not entry[2].done]
            heapq.heapify(self.latest)

    def _take_out(self, waiting: Waiting) -> None:
        waiting.done = True
        waiting.pool.queue.remove(waiting.lane, waiting.ask.account, waiting)
        self._refund(waiting)

    def _refund(self, waiting: Waiting) -> None:
        state = waiting.state
        state.requests.give(1.0)
        state.tokens.give(waiting.ask.tokens())
        state.running -= 1

    def _pool(self, target: str) -> Pool:
        pool = self.pools.get(target)
        if pool is None:
            pool = self.pools[target] = Pool(capacity=self.capacity(target))
        return pool

    def _demand(self, ask: Ask, state: AccountState) -> float:
        spec = state.spec
        requests = max(MIN_RATE_PER_SECOND, spec.requests_per_second)
        tokens = max(MIN_RATE_PER_SECOND, spec.tokens_per_second)
        return max(1.0 / requests, ask.tokens() / tokens)

    def _late(self, waiting: Waiting, now: float) -> Verdict:
        wait = self._wait(waiting)
        detail = "the deadline cannot be met"
        return self._overloaded(detail, waiting, wait, now, Reason.DEADLINE)

    def _wait(self, waiting: Waiting) -> float:
        account, share = waiting.ask.account, waiting.state.spec.share
        pool = waiting.pool
        ahead = pool.queue.ahead(waiting.lane, account, share)
        return (ahead + waiting.cost) / pool.rate()

    def _overloaded(
        self,
        detail: str,
        waiting: Waiting,
        wait: float,
        now: float,
        reason: Reason = Reason.OVERLOADED,
    ) -> Verdict:
        at = waiting.pool.promise(waiting.cost, wait, now, self.random())
        return refusal(reason, detail, at)
