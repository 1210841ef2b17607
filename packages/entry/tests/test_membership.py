"""Tests of the membership: a state machine, the subset in use, the subscriptions."""

import random

import msgspec
import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from kumquatway.membership import Members, Subset, Watcher
from kumquatway.membership._members import FORGET_AFTER, LIST_SETTLES
from kumquatway.membership._watch import MAX_PROBES, SLOW_REFRESH
from kumquatway_core.platform import VM, VMKind
from kumquatway_core.wire import Holding, Status, Subscribe, VMState

NAMES = ("a", "b", "c")
VMS = st.sampled_from(NAMES)


def listed(name, state=VMState.LIVE, address=""):
    return VM(name=name, address=address or name, data_centre="d", state=state)


def status(vm, incarnation=1, version=1, state=VMState.LIVE, **more):
    return Status(
        vm=vm,
        address=vm,
        incarnation=incarnation,
        data_centre="d",
        accelerator="any",
        state=state,
        version=version,
        **more,
    )


class MembersMachine(RuleBasedStateMachine):
    """Lists that lag and go back, agents that restart, news out of order."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.changes = []
        self.members = Members(on_change=self.changes.append, clock=lambda: self.now)
        self.platform = {name: listed(name) for name in NAMES}
        self.lists = [tuple(self.platform.values())]
        self.sent = {name: [status(name)] for name in NAMES}
        self.taken = {}
        self.heard = {}
        self.said_leaving = {}

    def publish(self):
        self.lists.append(tuple(self.platform.values()))

    @rule(vm=VMS)
    def platform_says_leaving(self, vm):
        if vm in self.platform:
            self.platform[vm] = listed(vm, VMState.LEAVING)
            self.publish()

    @rule(vm=VMS)
    def platform_removes(self, vm):
        self.platform.pop(vm, None)
        self.publish()

    @rule(vm=VMS)
    def vm_is_back_with_a_new_agent(self, vm):
        last = self.sent[vm][-1]
        self.sent[vm].append(status(vm, incarnation=last.incarnation + 1))
        self.platform[vm] = listed(vm)
        self.publish()

    @rule(vm=VMS, state=st.sampled_from(VMState))
    def agent_changes(self, vm, state):
        last = self.sent[vm][-1]
        changed = msgspec.structs.replace(last, version=last.version + 1, state=state)
        self.sent[vm].append(changed)

    @rule(vm=VMS, back=st.integers(0, 3))
    def status_arrives(self, vm, back):
        sent = self.sent[vm]
        found = sent[max(0, len(sent) - 1 - back)]
        news = self.members.take_status(found)
        order = (found.incarnation, found.version)
        if vm not in self.taken or order >= self.taken[vm][:2]:
            self.taken[vm] = (*order, found.state)
            self.heard[vm] = self.now
            assert news
        else:
            assert not news

    @rule(back=st.integers(0, 4))
    def list_arrives(self, back):
        found = self.lists[max(0, len(self.lists) - 1 - back)]
        self.members.take_list(found)
        if not found:
            return
        for vm in found:
            leaving = vm.state is VMState.LEAVING
            known = self.taken.get(vm.name, (0,))[0]
            if leaving and vm.name not in self.said_leaving:
                self.said_leaving[vm.name] = [known, None]
            elif leaving:
                self.said_leaving[vm.name][1] = None
            elif vm.name in self.said_leaving:
                left, since = self.said_leaving[vm.name]
                since = self.now if since is None else since
                self.said_leaving[vm.name][1] = since
                if known > left or self.now - since >= LIST_SETTLES:
                    del self.said_leaving[vm.name]
        names = {vm.name for vm in found}
        for vm in list(self.said_leaving):
            if vm not in self.members.by_vm:
                del self.said_leaving[vm]
        for vm in list(self.taken):
            if vm not in self.members.by_vm:
                assert vm not in names
                assert self.now - self.heard[vm] >= FORGET_AFTER
                del self.taken[vm]

    @rule(seconds=st.sampled_from((1.0, LIST_SETTLES, FORGET_AFTER)))
    def time_passes(self, seconds):
        self.now += seconds

    @rule()
    @precondition(lambda self: self.members.by_vm)
    def an_empty_list_changes_nothing(self):
        before = dict(self.members.by_vm)
        self.members.take_list(())
        assert self.members.by_vm == before

    @invariant()
    def new_work_goes_to_live_vms_that_nobody_calls_leaving(self):
        live = {member.vm for member in self.members.live()}
        wanted = {
            vm
            for vm, (_, _, state) in self.taken.items()
            if state is VMState.LIVE and vm not in self.said_leaving
        }
        assert live == wanted

    @invariant()
    def the_newest_life_is_kept(self):
        for vm, (incarnation, version, _) in self.taken.items():
            found = self.members.by_vm[vm].status
            assert (found.incarnation, found.version) == (incarnation, version)


TestMembersMachine = MembersMachine.TestCase
TestMembersMachine.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=40, deadline=None
)


class TestMembers:
    """What lists and agents say of one VM."""

    def setup_method(self):
        self.now = 0.0
        self.joined = []
        self.members = Members(
            on_join=lambda member: self.joined.append(member.listed_address),
            clock=lambda: self.now,
        )

    def test_a_vm_that_the_list_calls_leaving_gets_no_new_work(self):
        self.members.take_list((listed("a"),))
        self.members.take_status(status("a"))
        assert self.members.live()
        self.members.take_list((listed("a", VMState.LEAVING),))
        assert not self.members.live()
        self.members.take_status(status("a", version=2))
        self.members.take_status(status("a", incarnation=2))
        assert not self.members.live()
        self.members.take_list((listed("a"),))
        assert self.members.live()

    def test_a_vm_joins_once_and_again_at_another_address(self):
        for address in ("x", "x", "y"):
            self.members.take_list((listed("a", address=address),))
        assert self.joined == ["x", "y"]

    def test_entries_are_no_upstreams(self):
        entry = msgspec.structs.replace(listed("e"), kind=VMKind.ENTRY)
        self.members.take_list((entry,))
        assert not self.members.by_vm and "e" in self.members.entries


class Fleet:
    """An entry's view of many agents."""

    def __init__(self, count, entry="e", size=24):
        self.now = 0.0
        self.down = set()
        self.new = []
        self.sent = []
        self.members = Members(on_join=self.join, clock=lambda: self.now)
        self.subset = Subset(
            entry=entry,
            members=self.members,
            is_down=self.down.__contains__,
            on_new=lambda member: self.new.append(member.vm),
            size=size,
        )
        self.watcher = Watcher(
            members=self.members,
            subset=self.subset,
            send=lambda address, message: self.sent.append(address),
            address=entry,
            clock=lambda: self.now,
            random=random.Random(1),
        )
        vms = tuple(listed(f"v{index}") for index in range(count))
        self.members.take_list(vms)
        for vm in vms:
            self.members.take_status(status(vm.name, service="desk"))

    def join(self, member):
        self.watcher.join(member)

    def usable(self):
        return {member.vm for member in self.subset.usable()}

    def run(self, seconds, requests_per_second=0.0):
        """Count what is sent in a time."""
        self.sent.clear()
        for _ in range(round(seconds / 0.25)):
            self.now += 0.25
            self.watcher.requests += requests_per_second * 0.25
            self.watcher.tick()
        return len(self.sent)


