"""Order waiting requests by priority, account usage and age."""

from collections.abc import Collection
from dataclasses import dataclass

AGING_SECONDS = 0.4  # waiting time that raises a request by one priority level


@dataclass(frozen=True, kw_only=True, slots=True, eq=False)
class Waiter:
    """
    A request that waits for free capacity.

    :param account: name of the client account, or "" if it is unknown.
    :param priority: priority level; 0 is the most urgent.
    :param tokens: tokens that the request needs.
    :param arrived: time of arrival, monotonic seconds.
    :param deadline: time after which waiting is pointless, monotonic seconds.
    :param prompt_tokens: length of the prompt.
    :param max_output_tokens: highest length of the answer.
    :param begun: whether a server may have run it: to end it here, as far as it gets,
        is better than not to go on.
    :param patient: whether it waits to its deadline however long that is expected to
        take, since its caller has part of the answer and no use for a refusal.
    :param avoid: IDs of servers that it must not use.
    :param only: IDs of the first servers of the chains that it may use; None for any.
    """

    account: str
    priority: int
    tokens: float
    arrived: float
    deadline: float
    prompt_tokens: float = 0.0
    max_output_tokens: float = 0.0
    begun: bool = False
    patient: bool = False
    avoid: frozenset[str] = frozenset()
    only: frozenset[str] | None = None

    @property
    def restriction(self) -> tuple[frozenset[str], frozenset[str] | None]:
        """What keeps the request from some chains; equal for none at all."""
        return self.avoid, self.only

    @property
    def is_restricted(self) -> bool:
        """Whether the request may not use every chain."""
        return bool(self.avoid) or self.only is not None


def _rank(
    waiter: Waiter, priority: float, in_service: dict[str, float]
) -> tuple[float, float, float]:
    """
    Rank by priority, then by the account's tokens in service, then by age.

    Load pattern: one account sends many times its share. Its requests queue behind its
    own requests, while the next request of another account goes first because that
    account has fewer tokens in service. The size of a request is not considered, so
    small requests cannot starve large prompts.
    """
    account_tokens = in_service.get(waiter.account, 0.0)
    return (priority, account_tokens, waiter.arrived)


def next_waiter(
    waiters: Collection[Waiter], in_service: dict[str, float], now: float
) -> Waiter | None:
    """
    Choose the request to admit next.

    Waiting raises the priority of a request at most to that of the most urgent request
    in the queue.

    :param waiters: all waiting requests.
    :param in_service: tokens in service, by account.
    :param now: current time, monotonic seconds.
    :return: the next request, or None if none is waiting.
    """
    most_urgent = min((waiter.priority for waiter in waiters), default=0)

    def key(waiter: Waiter) -> tuple[float, float, float]:
        levels_gained = int((now - waiter.arrived) / AGING_SECONDS)
        return _rank(
            waiter, max(most_urgent, waiter.priority - levels_gained), in_service
        )

    return min(waiters, key=key, default=None)
