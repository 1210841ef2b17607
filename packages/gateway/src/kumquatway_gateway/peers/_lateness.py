"""Measures how much longer than usual a peer's messages were on their way."""

# Of messages, the least delayed of which counts as usual. Of 380 entries, each hears
# another one every twelve seconds.
PERIOD_SECONDS = 20.0
UNKNOWN = 0.0  # time at which an older version sent a message
NEVER = float("inf")


class Lateness:
    """
    Compares the times at which one process sent its messages with their arrivals.

    The clocks of the two processes differ by some time, which no message tells. It is
    in all differences, so the least one of late shows it together with the usual way.
    It is forgotten at some time, as a clock may stand still while its VM is moved.
    """

    def __init__(self):
        self.began_at = -NEVER  # of this period, monotonic seconds
        self.least = NEVER  # difference in this period
        self.least_before = NEVER  # in the period before

    def measure(self, sent_at: float, now: float) -> float:
        """
        Return how much longer than usual a message was on its way.

        :param sent_at: when it was sent, monotonic seconds of its sender; 0 if unknown.
        :param now: monotonic seconds.
        :return: seconds, 0 if unknown.
        """
        if sent_at == UNKNOWN:
            return 0.0
        if now - self.began_at >= PERIOD_SECONDS:
            self.began_at = now
            self.least_before, self.least = self.least, NEVER
        difference = now - sent_at
        self.least = min(self.least, difference)
        return difference - min(self.least, self.least_before)
