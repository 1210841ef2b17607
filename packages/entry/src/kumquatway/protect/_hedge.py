"""
Hedge.

A second attempt at a slow status read, within a budget.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

import anyio

from kumquatway.protect._budget import RetryBudget
from kumquatway.protect._retry import Avoid, Send
from kumquatway_core import Verdict

HEDGE_SHARE = 0.05
HEDGE_MIN_PER_SECOND = 0.5

A = TypeVar("A")


@dataclass(frozen=True, kw_only=True, slots=True)
class HedgePolicy:
    """
    When a status read is sent a second time.

    :param budget: pays for second attempts.
    :param status_read: whether the request is an idempotent status read.
    :param delay: seconds without an answer, about the p95 of the reads.
    """

    budget: RetryBudget
    status_read: bool
    delay: float


def hedge_budget(clock: Callable[[], float]) -> RetryBudget:
    """
    Make the budget that the hedges of an entry share.

    :param clock: gives the time, seconds.
    :return: the budget.
    """
    return RetryBudget(
        share=HEDGE_SHARE, min_per_second=HEDGE_MIN_PER_SECOND, clock=clock
    )


async def hedge(policy: HedgePolicy, send: Send[A]) -> A | Verdict:
    """
    Send a status read, and once more if it is slow; the first answer wins.

    :param policy: when it is sent a second time.
    :param send: makes one attempt, given its number from 1 and what to avoid.
    :return: the first answer, or the last verdict if no attempt is answered.
    """
    avoid = Avoid()
    if not policy.status_read:
        return await send(1, avoid)
    policy.budget.request()
    outcomes: list[A | Verdict] = []
    ended = anyio.Event()

    async with anyio.create_task_group() as tasks:

        async def attempt(number: int) -> None:
            outcome = await send(number, avoid)
            outcomes.append(outcome)
            ended.set()
            if not isinstance(outcome, Verdict):
                tasks.cancel_scope.cancel()

        tasks.start_soon(attempt, 1)
        with anyio.move_on_after(policy.delay):
            await ended.wait()
        if not outcomes and policy.budget.take():
            tasks.start_soon(attempt, 2)
    answers = [one for one in outcomes if not isinstance(one, Verdict)]
    return answers[0] if answers else outcomes[-1]