class TestSubset:
    """Which upstreams an entry uses."""

    def test_a_small_group_is_used_whole(self):
        assert len(Fleet(24).usable()) == 24

    def test_a_large_group_is_used_in_part_and_each_upstream_by_some_entry(self):
        used = [Fleet(60, entry=f"e{index}").usable() for index in range(30)]
        assert {len(vms) for vms in used} == {24}
        assert len(set().union(*used)) == 60

    def test_one_that_is_down_is_replaced_and_the_others_stay(self):
        fleet = Fleet(60)
        before = fleet.usable()
        lost = min(before)
        fleet.new.clear()
        fleet.down.add(lost)
        fleet.subset.stale = True
        after = fleet.usable()
        assert lost not in after and len(after) == 24
        assert fleet.new == list(after - before) and len(fleet.new) == 1

    def test_each_range_has_a_subset(self):
        fleet = Fleet(0, size=2)
        for index in range(8):
            first = 6 * (index % 2)
            held = Holding(model="m", version="1", first=first, end=first + 6)
            fleet.members.take_status(status(f"v{index}", holdings=(held,)))
        assert len(fleet.usable()) == 4


class TestWatcher:
    """What an entry asks of agents."""

    def test_a_new_vm_is_subscribed_to_at_once(self):
        fleet = Fleet(2)
        assert sorted(fleet.sent) == ["v0", "v1"]

    def test_an_agent_that_restarts_is_subscribed_to_again(self):
        fleet = Fleet(2)
        fleet.sent.clear()
        fleet.watcher.regain("v0")
        assert fleet.sent == []
        fleet.watcher.lose("v0")
        fleet.watcher.regain("v0")
        fleet.watcher.renew("v1")
        fleet.watcher.renew("no agent")
        assert fleet.sent == ["v0", "v1"]

    @pytest.mark.parametrize("requests", [0, 2, 1000])
    def test_probes_follow_the_requests_up_to_a_bound(self, requests):
        fleet = Fleet(60)
        fleet.usable()
        sent = fleet.run(20.0, requests)
        expected = 20.0 * min(max(1.0, 2.0 * requests), MAX_PROBES)
        assert sent == pytest.approx(expected, abs=3)

    def test_the_cost_does_not_grow_with_the_requests_or_as_the_fleet(self):
        fleet = Fleet(1500)
        fleet.usable()
        seconds = 2 * SLOW_REFRESH
        sent = fleet.run(seconds, 1000)
        refreshes = sent / seconds - MAX_PROBES
        assert refreshes < 1500 / SLOW_REFRESH * 1.3 + 24 / 60 * 1.3

    def test_a_vm_that_is_gone_is_asked_no_more(self):
        fleet = Fleet(2)
        fleet.now = FORGET_AFTER
        fleet.members.take_list((listed("v0"),))
        fleet.usable()
        fleet.run(2 * SLOW_REFRESH)
        assert "v1" not in fleet.sent and "v0" in fleet.sent

    def test_the_message_names_the_entry(self):
        assert Fleet(1).watcher.message == Subscribe(address="e")
