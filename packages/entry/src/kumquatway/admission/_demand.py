"""
Demand.

What each entry asks for of the accounts' limits, smoothed over time.
"""

import math
from collections.abc import Callable

SMOOTHING_SECONDS = 2.0
FORGET_BELOW = 1e-4


class Demand:
    """
    The demand of the active accounts as a part of their configured rate.

    :param clock: gives the time, seconds.
    """

    def __init__(self, *, clock: Callable[[], float]):
        self.clock = clock
        self.levels: dict[str, float] = {}
        self.stamp = clock()

    def add(self, account: str, cost: float) -> None:
        """
        Count a request, admitted or not.

        :param account: its client account.
        :param cost: seconds of the account's configured rate.
        """
        added = cost / SMOOTHING_SECONDS
        self.levels[account] = self.levels.get(account, 0.0) + added

    def decay(self) -> None:
        """Age all levels and forget the accounts that are idle."""
        now = self.clock()
        kept = math.exp((self.stamp - now) / SMOOTHING_SECONDS)
        self.stamp = now
        self.levels = {
            account: level * kept
            for account, level in self.levels.items()
            if level * kept > FORGET_BELOW
        }
