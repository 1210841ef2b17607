"""
Clock.

A hybrid logical clock: near the wall clock, and never before its cause.
"""

import time
from collections.abc import Callable

LOGICAL_BITS = 16
MAX_DRIFT_MS = 60_000  # milliseconds a remote clock may be ahead

_MS_PER_SECOND = 1000


class HybridLogicalClock:
    """
    The clock of one process.

    :param now: the wall clock, seconds since the epoch.
    :param max_drift_ms: how far ahead a remote clock is believed, milliseconds.
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
        Stamp an event of this process or a message that it sends.

        :return: a stamp above every earlier one, milliseconds << 16 | logical.
        """
        wall = int(self.now() * _MS_PER_SECOND) << LOGICAL_BITS
        self.last_stamp = wall if wall > self.last_stamp else self.last_stamp + 1
        return self.last_stamp

    def merge(self, remote: int) -> int:
        """
        Take in the stamp of a received message.

        A stamp that is too far ahead counts as refused and moves nothing, so
        that one broken clock does not spoil the others.

        :param remote: the sender's stamp.
        :return: a stamp above every earlier one, and above `remote` if believed.
        """
        wall_ms = int(self.now() * _MS_PER_SECOND)
        if physical_milliseconds(remote) > wall_ms + self.max_drift_ms:
            self.rejected_stamps += 1
        elif remote > self.last_stamp:
            self.last_stamp = remote
        return self.tick()


def physical_milliseconds(stamp: int) -> int:
    """
    Tell the physical part of a stamp.

    :param stamp: a stamp of a clock.
    :return: milliseconds since the epoch.
    """
    return stamp >> LOGICAL_BITS
