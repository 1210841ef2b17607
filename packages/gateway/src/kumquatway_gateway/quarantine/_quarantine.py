"""
Keeps requests that crash servers away from them, over all entries.
"""

import random
import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from loguru import logger

from kumquatway_gateway.fleet import Fleet
from kumquatway_gateway.model import Server
from kumquatway_gateway.quarantine._culprits import find_culprits
from kumquatway_gateway.quarantine._evidence import (
    Crash,
    Evidence,
    Progress,
    Survivals,
)

BLOCK_SECONDS = 600.0  # for which a set of features is blocked
MAX_BLOCKS = 64  # sets of features; the oldest one is dropped first
# Within which a server must be known to have ended after a response broke off. A server
# that is silent stays on the list for up to 4 s.
CONFIRMATION_SECONDS = 10.0
MAX_UNCONFIRMED = 256  # broken-off responses
MAX_LOGGED_SUSPECTS = 4  # of a crash


@dataclass(kw_only=True, slots=True)
class Block:
    """
    A set of features whose requests reach no server.

    :param since: when it was blocked first, monotonic seconds.
    :param stored: whether it is known to be in the store.
    """

    since: float
    stored: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class _BrokenOff:
    """A response that broke off, on servers that are not known to have ended."""

    servers: tuple[Server, ...]
    features: frozenset[str]
    progress: Progress
    at: float


