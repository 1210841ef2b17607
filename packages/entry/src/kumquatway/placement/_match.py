"""
Match.

Exchanges VMs that are alike, so that a layout loads fewer ranges.
"""

from collections import defaultdict
from dataclasses import dataclass, replace

from kumquatway.placement._layout import Layout
from kumquatway.placement._split import Seat, Stage
from kumquatway.placement._types import Holdings


@dataclass(frozen=True, kw_only=True, slots=True)
class _Slot:
    """A place of a VM in a stage."""

    model: str
    stage: Stage
    index: int

    @property
    def seat(self) -> Seat:
        return self.stage.seats[self.index]

    def give(self, vm: str) -> None:
        self.stage.seats[self.index] = replace(self.seat, vm=vm)


def matched(layout: Layout, current: Holdings) -> Layout:
    """
    Exchange VMs alike in kind and rack so that fewest ranges are loaded.

    A layout in which VMs serve several models is left as it is.

    :param layout: changed in place.
    :param current: what each VM has loaded, by VM.
    :return: the layout.
    """
    slots = _slots(layout)
    if len({slot.seat.vm for slot in slots}) < len(slots):
        return layout
    groups: dict[tuple[str, str, str], list[_Slot]] = defaultdict(list)
    for slot in slots:
        seat = slot.seat
        groups[seat.data_centre, seat.rack, seat.kind].append(slot)
    for group in groups.values():
        _match(group, current)
    return layout


def _slots(layout: Layout) -> list[_Slot]:
    return [
        _Slot(model=model, stage=stage, index=index)
        for model, cells in layout.items()
        for cell in cells
        for stage in cell.stages
        for index in range(len(stage.seats))
    ]


def _match(group: list[_Slot], current: Holdings) -> None:
    """Give each slot a VM that holds its range, then the rest to the rest."""
    free = {slot.seat.vm for slot in group}
    holders: dict[tuple[str, int, int], list[str]] = defaultdict(list)
    for vm in sorted(free):
        for held in current.get(vm, ()):
            holders[held.model, held.first, held.end].append(vm)
    empty = []
    for slot in group:
        key = (slot.model, slot.stage.first, slot.stage.end)
        found = [vm for vm in holders[key] if vm in free]
        if not found:
            empty.append(slot)
            continue
        vm = slot.seat.vm if slot.seat.vm in found else found[0]
        free.discard(vm)
        slot.give(vm)
    for slot, vm in zip(empty, sorted(free), strict=True):
        slot.give(vm)
