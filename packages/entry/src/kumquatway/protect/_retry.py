"""
Retry.

Sends a request again where that is safe, in time and paid for.
"""

import random as _random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from typing import TypeVar

import anyio

from kumquatway.protect._backoff import backoff
from kumquatway.protect._budget import RetryBudget
from kumquatway_core import MAY_HAVE_RUN, NOT_RUN, Reason, Verdict

MAX_ATTEMPTS = 3

_FINAL = frozenset(
    {
        Reason.BAD_REQUEST,
        Reason.UNAUTHORIZED,
        Reason.NOT_FOUND,
        Reason.TOO_LARGE,
        Reason.KEY_REUSED,
        Reason.LIMITED,
        Reason.DEADLINE,
        Reason.CANCELLED,
    }
)

A = TypeVar("A")


class Avoid:
    """The upstreams tried so far, added to by each attempt as it chooses one."""

    def __init__(self):
        self.upstreams: set[str] = set()

    def add(self, upstream: str) -> None:
        """
        Note the upstream that an attempt goes to.

        :param upstream: its name.
        """
        self.upstreams.add(upstream)

    def prefer(self, upstreams: tuple[str, ...]) -> tuple[str, ...]:
        """
        Leave out what was tried, unless nothing else is there.

        :param upstreams: names that could serve.
        :return: the others, or all if each was tried.
        """
        others = tuple(name for name in upstreams if name not in self.upstreams)
        return others or upstreams


Send = Callable[[int, Avoid], Awaitable[A | Verdict]]


@dataclass(frozen=True, kw_only=True, slots=True)
class RetryPolicy:
    """
    When a request may be sent again.

    :param budget: pays for retries, shared by the requests of an entry.
    :param idempotent: whether running the request twice does no harm.
    :param deadline: when the answer must be there, seconds of `clock`.
    :param attempts: the most attempts, the first among them.
    :param clock: gives the time, seconds.
    :param random: gives a number from 0 to 1, for jitter.
    :param sleep: waits for a number of seconds.
    """

    budget: RetryBudget
    idempotent: bool = False
    deadline: float = float("inf")
    attempts: int = MAX_ATTEMPTS
    clock: Callable[[], float] = time.monotonic
    random: Callable[[], float] = _random.random
    sleep: Callable[[float], Awaitable[None]] = anyio.sleep


async def retry(policy: RetryPolicy, send: Send[A]) -> A | Verdict:
    """
    Send a request until it is answered or may not be sent again.

    :param policy: when it may be sent again.
    :param send: makes one attempt, given its number from 1 and what to avoid.
    :return: the answer, or the verdict over all attempts.
    """
    policy.budget.request()
    avoid = Avoid()
    attempt = 1
    doubt = False
    while True:
        outcome = await send(attempt, avoid)
        if not isinstance(outcome, Verdict):
            return outcome
        doubt = doubt or outcome.ran is MAY_HAVE_RUN
        wait = _wait(policy, outcome, attempt)
        if wait is None:
            return _over_all(outcome, doubt)
        await policy.sleep(wait)
        attempt += 1


def _over_all(last: Verdict, doubt: bool) -> Verdict:
    # An earlier attempt may have run even though the last truly did not.
    return replace(last, ran=MAY_HAVE_RUN) if doubt and last.ran is NOT_RUN else last


def _wait(policy: RetryPolicy, verdict: Verdict, attempt: int) -> float | None:
    if verdict.reason in _FINAL or attempt >= policy.attempts:
        return None
    if not verdict.retry_is_safe(idempotent=policy.idempotent):
        return None
    wait = backoff(attempt, random=policy.random)
    wait = max(wait, verdict.retry_after or 0.0)
    if policy.clock() + wait >= policy.deadline:
        return None
    return wait if policy.budget.take() else None