class Quarantine:
    """
    The requests that reach no server, and the evidence against others.

    :param fleet: state of the servers.
    :param clock: monotonic seconds.
    """

    def __init__(self, *, fleet: Fleet, clock: Callable[[], float] = time.monotonic):
        self.fleet = fleet
        self.clock = clock
        self.survivals = Survivals(clock=clock)
        self.evidence = Evidence(survivals=self.survivals, clock=clock)
        self.blocks: dict[frozenset[str], Block] = {}
        self.generation = 0  # incremented with each new block
        self.unconfirmed: list[_BrokenOff] = []
        # Called with what became of each broken-off response.
        self.on_outcome: Callable[[str], None] = lambda outcome: None
        # Called on evidence that this entry found itself.
        self.on_local_change: Callable[[], None] = lambda: None

    def seconds_blocked(self, features: frozenset[str]) -> float:
        """
        Return for how long requests with these features reach no server.

        :param features: features of a request.
        :return: seconds; 0 if they are not blocked.
        """
        if not self.blocks:
            return 0.0
        self._drop_expired()
        ends = (
            block.since + BLOCK_SECONDS
            for blocked, block in self.blocks.items()
            if blocked <= features
        )
        return max(0.0, max(ends, default=0.0) - self.clock())

    def record_survival(self, features: frozenset[str]) -> None:
        """
        Record that an answer got past its beginning.

        :param features: features of the request.
        """
        self.survivals.record(features)
        for blocked in [names for names in self.blocks if names <= features]:
            self._lift(blocked)

    def record_broken_off(
        self, servers: tuple[Server, ...], features: frozenset[str], progress: Progress
    ) -> None:
        """
        Record that a response broke off; it counts once one of the servers has ended.

        :param servers: servers that worked on the request.
        :param features: features of the request.
        :param progress: how far the response was.
        """
        # The end of a server that leaves needs no other cause.
        present = tuple(s for s in servers if not self.fleet.is_leaving(s))
        if not progress or not present:
            return
        broken_off = _BrokenOff(
            servers=present, features=features, progress=progress, at=self.clock()
        )
        self.unconfirmed = [*self.unconfirmed, broken_off][-MAX_UNCONFIRMED:]
        self.confirm_crashes()

    def confirm_crashes(self) -> None:
        """Turn broken-off responses into evidence where a server has ended."""
        if not self.unconfirmed:
            return
        waiting = []
        news = False
        cutoff = self.clock() - CONFIRMATION_SECONDS
        for broken_off in self.unconfirmed:
            ended = next(filter(self._has_ended, broken_off.servers), None)
            if ended is not None:
                named = self.evidence.without_innocents(broken_off.features)
                suspect = (named, int(broken_off.progress))
                server = (ended.id, ended.incarnation)
                news |= self.evidence.add(server, [suspect], broken_off.at)
                self.on_outcome("crash")
                self._log_suspect(ended, broken_off)
            elif broken_off.at >= cutoff:
                waiting.append(broken_off)
            else:
                self.on_outcome("server lives")
        self.unconfirmed = waiting
        if news:
            self._judge()
            self.on_local_change()

    def _log_suspect(self, ended: Server, broken_off: _BrokenOff) -> None:
        """Log a suspect of a crash, up to a few of each."""
        crash = self.evidence.crashes[ended.id, ended.incarnation]
        if len(crash.suspects) > MAX_LOGGED_SUSPECTS:
            return
        logger.info(
            "server {} ended {:.2f} s ago with a request in progress ({}): {}",
            ended.id,
            self.clock() - broken_off.at,
            broken_off.progress.name.lower(),
            ", ".join(
                f"{feature} at {crashes} crash(es), survived {survivals}"
                for feature, crashes, survivals in self.evidence.describe(
                    broken_off.features
                )
            ),
        )

    def _has_ended(self, server: Server) -> bool:
        known = self.fleet.servers.get(server.id)
        if known is not None and known.incarnation != server.incarnation:
            return True
        return self.fleet.has_ended(server.id)

    def recent_crashes(self, seconds: float) -> list[tuple[tuple[str, int], Crash]]:
        """
        Return the crashes that peers should hear of, newest first.

        :param seconds: how long ago this entry may have learned of them.
        :return: ID and incarnation of the server, and what is known of its crash.
        """
        cutoff = self.clock() - seconds
        crashes = self.evidence.crashes.items()
        recent = [item for item in crashes if item[1].updated_at >= cutoff]
        return sorted(recent, key=lambda item: item[1].updated_at, reverse=True)

    def receive_crash(
        self,
        server: tuple[str, int],
        suspects: Iterable[tuple[frozenset[str], int]],
        age: float,
    ) -> None:
        """
        Add what a peer knows of a crash.

        :param server: ID and incarnation of the server.
        :param suspects: features and weights of requests that were in progress there.
        :param age: seconds since the crash was first known.
        """
        if self.evidence.add(server, suspects, self.clock() - max(0.0, age)):
            self._judge()

    def receive_survivals(self, survivals: Mapping[str, int]) -> None:
        """
        Take note of requests that got through at a peer.

        :param survivals: how often requests with a feature got through there.
        """
        for feature, count in survivals.items():
            self.survivals.hear(feature, count)
        for blocked in [names for names in self.blocks if self._gets_through(names)]:
            self._lift(blocked)

    def _gets_through(self, features: frozenset[str]) -> bool:
        """Tell whether each of the features was in a request that got through."""
        return all(self.survivals.count(feature) for feature in features)

    def _lift(self, blocked: frozenset[str]) -> None:
        logger.warning("requests with {} get through again", _describe(blocked))
        del self.blocks[blocked]

    def sample_blocks(self, count: int) -> list[tuple[frozenset[str], Block]]:
        """
        Choose blocks to tell a peer of: the newest one, and others at random.

        :param count: highest number of blocks.
        """
        self._drop_expired()
        blocks = sorted(self.blocks.items(), key=lambda item: -item[1].since)
        if len(blocks) <= count:
            return blocks
        return blocks[:1] + random.sample(blocks[1:], count - 1)

    def receive_block(
        self, features: frozenset[str], age: float, *, stored: bool
    ) -> None:
        """
        Adopt a block that a peer or the store knows of.

        :param features: the set of features.
        :param age: seconds since it was blocked first.
        :param stored: whether it is in the store.
        """
        age = max(0.0, age)
        if not features or age >= BLOCK_SECONDS:
            return
        # Another entry may have seen too little of them.
        if self._gets_through(features):
            return
        since = self.clock() - age
        known = self.blocks.get(features)
        if known is None:
            self._add(features, since, stored=stored)
            return
        known.since = min(known.since, since)
        known.stored = known.stored or stored

    def _judge(self) -> None:
        """Block what the evidence shows to crash servers."""
        crashes = self.evidence.crashes.values()
        for features in find_culprits(crashes, self.survivals.count):
            if features not in self.blocks:
                self._add(features, self.clock(), stored=False)

    def _add(self, features: frozenset[str], since: float, *, stored: bool) -> None:
        logger.warning(
            "requests with {} crash servers; they reach no server for {:.0f} s",
            _describe(features),
            since + BLOCK_SECONDS - self.clock(),
        )
        self.blocks[features] = Block(since=since, stored=stored)
        if len(self.blocks) > MAX_BLOCKS:
            del self.blocks[min(self.blocks, key=lambda key: self.blocks[key].since)]
        self.generation += 1

    def _drop_expired(self) -> None:
        cutoff = self.clock() - BLOCK_SECONDS
        for features in [f for f, b in self.blocks.items() if b.since <= cutoff]:
            del self.blocks[features]


def _describe(features: frozenset[str]) -> str:
    return " and ".join(sorted(features))
