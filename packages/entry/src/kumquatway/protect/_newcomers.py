"""
Newcomers.

The weight of upstreams that began to serve a short time ago.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass

from kumquatway.protect._slow_start import RAMP_SECONDS, slow_start


@dataclass(frozen=True, kw_only=True, slots=True)
class _Life:
    """One life of an upstream, and since when it serves."""

    incarnation: int
    since: float


class Newcomers:
    """
    When each upstream was first seen in its life.

    :param clock: monotonic seconds.
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic):
        self.clock = clock
        self.born = clock()
        self.lives: dict[str, _Life] = {}

    def see(self, upstream: str, incarnation: int) -> None:
        """
        Learn that an upstream may take work.

        :param upstream: its name.
        :param incarnation: of its agent.
        """
        known = self.lives.get(upstream)
        if known is None or known.incarnation != incarnation:
            now = self.clock()
            self.lives[upstream] = _Life(incarnation=incarnation, since=now)

    def forget(self, upstream: str) -> None:
        """
        Forget an upstream that is gone.

        :param upstream: its name.
        """
        self.lives.pop(upstream, None)

    def weight(self, upstream: str) -> float:
        """
        Weigh an upstream.

        :param upstream: its name.
        :return: the factor of its weight, up to 1.
        """
        life = self.lives.get(upstream)
        # What this entry met at its own start may have served for long.
        if life is None or life.since - self.born < RAMP_SECONDS:
            return 1.0
        return slow_start(self.clock() - life.since)
