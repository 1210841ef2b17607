"""Computes how many requests a rate allows."""

import time
from collections.abc import Callable

BURST_SECONDS = 0.1  # of the rate, in addition to one request


class RateBucket:
    """
    A token bucket whose rate may change at any time.

    :param clock: monotonic seconds.
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic):
        self.clock = clock
        self.level = 1.0
        self._filled_at = clock()

    def take(self, count: int, rate: float) -> int:
        """
        Take requests from the bucket.

        :param count: how many are wanted.
        :param rate: requests per second since the last call.
        :return: how many may be sent.
        """
        now = self.clock()
        filled = self.level + rate * max(0.0, now - self._filled_at)
        self.level = min(filled, 1.0 + BURST_SECONDS * rate)
        self._filled_at = now
        # The sum of many small refills may stay just below a whole request.
        taken = min(count, int(self.level + 1e-9))
        self.level = max(0.0, self.level - taken)
        return taken

    def seconds_to_next(self, rate: float) -> float:
        """
        Return how long it takes until the next request may be sent.

        :param rate: requests per second.
        :return: seconds.
        """
        return max(0.0, 1.0 - self.level) / rate
