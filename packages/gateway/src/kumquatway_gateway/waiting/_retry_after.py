"""Choose the time after which a refused caller should retry."""

import random as _random
from collections.abc import Callable, Iterable

MIN_RETRY_SECONDS = 0.3
SHUTDOWN_RETRY_SECONDS = 0.3  # until a retry finds an entry that serves
MIN_SPREAD_SECONDS = 1.0  # of the callers that return to an entry that is back
JITTER = 0.5  # largest deviation from the estimate in each direction, as a share of it


def retry_after(
    estimate: float,
    *,
    earliest: float = 0.0,
    random: Callable[[], float] = _random.random,
) -> float:
    """
    Draw a retry time around the moment at which capacity should be free.

    Before a moment until which there is certainly none, nobody should return.

    Load pattern: many callers are refused in one instant. With the same retry time for
    all, they would return as one wave and be refused again.

    :param estimate: estimated time until capacity is free, seconds.
    :param earliest: time for which there is certainly no capacity, seconds.
    :param random: returns a random number from 0 to 1.
    :return: time after which to retry, seconds.
    """
    if earliest:
        return max(MIN_RETRY_SECONDS, earliest) * (1 + 2 * JITTER * random())
    middle = max(MIN_RETRY_SECONDS, estimate)
    return middle * (1 - JITTER + 2 * JITTER * random())


def shutdown_retry_after(
    own_return: float,
    peer_returns: Iterable[float],
    *,
    random: Callable[[], float] = _random.random,
) -> float:
    """
    Draw the retry time of a request that an entry refuses as it stops.

    Load pattern: all entries stop, one second after another. Callers retry a few times,
    and nobody serves them before the first entry is back. All would come to that one if
    they were not spread over the time in which the others come back.

    :param own_return: time until this entry serves again, seconds.
    :param peer_returns: the same of each other entry; 0 for one that serves now.
    :return: time after which to retry, seconds.
    """
    returns = [own_return, *peer_returns]
    first = min(returns)
    if first <= 0:
        return SHUTDOWN_RETRY_SECONDS
    return first + random() * max(MIN_SPREAD_SECONDS, max(returns) - first)
