"""
Groups.

The outliers of each group of upstreams that serve the same work.
"""

import time
from collections.abc import Callable, Hashable, Mapping

from kumquatway.protect._outliers import Outliers

OUT_SECONDS = 0.05  # for which the upstreams that are out are not looked for again


class Groups:
    """
    Outliers by group; an upstream may be in several.

    :param clock: monotonic seconds.
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic):
        self.clock = clock
        self.groups: dict[Hashable, Outliers] = {}
        self.found: frozenset[str] = frozenset()
        self.until = 0.0

    def keep(self, members: Mapping[Hashable, tuple[str, ...]]) -> None:
        """
        Set the groups and their members; records of those that stay are kept.

        :param members: names of the upstreams of each group.
        """
        self.groups = {
            name: self.groups.get(name) or Outliers(clock=self.clock)
            for name in members
        }
        for name, upstreams in members.items():
            self.groups[name].keep(upstreams)
        self.until = 0.0

    def out(self) -> frozenset[str]:
        """
        Find the upstreams that get no work now.

        :return: names; each group keeps its floor.
        """
        now = self.clock()
        if now >= self.until:
            found = [outliers.out() for outliers in self.groups.values()]
            self.found = frozenset().union(*found)
            self.until = now + OUT_SECONDS
        return self.found

    def start(self, upstream: str) -> None:
        """
        Note that an attempt goes out.

        :param upstream: its upstream.
        """
        for outliers in self._of(upstream):
            outliers.start(upstream)

    def end(self, upstream: str, *, well: bool, seconds: float = 0.0) -> None:
        """
        Note how an attempt ended.

        :param upstream: its upstream.
        :param well: False if it failed by the upstream's fault.
        :param seconds: how long it took; 0 where that says nothing of it.
        """
        for outliers in self._of(upstream):
            outliers.end(upstream, well=well, seconds=seconds)

    def _of(self, upstream: str) -> list[Outliers]:
        return [found for found in self.groups.values() if upstream in found.records]
