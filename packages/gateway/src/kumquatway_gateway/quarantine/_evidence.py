"""
Remembers which requests were in progress when servers crashed, and which got through.
"""

import enum
import time
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

EVIDENCE_SECONDS = 600.0  # for which a crash is remembered
MAX_CRASHES = 64  # that are remembered; the oldest one is dropped first
MAX_SUSPECTS = 16  # requests of one crash, of all entries
MAX_SUSPECT_FEATURES = 64  # of one request
SURVIVAL_SECONDS = 30.0  # survivals count for this time, and up to twice as long
MAX_SURVIVING_FEATURES = 8192  # that are remembered in one such period
MAX_DESCRIBED_FEATURES = 4  # in a log line
MAX_HEARD_SURVIVALS = 100  # that are believed of a peer
# Survivals after which a feature is no longer named as a suspect to other entries.
INNOCENT_SURVIVALS = 3


class Progress(enum.IntEnum):
    """
    How far an answer was when its server ended; the value is the weight of suspicion.

    A request that crashes servers does so as its answer begins. One whose answer was in
    full flow is a bystander.
    """

    FLOWING = 0
    WAITING = 1  # nothing had arrived, or the answer was just past its beginning
    BEGINNING = 2  # the head of the answer had arrived, but none of its content


# Sum of the weights of one request's broken-off answers, after which it is not sent to
# one more server.
MAX_SUSPICION = 2 * Progress.BEGINNING


@dataclass(kw_only=True, slots=True)
class Crash:
    """
    The end of one incarnation of a server, and the requests that may have caused it.

    :param seen_at: when it was first known, monotonic seconds.
    :param updated_at: when this entry last learned of a suspect, monotonic seconds.
    :param suspects: weights of the requests in progress, by their features.
    """

    seen_at: float
    updated_at: float = 0.0
    suspects: dict[frozenset[str], int] = field(default_factory=dict)
    # The highest weight of a request with a feature, by feature.
    weights: dict[str, int] = field(default_factory=dict)

    def add(self, features: frozenset[str], weight: int) -> bool:
        """
        Add a request, or raise its weight; of too many, the lightest is dropped.

        :param features: features of the request.
        :param weight: a value of `Progress`.
        :return: whether this changed anything.
        """
        if not features or self.suspects.get(features, 0) >= weight:
            return False
        self.suspects[features] = weight
        self._raise_weights(features, weight)
        if len(self.suspects) <= MAX_SUSPECTS:
            return True
        lightest = min(self.suspects, key=self.suspects.get)
        del self.suspects[lightest]
        self.weights.clear()
        for names, heaviest in self.suspects.items():
            self._raise_weights(names, heaviest)
        return lightest != features

    def _raise_weights(self, features: frozenset[str], weight: int) -> None:
        for feature in features:
            self.weights[feature] = max(weight, self.weights.get(feature, 0))

    def weight(self, feature: str) -> int:
        """Return the highest weight of a request with a feature, 0 if there is none."""
        return self.weights.get(feature, 0)


