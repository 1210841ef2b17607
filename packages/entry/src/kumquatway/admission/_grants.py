"""
Grants.

The owner's side of a split: grants of an account never add up to more than 1.
"""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from kumquatway_core.wire import AccountDemand, Demands, Grants

GRANT_SECONDS = 4.0
LEARN_SECONDS = 1.5
EVEN_PART = 0.05
LOST_SECONDS = 60.0
LOST_DEMAND = 0.01


@dataclass(kw_only=True, slots=True)
class _Holder:
    """One entry's last word on an account."""

    demand: float
    part: float
    stamp: float
    lost: bool = False


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
        return Grants(shares=tuple(parts), round_number=demands.round_number)

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
        for ledger in self.ledgers.values():
            self._expire(ledger, now)
        self.ledgers = {
            account: ledger
            for account, ledger in self.ledgers.items()
            if ledger.holders
        }

    def _grant(self, entry: str, item: AccountDemand, now: float) -> float:
        ledger = self.ledgers.get(item.account)
        if ledger is None:
            ledger = self.ledgers[item.account] = _Ledger()
        self._expire(ledger, now)
        others = [holder for name, holder in ledger.holders.items() if name != entry]
        heard = [holder for holder in others if not holder.lost]
        wanted = self._target(item.demand, heard)
        if now - self.changed < LEARN_SECONDS:
            # A new owner does not know yet what its predecessor granted.
            wanted = min(wanted, item.current_share)
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
        kept = {}
        for name, holder in ledger.holders.items():
            age = now - holder.stamp
            if age < GRANT_SECONDS:
                kept[name] = holder
            elif age < LOST_SECONDS and self._cut_off(name, holder):
                kept[name] = replace(holder, part=1.0 / len(self.entries), lost=True)
        ledger.holders = kept

    def _cut_off(self, name: str, holder: _Holder) -> bool:
        # An idle entry's demand fades before it stops to report; one that goes
        # silent in use falls back to an even part, which must stay free for it.
        return holder.demand > LOST_DEMAND and name in self.entries
