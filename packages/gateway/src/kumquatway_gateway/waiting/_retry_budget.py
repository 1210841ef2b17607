"""Limit the retries that all entries together send to a service."""

import time
from collections import deque
from collections.abc import Callable

# Share of the budget that is used: each entry counts only its own requests.
SAFETY_FACTOR = 0.8


class RetryBudget:
    """
    This entry's share of the retries to one service, over a sliding window.

    :param ratio: retries allowed for each request.
    :param slack: retries allowed in addition, divided among all entries.
    :param window: length of the window, seconds.
    :param entry_count: returns the number of entries that share the budget.
    :param clock: returns monotonic seconds.
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
        """Count a caller's request, without its retries."""
        self.requests.append(self.clock())

    def remaining(self) -> float:
        """
        Compute how many retries may be sent now.

        :return: number of retries, with a fraction; negative if overspent.
        """
        return self._allowed() - len(self.retries)

    def remaining_share(self) -> float:
        """
        Compute the share of the budget that is left.

        :return: share from 0 to 1.
        """
        allowed = self._allowed()
        return max(0.0, 1 - len(self.retries) / allowed) if allowed else 0.0

    def _allowed(self) -> float:
        start = self.clock() - self.window
        for times in (self.requests, self.retries):
            while times and times[0] < start:
                times.popleft()
        slack_share = self.slack / max(1, self.entry_count())
        return SAFETY_FACTOR * (self.ratio * len(self.requests) + slack_share)

    def try_withdraw(self) -> bool:
        """
        Spend one retry, if the budget allows it.

        :return: False if less than one retry is left.
        """
        if self.remaining() < 1:
            return False
        self.retries.append(self.clock())
        return True
