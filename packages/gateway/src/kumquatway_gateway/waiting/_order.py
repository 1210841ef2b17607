"""
Order.

Which of those that wait goes next.
"""

from collections.abc import Iterable
from dataclasses import dataclass

AGING_SECONDS = 0.4  # of waiting that make up for one step of priority


@dataclass(frozen=True, kw_only=True, slots=True, eq=False)
class Waiter:
    """
    A request that waits for room.

    :param account: whose it is, "" where nobody is known.
    :param priority: 0 is the most urgent.
    :param tokens: that it needs.
    :param arrived: monotonic seconds.
    :param give_up: until when waiting makes sense, monotonic seconds.
    """

    account: str
    priority: int
    tokens: float
    arrived: float
    give_up: float


def next_waiter(
    waiters: Iterable[Waiter], in_service: dict[str, float], now: float
) -> Waiter | None:
    """
    Choose by priority with aging, then the account that is served least, then age.

    Load pattern: one account sends many times its share. Its requests queue behind its
    own; another account's next request goes first, as it has fewer tokens in service.
    Size plays no part, so that large prompts are not starved by small ones.

    :param waiters: all that wait.
    :param in_service: tokens in progress by account.
    :param now: monotonic seconds.
    :return: the next, or None where nobody waits.
    """

    def rank(waiter: Waiter) -> tuple[float, float, float]:
        aged = int((now - waiter.arrived) / AGING_SECONDS)
        served = in_service.get(waiter.account, 0.0)
        return (waiter.priority - aged, served, waiter.arrived)

    return min(waiters, key=rank, default=None)
