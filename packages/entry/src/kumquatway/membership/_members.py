"""
Members.

This entry's replica of the membership, joined from three sources.

The platform's list names VMs, late. Each agent tells its own status. Requests and
heartbeats show which addresses answer. A VM that any source calls leaving leaves, until
that source speaks of a later life of it; one that only the list forgets stays while its
agent is heard.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass

from kumquatway_core.platform import VM, VMKind
from kumquatway_core.wire import Status, VMState

FORGET_AFTER = 900.0  # seconds without the list and without the agent
LIST_SETTLES = 60.0  # seconds after which a list that says live again is believed


@dataclass(kw_only=True, slots=True)
class Member:
    """
    What is known of one VM.

    :param vm: its name.
    :param address: where its agent listens.
    :param status: the newest status of its newest incarnation, or None.
    :param listed: the platform lists it.
    :param listed_address: where the platform says that its agent listens, or "".
    :param list_leaving: the platform called it leaving.
    :param left: the incarnation that was known when it began to say so.
    :param listed_live: monotonic seconds since when it says live again, or None.
    :param heard: monotonic seconds of the last sign of it.
    """

    vm: str
    address: str
    status: Status | None = None
    listed: bool = False
    listed_address: str = ""
    list_leaving: bool = False
    left: int = 0
    listed_live: float | None = None
    heard: float = 0.0

    def incarnation(self) -> int:
        """
        Tell the life of the agent that is known.

        :return: its number, 0 before the first status.
        """
        return self.status.incarnation if self.status else 0

    def state(self) -> VMState:
        """
        Join the sources.

        :return: leaving wins over live.
        """
        if self.list_leaving:
            return VMState.LEAVING
        return self.status.state if self.status else VMState.SICK


class Members:
    """
    Every VM that this entry knows.

    :param on_change: called with a member whose state, incarnation or holdings
        changed.
    :param on_join: called with a member that is new, or listed at a new address.
    :param clock: monotonic seconds.
    """

    def __init__(
        self,
        *,
        on_change: Callable[[Member], None] = lambda member: None,
        on_join: Callable[[Member], None] = lambda member: None,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.on_change = on_change
        self.on_join = on_join
        self.clock = clock
        self.by_vm: dict[str, Member] = {}
        self.entries: dict[str, VM] = {}
        self.version = 0

    def take_list(self, vms: tuple[VM, ...]) -> None:
        """
        Take in the platform's list; an empty one is not believed.

        :param vms: as listed.
        """
        if not vms:
            return
        self.entries = {vm.name: vm for vm in vms if vm.kind is VMKind.ENTRY}
        upstreams = {vm.name: vm for vm in vms if vm.kind is VMKind.UPSTREAM}
        for member in self.by_vm.values():
            member.listed = member.vm in upstreams
        for vm in upstreams.values():
            self._take_listed(vm)
        self._forget()

    def take_status(self, status: Status) -> bool:
        """
        Take in what an agent says; older news changes nothing.

        :param status: as received.
        :return: whether it was news.
        """
        member = self.by_vm.get(status.vm)
        if member is None:
            member = Member(vm=status.vm, address=status.address)
            self.by_vm[status.vm] = member
            self.on_join(member)
        known = member.status
        if known is not None and _order(status) < _order(known):
            return False
        member.status = status
        member.address = status.address
        member.heard = self.clock()
        if known is None or _order(status) > _order(known):
            self._changed(member)
        return True

    def live(self) -> list[Member]:
        """
        List the VMs that may take new work.

        :return: members whose agent reported and that nobody calls leaving.
        """
        return [
            member
            for member in self.by_vm.values()
            if member.status is not None and member.state() is VMState.LIVE
        ]

    def find(self, address: str) -> Member | None:
        """
        Find a VM by the address of its agent.

        :param address: `host:port`.
        :return: None if no VM has it.
        """
        for member in self.by_vm.values():
            if member.address == address:
                return member
        return None

    def _take_listed(self, vm: VM) -> None:
        member = self.by_vm.get(vm.name)
        if member is None:
            member = Member(vm=vm.name, address=vm.address, heard=self.clock())
            self.by_vm[vm.name] = member
        member.listed = True
        if vm.address != member.listed_address:
            member.listed_address = vm.address
            self.on_join(member)
        self._take_leaving(member, vm.state is VMState.LEAVING)

    def _take_leaving(self, member: Member, leaving: bool) -> None:
        """Take leaving at once, and live only of a later life: the list lags."""
        if leaving:
            member.listed_live = None
        elif member.list_leaving and not self._is_back(member):
            return
        if leaving != member.list_leaving:
            member.list_leaving = leaving
            member.left = member.incarnation()
            self._changed(member)

    def _is_back(self, member: Member) -> bool:
        now = self.clock()
        if member.listed_live is None:
            member.listed_live = now
        settled = now - member.listed_live >= LIST_SETTLES
        return settled or member.incarnation() > member.left

    def _forget(self) -> None:
        """Forget VMs that neither the list nor their agent speaks of."""
        now = self.clock()
        for member in list(self.by_vm.values()):
            if member.listed or now - member.heard < FORGET_AFTER:
                continue
            del self.by_vm[member.vm]
            self._changed(member)

    def _changed(self, member: Member) -> None:
        self.version += 1
        self.on_change(member)


def _order(status: Status) -> tuple[int, int]:
    return status.incarnation, status.version
