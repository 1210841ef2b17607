"""
Subset.

The upstreams that this entry uses of each group that serves the same work.
"""

from collections import defaultdict
from collections.abc import Callable, Iterator, Mapping

import xxhash

from kumquatway.membership._members import Member, Members

SUBSET = 24  # upstreams of one range of a model, or of one plain service

Group = tuple[str, str, int, int]


class Subset:
    """
    A choice by the hash of entry and VM, so that entries spread over the upstreams.

    One that is down or leaves is replaced by the next in the order; all others stay.

    :param entry: address of this entry.
    :param members: the replica.
    :param is_down: tells whether an address is known not to answer.
    :param on_new: called with each member that comes into use.
    :param on_groups: called with the names in each group once they are chosen.
    :param size: upstreams of one group.
    """

    def __init__(
        self,
        *,
        entry: str,
        members: Members,
        is_down: Callable[[str], bool],
        on_new: Callable[[Member], None] = lambda member: None,
        on_groups: Callable[[Mapping], None] = lambda groups: None,
        size: int = SUBSET,
    ):
        self.entry = entry
        self.members = members
        self.is_down = is_down
        self.on_new = on_new
        self.on_groups = on_groups
        self.size = size
        self.chosen: dict[str, Member] = {}
        self.groups: dict[Group, tuple[str, ...]] = {}
        self.stale = True
        self.version = 0

    def usable(self) -> list[Member]:
        """
        List the upstreams that this entry sends new work to.

        :return: live members that answer; at most `size` of each group, all if fewer.
        """
        if self.stale or self.version != self.members.version:
            self._choose()
        return list(self.chosen.values())

    def _choose(self) -> None:
        self.stale = False
        self.version = self.members.version
        before = self.chosen
        self.chosen = {}
        self.groups = {}
        for name, group in self._groups().items():
            used = sorted(group, key=self._rank)[: self.size]
            self.groups[name] = tuple(member.vm for member in used)
            self.chosen.update((member.vm, member) for member in used)
        self.on_groups(self.groups)
        for vm, member in self.chosen.items():
            if vm not in before:
                self.on_new(member)

    def _groups(self) -> dict[Group, list[Member]]:
        groups: dict[Group, list[Member]] = defaultdict(list)
        for member in self.members.live():
            if self.is_down(member.address):
                continue
            for group in _groups_of(member):
                groups[group].append(member)
        return groups

    def _rank(self, member: Member) -> int:
        return xxhash.xxh64_intdigest(f"{self.entry}/{member.vm}".encode())


def _groups_of(member: Member) -> Iterator[Group]:
    status = member.status
    if status.service:
        yield status.service, "", 0, 0
    for holding in status.holdings:
        yield holding.model, holding.version, holding.first, holding.end
