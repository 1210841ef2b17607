"""
Replays entries that exchange gossip about crashes, in virtual time.

Seeded random numbers: a seed gives the same run each time.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from functools import partial

from kumquatway_gateway.fleet import Fleet
from kumquatway_gateway.peers import Freshness, Gossip
from kumquatway_gateway.peers._gossip import (
    MAX_TARGETS,
    MAX_URGENT_TARGETS,
    MIN_SEND_INTERVAL_SECONDS,
    SEND_PERIOD_SECONDS,
    _encoder,
)
from kumquatway_gateway.quarantine import Quarantine

CHECK_SECONDS = 0.05  # between two looks of an entry for servers that ended
FRESHNESS = Freshness(configuration_age=0.1, servers_digest=5, servers_age=0.2)


class Entry:
    """One process of an entry: its quarantine and its gossip."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        entries: int,
        clock: Callable[[], float],
    ):
        self.name = name
        self.telling = False  # whether a message is about to be sent
        self.ended = False
        self.fleet = Fleet(clock=clock)
        self.quarantine = Quarantine(
            fleet=self.fleet, entry_count=lambda: entries, clock=clock
        )
        self.gossip = Gossip(
            address=name,
            incarnation=incarnation,
            fleet=self.fleet,
            quarantine=self.quarantine,
            own_loads=dict,
            revision=lambda: 1,
            freshness=lambda: FRESHNESS,
            on_message=lambda message: None,
            clock=clock,
        )


class GossipReplay:
    """
    Virtual time, and entries that hear each other.

    :param entries: number of entries.
    :param lost: share of the messages between entries that are lost.
    :param seed: of all random numbers.
    """

    def __init__(self, *, entries: int, lost: float, seed: int):
        self.lost = lost
        self.random = random.Random(seed)
        random.seed(seed)  # for the choices of gossip
        self.now = 100.0
        self.began_at = self.now
        self.queue: list = []
        self.order = itertools.count()
        self.incarnation = itertools.count(1)
        self.message_bytes = 0  # of the largest one
        self.entries = [
            self.make_entry(f"10.0.0.{n}:9", entries) for n in range(entries)
        ]

    def make_entry(self, name: str, entries: int) -> Entry:
        """Start a process of an entry."""
        entry = Entry(name, next(self.incarnation), entries, lambda: self.now)
        entry.quarantine.on_local_change = partial(self._gossip_soon, entry)
        self.after(self.random.random() * SEND_PERIOD_SECONDS, self._gossip, entry)
        self.after(CHECK_SECONDS, self._check, entry)
        return entry

    def play(self, seconds: float) -> None:
        """Let virtual time pass."""
        end = self.began_at + seconds
        while self.queue and self.queue[0][0] < end:
            self.now, _, action, arguments = heapq.heappop(self.queue)
            action(*arguments)

    def after(self, seconds: float, action: Callable, *arguments) -> None:
        """Run an action later."""
        entry = (self.now + seconds, next(self.order), action, arguments)
        heapq.heappush(self.queue, entry)

    def repeat(self, rate: float, action: Callable[[], None]) -> None:
        """Run an action at random times, with a mean rate per second."""
        if not rate:
            return

        def step():
            action()
            self.after(self.random.expovariate(rate), step)

        self.after(self.random.expovariate(rate), step)

    def is_cut_off(self, entry: Entry) -> bool:
        """Tell whether an entry hears nobody, and nobody hears it."""
        return False

    def _gossip(self, entry: Entry) -> None:
        if entry.ended:
            return
        self._tell(entry, MAX_TARGETS)
        self.after(SEND_PERIOD_SECONDS, self._gossip, entry)

    def _gossip_soon(self, entry: Entry) -> None:
        if not entry.telling:
            entry.telling = True
            self.after(MIN_SEND_INTERVAL_SECONDS, self._tell, entry, MAX_URGENT_TARGETS)

    def _tell(self, entry: Entry, targets: int) -> None:
        entry.telling = False
        if entry.ended or self.is_cut_off(entry):
            return
        data = _encoder.encode(entry.gossip._build_message())
        self.message_bytes = max(self.message_bytes, len(data))
        peers = [peer for peer in self.entries if peer is not entry]
        for peer in self.random.sample(peers, min(len(peers), targets)):
            if self.random.random() >= self.lost:
                delay = self.random.uniform(0.001, 0.05)
                self.after(delay, self._hear, peer, data)

    def _hear(self, entry: Entry, data: bytes) -> None:
        if not entry.ended and not self.is_cut_off(entry):
            entry.gossip.datagram_received(data, ("x", 1))

    def _check(self, entry: Entry) -> None:
        if not entry.ended:
            entry.quarantine.confirm_crashes()
            self.after(CHECK_SECONDS, self._check, entry)
