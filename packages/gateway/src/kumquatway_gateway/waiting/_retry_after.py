"""
Refusal.

When a caller that was refused should come back.
"""

import random as _random
from collections.abc import Callable

MIN_SECONDS = 0.3
SPREAD = 0.5  # share of the estimate by which returns are drawn apart, each way


def retry_after(
    estimate: float, *, random: Callable[[], float] = _random.random
) -> float:
    """
    Draw a time to return about when there should be room.

    Load pattern: many callers are refused in one instant; were all told the same time,
    they would come back as one wave and be refused again.

    :param estimate: seconds until there should be room.
    :param random: gives a number from 0 to 1.
    :return: seconds.
    """
    middle = max(MIN_SECONDS, estimate)
    return middle * (1 - SPREAD + 2 * SPREAD * random())
