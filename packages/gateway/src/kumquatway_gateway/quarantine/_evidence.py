"""
Remembers which requests were in progress when servers crashed.
"""

import random
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from kumquatway_gateway.quarantine._features import find_identity
from kumquatway_gateway.quarantine._traffic import NEVER, Traffic

EVIDENCE_SECONDS = 3600.0  # for which a crash is remembered
MAX_CRASHES = 64  # that are remembered
MAX_SUSPECTS = 32  # requests of one crash, of all entries
MAX_SUSPECT_FEATURES = 16  # of one request
MAX_SECONDS = 3600.0  # of a suspect, as a peer says
# Of the oldest crashes, one of these is dropped first that may be a coincidence.
DROP_CANDIDATES = 8
MAX_DESCRIBED_FEATURES = 4  # in a log line

CrashKey = tuple[str, int]  # ID and incarnation of the server


@dataclass(frozen=True, kw_only=True, slots=True)
class Suspect:
    """
    A request that was in progress at a server when it ended.

    :param features: features of the request, its identity among them.
    :param seconds: how long it had been at that server. The longer, the more likely it
        was there by chance.
    :param beginning: whether the head of its answer had arrived and nothing else. Few
        requests are at that moment by chance.
    :param attempt: tells a caller's attempt from others for the same, "" if unknown.
    :ivar name: is the same whichever of the features are known.
    """

    features: frozenset[str]
    seconds: float
    beginning: bool = False
    attempt: str = ""
    name: str = field(init=False)

    def __post_init__(self):
        name = find_identity(self.features) or " ".join(sorted(self.features))
        object.__setattr__(self, "name", name)

    def merge(self, other: "Suspect") -> "Suspect":
        """Return what both know of the same request."""
        features = self.features | other.features
        if len(features) > MAX_SUSPECT_FEATURES:
            features = self.features
        return Suspect(
            features=features,
            seconds=max(self.seconds, other.seconds),
            beginning=self.beginning or other.beginning,
            attempt=self.attempt or other.attempt,
        )


@dataclass(kw_only=True, slots=True, eq=False)
class Crash:
    """
    The end of one incarnation of a server, and the requests that may have caused it.

    :param seen_at: when it was first known, monotonic seconds.
    :param updated_at: when this entry last learned of a suspect, monotonic seconds.
    :param suspects: the requests in progress, by name.
    """

    seen_at: float
    updated_at: float = 0.0
    suspects: dict[str, Suspect] = field(default_factory=dict)
    # The suspects with each feature, None while they are to be collected anew.
    _by_feature: dict[str, list[Suspect]] | None = None

    def put(self, suspect: Suspect) -> None:
        """Add a suspect, or replace what was known of it."""
        self.suspects[suspect.name] = suspect
        self._by_feature = None

    def remove(self, suspect: Suspect) -> None:
        """Remove a suspect."""
        del self.suspects[suspect.name]
        self._by_feature = None

    def with_feature(self, feature: str) -> list[Suspect]:
        """Return the suspects that have a feature."""
        if self._by_feature is None:
            self._by_feature = {}
            for suspect in self.suspects.values():
                for each in suspect.features:
                    self._by_feature.setdefault(each, []).append(suspect)
        return self._by_feature.get(feature, [])


