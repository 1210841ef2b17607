"""
Decides which features of requests crash servers.
"""

from collections.abc import Callable, Collection

from kumquatway_gateway.quarantine._evidence import Crash, Progress

# It takes three crashes of different servers or incarnations at the beginning of an
# answer, or a higher weight where some answers had not begun.
MIN_CRASHES = 3
MIN_WEIGHT = MIN_CRASHES * Progress.BEGINNING
MIN_MIXED_WEIGHT = MIN_WEIGHT + 1


def find_culprits(
    crashes: Collection[Crash], survivals: Callable[[str], int]
) -> set[frozenset[str]]:
    """
    Find the sets of features that explain crashes.

    Load pattern: requests that share a part of their prompts crash each server that
    begins to answer them, and come at any entry. Tens of others are in progress on each
    server that crashes; they move together to the next one, and share their account and
    all other parts with sound requests.

    The feature that weighs most explains its crashes, so that what was merely there is
    not blamed for them. Each survival of a feature raises the weight that it takes.
    What was part of each suspect with that feature and never got through either cannot
    be told apart from it, so only requests with all of these are blamed.

    Load pattern: servers end of themselves. In none of these crashes is the same
    feature on a request that was just beginning.

    :param crashes: crashes, with the requests that were in progress.
    :param survivals: returns how often requests with a feature recently got through.
    :return: sets of features; a request with all features of a set crashes servers.
    """
    culprits = set()
    unexplained = list(crashes)
    while culprit := _find_heaviest(unexplained, survivals):
        unexplained = [crash for crash in unexplained if not crash.weight(culprit)]
        culprits.add(_signature(culprit, crashes, survivals))
    return culprits


def _find_heaviest(
    crashes: Collection[Crash], survivals: Callable[[str], int]
) -> str | None:
    """Return the feature that weighs most, or None if none weighs enough."""
    weights: dict[str, list[int]] = {}
    for crash in crashes:
        for feature, weight in crash.weights.items():
            weights.setdefault(feature, []).append(weight)
    best, best_weight = None, 0.0
    for feature, found in weights.items():
        if len(found) < MIN_CRASHES:
            continue
        certain = found.count(Progress.BEGINNING) >= MIN_CRASHES
        weight = sum(found) / (1 + survivals(feature))
        enough = MIN_WEIGHT if certain else MIN_MIXED_WEIGHT
        if weight >= enough and (weight, feature) > (best_weight, best or ""):
            best, best_weight = feature, weight
    return best


def _signature(
    culprit: str, crashes: Collection[Crash], survivals: Callable[[str], int]
) -> frozenset[str]:
    """Return the culprit and what cannot be told apart from it."""
    suspects = [s for crash in crashes for s in crash.suspects if culprit in s]
    shared = frozenset.intersection(*suspects)
    return frozenset(f for f in shared if f == culprit or not survivals(f))
