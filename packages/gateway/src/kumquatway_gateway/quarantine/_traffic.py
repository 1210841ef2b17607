"""
Measures how much of this entry's traffic has a feature, and what got through.
"""

import time
from collections.abc import Callable, Iterable

from kumquatway_gateway.model import may_be_copy

PERIOD_SECONDS = 30.0  # traffic counts for this time, and up to twice that
MAX_FEATURES = 8192  # that are measured in one such period
# For which a request counts at least. One that is sent to a silent server stays there
# for about as long, until the server is avoided.
MIN_ANSWER_SECONDS = 0.5
NEVER = float("-inf")
ALL = ""  # stands for all features


class _Sums:
    """Sums by feature, of the current period and the one before it."""

    def __init__(self):
        self.current: dict[str, float] = {}
        self.previous: dict[str, float] = {}

    def add(self, features: Iterable[str], amount: float) -> None:
        for feature in features:
            self.current[feature] = self.current.get(feature, 0.0) + amount

    def get(self, feature: str) -> float:
        return self.current.get(feature, 0.0) + self.previous.get(feature, 0.0)

    def rotate(self, *, keep: bool) -> None:
        self.previous = self.current if keep else {}
        self.current = {}


class Traffic:
    """
    The requests of this entry, by feature.

    Memory is bounded: measurements are kept in two periods, and the older one is
    dropped. When requests got through is kept for suspects, as crashes may be rare.

    :param clock: monotonic seconds.
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic):
        self.clock = clock
        # Seconds that servers spent on complete answers, on requests that were given up
        # where no end is known, and on those that were lost.
        self.answered = _Sums()
        self.given_up = _Sums()
        self.lost = _Sums()
        # Numbers of requests that left their servers alive, and that did not.
        self.harmless_requests = _Sums()
        self.lost_requests = _Sums()
        self.began_at = clock()
        self.previous_seconds = 0.0
        # Numbers of requests at servers now, by feature and ID of the server.
        self.in_progress: dict[str, dict[str, int]] = {}
        self.survived_at: dict[str, float] = {}  # by feature of suspects
        # Features of suspects that a server answered or outlived since they are.
        self.harmless_suspects: set[str] = set()

    def record_start(self, features: Iterable[str], server: str) -> None:
        """Count a request that is sent to a server."""
        for feature in features:
            servers = self.in_progress.setdefault(feature, {})
            servers[server] = servers.get(server, 0) + 1

    def record_end(self, features: Iterable[str], server: str) -> None:
        """Count a request that is no longer at its server."""
        for feature in features:
            servers = self.in_progress.get(feature, {})
            count = servers.pop(server, 1)
            if count > 1:
                servers[server] = count - 1
            elif not servers:
                self.in_progress.pop(feature, None)

    def requests_in_progress(self, feature: str) -> int:
        """Return how many requests with a feature are at servers now."""
        return sum(self.in_progress.get(feature, {}).values())

    def busy_servers(self, feature: str) -> int:
        """
        Return at how many servers requests with a feature are now.

        Load pattern: a request hangs its servers, and more of the same come to the few
        that are left. Those at one server make it no more likely to be at another one.
        """
        return len(self.in_progress.get(feature, ()))

    def record_harmless(self, features: Iterable[str]) -> None:
        """
        Record that the answer to a request has begun, or that its server outlived it.

        :param features: features of the request.
        """
        self._rotate()
        self.harmless_requests.add((ALL, *features), 1)
        self.harmless_suspects.update(f for f in features if f in self.survived_at)

    def record_given_up(self, features: Iterable[str], seconds: float) -> None:
        """
        Record that a request was given up at a server that is not known to have ended.

        :param features: features of the request.
        :param seconds: how long the server worked on it; negative once it has ended.
        """
        self._rotate()
        self.given_up.add(features, seconds)

    def record_survival(self, features: Iterable[str], seconds: float) -> None:
        """
        Record a complete answer.

        :param features: features of the request.
        :param seconds: how long the server worked on it.
        """
        self._rotate()
        self.answered.add(features, max(seconds, MIN_ANSWER_SECONDS))
        for feature in features:
            self.note_survival(feature)

    def record_loss(self, features: Iterable[str], seconds: float) -> None:
        """
        Record that a server ended while it worked on a request.

        :param features: features of the request.
        :param seconds: how long the server worked on it.
        """
        self._rotate()
        self.lost.add(features, seconds)
        self.lost_requests.add((ALL, *features), 1)

    def note_survival(self, feature: str) -> None:
        """
        Take note that a request with a suspected feature just got through here.

        :param feature: a feature; one of no suspect is ignored.
        """
        if feature in self.survived_at:
            self.survived_at[feature] = self.clock()

    def hear_survival(self, feature: str, age: float) -> None:
        """
        Take note that a request with a suspected feature got through at a peer.

        :param feature: a feature; one of no suspect is ignored.
        :param age: seconds since then.
        """
        at = self.clock() - max(0.0, age)
        if not may_be_copy(at, self.survived_at.get(feature, at)):
            self.survived_at[feature] = at

    def last_survival(self, feature: str) -> float:
        """Return when a request with a suspected feature last got through."""
        return self.survived_at.get(feature, NEVER)

    def answered_seconds(self, feature: str) -> float:
        """Return the time that servers lately spent on complete answers."""
        self._rotate()
        return self.answered.get(feature)

    def given_up_seconds(self, feature: str) -> float:
        """Return the time lately spent on requests given up where no end is known."""
        self._rotate()
        return max(0.0, self.given_up.get(feature))

    def lost_seconds(self, feature: str) -> float:
        """Return the time that servers lately spent on requests as they ended."""
        self._rotate()
        return self.lost.get(feature)

    def is_harmless(self, feature: str) -> bool:
        """Tell whether a server lately, or since the suspicion, outlived a request."""
        self._rotate()
        if feature in self.harmless_suspects:
            return True
        return self.harmless_requests.get(feature) > 0

    def harmless_per_loss(self, feature: str) -> float:
        """Return how many requests without a feature are harmless for each lost one."""
        self._rotate()
        harmless = self.harmless_requests.get(ALL) - self.harmless_requests.get(feature)
        lost = self.lost_requests.get(ALL) - self.lost_requests.get(feature)
        return harmless / (lost + 1)

    def seconds(self) -> float:
        """Return for how long this entry has measured its traffic, seconds."""
        return max(1.0, self.previous_seconds + self.clock() - self.began_at)

    def suspect(self, feature: str) -> None:
        """Remember from now on when requests with a feature get through."""
        self.survived_at.setdefault(feature, NEVER)

    def forget_suspect(self, feature: str) -> None:
        """Do not remember any more when requests with a feature get through."""
        self.survived_at.pop(feature, None)
        self.harmless_suspects.discard(feature)

    def _rotate(self) -> None:
        age = self.clock() - self.began_at
        kept = (self.answered, self.given_up, self.lost, self.harmless_requests)
        size = max(len(sums.current) for sums in kept)
        if age < PERIOD_SECONDS and size < MAX_FEATURES:
            return
        keep = age < 2 * PERIOD_SECONDS
        for sums in (*kept, self.lost_requests):
            sums.rotate(keep=keep)
        self.previous_seconds = age if keep else PERIOD_SECONDS
        self.began_at = self.clock()
