"""Learns how long requests take, to promise only what ends before the exit."""

MEAN_WEIGHT = 1 / 8  # of the newest value
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4  # above the mean, as for the retransmission timeout of RFC 6298


class Durations:
    """
    A moving average of durations, and of how far they deviate from it.

    :param mean: assumed before any was observed, in any unit.
    :param deviation: assumed mean absolute deviation.
    """

    __slots__ = ("deviation", "mean", "observed")

    def __init__(self, *, mean: float, deviation: float):
        self.mean = mean
        self.deviation = deviation
        self.observed = False

    def observe(self, value: float) -> None:
        """
        Take in how long a request took.

        :param value: in the unit of the mean.
        """
        error = value - self.mean
        if not self.observed:
            self.observed = True
            self.mean = value
            self.deviation = max(self.deviation, abs(error))
            return
        self.deviation += DEVIATION_WEIGHT * (abs(error) - self.deviation)
        self.mean += MEAN_WEIGHT * error

    def upper_bound(self) -> float:
        """Return the time within which nearly all requests end."""
        return self.mean + DEVIATIONS * self.deviation
