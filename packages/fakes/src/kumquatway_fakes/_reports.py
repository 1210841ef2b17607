"""
Reports.

What an engine tells of itself: cache events late and with gaps, load some time ago.
"""

import random
import time
from collections import deque
from collections.abc import Callable

import msgspec

from kumquatway_core.engine import EngineLoad

MAX_KEPT = 10_000


class CacheEvent(msgspec.Struct, frozen=True, kw_only=True):
    """
    A block of the prefix cache came or went.

    :param sequence: counts all events, also those that get lost.
    :param block: its hash.
    :param stored: False once it is evicted.
    """

    sequence: int
    block: int
    stored: bool


class Reports:
    """
    The reports of one engine.

    :param lag: age that events and load must have, seconds.
    :param loss: share of the events that are never published.
    :param seed: of the losses.
    :param clock: monotonic seconds.
    """

    def __init__(
        self,
        *,
        lag: float = 0.0,
        loss: float = 0.0,
        seed: int = 0,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.lag = lag
        self.loss = loss
        self.clock = clock
        self.random = random.Random(seed)
        self.sequence = 0
        self.events: deque[tuple[float, CacheEvent]] = deque(maxlen=MAX_KEPT)
        self.loads: deque[tuple[float, EngineLoad]] = deque(maxlen=MAX_KEPT)

    def add_event(self, block: int, stored: bool) -> None:
        """
        Note an event, or lose it.

        :param block: its hash.
        :param stored: whether it came or went.
        """
        self.sequence += 1
        if self.random.random() < self.loss:
            return
        event = CacheEvent(sequence=self.sequence, block=block, stored=stored)
        self.events.append((self.clock(), event))

    def events_since(self, sequence: int) -> tuple[CacheEvent, ...]:
        """
        Read the events that are old enough to be published.

        :param sequence: of the last event that is known.
        :return: later ones, with gaps where events were lost.
        """
        newest = self.clock() - self.lag
        return tuple(
            event
            for at, event in self.events
            if at <= newest and event.sequence > sequence
        )

    def load(self, now: EngineLoad) -> EngineLoad:
        """
        Note the load and read the one of some time ago.

        :param now: the true load.
        :return: the newest load that is old enough, or the oldest known.
        """
        at = self.clock()
        self.loads.append((at, now))
        while len(self.loads) > 1 and self.loads[1][0] <= at - self.lag:
            self.loads.popleft()
        seen, load = self.loads[0]
        return msgspec.structs.replace(load, age=at - seen)
