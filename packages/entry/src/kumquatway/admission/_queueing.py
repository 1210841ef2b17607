"""
Queueing.

Tells how long a first token waited in the engines' queues.

Every stream's first token needs one pass of the engines and the prefill of its prompt.
The least time of a short while, for prompts of like length, stands for these. Passes
slow down as batches grow; by how much is seen in the time between the tokens of streams
that run, and is taken off: what remains is the wait for a place.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass

WINDOW_SECONDS = 30.0


@dataclass(kw_only=True, slots=True)
class _Least:
    """The least of the window now and of the one before."""

    start: float
    now: float = float("inf")
    before: float = float("inf")

    def add(self, value: float, time: float) -> float:
        if time - self.start >= 2 * WINDOW_SECONDS:
            self.start, self.now, self.before = time, float("inf"), float("inf")
        elif time - self.start >= WINDOW_SECONDS:
            self.start, self.now, self.before = time, float("inf"), self.now
        self.now = min(self.now, value)
        return min(self.now, self.before)


class Queueing:
    """
    The usual times of each target.

    :param clock: gives the time, seconds.
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic):
        self.clock = clock
        self.firsts: dict[tuple[str, int], _Least] = {}
        self.gaps: dict[str, _Least] = {}

    def wait(self, target: str, prompt: int, seconds: float, gap: float) -> float:
        """
        Tell how much of the time to a first token was spent in a queue.

        :param target: name of the model.
        :param prompt: its tokens.
        :param seconds: from sending the prompt to the first token.
        :param gap: time between tokens of running streams now, 0 if none runs.
        :return: seconds, 0 if it came as soon as it can.
        """
        now = self.clock()
        place = (target, prompt.bit_length())
        first = self.firsts.setdefault(place, _Least(start=now)).add(seconds, now)
        batching = 0.0
        if gap:
            least = self.gaps.setdefault(target, _Least(start=now)).add(gap, now)
            batching = gap - least
        return max(0.0, seconds - first - batching)
