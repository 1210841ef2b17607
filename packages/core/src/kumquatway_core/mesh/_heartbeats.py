"""
Beats.

How often a connection is proved, and how long it may be silent.
"""

MIN_HEARTBEAT_INTERVAL = 0.1  # seconds
MAX_HEARTBEAT_INTERVAL = 2.0  # seconds
HEARTBEAT_BYTES = 160  # of one beat and its answer with their frames
HEARTBEAT_BYTES_PER_SECOND = 6_000  # bytes a second for all beats of a process
MIN_SILENCE_TIMEOUT = 0.3  # seconds
MAX_MISSED_HEARTBEATS = 3  # beats that may be missing
RTT_FACTOR = 4  # round trips added to the bound
MIN_ACK_TIMEOUT = 0.2  # seconds
MEAN_GAIN = 0.125  # of the smoothed delay, as RFC 6298 has it
DEVIATION_GAIN = 0.25
DEVIATION_FACTOR = 4
MAX_BACKOFF_DOUBLINGS = 6
INITIAL_RATE = 10e6  # bytes a second, until larger messages were acknowledged
RATE_GAIN = 0.25
BULK_BYTES = 256 * 1024  # bytes; less tells of the delay, more of the rate


def heartbeat_interval(connections: int) -> float:
    """
    Space beats so that all of a process's connections stay in the budget.

    :param peers: connections that are open.
    :return: seconds between beats on one connection.
    """
    interval = connections * HEARTBEAT_BYTES / HEARTBEAT_BYTES_PER_SECOND
    return min(max(interval, MIN_HEARTBEAT_INTERVAL), MAX_HEARTBEAT_INTERVAL)


def silence_timeout(interval: float, round_trip: float, lag: float) -> float:
    """
    Bound the silence after which a connection is in doubt.

    :param interval: seconds between beats.
    :param round_trip: smoothed seconds from beat to answer.
    :param lag: seconds by which this process itself ran late.
    :return: seconds.
    """
    missing = MAX_MISSED_HEARTBEATS * interval
    return max(missing, MIN_SILENCE_TIMEOUT) + RTT_FACTOR * round_trip + lag


class AckDelayEstimator:
    """How long acknowledgements take, and how much that varies."""

    def __init__(self):
        self.mean = 0.0
        self.deviation = 0.0
        self.timeouts = 0
        self.rate = INITIAL_RATE

    def add_sample(self, sample: float, size: int) -> None:
        """
        Learn from an acknowledgement.

        :param sample: seconds from the send to it.
        :param size: bytes that were under way with it.
        """
        self.timeouts = 0
        if size > BULK_BYTES:
            self.rate += RATE_GAIN * (size / max(sample, 1e-3) - self.rate)
            return
        if not self.mean:
            self.mean = sample
            self.deviation = sample / 2
            return
        error = sample - self.mean
        self.mean += MEAN_GAIN * error
        self.deviation += DEVIATION_GAIN * (abs(error) - self.deviation)

    def record_timeout(self) -> bool:
        """
        Learn that an acknowledgement did not come within the bound.

        :return: True from the second time on: data does not get through.
        """
        self.timeouts += 1
        return self.timeouts > 1

    def timeout(self, lag: float, size: int) -> float:
        """
        Bound the wait for an acknowledgement; it doubles while none comes.

        :param size: bytes that are under way.
        :param lag: seconds by which this process itself ran late.
        :return: seconds after which the connection is in doubt.
        """
        usual = max(MIN_ACK_TIMEOUT, self.mean + DEVIATION_FACTOR * self.deviation)
        backoff = 2 ** min(max(self.timeouts - 1, 0), MAX_BACKOFF_DOUBLINGS)
        return (usual + size / self.rate) * backoff + lag
