"""
Capacity.

An adaptive bound on the requests in progress at the back ends of one target.
"""

INTERVAL_SECONDS = 0.5
TARGET_QUEUEING_SECONDS = 0.03
MIN_INCREASE_SHARE = 0.01
MAX_INCREASE_SHARE = 0.25
INCREASE_GROWTH = 1.25
MAX_DECREASE_SHARE = 0.1


class Capacity:
    """
    Raises the limit while it is in use and the engines' queues are short.

    The steps grow while no queue is seen, and are small again after one was.

    :param limit: requests in progress to begin with.
    :param floor: the lowest limit.
    :param ceiling: the highest limit.
    :param now: seconds of the injected clock.
    """

    def __init__(
        self,
        *,
        limit: float = 64.0,
        floor: float = 4.0,
        ceiling: float = 4096.0,
        now: float = 0.0,
    ):
        self.limit = limit
        self.floor = floor
        self.ceiling = ceiling
        self.since = now
        self.lowest: float | None = None
        self.in_use = False
        self.share = MAX_INCREASE_SHARE

    def observe(self, queueing: float, now: float) -> None:
        """
        Take in how long a request waited in an engine's queue.

        :param queueing: seconds.
        :param now: seconds of the injected clock.
        """
        if self.lowest is None or queueing < self.lowest:
            self.lowest = queueing
        if now - self.since >= INTERVAL_SECONDS:
            self._adapt()
            self.since = now

    def used(self, in_progress: int) -> None:
        """
        Note how far the limit is in use.

        :param in_progress: requests.
        """
        if in_progress >= self.limit - 1:
            self.in_use = True

    def _adapt(self) -> None:
        # The lowest of an interval ignores bursts that drain by themselves.
        lowest = self.lowest
        if lowest > TARGET_QUEUEING_SECONDS:
            kept = max(1 - MAX_DECREASE_SHARE, TARGET_QUEUEING_SECONDS / lowest)
            self.limit = max(self.floor, self.limit * kept)
            self.share = MIN_INCREASE_SHARE
        elif self.in_use:
            step = max(1.0, self.limit * self.share)
            self.limit = min(self.ceiling, self.limit + step)
            self.share = min(MAX_INCREASE_SHARE, self.share * INCREASE_GROWTH)
        self.lowest = None
        self.in_use = False
