"""
Decides which features of requests crash servers.
"""

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from kumquatway_gateway.quarantine._evidence import CrashKey, Evidence, Suspect
from kumquatway_gateway.quarantine._features import find_identity, is_identity
from kumquatway_gateway.quarantine._traffic import NEVER

# Crashes of different servers or incarnations, since a request with the feature got
# through.
MIN_CRASHES = 3
# Attempts of callers among them. A request that moves from one server to the next one
# may be at several crashes by chance, but does not come again.
MIN_ATTEMPTS = 2
# Odds against chance, as a natural logarithm; and for what is more likely a bystander:
# a part that many requests may share, or a request that did not come again.
MIN_SCORE = math.log(1e5)
MIN_SCORE_OF_BYSTANDER = math.log(1e8)
# Of the crashes that have no known cause yet, if others have one that is narrower.
MIN_FURTHER_SCORE = math.log(1e3)
# By which one explanation must be better than another one of the same crashes.
MIN_LEAD = math.log(20.0)
# Crashes beyond those that it takes, after which explanations that cannot be told apart
# are all believed.
DOUBTFUL_CRASHES = 2
MIN_PERIOD_SECONDS = 30.0  # over which the ends of servers are counted
RESOLUTION_SECONDS = 0.1  # of the time of a crash
MIN_CHANCE = 1e-3  # that a request of which there are few is at a server

# The share of requests that are at the beginning of their answers.
BEGINNING_SHARE = 0.05

# Features of the requests at each crash that are known to have caused it.
Guilty = Mapping[CrashKey, Collection[str]]
_Suspects = Mapping[CrashKey, tuple[Suspect, ...]]


@dataclass(frozen=True, kw_only=True, slots=True)
class Surroundings:
    """
    What the traffic of this entry is compared with.

    :param servers: number of servers.
    :param entries: number of entries, which send about as many requests each.
    """

    servers: int
    entries: int


@dataclass(frozen=True, kw_only=True, slots=True)
class _Explanation:
    """
    A feature that may have caused some crashes.

    :param suspects: the requests with the feature at each crash.
    :param score: how unlikely it is that they were there by chance.
    """

    feature: str
    suspects: _Suspects
    score: float

    def requests(self) -> frozenset[tuple[CrashKey, str]]:
        """Return the crashes and the names of the requests."""
        return frozenset((k, s.name) for k, each in self.suspects.items() for s in each)

    def is_enough(self, more: int = 0) -> bool:
        """
        Tell whether there is enough to decide by.

        :param more: crashes beyond these that are asked for.
        """
        crashes = len(self.suspects) - more
        if crashes < MIN_CRASHES:
            return False
        if self.comes_again():
            return True
        if self.score < MIN_SCORE_OF_BYSTANDER:
            return False
        beginnings = sum(any(s.beginning for s in e) for e in self.suspects.values())
        many = crashes >= MIN_CRASHES + DOUBTFUL_CRASHES
        if is_identity(self.feature):
            return many or beginnings >= MIN_CRASHES
        names = {suspect.name for each in self.suspects.values() for suspect in each}
        if many:
            return len(names) > 1
        return beginnings >= MIN_CRASHES and len(names) >= MIN_CRASHES

    def comes_again(self) -> bool:
        """Tell whether the same request came more than once."""
        return _comes_again(self.feature, self.suspects)


def find_culprits(
    evidence: Evidence,
    newest: CrashKey,
    guilty: Guilty,
    surroundings: Surroundings,
    *,
    settled: bool = True,
) -> set[frozenset[str]]:
    """
    Find the features that explain a crash, beside others before it.

    Load pattern: a request crashes each server that runs it, and comes again at any
    entry; or different requests do that share a part of their prompts. Others are in
    progress on each server that crashes, move together to the next one, and share
    account, path and parts of prompts with them.

    Load pattern: servers end of themselves, some of them often. Requests that take long
    are on several of these, and what many requests share is on all. Only an entry that
    had such a request itself decides, as it also knows how frequent they are.

    The feature is blamed whose requests were least likely there by chance. If another
    one explains the same crashes nearly as well, neither is blamed until the next crash
    or survival tells them apart. Of a feature and a narrower one that was at the same
    crashes, the narrower one is blamed.

    :param evidence: crashes, and the requests of this entry.
    :param newest: the crash that became known, or of which more became known.
    :param guilty: crashes whose cause is known.
    :param surroundings: number of servers and of entries.
    :param settled: whether peers have told what they know of the crash. Until then,
        only a request that came again is blamed.
    :return: sets of features; a request with all features of a set crashes servers.
    """
    crash = evidence.crashes.get(newest)
    if crash is None:
        return set()
    features = {f for suspect in crash.suspects.values() for f in suspect.features}
    explained = [
        _explain(evidence, feature, newest, guilty, surroundings)
        for feature in features
    ]
    found = [each for each in explained if each is not None]
    return {
        _signature(evidence, each)
        for each in _choose(found)
        if each.feature in evidence.seen_here and (settled or each.comes_again())
    }


def _choose(found: list[_Explanation]) -> list[_Explanation]:
    """Choose the best explanation, unless another one is nearly as good."""
    if not found:
        return []
    highest = max(each.score for each in found)
    # Of features that the same requests have, their identity says most.
    near = {
        each.requests(): each
        for each in sorted(found, key=lambda each: is_identity(each.feature))
        if each.score > highest - MIN_LEAD
    }
    narrowest = {
        requests: each
        for requests, each in near.items()
        if not any(other < requests for other in near)
    }
    if len(narrowest) > 1:
        return [e for e in narrowest.values() if e.is_enough(DOUBTFUL_CRASHES)]
    [(requests, best)] = narrowest.items()
    if best.is_enough():
        return [best]
    # Too few requests share it, but one of them may have come often enough.
    return _choose([each for each in found if each.requests() < requests])


