"""
Budget.

How many repeats of requests the entries together may send to a service.
"""

import time
from collections import deque
from collections.abc import Callable

SAFETY = 0.8  # of the budget, as the entries count apart


class RetryBudget:
    """
    This entry's share of the repeats to one service, over a sliding window.

    :param ratio: repeats for each request.
    :param slack: repeats beside, shared by all entries.
    :param window: seconds.
    :param entries: gives the number of entries that share the budget.
    :param clock: monotonic seconds.
    """

    def __init__(
        self,
        *,
        ratio: float,
        slack: float,
        window: float,
        entry_count: Callable[[], int],
        clock: Callable[[], float] = time.monotonic,
    ):
        self.ratio = ratio
        self.slack = slack
        self.window = window
        self.entry_count = entry_count
        self.clock = clock
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()

    def record_request(self) -> None:
        """Count a first request of a caller."""
        self.requests.append(self.clock())

    def remaining(self) -> float:
        """
        Compute the repeats that may be sent now.

        :return: their number, may be below one.
        """
        return self._allowed() - len(self.retries)

    def remaining_share(self) -> float:
        """
        Compute which share of the budget is left.

        :return: 0 to 1.
        """
        allowed = self._allowed()
        return max(0.0, 1 - len(self.retries) / allowed) if allowed else 0.0

    def _allowed(self) -> float:
        since = self.clock() - self.window
        for times in (self.requests, self.retries):
            while times and times[0] < since:
                times.popleft()
        shared = self.slack / max(1, self.entry_count())
        return SAFETY * (self.ratio * len(self.requests) + shared)

    def try_withdraw(self) -> bool:
        """
        Draw one repeat.

        :return: False if there is none left.
        """
        if self.remaining() < 1:
            return False
        self.retries.append(self.clock())
        return True
