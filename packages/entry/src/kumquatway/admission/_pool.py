"""
Pool.

The waiting and the running requests of one target, and how fast they move.
"""

from kumquatway.admission._capacity import Capacity
from kumquatway.admission._classes import Classes

SMOOTHING = 1 / 32
DRAIN_SMOOTHING = 1 / 64
MIN_DRAIN_SAMPLES = 16
STATUS_RESERVE_SHARE = 0.1
JITTER_SHARE = 0.25


class Pool:
    """
    One model's or plain service's part of the entry.

    :param capacity: bounds its requests in progress.
    """

    def __init__(self, *, capacity: Capacity):
        self.capacity = capacity
        self.queue = Classes()
        self.running = 0
        self.finished = 0
        self.mean_cost = 0.0
        self.mean_hold = 0.0
        self.horizon = 0.0
        self.last_end = 0.0
        self.drain_cost = 0.0
        self.drain_time = 0.0
        self.drain_samples = 0

    def free(self) -> bool:
        """
        Tell whether any request may start.

        :return: True if the limit is not reached.
        """
        return self.running < int(self.capacity.limit)

    def free_for_status(self) -> bool:
        """
        Tell whether a status read may start, for which some room is kept.

        :return: True if the limit with its reserve is not reached.
        """
        limit = int(self.capacity.limit)
        return self.running < limit + 1 + int(limit * STATUS_RESERVE_SHARE)

    def take(self):
        """Count a request that starts."""
        self.running += 1
        self.capacity.used(self.running)

    def leave(self, cost: float, hold: float | None, now: float) -> None:
        """
        Count a request that ended.

        :param cost: its estimated cost.
        :param hold: seconds from start to end, None if that says nothing.
        :param now: seconds of the injected clock.
        """
        self.running -= 1
        if hold is not None:
            self._note_hold(cost, hold)
        self._note_drain(cost, now)

    def rate(self) -> float:
        """
        Estimate the service of a full pool.

        :return: cost per second, or infinity while nothing has ended.
        """
        if self.drain_samples >= MIN_DRAIN_SAMPLES and self.drain_time > 0:
            return self.drain_cost / self.drain_time
        # By Little's law until the queue has been seen to drain.
        if self.mean_hold <= 0:
            return float("inf")
        return self.capacity.limit * self.mean_cost / self.mean_hold

    def hold(self, cost: float) -> float:
        """
        Estimate how long a request takes once started.

        :param cost: its estimated cost.
        :return: seconds.
        """
        if self.mean_cost <= 0:
            return 0.0
        return self.mean_hold * cost / self.mean_cost

    def promise(self, cost: float, wait: float, now: float, draw: float) -> float:
        """
        Space out refused requests by the pool's rate.

        :param cost: estimated cost of the refused request.
        :param wait: seconds until the queue would take one more.
        :param now: seconds of the injected clock.
        :param draw: a number from 0 to 1, for jitter.
        :return: seconds from now.
        """
        spacing = cost / self.rate()
        at = max(now + wait, self.horizon) + spacing * JITTER_SHARE * draw
        self.horizon = at + spacing
        return at - now

    def _note_hold(self, cost: float, hold: float) -> None:
        self.finished += 1
        part = max(SMOOTHING, 1 / self.finished)
        self.mean_cost += part * (cost - self.mean_cost)
        self.mean_hold += part * (hold - self.mean_hold)

    def _note_drain(self, cost: float, now: float) -> None:
        if not self.queue.count:
            self.drain_cost = self.drain_time = 0.0
            self.drain_samples = 0
        else:
            passed = now - self.last_end
            self.drain_cost += cost - DRAIN_SMOOTHING * self.drain_cost
            self.drain_time += passed - DRAIN_SMOOTHING * self.drain_time
            self.drain_samples += 1
        self.last_end = now
