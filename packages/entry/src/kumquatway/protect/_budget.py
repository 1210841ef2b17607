"""
Budget.

How many extra attempts the requests of a short time pay for.
"""

import time
from collections.abc import Callable

SHARE = 0.1
MIN_PER_SECOND = 1.0
WINDOW_SECONDS = 10.0


class RetryBudget:
    """
    A balance that requests pay into and extra attempts draw on.

    :param share: extra attempts per request.
    :param min_per_second: extra attempts paid for when there are few requests.
    :param window: seconds for which an unused balance is kept.
    :param clock: gives the time, seconds.
    """

    def __init__(
        self,
        *,
        share: float = SHARE,
        min_per_second: float = MIN_PER_SECOND,
        window: float = WINDOW_SECONDS,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.share = share
        self.min_per_second = min_per_second
        self.window = window
        self.clock = clock
        self.floor = min_per_second * window
        self.balance = 0.0
        self.stamp = clock()

    def request(self) -> None:
        """Pay in for a first attempt."""
        self._age()
        self.balance += self.share

    def take(self) -> bool:
        """
        Draw one extra attempt.

        :return: False if the budget is used up.
        """
        self._age()
        if self.balance >= 1.0:
            self.balance -= 1.0
            return True
        if self.floor >= 1.0:
            self.floor -= 1.0
            return True
        return False

    def _age(self) -> None:
        now = self.clock()
        passed = now - self.stamp
        self.stamp = now
        self.balance *= max(0.0, 1 - passed / self.window)
        gained = passed * self.min_per_second
        self.floor = min(self.min_per_second * self.window, self.floor + gained)
