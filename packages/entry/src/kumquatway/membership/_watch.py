"""
Watch.

Reads the platform's list, and hears of each agent's status.

An agent tells its subscribers of each change, so one subscription lasts. It is made at
the first sight of a VM and anew after a restart, and repeated seldom in case both were
missed. Only loads are asked for, of a few agents, the more the more requests come.
"""

import heapq
import random as _random
import time
from collections.abc import Awaitable, Callable

import anyio
from loguru import logger

from kumquatway.membership._members import Member, Members
from kumquatway.membership._subset import Subset
from kumquatway_core.exceptions import PlatformError
from kumquatway_core.platform import VMs
from kumquatway_core.wire import Message, Subscribe

LIST_INTERVAL = 1.0  # seconds
TICK = 0.25  # seconds
REFRESH = 60.0  # seconds, of agents in use; keeps their connections open
SLOW_REFRESH = 300.0  # seconds, of the others
JITTER = 0.2  # share of an interval, both ways
PROBES_PER_REQUEST = 2
MIN_PROBES = 1.0  # a second
MAX_PROBES = 10.0  # a second

Send = Callable[[str, Message], object]


async def watch_list(*, members: Members, read: Callable[[], Awaitable[VMs]]) -> None:
    """
    Take in the list until cancelled.

    :param members: the replica.
    :param read: reads the list.
    """
    while True:
        try:
            listed = await read()
            members.take_list(listed.vms)
        except PlatformError as error:
            logger.warning("the VM list is kept as it was: {}", error)
        await anyio.sleep(LIST_INTERVAL * _random.uniform(0.8, 1.2))


class Watcher:
    """
    The subscriptions and probes of one entry.

    :param members: the replica.
    :param subset: the members in use.
    :param send: sends a message to an address.
    :param address: of this entry.
    :param clock: monotonic seconds.
    :param random: of samples and jitter.
    """

    def __init__(
        self,
        *,
        members: Members,
        subset: Subset,
        send: Send,
        address: str,
        clock: Callable[[], float] = time.monotonic,
        random: _random.Random | None = None,
    ):
        self.members = members
        self.subset = subset
        self.send = send
        self.message = Subscribe(address=address)
        self.clock = clock
        self.random = random or _random.Random()
        self.refreshes: list[tuple[float, str]] = []
        self.down: set[str] = set()
        self.requests = 0
        self.allowance = 0.0
        self.last = clock()

    def subscribe(self, member: Member) -> None:
        """
        Ask for a member's status now and at each change.

        :param member: new to this entry, new in use, or back.
        """
        for address in {member.address, member.listed_address or member.address}:
            self.send(address, self.message)

    def join(self, member: Member) -> None:
        """
        Subscribe to a VM that was not known before, and see to it later too.

        :param member: the VM.
        """
        self.subscribe(member)
        heapq.heappush(self.refreshes, (self._next_refresh(member.vm), member.vm))

    def lose(self, address: str) -> None:
        """
        Take in that an address does not answer.

        :param address: of an agent.
        """
        self.down.add(address)

    def regain(self, address: str) -> None:
        """
        Take in that an address answers; one that was lost may have restarted.

        :param address: of an agent.
        """
        if address in self.down:
            self.down.discard(address)
            self.renew(address)

    def renew(self, address: str) -> None:
        """
        Subscribe again to an agent that restarted.

        :param address: of the agent.
        """
        if self.members.find(address) is not None:
            self.send(address, self.message)

    def count_request(self) -> None:
        """Count a request that looks for upstreams."""
        self.requests += 1

    async def run(self) -> None:
        """Refresh and probe until cancelled."""
        while True:
            await anyio.sleep(TICK)
            self.tick()

    def tick(self) -> None:
        """Send the refreshes that are due, and the probes that requests pay for."""
        now = self.clock()
        while self.refreshes and self.refreshes[0][0] <= now:
            self._refresh(heapq.heappop(self.refreshes)[1])
        self._probe(now)

    def _refresh(self, vm: str) -> None:
        member = self.members.by_vm.get(vm)
        if member is not None:
            self.subscribe(member)
            heapq.heappush(self.refreshes, (self._next_refresh(vm), vm))

    def _next_refresh(self, vm: str) -> float:
        interval = REFRESH if vm in self.subset.chosen else SLOW_REFRESH
        spread = self.random.uniform(1 - JITTER, 1 + JITTER)
        return self.clock() + interval * spread

    def _probe(self, now: float) -> None:
        passed = now - self.last
        self.last = now
        wanted = self.requests * PROBES_PER_REQUEST
        self.requests = 0
        wanted = min(max(wanted, MIN_PROBES * passed), MAX_PROBES * passed)
        self.allowance = min(self.allowance + wanted, MAX_PROBES)
        found = self.subset.usable()
        count = min(int(self.allowance), len(found))
        self.allowance -= int(self.allowance)
        for member in self.random.sample(found, count):
            self.send(member.address, self.message)
