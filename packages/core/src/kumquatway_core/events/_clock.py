"""
A hybrid logical clock, which orders events across processes.

Its stamps stay near the wall clock, and the stamp of an event is always above the
stamps of the events that caused it.
"""

import time
from collections.abc import Callable

LOGICAL_BITS = 16
MAX_DRIFT_MS = 60_000  # maximum lead of a remote clock

_MS_PER_SECOND = 1000


class HybridLogicalClock:
    """
    The hybrid logical clock of one process.

    :param now: returns the wall-clock time, seconds since the epoch.
    :param max_drift_ms: maximum lead of a remote stamp over the wall clock,
        milliseconds; a stamp further ahead is rejected.
    """

    def __init__(
        self,
        *,
        now: Callable[[], float] = time.time,
        max_drift_ms: int = MAX_DRIFT_MS,
    ):
        self.now = now
        self.max_drift_ms = max_drift_ms
        self.last_stamp = 0
        self.rejected_stamps = 0

    def tick(self) -> int:
        """
        Return a stamp for an event of this process or a message that it sends.

        :return: stamp above every earlier one, milliseconds << 16 | logical counter.
        """
        wall = int(self.now() * _MS_PER_SECOND) << LOGICAL_BITS
        self.last_stamp = wall if wall > self.last_stamp else self.last_stamp + 1
        return self.last_stamp

    def merge(self, remote: int) -> int:
        """
        Merge the stamp of a received message into the clock.

        A stamp that is too far ahead is counted as rejected and does not advance the
        clock, so that one wrong clock does not affect the other processes.

        :param remote: stamp of the sender.
        :return: stamp above every earlier one, and above `remote` unless rejected.
        """
        wall_ms = int(self.now() * _MS_PER_SECOND)
        if physical_milliseconds(remote) > wall_ms + self.max_drift_ms:
            self.rejected_stamps += 1
        elif remote > self.last_stamp:
            self.last_stamp = remote
        return self.tick()


def physical_milliseconds(stamp: int) -> int:
    """
    Return the wall-clock part of a stamp.

    :param stamp: stamp of a hybrid logical clock.
    :return: milliseconds since the epoch.
    """
    return stamp >> LOGICAL_BITS
