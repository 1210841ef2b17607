"""
Bucket.

A token bucket that also says when a refused client may come back.
"""

MIN_LEVEL = 1.0
MIN_RATE_PER_SECOND = 1e-6
ROUNDING = 1e-9
JITTER_SHARE = 0.25


class Bucket:
    """
    A token bucket whose level may fall below 0 for one large request.

    :param rate: tokens refilled per second.
    :param burst: seconds of `rate` that the bucket holds.
    :param now: seconds of the injected clock.
    """

    __slots__ = ("rate", "size", "level", "stamp", "horizon")

    def __init__(self, *, rate: float, burst: float, now: float):
        self.rate = max(MIN_RATE_PER_SECOND, rate)
        self.size = max(MIN_LEVEL, rate * burst)
        self.level = self.size
        self.stamp = now
        self.horizon = now

    def refill(self, now: float) -> None:
        """
        Add what came in since the last call.

        :param now: seconds of the injected clock.
        """
        self.level = min(self.size, self.level + (now - self.stamp) * self.rate)
        self.stamp = now

    def resize(self, rate: float, burst: float) -> None:
        """
        Set another rate, keeping the level within the new size.

        :param rate: tokens refilled per second.
        :param burst: seconds of `rate` that the bucket holds.
        """
        self.rate = max(MIN_RATE_PER_SECOND, rate)
        self.size = max(MIN_LEVEL, rate * burst)
        self.level = min(self.level, self.size)

    def has(self, cost: float) -> bool:
        """
        Tell whether a request may pass; one above the size needs a full bucket.

        :param cost: tokens it would take.
        :return: True if `take` may be called.
        """
        return self.level >= min(cost, self.size) - ROUNDING

    def take(self, cost: float) -> None:
        """
        Charge a request.

        :param cost: tokens to take.
        """
        self.level -= cost

    def give(self, cost: float) -> None:
        """
        Give back what a request did not use, or charge more if negative.

        :param cost: tokens to give back.
        """
        self.level = min(self.size, self.level + cost)

    def promise(self, cost: float, now: float, draw: float) -> float:
        """
        Find when a refused request may pass, behind those already told.

        :param cost: tokens it would take.
        :param now: seconds of the injected clock.
        :param draw: a number from 0 to 1, for jitter.
        :return: seconds from now.
        """
        if self.has(cost):
            return 0.0
        ready = now + (min(cost, self.size) - self.level) / self.rate
        spacing = cost / self.rate
        at = max(ready, self.horizon) + spacing * JITTER_SHARE * draw
        self.horizon = at + spacing
        return at - now
