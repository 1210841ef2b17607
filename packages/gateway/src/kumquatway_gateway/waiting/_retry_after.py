"""Choose the time after which a refused caller should retry."""

import random as _random
from collections.abc import Callable

MIN_RETRY_SECONDS = 0.3
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
