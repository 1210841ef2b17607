"""
Ticket.

The right of an admitted request to run, and the place of one that waits.
"""

from collections.abc import Callable

from kumquatway.admission._accounts import AccountState
from kumquatway.admission._ask import Ask
from kumquatway.admission._classes import Lane
from kumquatway.admission._pool import Pool
from kumquatway_core import Verdict


class Ticket:
    """
    The right to run, held until `close`.

    :param ask: the request.
    :param state: its account.
    :param pool: its target.
    :param lane: its class of service.
    :param started: seconds of the injected clock.
    :param clock: gives the time, seconds.
    :param after: called once the ticket is closed.
    """

    __slots__ = ("ask", "state", "pool", "lane", "started", "clock", "after", "closed")

    def __init__(
        self,
        *,
        ask: Ask,
        state: AccountState,
        pool: Pool,
        lane: Lane,
        started: float,
        clock: Callable[[], float],
        after: Callable[[Pool], None],
    ):
        self.ask = ask
        self.state = state
        self.pool = pool
        self.lane = lane
        self.started = started
        self.clock = clock
        self.after = after
        self.closed = False

    def close(self, served_tokens: int = 0, *, well: bool = True) -> None:
        """
        Settle the charge and let the next request start; later calls do nothing.

        :param served_tokens: prompt and answer tokens that were run.
        :param well: False if it got no answer; its time then says nothing.
        """
        if self.closed:
            return
        self.closed = True
        ask = self.ask
        cost = ask.cost()
        self.state.running -= 1
        self.state.tokens.give(ask.tokens() - served_tokens)
        difference = ask.served_cost(served_tokens) - cost
        self.pool.queue.settle(self.lane, ask.account, difference)
        now = self.clock()
        self.pool.leave(cost, now - self.started if well else None, now)
        self.after(self.pool)


class Waiting:
    """
    A request in the queue of its target.

    :param ask: the request.
    :param cost: its estimated cost.
    :param state: its account.
    :param pool: its target.
    :param lane: its class of service.
    :param wake: called once, with the ticket or the verdict.
    """

    __slots__ = ("ask", "cost", "state", "pool", "lane", "wake", "done")

    def __init__(
        self,
        *,
        ask: Ask,
        cost: float,
        state: AccountState,
        pool: Pool,
        lane: Lane,
        wake: Callable[[Ticket | Verdict], None],
    ):
        self.ask = ask
        self.cost = cost
        self.state = state
        self.pool = pool
        self.lane = lane
        self.wake = wake
        self.done = False

    def end(self, outcome: Ticket | Verdict) -> None:
        """
        Hand over the outcome.

        :param outcome: the ticket or the verdict.
        """
        self.done = True
        self.wake(outcome)
