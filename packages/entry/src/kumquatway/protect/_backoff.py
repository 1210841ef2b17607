"""
Backoff.

Exponential waits with full jitter.
"""

import random as _random
from collections.abc import Callable

BASE_SECONDS = 0.05
CAP_SECONDS = 2.0
MAX_DOUBLINGS = 30


def backoff(
    attempt: int,
    *,
    base: float = BASE_SECONDS,
    cap: float = CAP_SECONDS,
    random: Callable[[], float] = _random.random,
) -> float:
    """
    Choose the wait before an attempt.

    :param attempt: attempts made so far, from 1.
    :param base: the longest wait after the first attempt, seconds.
    :param cap: the longest wait of all, seconds.
    :param random: gives a number from 0 to 1.
    :return: seconds, from 0 to the bound of this attempt.
    """
    doublings = min(attempt - 1, MAX_DOUBLINGS)
    return random() * min(cap, base * 2**doublings)
