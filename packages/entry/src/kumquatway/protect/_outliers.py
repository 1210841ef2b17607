"""
Outliers.

Takes the worst upstreams of a group out of use, but never too many.
"""

import math
import random as _random
import time
from collections.abc import Callable, Iterable

from kumquatway.protect._breaker import Breaker

MAX_OUT_SHARE = 0.3
SMOOTHING = 0.1
MIN_RECORDS = 20
SLOW_FACTOR = 3.0
FAILURE_MARGIN = 0.3
EJECT_SECONDS = 5.0
MAX_EJECT_SECONDS = 120.0


class Record:
    """
    What is known of one upstream.

    :param breaker: its breaker.
    """

    __slots__ = ("breaker", "count", "failures", "seconds", "ejections", "until")

    def __init__(self, *, breaker: Breaker):
        self.breaker = breaker
        self.count = 0
        self.failures = 0.0
        self.seconds = 0.0
        self.ejections = 0
        self.until = 0.0


class Outliers:
    """
    The upstreams of one group that serve the same work.

    :param max_out_share: the share of the group that may be out at once.
    :param clock: gives the time, seconds.
    :param random: gives a number from 0 to 1, for jitter.
    """

    def __init__(
        self,
        *,
        max_out_share: float = MAX_OUT_SHARE,
        clock: Callable[[], float] = time.monotonic,
        random: Callable[[], float] = _random.random,
    ):
        self.max_out_share = max_out_share
        self.clock = clock
        self.random = random
        self.records: dict[str, Record] = {}

    def keep(self, upstreams: Iterable[str]) -> None:
        """
        Set the members of the group.

        :param upstreams: the names of all that are live.
        """
        self.records = {name: self._record(name) for name in upstreams}

    def usable(self) -> tuple[str, ...]:
        """
        Choose the upstreams that may get work.

        :return: names; at least the share that may not be out.
        """
        out = self.out()
        return tuple(name for name in self.records if name not in out)

    def out(self) -> frozenset[str]:
        """
        Find the upstreams that get no work now.

        :return: names, the worst first chosen, no more than the group's share.
        """
        now = self.clock()
        bad = [
            name
            for name, record in self.records.items()
            if record.until > now or not record.breaker.allows()
        ]
        room = math.floor(len(self.records) * self.max_out_share)
        bad.sort(key=self._badness, reverse=True)
        return frozenset(bad[:room])

    def start(self, upstream: str) -> None:
        """
        Note that an attempt goes out.

        :param upstream: its upstream.
        """
        if upstream in self.records:
            self.records[upstream].breaker.start()

    def end(self, upstream: str, *, well: bool, seconds: float) -> None:
        """
        Note how an attempt ended.

        :param upstream: its upstream.
        :param well: False if it failed by the upstream's fault.
        :param seconds: how long it took.
        """
        record = self.records.get(upstream)
        if record is None:
            return
        if well:
            record.breaker.success()
        else:
            record.breaker.failure()
        self._smooth(record, well, seconds)
        if self._is_outlier(record):
            self._eject(record)

    def _record(self, name: str) -> Record:
        if name in self.records:
            return self.records[name]
        return Record(breaker=Breaker(clock=self.clock, random=self.random))

    def _smooth(self, record: Record, well: bool, seconds: float) -> None:
        record.count += 1
        part = max(SMOOTHING, 1 / record.count)
        record.failures += part * (float(not well) - record.failures)
        record.seconds += part * (seconds - record.seconds)

    def _is_outlier(self, record: Record) -> bool:
        if record.count < MIN_RECORDS or record.until > self.clock():
            return False
        known = [other for other in self.records.values() if other.count >= MIN_RECORDS]
        if len(known) < 3:
            return False
        failures = _median(other.failures for other in known)
        seconds = _median(other.seconds for other in known)
        failing = record.failures > failures + FAILURE_MARGIN
        return failing or record.seconds > seconds * SLOW_FACTOR

    def _eject(self, record: Record) -> None:
        record.ejections += 1
        seconds = min(MAX_EJECT_SECONDS, EJECT_SECONDS * record.ejections)
        record.until = self.clock() + seconds * (1 + 0.25 * self.random())
        # What it did before says nothing of how it is when it comes back.
        record.count = 0

    def _badness(self, name: str) -> tuple[float, float]:
        record = self.records[name]
        return (record.breaker.in_a_row, record.failures)


def _median(values: Iterable[float]) -> float:
    ordered = sorted(values)
    return ordered[len(ordered) // 2]
