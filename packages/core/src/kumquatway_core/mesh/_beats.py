"""
Beats.

How often a connection is proved, and how long it may be silent.
"""

MIN_INTERVAL = 0.1  # seconds
MAX_INTERVAL = 2.0  # seconds
BEAT_BYTES = 160  # of one beat and its answer with their frames
BEAT_BUDGET = 6_000  # bytes a second for all beats of a process
SILENCE_FLOOR = 0.3  # seconds
SILENCE_BEATS = 3  # beats that may be missing
RTT_FACTOR = 4  # round trips added to the bound
ACK_FLOOR = 0.2  # seconds
GAIN = 0.125  # of the smoothed delay, as RFC 6298 has it
DEVIATION_GAIN = 0.25
DEVIATIONS = 4
MAX_DOUBLINGS = 6
FIRST_RATE = 10e6  # bytes a second, until larger messages were acknowledged
RATE_GAIN = 0.25
BULK = 256 * 1024  # bytes; less tells of the delay, more of the rate


def beat_interval(peers: int) -> float:
    """
    Space beats so that all of a process's connections stay in the budget.

    :param peers: connections that are open.
    :return: seconds between beats on one connection.
    """
    interval = peers * BEAT_BYTES / BEAT_BUDGET
    return min(max(interval, MIN_INTERVAL), MAX_INTERVAL)


def silence_bound(interval: float, round_trip: float, lag: float) -> float:
    """
    Bound the silence after which a connection is in doubt.

    :param interval: seconds between beats.
    :param round_trip: smoothed seconds from beat to answer.
    :param lag: seconds by which this process itself ran late.
    :return: seconds.
    """
    missing = SILENCE_BEATS * interval
    return max(missing, SILENCE_FLOOR) + RTT_FACTOR * round_trip + lag


class AckDelay:
    """How long acknowledgements take, and how much that varies."""

    def __init__(self):
        self.mean = 0.0
        self.deviation = 0.0
        self.doubts = 0
        self.rate = FIRST_RATE

    def add(self, sample: float, size: int) -> None:
        """
        Learn from an acknowledgement.

        :param sample: seconds from the send to it.
        :param size: bytes that were under way with it.
        """
        self.doubts = 0
        if size > BULK:
            self.rate += RATE_GAIN * (size / max(sample, 1e-3) - self.rate)
            return
        if not self.mean:
            self.mean = sample
            self.deviation = sample / 2
            return
        error = sample - self.mean
        self.mean += GAIN * error
        self.deviation += DEVIATION_GAIN * (abs(error) - self.deviation)

    def doubt(self) -> bool:
        """
        Learn that an acknowledgement did not come within the bound.

        :return: True from the second time on: data does not get through.
        """
        self.doubts += 1
        return self.doubts > 1

    def bound(self, lag: float, size: int) -> float:
        """
        Bound the wait for an acknowledgement; it doubles while none comes.

        :param size: bytes that are under way.
        :param lag: seconds by which this process itself ran late.
        :return: seconds after which the connection is in doubt.
        """
        usual = max(ACK_FLOOR, self.mean + DEVIATIONS * self.deviation)
        backoff = 2 ** min(max(self.doubts - 1, 0), MAX_DOUBLINGS)
        return (usual + size / self.rate) * backoff + lag
