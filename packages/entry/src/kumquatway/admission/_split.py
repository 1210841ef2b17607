"""
Split.

Divides the limits of the accounts between the entries, by observed demand.
"""

import hashlib
import time
from collections import defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio

from kumquatway.admission._demand import Demand
from kumquatway.admission._grants import GRANT_SECONDS, Owner
from kumquatway_core.wire import AccountDemand, Demands, Grants

PERIOD_SECONDS = 1.0
MAX_ITEMS = 512
REPORT_SHARE = 0.05
OVERDRAFT = 1.25

Exchange = Callable[[str, Demands], Awaitable[Grants | None]]


@dataclass(frozen=True, kw_only=True, slots=True)
class _Part:
    """A part of an account's rate, as granted."""

    part: float
    stamp: float


def owner_of(account: str, entries: tuple[str, ...]) -> str:
    """
    Find the entry that grants an account's parts, by rendezvous hashing.

    :param account: name of the client account.
    :param entries: the live entries, at least one.
    :return: the owner.
    """
    return max(
        entries,
        key=lambda entry: hashlib.blake2b(
            f"{entry}/{account}".encode(), digest_size=8
        ).digest(),
    )


class Split:
    """
    This entry's parts of the accounts' limits.

    :param entry: this entry's address.
    :param entries: gives the addresses of the live entries, this one among them.
    :param exchange: sends demands to an owner; None if it is silent.
    :param clock: gives the time, seconds.
    """

    def __init__(
        self,
        *,
        entry: str,
        entries: Callable[[], tuple[str, ...]],
        exchange: Exchange,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.entry = entry
        self.entries = entries
        self.exchange = exchange
        self.clock = clock
        self.demand = Demand(clock=clock)
        self.owner = Owner(clock=clock)
        self.parts: dict[str, _Part] = {}

    def share(self, account: str) -> float:
        """
        Give this entry's part of an account's limits.

        :param account: name of the client account.
        :return: the granted part, else an even one with a small overdraft, 0 to 1.
        """
        granted = self.parts.get(account)
        if granted is not None:
            return granted.part
        return self._even()

    def answer(self, demands: Demands) -> Grants:
        """
        Grant another entry its parts.

        :param demands: what it asks for.
        :return: one part for each item.
        """
        return self.owner.answer(demands)

    async def round(self) -> None:
        """Ask the owners once for the parts of the active accounts."""
        self.demand.decay()
        self.owner.sweep()
        self.owner.follow(self.entries())
        self._expire()
        async with anyio.create_task_group() as tasks:
            for owner, items in self._by_owner().items():
                tasks.start_soon(self._ask, owner, items)

    async def run(self, sleep: Callable[[float], Awaitable[None]] = anyio.sleep):
        """
        Ask in each period until cancelled.

        :param sleep: waits for a number of seconds.
        """
        while True:
            await sleep(PERIOD_SECONDS)
            await self.round()

    def reported(self) -> list[str]:
        """
        Choose the accounts to ask for.

        :return: those above the threshold or with a grant, of the highest demand.
        """
        threshold = REPORT_SHARE / len(self.entries())
        levels = self.demand.levels
        active = [
            account
            for account, level in levels.items()
            if level > threshold or account in self.parts
        ]
        active.sort(key=levels.__getitem__, reverse=True)
        return active[:MAX_ITEMS]

    async def _ask(self, owner: str, items: tuple[AccountDemand, ...]) -> None:
        demands = Demands(entry=self.entry, items=items)
        if owner == self.entry:
            grants = self.answer(demands)
        else:
            grants = await self.exchange(owner, demands)
        now = self.clock()
        if grants is None:
            self._fall_back(items, now)
            return
        for item, part in zip(items, grants.shares, strict=True):
            self.parts[item.account] = _Part(part=part, stamp=now)

    def _fall_back(self, items: tuple[AccountDemand, ...], now: float) -> None:
        # The last grant stays until it expires; then an even part without the
        # overdraft, since the other entries may be cut off too.
        even = _Part(part=1.0 / len(self.entries()), stamp=now)
        for item in items:
            self.parts.setdefault(item.account, even)

    def _by_owner(self) -> dict[str, tuple[AccountDemand, ...]]:
        entries = self.entries()
        by_owner: dict[str, list[AccountDemand]] = defaultdict(list)
        for account in self.reported():
            item = AccountDemand(
                account=account,
                demand=self.demand.levels[account],
                current_share=self.share(account),
            )
            by_owner[owner_of(account, entries)].append(item)
        return {owner: tuple(items) for owner, items in by_owner.items()}

    def _even(self) -> float:
        return min(1.0, OVERDRAFT / len(self.entries()))

    def _expire(self) -> None:
        # The owner frees a grant after the same time, so that a silent entry
        # stops using it no later than others may get it.
        now = self.clock()
        self.parts = {
            account: granted
            for account, granted in self.parts.items()
            if now - granted.stamp < GRANT_SECONDS - PERIOD_SECONDS
        }
