"""
Measures how much of this entry's traffic has a feature, and what got through.
"""

import time
from collections.abc import Callable, Iterable

PERIOD_SECONDS = 30.0  # traffic counts for this time, and up to twice that
MAX_FEATURES = 8192  # that are measured in one such period
NEVER = float("-inf")


class Traffic:
    """
    The requests of this entry, by feature.

    Memory is bounded: measurements are kept in two periods, and the older one is
    dropped. When requests got through is kept for suspects, as crashes may be rare.

    :param clock: monotonic seconds.
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic):
        self.clock = clock
        # Seconds that servers spent on requests.
        self.current: dict[str, float] = {}
        self.previous: dict[str, float] = {}
        self.began_at = clock()
        self.previous_seconds = 0.0
        self.in_progress: dict[str, int] = {}
        self.survived_at: dict[str, float] = {}  # by feature of suspects

    def record_start(self, features: Iterable[str]) -> None:
        """Count a request that is sent to a server."""
        for feature in features:
            self.in_progress[feature] = self.in_progress.get(feature, 0) + 1

    def record_end(self, features: Iterable[str]) -> None:
        """Count a request that is no longer at its server."""
        for feature in features:
            left = self.in_progress.get(feature, 0) - 1
            if left > 0:
                self.in_progress[feature] = left
            else:
                self.in_progress.pop(feature, None)

    def record_survival(self, features: Iterable[str], seconds: float) -> None:
        """
        Record a complete answer.

        :param features: features of the request.
        :param seconds: how long the server worked on it.
        """
        self.record_work(features, seconds)
        for feature in features:
            self.hear_survival(feature, 0.0)

    def record_work(self, features: Iterable[str], seconds: float) -> None:
        """
        Count the time that a server worked on a request, with or without an answer.

        :param features: features of the request.
        :param seconds: the time.
        """
        self._rotate()
        for feature in features:
            self.current[feature] = self.current.get(feature, 0.0) + seconds

    def hear_survival(self, feature: str, age: float) -> None:
        """
        Take note that a request with a suspected feature got through.

        :param feature: a feature; one of no suspect is ignored.
        :param age: seconds since then.
        """
        at = self.clock() - max(0.0, age)
        if at > self.survived_at.get(feature, at):
            self.survived_at[feature] = at

    def last_survival(self, feature: str) -> float:
        """Return when a request with a suspected feature last got through."""
        return self.survived_at.get(feature, NEVER)

    def busy_seconds(self, feature: str) -> float:
        """Return the time that servers lately spent on requests with a feature."""
        self._rotate()
        return self.current.get(feature, 0.0) + self.previous.get(feature, 0.0)

    def seconds(self) -> float:
        """Return for how long this entry has measured its traffic, seconds."""
        return max(1.0, self.previous_seconds + self.clock() - self.began_at)

    def suspect(self, feature: str) -> None:
        """Remember from now on when requests with a feature get through."""
        self.survived_at.setdefault(feature, NEVER)

    def forget_suspect(self, feature: str) -> None:
        """Do not remember any more when requests with a feature get through."""
        self.survived_at.pop(feature, None)

    def _rotate(self) -> None:
        age = self.clock() - self.began_at
        if age < PERIOD_SECONDS and len(self.current) < MAX_FEATURES:
            return
        if age < 2 * PERIOD_SECONDS:
            self.previous, self.previous_seconds = self.current, age
        else:
            self.previous, self.previous_seconds = {}, PERIOD_SECONDS
        self.current = {}
        self.began_at = self.clock()
