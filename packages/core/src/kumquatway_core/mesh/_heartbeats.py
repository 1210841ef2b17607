"""Computes heartbeat intervals and the timeouts that detect broken connections."""

MIN_HEARTBEAT_INTERVAL = 0.1  # seconds
MAX_HEARTBEAT_INTERVAL = 2.0  # seconds
HEARTBEAT_BYTES = 160  # one heartbeat and its reply, with their frames
HEARTBEAT_BYTES_PER_SECOND = 6_000  # budget for all heartbeats of a process
MIN_SILENCE_TIMEOUT = 0.3  # seconds
MAX_MISSED_HEARTBEATS = 3
RTT_FACTOR = 4  # round trips added to the silence timeout
MIN_ACK_TIMEOUT = 0.2  # seconds
MEAN_GAIN = 0.125  # weight of a new sample in the mean, as in RFC 6298
DEVIATION_GAIN = 0.25
DEVIATION_FACTOR = 4
MAX_BACKOFF_DOUBLINGS = 6
INITIAL_RATE = 10e6  # bytes a second, until a bulk transfer is acknowledged
RATE_GAIN = 0.25
BULK_BYTES = 256 * 1024  # larger samples measure the rate, smaller ones the delay


def heartbeat_interval(connections: int) -> float:
    """
    Space heartbeats so that all connections together stay within the byte budget.

    :param connections: number of open connections.
    :return: seconds between heartbeats on one connection.
    """
    interval = connections * HEARTBEAT_BYTES / HEARTBEAT_BYTES_PER_SECOND
    return min(max(interval, MIN_HEARTBEAT_INTERVAL), MAX_HEARTBEAT_INTERVAL)


def silence_timeout(interval: float, round_trip: float, lag: float) -> float:
    """
    Compute how long a connection may be silent before it counts as broken.

    :param interval: seconds between heartbeats.
    :param round_trip: smoothed seconds from a heartbeat to its reply.
    :param lag: seconds by which timers of this process fire late.
    :return: timeout in seconds.
    """
    missing = MAX_MISSED_HEARTBEATS * interval
    return max(missing, MIN_SILENCE_TIMEOUT) + RTT_FACTOR * round_trip + lag


class AckDelayEstimator:
    """Estimates the delay of acknowledgements, its deviation and the transfer rate."""

    def __init__(self):
        self.mean = 0.0
        self.deviation = 0.0
        self.timeouts = 0
        self.rate = INITIAL_RATE

    def add_sample(self, sample: float, size: int) -> None:
        """
        Update the estimate from an acknowledgement and reset the backoff.

        :param sample: seconds from sending the message to its acknowledgement.
        :param size: bytes in flight when the acknowledgement arrived.
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
        Record that an acknowledgement did not arrive within the timeout.

        :return: True from the second timeout in a row on: data does not get through.
        """
        self.timeouts += 1
        return self.timeouts > 1

    def timeout(self, lag: float, size: int) -> float:
        """
        Compute the acknowledgement timeout.

        It doubles with each timeout in a row after the first.

        :param lag: seconds by which timers of this process fire late.
        :param size: bytes in flight.
        :return: timeout in seconds.
        """
        delay = max(MIN_ACK_TIMEOUT, self.mean + DEVIATION_FACTOR * self.deviation)
        backoff = 2 ** min(max(self.timeouts - 1, 0), MAX_BACKOFF_DOUBLINGS)
        return (delay + size / self.rate) * backoff + lag