class Evidence:
    """
    The crashes that this entry and its peers saw.

    :param traffic: the requests of this entry, and which got through.
    :param clock: monotonic seconds.
    """

    def __init__(
        self, *, traffic: Traffic, clock: Callable[[], float] = time.monotonic
    ):
        self.traffic = traffic
        self.clock = clock
        self.crashes: dict[CrashKey, Crash] = {}
        self.by_feature: dict[str, set[CrashKey]] = {}
        # Returns how much it tells that a feature was at a crash: less if it often is
        # in progress at servers.
        self.rarity: Callable[[str], float] = lambda feature: 1.0
        # Features that were at a crash in a request of this entry.
        self.seen_here: set[str] = set()

    def add(
        self,
        server: CrashKey,
        suspects: Iterable[Suspect],
        seen_at: float,
        *,
        here: bool = False,
    ) -> bool:
        """
        Add what this entry or a peer knows of a crash.

        Of too many features of a request, those that are suspects elsewhere are kept.

        :param server: ID and incarnation of the server.
        :param suspects: requests that were in progress there.
        :param seen_at: when the crash was first known, monotonic seconds.
        :param here: whether these were requests of this entry.
        :return: whether this is news.
        """
        self._drop_old()
        if self.clock() - seen_at > EVIDENCE_SECONDS:
            return False
        suspects = list(suspects)
        crash = self.crashes.get(server)
        if crash is None:
            crash = self.crashes[server] = Crash(seen_at=seen_at)
        news = [self._add_suspect(server, crash, suspect) for suspect in suspects]
        if any(news):
            crash.updated_at = self.clock()
        if here:
            known = (crash.suspects.get(suspect.name) for suspect in suspects)
            self.seen_here.update(*(each.features for each in known if each))
        while len(self.crashes) > MAX_CRASHES:
            self.drop(self._least_telling(server))
        return any(news)

    def _add_suspect(self, server: CrashKey, crash: Crash, suspect: Suspect) -> bool:
        suspect = Suspect(
            features=self.most_suspect(suspect.features, MAX_SUSPECT_FEATURES),
            seconds=max(0.0, min(suspect.seconds, MAX_SECONDS)),
            beginning=suspect.beginning,
            attempt=suspect.attempt,
        )
        if not suspect.features:
            return False
        known = crash.suspects.get(suspect.name)
        merged = suspect if known is None else known.merge(suspect)
        if merged == known:
            return False
        crash.put(merged)
        for feature in merged.features:
            self.by_feature.setdefault(feature, set()).add(server)
            self.traffic.suspect(feature)
        if len(crash.suspects) <= MAX_SUSPECTS:
            return True
        least = min(crash.suspects.values(), key=self.interest)
        self._drop_suspect(server, crash, least)
        return least is not merged

    def interest(self, suspect: Suspect) -> tuple[bool, float, float]:
        """Return a key that sorts suspects by what to remember and tell peers first."""
        return (suspect.beginning, self.suspicion(suspect.features), -suspect.seconds)

    def suspicion(self, features: Iterable[str]) -> float:
        """
        Return how suspicious a request is.

        :param features: features of the request.
        :return: the number of crashes, weighted, at which one of its features was.
        """
        return max(map(self._suspicion, features), default=0.0)

    def _suspicion(self, feature: str) -> float:
        crashes = len(self.crashes_of(feature))
        return crashes * self.rarity(feature) if crashes else 0.0

    def crashes_of(self, feature: str) -> set[CrashKey]:
        """
        Return the crashes at which a feature was since a request with it got through.

        :param feature: a feature of requests.
        """
        keys = self.by_feature.get(feature)
        if not keys:
            return set()
        last = self.traffic.last_survival(feature)
        if last == NEVER:
            return keys
        return {key for key in keys if self.crashes[key].seen_at > last}

    def _drop_suspect(self, server: CrashKey, crash: Crash, suspect: Suspect) -> None:
        crash.remove(suspect)
        for feature in suspect.features:
            if not crash.with_feature(feature):
                self._drop_from_index(feature, server)

    def _drop_from_index(self, feature: str, server: CrashKey) -> None:
        keys = self.by_feature[feature]
        keys.discard(server)
        if not keys:
            del self.by_feature[feature]
            self.seen_here.discard(feature)
            self.traffic.forget_suspect(feature)

    def drop(self, server: CrashKey) -> None:
        """
        Forget a crash.

        :param server: ID and incarnation of the server.
        """
        crash = self.crashes.pop(server)
        features = {f for s in crash.suspects.values() for f in s.features}
        for feature in features:
            self._drop_from_index(feature, server)

    def _least_telling(self, newest: CrashKey) -> CrashKey:
        """
        Choose the crash to drop: an old one whose requests were at no other crash.

        Load pattern: many servers end for other reasons between two crashes by the same
        request.
        """
        others = (key for key in self.crashes if key != newest)
        by_age = sorted(others, key=lambda key: self.crashes[key].seen_at)
        oldest = by_age[:DROP_CANDIDATES]
        return min(oldest, key=self._most_suspicion)

    def _most_suspicion(self, server: CrashKey) -> float:
        suspects = self.crashes[server].suspects.values()
        return max((self.suspicion(s.features) for s in suspects), default=0.0)

    def most_suspect(self, features: frozenset[str], count: int) -> frozenset[str]:
        """
        Choose the most suspicious features of a request, and its identity.

        :param features: features of a request.
        :param count: highest number of features to choose.
        """
        if len(features) <= count:
            return features
        identity = find_identity(features)
        ranked = sorted(features, key=lambda f: (f != identity, -self._suspicion(f), f))
        return frozenset(ranked[:count])

    def surviving_suspects(self, count: int) -> dict[str, float]:
        """
        Choose features of suspects that got through, to tell a peer of.

        Only features that were at two crashes or more are chosen, at random.

        :param count: highest number of features.
        :return: seconds since a request with each feature last got through.
        """
        now = self.clock()
        survived = {
            feature: now - self.traffic.last_survival(feature)
            for feature, keys in self.by_feature.items()
            if len(keys) > 1 and self.traffic.last_survival(feature) != NEVER
        }
        chosen = random.sample(sorted(survived), min(count, len(survived)))
        return {feature: survived[feature] for feature in chosen}

    def describe(self, features: frozenset[str]) -> list[tuple[str, int]]:
        """
        Return a request's most suspect features, for a log line.

        :param features: features of a request.
        :return: names, and numbers of crashes since they last got through.
        """
        chosen = self.most_suspect(features, MAX_DESCRIBED_FEATURES)
        return [(feature, len(self.crashes_of(feature))) for feature in sorted(chosen)]

    def _drop_old(self) -> None:
        cutoff = self.clock() - EVIDENCE_SECONDS
        for key in [k for k, crash in self.crashes.items() if crash.seen_at < cutoff]:
            self.drop(key)