def _comes_again(feature: str, suspects: _Suspects) -> bool:
    attempts = {suspect.attempt for each in suspects.values() for suspect in each}
    return is_identity(feature) and len(attempts) >= MIN_ATTEMPTS


def _explain(
    evidence: Evidence,
    feature: str,
    newest: CrashKey,
    guilty: Guilty,
    surroundings: Surroundings,
) -> _Explanation | None:
    """Return a feature as an explanation of its crashes, or None if it is none."""
    keys = [
        k for k in evidence.crashes_of(feature) if feature in guilty.get(k, (feature,))
    ]
    further = [key for key in keys if key not in guilty]
    if newest not in further or len(keys) < MIN_CRASHES:
        return None
    suspects = {k: tuple(evidence.crashes[k].with_feature(feature)) for k in keys}

    others = [
        crash.seen_at
        for key, crash in evidence.crashes.items()
        if key not in suspects and key not in guilty
    ]
    again = _comes_again(feature, suspects)
    rare = rarity(evidence, feature, surroundings, comes_again=again)

    def score(keys: Collection[CrashKey]) -> float:
        chosen = {key: suspects[key] for key in keys}
        began_at = min(
            evidence.crashes[key].seen_at - max(suspect.seconds for suspect in each)
            for key, each in chosen.items()
        )
        meanwhile = sum(at >= began_at for at in others)
        by_traffic = len(keys) * rare - _log_choices(len(keys), meanwhile)
        seconds = evidence.clock() - began_at
        period = max(MIN_PERIOD_SECONDS, seconds)
        recent = sum(at >= evidence.clock() - period for at in others)
        rate = max((recent + 1) / period, meanwhile / max(RESOLUTION_SECONDS, seconds))
        by_ends = _score_against_ends(chosen, rate / max(1, surroundings.servers))
        # What most requests have is no cause, whatever else is unlikely.
        beginnings = sum(map(_score_of_beginning, chosen.values()))
        return min(by_traffic, by_ends) + min(by_traffic, beginnings)

    total = score(keys)
    if total < MIN_SCORE:
        return None
    if len(further) < len(keys) and score(further) < MIN_FURTHER_SCORE:
        return None
    return _Explanation(feature=feature, suspects=suspects, score=total)


def _log_choices(chosen: int, others: int) -> float:
    """Return the logarithm of the number of ways to choose some beside others."""
    total = chosen + others
    return math.lgamma(total + 1) - math.lgamma(chosen + 1) - math.lgamma(others + 1)


def _score_against_ends(suspects: _Suspects, rate: float) -> float:
    """
    Return how unlikely it is that servers ended of themselves just when requests came.

    :param rate: ends of a server per second.
    :return: a natural logarithm of odds.
    """
    return sum(
        _unlikelihood(rate * (RESOLUTION_SECONDS + sum(s.seconds for s in each)))
        for each in suspects.values()
    )


def _score_of_beginning(suspects: tuple[Suspect, ...]) -> float:
    """Return how unlikely it is that the answer to some request is at its beginning."""
    if not any(suspect.beginning for suspect in suspects):
        return 0.0
    return -math.log(1 - (1 - BEGINNING_SHARE) ** len(suspects))


def rarity(
    evidence: Evidence,
    feature: str,
    surroundings: Surroundings,
    *,
    comes_again: bool = False,
) -> float:
    """
    Return how unlikely it is that a request with a feature is at some server.

    :param evidence: crashes, and the requests of this entry.
    :param feature: a feature of requests.
    :param surroundings: number of servers and of entries.
    :param comes_again: whether it names a request that callers may send many times at
        once; those whose servers crashed do not make it more frequent.
    :return: a natural logarithm of odds.
    """
    concurrency = _concurrency(
        evidence, feature, surroundings.entries, lost=not comes_again
    )
    present = concurrency / max(1, surroundings.servers)
    return min(-math.log(MIN_CHANCE), _unlikelihood(present))


def _concurrency(
    evidence: Evidence, feature: str, entries: int, *, lost: bool
) -> float:
    """
    Estimate the mean number of requests with a feature in progress at all servers.

    The other entries have about as many as this one, and tell of those whose servers
    crashed.

    :param lost: whether these count.
    """
    traffic = evidence.traffic
    busy = entries * traffic.answered_seconds(feature)
    if lost:
        interrupted = _interrupted_seconds(evidence, feature)
        busy = max(interrupted, busy + entries * traffic.lost_seconds(feature))
    return max(busy / traffic.seconds(), traffic.in_progress.get(feature, 0))


def _interrupted_seconds(evidence: Evidence, feature: str) -> float:
    """Return for how long requests were at servers that crashed lately."""
    since = evidence.clock() - evidence.traffic.seconds()
    crashes = (evidence.crashes[key] for key in evidence.by_feature.get(feature, ()))
    return sum(
        suspect.seconds
        for crash in crashes
        if crash.seen_at >= since
        for suspect in crash.with_feature(feature)
    )


def _unlikelihood(expected: float) -> float:
    """Return how unlikely one event or more is if so many are expected."""
    return -math.log(-math.expm1(-expected)) if expected > 0 else math.inf


def _signature(evidence: Evidence, culprit: _Explanation) -> frozenset[str]:
    """
    Return the feature and what cannot be told apart from it.

    The identity of a request says all that there is to say about it.
    """
    suspects = [s.features for each in culprit.suspects.values() for s in each]
    shared = frozenset.intersection(*suspects)
    identity = find_identity(shared)
    if identity is not None:
        return frozenset((identity,))
    last = evidence.traffic.last_survival
    return frozenset(f for f in shared if f == culprit.feature or last(f) == NEVER)
