"""
Slow start.

Ramps the weight of an upstream that is new to the group.
"""

RAMP_SECONDS = 20.0
MIN_WEIGHT = 0.1


def slow_start(
    age: float, *, ramp: float = RAMP_SECONDS, least: float = MIN_WEIGHT
) -> float:
    """
    Weigh an upstream by how long it has served.

    :param age: seconds since its first work.
    :param ramp: seconds until it gets its full weight.
    :param least: the weight at first.
    :return: the factor of its weight, up to 1.
    """
    if age >= ramp:
        return 1.0
    return max(least, age / ramp)
