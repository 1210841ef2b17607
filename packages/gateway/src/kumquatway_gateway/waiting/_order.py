"""
Order.

Which of those that wait goes next.
"""

from collections.abc import Collection, Iterable
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
    deadline: float


def _rank(
    waiter: Waiter, priority: float, in_service: dict[str, float]
) -> tuple[float, float, float]:
    """
    Rank by priority, then the account that is served least, then age.

    Load pattern: one account sends many times its share. Its requests queue behind its
    own; another account's next request goes first, as it has fewer tokens in service.
    Size plays no part, so that large prompts are not starved by small ones.
    """
    served = in_service.get(waiter.account, 0.0)
    return (priority, served, waiter.arrived)


def next_waiter(
    waiters: Collection[Waiter], in_service: dict[str, float], now: float
) -> Waiter | None:
    """
    Choose who goes next.

    Waiting lifts a less urgent request up to the most urgent that waits, not above.

    :param waiters: all that wait.
    :param in_service: tokens in progress by account.
    :param now: monotonic seconds.
    :return: the next, or None where nobody waits.
    """
    most_urgent = min((one.priority for one in waiters), default=0)

    def key(waiter: Waiter) -> tuple[float, float, float]:
        aged = int((now - waiter.arrived) / AGING_SECONDS)
        return _rank(waiter, max(most_urgent, waiter.priority - aged), in_service)

    return min(waiters, key=key, default=None)


def tokens_ahead(
    waiter: Waiter, waiters: Iterable[Waiter], in_service: dict[str, float]
) -> float:
    """
    Sum up what goes before a newcomer.

    :param waiter: the newcomer.
    :param waiters: all that wait.
    :param in_service: tokens in progress by account.
    :return: tokens.
    """
    mine = _rank(waiter, waiter.priority, in_service)
    return sum(
        one.tokens for one in waiters if _rank(one, one.priority, in_service) < mine
    )
