"""Keep waiting requests such that the next one is found without a look at each."""

from bisect import bisect_left, insort
from collections.abc import Collection, Iterator
from typing import Generic, TypeVar

from kumquatway_gateway.waiting._order import Waiter, next_waiter

T = TypeVar("T")


class _Group:
    """
    Requests of one account, priority and restriction, the oldest first.

    :param waiter: the first request of the group, which is not added.
    :ivar entries: time of arrival, number and request of each.
    :ivar tokens: sum of their tokens.
    """

    __slots__ = ("account", "entries", "is_restricted", "priority", "tokens")

    def __init__(self, waiter: Waiter):
        self.account = waiter.account
        self.priority = waiter.priority
        self.is_restricted = waiter.is_restricted
        self.entries: list[tuple[float, int, Waiter]] = []
        self.tokens = 0.0

    def tokens_before(self, arrived: float) -> float:
        """Sum up the tokens of the requests that arrived before a time."""
        end = bisect_left(self.entries, (arrived,))
        later = sum(waiter.tokens for _, _, waiter in self.entries[end:])
        return self.tokens - later


class WaitingRequests(Generic[T]):
    """
    The requests that wait, each with a value.

    Of requests with the same account, priority and restriction the oldest one is always
    first. So what it costs to find the next one grows with the number of such groups.

    Load pattern: hundreds of requests of few accounts wait, and as many end at once.
    """

    def __init__(self):
        self._count = 0
        self._values: dict[Waiter, tuple[tuple[float, int, Waiter], T]] = {}
        self._groups: dict[tuple, _Group] = {}

    def __len__(self) -> int:
        return len(self._values)

    def __iter__(self) -> Iterator[Waiter]:
        return iter(self._values)

    def add(self, waiter: Waiter, value: T) -> None:
        """
        Add a request.

        :param waiter: one that does not wait yet.
        :param value: returned as it is removed.
        """
        entry = (waiter.arrived, self._count, waiter)
        self._count += 1
        self._values[waiter] = (entry, value)
        key = _group_key(waiter)
        group = self._groups.get(key)
        if group is None:
            group = self._groups[key] = _Group(waiter)
        insort(group.entries, entry)
        group.tokens += waiter.tokens

    def remove(self, waiter: Waiter) -> T | None:
        """
        Remove a request.

        :return: its value, or None if it does not wait.
        """
        entry, value = self._values.pop(waiter, (None, None))
        if entry is None:
            return None
        key = _group_key(waiter)
        group = self._groups[key]
        del group.entries[bisect_left(group.entries, entry)]
        group.tokens -= waiter.tokens
        if not group.entries:
            del self._groups[key]
        return value

    def next(
        self, in_service: dict[str, float], now: float, unmet: Collection[tuple] = ()
    ) -> Waiter | None:
        """
        Choose the request to admit next, as `next_waiter` does.

        :param in_service: tokens in service, by account.
        :param now: current time, monotonic seconds.
        :param unmet: restrictions of requests that are left out.
        :return: the request, or None if there is no other one.
        """
        first = [
            group.entries[0]
            for (restriction, _, _), group in self._groups.items()
            if restriction not in unmet
        ]
        first.sort()
        return next_waiter([waiter for _, _, waiter in first], in_service, now)

    def tokens_ahead(self, waiter: Waiter, in_service: dict[str, float]) -> float:
        """
        Sum up the tokens of the requests that rank before a new one, without aging.

        :param waiter: the new request.
        :param in_service: tokens in service, by account.
        :return: tokens.
        """
        rank = (waiter.priority, in_service.get(waiter.account, 0.0))
        tokens = 0.0
        for group in self._groups.values():
            group_rank = (group.priority, in_service.get(group.account, 0.0))
            if group_rank < rank:
                tokens += group.tokens
            elif group_rank == rank:
                tokens += group.tokens_before(waiter.arrived)
        return tokens

    def are_all_restricted(self) -> bool:
        """Tell whether each request may not use some chains."""
        return all(group.is_restricted for group in self._groups.values())

    def one_of_each_restriction(self) -> list[Waiter]:
        """Return a request for each restriction."""
        found = {
            restriction: group.entries[0][2]
            for (restriction, _, _), group in self._groups.items()
        }
        return list(found.values())


def _group_key(waiter: Waiter) -> tuple[tuple, str, int]:
    return waiter.restriction, waiter.account, waiter.priority