class Survivals:
    """
    Counts the recent answers that got past their beginning, by feature.

    Memory is bounded: counts are kept in two periods, and the older one is dropped.

    :param clock: monotonic seconds.
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic):
        self.clock = clock
        self.current: dict[str, int] = {}
        self.previous: dict[str, int] = {}
        self.began_at = clock()

    def record(self, features: Iterable[str]) -> None:
        """Count an answer that got past its beginning while its server lived on."""
        self._rotate()
        for feature in features:
            self.current[feature] = self.current.get(feature, 0) + 1

    def hear(self, feature: str, count: int) -> None:
        """
        Take note of the survivals that a peer counted; the higher count stands.

        :param feature: a feature of requests.
        :param count: what the peer counted.
        """
        missing = min(count, MAX_HEARD_SURVIVALS) - self.count(feature)
        if missing > 0:
            self.current[feature] = self.current.get(feature, 0) + missing

    def count(self, feature: str) -> int:
        """Return the number of recent survivals of requests with a feature."""
        self._rotate()
        return self.current.get(feature, 0) + self.previous.get(feature, 0)

    def _rotate(self) -> None:
        age = self.clock() - self.began_at
        if age < SURVIVAL_SECONDS and len(self.current) < MAX_SURVIVING_FEATURES:
            return
        self.previous = self.current if age < 2 * SURVIVAL_SECONDS else {}
        self.current = {}
        self.began_at = self.clock()


class Evidence:
    """
    The crashes that this entry and its peers saw.

    :param survivals: the survivals that this entry saw.
    :param clock: monotonic seconds.
    """

    def __init__(
        self, *, survivals: Survivals, clock: Callable[[], float] = time.monotonic
    ):
        self.survivals = survivals
        self.clock = clock
        # By ID and incarnation of the server.
        self.crashes: dict[tuple[str, int], Crash] = {}
        # Sums of the weights by feature, None while they are to be computed anew.
        self._totals: Counter[str] | None = None

    def add(
        self,
        server: tuple[str, int],
        suspects: Iterable[tuple[frozenset[str], int]],
        seen_at: float,
    ) -> bool:
        """
        Add what this entry or a peer knows of a crash.

        Of too many features of a request, those that are suspects elsewhere are kept.

        :param server: ID and incarnation of the server.
        :param suspects: features and weights of requests that were in progress there.
        :param seen_at: when the crash was first known, monotonic seconds.
        :return: whether this is news.
        """
        self._drop_old()
        if self.clock() - seen_at > EVIDENCE_SECONDS:
            return False
        crash = self.crashes.get(server)
        if crash is None:
            crash = self.crashes[server] = Crash(seen_at=seen_at)
            if len(self.crashes) > MAX_CRASHES:
                oldest = min(self.crashes, key=lambda key: self.crashes[key].seen_at)
                del self.crashes[oldest]
        news = [
            crash.add(
                self.most_suspect(features, MAX_SUSPECT_FEATURES),
                max(0, min(weight, Progress.BEGINNING)),
            )
            for features, weight in suspects
        ]
        if any(news):
            self._totals = None
            crash.updated_at = self.clock()
        return any(news)

    def most_suspect(self, features: frozenset[str], count: int) -> frozenset[str]:
        """
        Choose the features of a request that weigh most over all crashes.

        :param features: features of a request.
        :param count: highest number of features to choose.
        """
        if len(features) <= count:
            return features
        weights = {feature: self._weight(feature) for feature in features}
        return frozenset(sorted(features, key=lambda f: (-weights[f], f))[:count])

    def surviving_suspects(self, count: int) -> dict[str, int]:
        """
        Return the survivals of the features that got through most often.

        Only features that are suspects of two crashes or more are counted.

        :param count: highest number of features.
        """
        seen = Counter(f for crash in self.crashes.values() for f in crash.weights)
        suspects = [feature for feature, crashes in seen.items() if crashes > 1]
        survivals = {feature: self.survivals.count(feature) for feature in suspects}
        ranked = sorted(survivals.items(), key=lambda item: (-item[1], item[0]))
        return dict(item for item in ranked[:count] if item[1])

    def describe(self, features: frozenset[str]) -> list[tuple[str, int, int]]:
        """
        Return the figures of a request's heaviest features, for a log line.

        :param features: features of a request.
        :return: names, numbers of crashes and of recent survivals.
        """
        return [
            (
                feature,
                sum(feature in crash.weights for crash in self.crashes.values()),
                self.survivals.count(feature),
            )
            for feature in sorted(self.most_suspect(features, MAX_DESCRIBED_FEATURES))
        ]

    def weight(self, features: frozenset[str]) -> float:
        """Return how much the heaviest feature of a request weighs over all crashes."""
        return max(map(self._weight, features), default=0.0)

    def _weight(self, feature: str) -> float:
        if self._totals is None:
            self._totals = Counter()
            for crash in self.crashes.values():
                self._totals.update(crash.weights)
        return self._totals[feature] / (1 + self.survivals.count(feature))

    def without_innocents(self, features: frozenset[str]) -> frozenset[str]:
        """
        Leave out features that often got through, so that peers need not know that.

        :param features: features of a request.
        :return: the rest; all of them if each of them often got through.
        """
        count = self.survivals.count
        rest = frozenset(f for f in features if count(f) < INNOCENT_SURVIVALS)
        return rest or features

    def _drop_old(self) -> None:
        cutoff = self.clock() - EVIDENCE_SECONDS
        for key in [k for k, crash in self.crashes.items() if crash.seen_at < cutoff]:
            del self.crashes[key]
            self._totals = None
