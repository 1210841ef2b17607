"""
Tells how unlikely it is that requests were at crashes by chance.

All scores are natural logarithms of odds.
"""

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from kumquatway_gateway.quarantine._evidence import CrashKey, Evidence, Suspect
from kumquatway_gateway.quarantine._features import is_identity

MIN_PERIOD_SECONDS = 30.0  # over which the ends of servers are counted
RESOLUTION_SECONDS = 0.1  # of the time of a crash
MIN_CHANCE = 1e-3  # that a request of which there are few is at a server
BEGINNING_SHARE = 0.05  # of requests, whose answers are at their beginning

Suspects = Mapping[CrashKey, Collection[Suspect]]


@dataclass(frozen=True, kw_only=True, slots=True)
class Surroundings:
    """
    What the traffic of this entry is compared with.

    :param servers: number of servers.
    :param entries: number of entries, which send about as many requests each.
    """

    servers: int
    entries: int


def score(
    evidence: Evidence,
    feature: str,
    suspects: Suspects,
    others: Collection[float],
    rarity: float,
    surroundings: Surroundings,
) -> float:
    """
    Return how unlikely it is that requests were at some crashes by chance.

    Either the servers ended of themselves just when the requests came; or another
    request crashed them, and such requests usually are at as many servers.

    :param evidence: the crashes.
    :param feature: a feature of requests.
    :param suspects: requests with the feature, by crash.
    :param others: times of the crashes without such requests.
    :param rarity: how unlikely such a request is at some server.
    :param surroundings: number of servers and of entries.
    """
    began_at = min(
        evidence.crashes[key].seen_at - max(suspect.seconds for suspect in each)
        for key, each in suspects.items()
    )
    now = evidence.clock()
    period = max(MIN_PERIOD_SECONDS, now - began_at)
    meanwhile = sum(at >= began_at for at in others)
    recent = sum(at >= now - period for at in others)
    seconds = max(RESOLUTION_SECONDS, now - began_at)
    ends = max((recent + 1) / period, meanwhile / seconds)
    by_ends = _score_against_ends(suspects, ends / max(1, surroundings.servers))
    rare = max(rarity, _rarity_of_silence(evidence, feature, suspects))
    by_traffic = len(suspects) * rare - _log_choices(len(suspects), meanwhile)
    # What most requests have is no cause, whatever else is unlikely.
    beginnings = sum(map(_score_of_beginning, suspects.values()))
    return min(by_ends, by_traffic) + min(by_traffic, beginnings)


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

    :param lost: whether these count. If not, those that are given up do until their
        server ends, and several in progress at one server count once.
    """
    traffic = evidence.traffic
    busy = entries * traffic.answered_seconds(feature)
    if not lost:
        busy += entries * traffic.given_up_seconds(feature)
        return max(busy / traffic.seconds(), traffic.busy_servers(feature))
    interrupted = _interrupted_seconds(evidence, feature)
    busy = max(interrupted, busy + entries * traffic.lost_seconds(feature))
    return max(busy / traffic.seconds(), traffic.requests_in_progress(feature))


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


def _score_against_ends(suspects: Suspects, rate: float) -> float:
    """
    Return how unlikely it is that servers ended of themselves just when requests came.

    :param rate: ends of a server per second.
    """
    return sum(
        _unlikelihood(rate * (RESOLUTION_SECONDS + sum(s.seconds for s in each)))
        for each in suspects.values()
    )


def _rarity_of_silence(evidence: Evidence, feature: str, suspects: Suspects) -> float:
    """
    Return how unlikely it is, for each crash, that all requests with a feature fail.

    Load pattern: a part of prompts hangs its servers, and is in progress at most of
    them for that reason: they get no answer, and each is sent to a second server. If
    they were there by chance, as many would be answered for each that is lost as of
    all others.
    """
    traffic = evidence.traffic
    if is_identity(feature) or traffic.is_harmless(feature):
        return 0.0
    names = {suspect.name for each in suspects.values() for suspect in each}
    expected = len(names) * traffic.harmless_per_loss(feature)
    return min(-math.log(MIN_CHANCE), expected / len(suspects))


def _score_of_beginning(suspects: Collection[Suspect]) -> float:
    """Return how unlikely it is that the answer to some request is at its beginning."""
    if not any(suspect.beginning for suspect in suspects):
        return 0.0
    return -math.log(1 - (1 - BEGINNING_SHARE) ** len(suspects))


def _unlikelihood(expected: float) -> float:
    """Return how unlikely one event or more is if so many are expected."""
    return -math.log(-math.expm1(-expected)) if expected > 0 else math.inf


def _log_choices(chosen: int, others: int) -> float:
    """Return the logarithm of the number of ways to choose some beside others."""
    total = chosen + others
    return math.lgamma(total + 1) - math.lgamma(chosen + 1) - math.lgamma(others + 1)
