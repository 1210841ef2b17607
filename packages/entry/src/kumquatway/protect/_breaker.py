"""
Breaker.

Keeps work from one upstream while it fails, and probes it before work returns.
"""

import enum
import random as _random
import time
from collections.abc import Callable

FAILURES_IN_A_ROW = 5
OPEN_SECONDS = 1.0
MAX_OPEN_SECONDS = 30.0


class BreakerState(enum.StrEnum):
    """Whether an upstream gets work."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class Breaker:
    """
    One upstream's breaker.

    :param failures: failures in a row that open it.
    :param open_seconds: how long it stays open the first time, seconds.
    :param clock: gives the time, seconds.
    :param random: gives a number from 0 to 1, for jitter.
    """

    __slots__ = (
        "failures",
        "open_seconds",
        "clock",
        "random",
        "state",
        "in_a_row",
        "openings",
        "until",
    )

    def __init__(
        self,
        *,
        failures: int = FAILURES_IN_A_ROW,
        open_seconds: float = OPEN_SECONDS,
        clock: Callable[[], float] = time.monotonic,
        random: Callable[[], float] = _random.random,
    ):
        self.failures = failures
        self.open_seconds = open_seconds
        self.clock = clock
        self.random = random
        self.state = BreakerState.CLOSED
        self.in_a_row = 0
        self.openings = 0
        self.until = 0.0

    def allows(self) -> bool:
        """
        Tell whether an attempt may go to the upstream; changes nothing.

        :return: True if closed, or open for long enough to be probed.
        """
        if self.state is BreakerState.CLOSED:
            return True
        return self.clock() >= self.until

    def start(self) -> None:
        """Note that an attempt goes out; after an opening it is the one probe."""
        # Attempts that a group's floor forces here are no probes.
        if self.state is BreakerState.CLOSED or not self.allows():
            return
        # A probe whose end is never reported must not block the next for good.
        self.until = self.clock() + self._wait()
        self.state = BreakerState.HALF_OPEN

    def success(self) -> None:
        """Note an attempt that went well."""
        self.in_a_row = 0
        # Late answers of attempts from before the opening prove nothing.
        if self.state is BreakerState.HALF_OPEN:
            self.state = BreakerState.CLOSED
            self.openings = 0

    def failure(self) -> None:
        """Note an attempt that failed by the upstream's fault."""
        self.in_a_row += 1
        probing = self.state is BreakerState.HALF_OPEN
        worn = self.in_a_row >= self.failures
        if probing or (worn and self.state is BreakerState.CLOSED):
            self.openings += 1
            self.state = BreakerState.OPEN
            self.until = self.clock() + self._wait()

    def _wait(self) -> float:
        doublings = min(max(0, self.openings - 1), 16)
        longest = min(MAX_OPEN_SECONDS, self.open_seconds * 2**doublings)
        return longest * (1 + 0.25 * self.random())
