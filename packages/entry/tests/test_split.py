"""Tests of the split of limits between entries."""

import random

import anyio
import pytest

from kumquatway.admission import AccountDemand, Admission, Ask, Demands, Split, Ticket
from kumquatway.admission._split import OVERDRAFT, owner_of
from kumquatway_core.text import Account

RATE = 100.0
STEP_SECONDS = 0.01


class Fleet:
    """Entries whose splits talk to each other directly."""

    def __init__(self, count=4):
        self.now = 0.0
        self.names = tuple(f"entry-{i}" for i in range(count))
        self.silent = set()
        self.random = random.Random(7)
        self.splits = {name: self._split(name) for name in self.names}
        spec = Account(keys=(), requests_per_second=RATE, tokens_per_second=1e9)
        self.admissions = {
            name: Admission(
                lookup=lambda account: spec,
                share=split.share,
                demand=split.demand.add,
                clock=lambda: self.now,
            )
            for name, split in self.splits.items()
        }

    def _split(self, name):
        async def exchange(owner, demands):
            if owner in self.silent or name in self.silent:
                return None
            return self.splits[owner].answer(demands)

        return Split(
            entry=name,
            entries=lambda: self.names,
            exchange=exchange,
            clock=lambda: self.now,
        )

    def run(self, seconds, rates, account="a"):
        """Offer each entry requests at its rate; return how many were admitted."""
        return anyio.run(self._run, seconds, rates, account)

    async def _run(self, seconds, rates, account):
        allowed = [0] * len(self.names)
        for step in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            for index, name in enumerate(self.names):
                # The entries' periods are not in step with each other.
                if step % 100 == index * 23 % 100:
                    await self.splits[name].round()
                allowed[index] += self._offer(name, rates[index], account)
        return allowed

    def _offer(self, name, rate, account):
        wanted = rate * STEP_SECONDS
        count = int(wanted) + (self.random.random() < wanted % 1)
        passed = 0
        for _ in range(count):
            ask = Ask(account=account, target="m", prompt_tokens=1)
            got = self.admissions[name].offer(ask, print)
            if isinstance(got, Ticket):
                got.close(1)
                passed += 1
        return passed


class TestSplit:
    """The limit over all entries."""

    @pytest.mark.parametrize(
        "rates",
        [(350, 100, 45, 5), (500, 0, 0, 0), (75, 75, 75, 75), (450, 3, 1, 1)],
    )
    def test_the_limit_holds_within_5_percent_with_skewed_load(self, rates):
        fleet = Fleet()
        fleet.run(5.0, rates)
        allowed = sum(fleet.run(20.0, rates))
        assert allowed / 20.0 / RATE == pytest.approx(1.0, abs=0.05)

    def test_it_holds_over_more_entries(self):
        fleet = Fleet(16)
        rates = [400] + [10] * 15
        fleet.run(5.0, rates)
        allowed = sum(fleet.run(20.0, rates))
        assert allowed / 20.0 / RATE == pytest.approx(1.0, abs=0.05)

    def test_it_holds_while_the_load_moves(self):
        fleet = Fleet()
        fleet.run(5.0, (400, 50, 0, 0))
        allowed = 0
        for turn in range(4):
            rates = [25.0] * 4
            rates[turn] = 400
            allowed += sum(fleet.run(10.0, rates))
        assert 0.85 <= allowed / 40.0 / RATE <= 1.05

    def test_a_load_below_the_limit_is_not_refused(self):
        fleet = Fleet()
        rates = (50, 15, 10, 0)
        fleet.run(10.0, rates)
        allowed = sum(fleet.run(20.0, rates))
        assert allowed / 20.0 >= 0.98 * sum(rates)

    def test_silent_peers_leave_the_last_grant_and_then_an_even_part(self):
        fleet = Fleet()
        owner = owner_of("a", fleet.names)
        busy = next(name for name in fleet.names if name != owner)
        rates = [450 if name == busy else 150 for name in fleet.names]
        fleet.run(6.0, rates)
        granted = fleet.splits[busy].share("a")
        assert granted > 0.4
        fleet.silent = set(fleet.names)
        fleet.run(2.0, rates)
        assert fleet.splits[busy].share("a") == granted
        fleet.run(6.0, rates)
        shares = [split.share("a") for split in fleet.splits.values()]
        assert shares == pytest.approx([0.25] * 4)
        fleet.silent = set()
        fleet.run(6.0, rates)
        assert fleet.splits[busy].share("a") == pytest.approx(granted, abs=0.1)

    def test_grants_never_add_up_to_more_than_the_limit(self):
        fleet = Fleet()
        draw = random.Random(1)
        for _ in range(20):
            fleet.run(1.0, [draw.choice([0, 50, 900]) for _ in range(4)])
            owner = fleet.splits[owner_of("a", fleet.names)].owner
            ledger = owner.ledgers["a"]
            assert sum(one.part for one in ledger.holders.values()) <= 1.0 + 1e-9

    def test_a_new_owner_grants_no_more_than_what_is_held(self):
        fleet = Fleet()
        rates = (450, 150, 150, 150)
        fleet.run(10.0, rates)
        owner = owner_of("a", fleet.names)
        fleet.silent = {owner}
        fleet.names = tuple(name for name in fleet.names if name != owner)
        live = rates[: len(fleet.names)]
        allowed = sum(fleet.run(10.0, live))
        assert allowed / 10.0 / RATE <= 1.05

    def test_an_owner_learns_before_it_grants_more(self):
        fleet = Fleet()
        owner = fleet.splits["entry-0"].owner
        owner.follow(fleet.names)
        item = AccountDemand(account="a", demand=2.0, current_share=0.3)
        demands = Demands(entry="entry-1", items=(item,))
        assert owner.answer(demands).shares == (0.3,)
        fleet.now = 2.0
        assert owner.answer(demands).shares[0] > 0.9

    def test_an_account_that_nobody_reports_has_an_even_part(self):
        fleet = Fleet()
        assert fleet.splits["entry-0"].share("b") == OVERDRAFT / 4
        fleet.run(4.0, (100, 0, 0, 0))
        fleet.run(60.0, (0, 0, 0, 0))
        assert not fleet.splits["entry-0"].parts
        assert not fleet.splits["entry-0"].demand.levels
        assert not any(split.owner.ledgers for split in fleet.splits.values())
