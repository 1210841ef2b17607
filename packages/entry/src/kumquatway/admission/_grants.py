"""
Grants.

The owner's side of a split: grants of an account never add up to more than 1.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

GRANT_SECONDS = 4.0
LEARN_SECONDS = 1.5
FORGET_SECONDS = 10.0
EVEN_PART = 0.05


class DemandItem(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    What one entry asks for of one account.

    :param account: name of the client account.
    :param demand: smoothed demand, 1 is the account's configured rate.
    :param held: the part of the rate that it may use now.
    """

    account: str
    demand: float
    held: float


class Demands(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What one entry asks for of the accounts of one owner."""

    entry: str
    items: tuple[DemandItem, ...]


class Grants(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The parts of the accounts' rates, in the order of the items asked for."""

    parts: tuple[float, ...]


@dataclass(kw_only=True, slots=True)
class _Holder:
    """One entry's last word on an account."""

    demand: float
    part: float
    stamp: float


@dataclass(kw_only=True, slots=True)
class _Ledger:
    """Who holds which part of one account's rate."""

    holders: dict[str, _Holder] = field(default_factory=dict)


class Owner:
    """
    Grants parts of the rates of the accounts that hash to this entry.

    :param clock: gives the time, seconds.
    """

    def __init__(self, *, clock: Callable[[], float]):
        self.clock = clock
        self.entries: tuple[str, ...] = ()
        self.changed = clock()
        self.ledgers: dict[str, _Ledger] = {}

    def answer(self, demands: Demands) -> Grants:
        """
        Grant an entry its parts.

        :param demands: what the entry asks for.
        :return: one part for each item, 0 to 1.
        """
        now = self.clock()
        parts = [self._grant(demands.entry, item, now) for item in demands.items]
        return Grants(parts=tuple(parts))

    def follow(self, entries: tuple[str, ...]) -> None:
        """
        Grant with care for a while after owners may have changed.

        :param entries: the live entries.
        """
        if entries != self.entries:
            self.entries = entries
            self.changed = self.clock()

    def sweep(self) -> None:
        """Forget the accounts that nobody asks for."""
        now = self.clock()
        self.ledgers = {
            account: ledger
            for account, ledger in self.ledgers.items()
            if any(
                now - holder.stamp < FORGET_SECONDS
                for holder in ledger.holders.values()
            )
        }

    def _grant(self, entry: str, item: DemandItem, now: float) -> float:
        ledger = self.ledgers.get(item.account)
        if ledger is None:
            ledger = self.ledgers[item.account] = _Ledger()
        self._expire(ledger, now)
        others = [holder for name, holder in ledger.holders.items() if name != entry]
        wanted = self._target(item.demand, others)
        if now - self.changed < LEARN_SECONDS:
            # A new owner does not know yet what its predecessor granted.
            wanted = min(wanted, item.held)
        free = 1.0 - sum(holder.part for holder in others)
        part = max(0.0, min(wanted, free))
        ledger.holders[entry] = _Holder(demand=item.demand, part=part, stamp=now)
        return part

    def _target(self, demand: float, others: list[_Holder]) -> float:
        total = demand + sum(holder.demand for holder in others)
        even = 1.0 / (len(others) + 1)
        if total <= 0:
            return even
        return demand / total * (1.0 - EVEN_PART) + EVEN_PART * even

    def _expire(self, ledger: _Ledger, now: float) -> None:
        ledger.holders = {
            name: holder
            for name, holder in ledger.holders.items()
            if now - holder.stamp < GRANT_SECONDS
        }
