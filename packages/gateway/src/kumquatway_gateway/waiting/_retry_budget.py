"""Limit the retries that all entries together send to a service."""

import time
from collections import deque
from collections.abc import Callable

# Share of the budget that is used: each entry counts only its own requests.
SAFETY_FACTOR = 0.8
LOSS_SHARE = 0.2  # of the budget, kept for requests whose attempts are lost


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

    def allows(self, *, is_lost: bool = True) -> bool:
        """
        Tell whether a retry may be sent now.

        Load pattern: many streams fall silent for a second and go on. What they spend
        on other servers is missing where a server really breaks off its answers, so
        they leave a part of the budget, and at least one retry.

        :param is_lost: whether no attempt of the request may still be answered.
        """
        kept = 0.0 if is_lost else max(1.0, LOSS_SHARE * self._allowed())
        return self.remaining() - kept >= 1

    def try_withdraw(self, *, is_lost: bool = True) -> bool:
        """
        Spend one retry, if the budget allows it.

        :param is_lost: as in `allows`.
        :return: False if it does not.
        """
        if not self.allows(is_lost=is_lost):
            return False
        self.retries.append(self.clock())
        return True
