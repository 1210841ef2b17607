"""
Decides which features of requests crash servers.
"""

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from kumquatway_gateway.quarantine._chance import (
    Surroundings,
    Suspects,
    rarity,
    score,
)
from kumquatway_gateway.quarantine._evidence import CrashKey, Evidence
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

# Features of the requests at each crash that are known to have caused it.
Guilty = Mapping[CrashKey, Collection[str]]


@dataclass(frozen=True, kw_only=True, slots=True)
class _Explanation:
    """
    A feature that may have caused some crashes.

    :param suspects: the requests with the feature at each crash.
    :param requests: the crashes and the names of the requests.
    :param score: how unlikely it is that they were there by chance.
    :param further: the crashes that have no known cause.
    """

    feature: str
    suspects: Suspects
    requests: frozenset[tuple[CrashKey, str]]
    score: float
    further: frozenset[CrashKey]

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
        names = {name for _, name in self.requests}
        if many:
            return len(names) > 1
        return beginnings >= MIN_CRASHES and len(names) >= MIN_CRASHES

    def comes_again(self) -> bool:
        """Tell whether the same request came more than once."""
        return _comes_again(self.feature, self.suspects)


def find_culprits(
    evidence: Evidence,
    newest: Collection[CrashKey],
    guilty: Guilty,
    surroundings: Surroundings,
    *,
    settled: bool = True,
) -> set[frozenset[str]]:
    """
    Find the features that explain some crashes, beside others before them.

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
    :param newest: crashes that became known, or of which more became known.
    :param guilty: crashes whose cause is known.
    :param surroundings: number of servers and of entries.
    :param settled: whether peers have told what they know of the crashes. Until then,
        only a request that came again is blamed.
    :return: sets of features; a request with all features of a set crashes servers.
    """
    known = [evidence.crashes[key] for key in newest if key in evidence.crashes]
    features = {
        f for crash in known for s in crash.suspects.values() for f in s.features
    }
    candidates = [f for f in features if len(evidence.by_feature[f]) >= MIN_CRASHES]
    if not settled and not any(map(is_identity, candidates)):
        return set()
    explained = (_explain(evidence, f, guilty, surroundings) for f in candidates)
    found = [each for each in explained if each is not None]
    blamed = {
        each.feature: each
        for key in newest
        for each in _choose([each for each in found if key in each.further])
    }
    return {
        _signature(evidence, each)
        for each in blamed.values()
        if each.feature in evidence.seen_here and (settled or each.comes_again())
    }


def _choose(found: list[_Explanation]) -> list[_Explanation]:
    """Choose the best explanation, unless another one is nearly as good."""
    if not found:
        return []
    highest = max(each.score for each in found)
    # Of features that the same requests have, their identity says most.
    near = {
        each.requests: each
        for each in sorted(found, key=lambda each: is_identity(each.feature))
        if each.score > highest - MIN_LEAD
    }
    narrowest = [
        each
        for requests, each in near.items()
        if not any(other < requests for other in near)
    ]
    if len(narrowest) > 1:
        return [each for each in narrowest if each.is_enough(DOUBTFUL_CRASHES)]
    [best] = narrowest
    if best.is_enough():
        return [best]
    # Too few requests share it, but one of them may have come often enough.
    return _choose([each for each in found if each.requests < best.requests])


def _comes_again(feature: str, suspects: Suspects) -> bool:
    attempts = {suspect.attempt for each in suspects.values() for suspect in each}
    return is_identity(feature) and len(attempts) >= MIN_ATTEMPTS


def _explain(
    evidence: Evidence, feature: str, guilty: Guilty, surroundings: Surroundings
) -> _Explanation | None:
    """Return a feature as an explanation of its crashes, or None if it is none."""
    crashes = evidence.crashes
    keys = [
        k for k in evidence.crashes_of(feature) if feature in guilty.get(k, (feature,))
    ]
    if len(keys) < MIN_CRASHES:
        return None
    suspects = {key: crashes[key].with_feature(feature) for key in keys}
    further = {key: each for key, each in suspects.items() if key not in guilty}
    others = [
        crash.seen_at
        for key, crash in crashes.items()
        if key not in suspects and key not in guilty
    ]
    again = _comes_again(feature, suspects)
    rare = rarity(evidence, feature, surroundings, comes_again=again)
    total = score(evidence, feature, suspects, others, rare, surroundings)
    if not further or total < MIN_SCORE:
        return None
    if len(further) < len(suspects):
        rest = score(evidence, feature, further, others, rare, surroundings)
        if rest < MIN_FURTHER_SCORE:
            return None
    return _Explanation(
        feature=feature,
        suspects=suspects,
        requests=frozenset((k, s.name) for k, each in suspects.items() for s in each),
        score=total,
        further=frozenset(further),
    )


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
