"""
Allot.

Gives each model VMs in proportion to its demand, in two or more data centres.

The data centres, sorted by region, form a line as long as their joint speed. Each
model lays half of what it wants on the line, then the other half in the same order,
so that the halves lie half the fleet apart. Scaling rows and columns in turn then
fits the parts to the data centres.
"""

from collections import defaultdict
from collections.abc import Iterable

from kumquatway.placement._capacity import max_layers, rate
from kumquatway.placement._split import Seat
from kumquatway.placement._types import Fleet, Node
from kumquatway_core.text import Text

VMS_PER_MODEL = 6
SCALINGS = 60
ROOM = 1.5
CELL_VMS = 96

Parts = dict[str, dict[str, float]]


def served(text: Text) -> list[str]:
    """
    List the models that want VMs.

    :param text: the text in force.
    :return: names.
    """
    return sorted(name for name, model in text.models.items() if model.demand > 0)


def usable(fleet: Fleet, text: Text) -> list[Node]:
    """
    List the VMs that a plan may use.

    :param fleet: the VMs.
    :param text: the text in force.
    :return: the live VMs of a known kind and data centre.
    """
    return [
        node
        for node in fleet.nodes
        if node.live and node.accelerator in text.accelerators
    ]


def is_shared(fleet: Fleet, text: Text) -> bool:
    """
    Tell whether VMs are so few that each serves every model.

    :param fleet: the VMs.
    :param text: the text in force.
    :return: whether VMs hold ranges of several models.
    """
    models = len(served(text))
    return models > 1 and len(usable(fleet, text)) < VMS_PER_MODEL * models


def allot(fleet: Fleet, text: Text) -> dict[str, list[list[Seat]]]:
    """
    Give each model its cells.

    :param fleet: the VMs.
    :param text: the text in force.
    :return: by model, the seats of each cell.
    """
    if is_shared(fleet, text):
        return share(fleet, text)
    nodes = usable(fleet, text)
    models = served(text)
    if not nodes or not models:
        return {model: [] for model in models}
    by_place = _by_place(nodes, text)
    parts = _parts(models, by_place, text)
    seats: dict[str, list[list[Seat]]] = {model: [] for model in models}
    for place, members in by_place.items():
        wanted = {model: parts[model].get(place, 0.0) for model in models}
        wanted = {model: part for model, part in wanted.items() if part > 0}
        for model, chosen in _deal(members, wanted, text).items():
            seats[model].append(chosen)
    return {model: _cells(model, cells, text) for model, cells in seats.items()}


def share(fleet: Fleet, text: Text) -> dict[str, list[list[Seat]]]:
    """
    Give each model a part of the time and memory of every VM.

    :param fleet: the VMs.
    :param text: the text in force.
    :return: by model, the seats of each cell.
    """
    models = served(text)
    work = {m: text.models[m].demand * text.models[m].layers for m in models}
    weights = {m: text.models[m].layers * text.models[m].layer_mib for m in models}
    answer = {}
    for model in models:
        by_place = defaultdict(list)
        for node in usable(fleet, text):
            seat = seat_of(
                node,
                model,
                text,
                time=work[model] / sum(work.values()),
                memory=weights[model] / sum(weights.values()),
            )
            by_place[node.data_centre].append(seat)
        answer[model] = _cells(model, list(by_place.values()), text)
    return answer


def seat_of(
    node: Node, model: str, text: Text, time: float = 1.0, memory: float = 1.0
) -> Seat:
    """
    View a VM as a model may use it.

    :param node: the VM.
    :param model: name of the model.
    :param text: the text in force.
    :param time: share of its time.
    :param memory: share of its memory.
    :return: the seat.
    """
    kind = text.accelerators[node.accelerator]
    return Seat(
        vm=node.name,
        data_centre=node.data_centre,
        rack=node.rack,
        kind=node.accelerator,
        rate=rate(kind) * time,
        layers=int(max_layers(kind, text.models[model]) * memory),
    )


def _by_place(nodes: Iterable[Node], text: Text) -> dict[str, list[Node]]:
    by_place = defaultdict(list)
    for node in nodes:
        by_place[node.data_centre].append(node)

    def region(place: str) -> tuple[str, str]:
        known = text.data_centres.get(place)
        return (known.region if known else "", place)

    return {place: by_place[place] for place in sorted(by_place, key=region)}


def _speed(nodes: Iterable[Node], text: Text) -> float:
    return sum(rate(text.accelerators[node.accelerator]) for node in nodes)


def _parts(models: list[str], by_place: dict[str, list[Node]], text: Text) -> Parts:
    speeds = {place: _speed(nodes, text) for place, nodes in by_place.items()}
    work = {m: text.models[m].demand * text.models[m].layers for m in models}
    scale = sum(speeds.values()) / sum(work.values())
    wanted = {model: work[model] * scale for model in models}
    parts: Parts = {model: defaultdict(float) for model in models}
    halves = 2 if len(speeds) > 1 else 1
    line = _Line(speeds)
    for _ in range(halves):
        for model in models:
            laid = line.lay(wanted[model] / halves)
            for place, part in _whole(model, laid, by_place, speeds, text).items():
                parts[model][place] += part
    return _fit(parts, wanted, speeds)


class _Line:
    """The data centres end to end."""

    def __init__(self, speeds: dict[str, float]):
        self.left = list(speeds.items())

    def lay(self, length: float) -> dict[str, float]:
        """Take a length off the front of the line, by data centre."""
        laid = {}
        while length > 0 and self.left:
            place, speed = self.left[0]
            part = min(length, speed)
            laid[place] = part
            length -= part
            self.left[0] = (place, speed - part)
            if part == speed:
                self.left.pop(0)
        return laid


def _whole(
    model: str,
    laid: dict[str, float],
    by_place: dict[str, list[Node]],
    speeds: dict[str, float],
    text: Text,
) -> dict[str, float]:
    """Drop parts too small to hold the model, in favour of the others."""

    def holds(place: str) -> bool:
        nodes = by_place[place]
        kinds = text.accelerators
        layers = sum(
            max_layers(kinds[node.accelerator], text.models[model]) for node in nodes
        )
        part = laid[place] / speeds[place]
        return layers * part >= ROOM * text.models[model].layers

    kept = {place: part for place, part in laid.items() if holds(place)}
    if not kept:
        return laid
    scale = sum(laid.values()) / sum(kept.values())
    return {place: part * scale for place, part in kept.items()}


def _fit(parts: Parts, wanted: dict[str, float], speeds: dict[str, float]) -> Parts:
    """Scale rows to the models and columns to the data centres, in turn."""
    for _ in range(SCALINGS):
        for model, row in parts.items():
            total = sum(row.values())
            for place in row:
                row[place] *= wanted[model] / total
        for place, speed in speeds.items():
            total = sum(row.get(place, 0.0) for row in parts.values())
            for row in parts.values():
                if place in row:
                    row[place] *= speed / total
    return parts


def _deal(
    nodes: list[Node], wanted: dict[str, float], text: Text
) -> dict[str, list[Seat]]:
    """Deal VMs, fast ones first, to the model that is furthest from its part."""
    dealt: dict[str, list[Seat]] = {model: [] for model in wanted}
    if not wanted:
        return dealt
    got = dict.fromkeys(wanted, 0.0)
    racks: dict[tuple[str, str], int] = defaultdict(int)
    groups = defaultdict(lambda: defaultdict(list))
    for node in sorted(nodes, key=lambda node: node.name):
        groups[node.accelerator][node.rack].append(node)
    kinds = sorted(groups, key=lambda kind: (-rate(text.accelerators[kind]), kind))
    for kind in kinds:
        by_rack = groups[kind]
        for _ in range(sum(map(len, by_rack.values()))):
            model = min(wanted, key=lambda model: (got[model] / wanted[model], model))
            rack = min(
                (rack for rack, members in by_rack.items() if members),
                key=lambda rack: (racks[model, rack], -len(by_rack[rack]), rack),
            )
            node = by_rack[rack].pop(0)
            racks[model, rack] += 1
            seat = seat_of(node, model, text)
            dealt[model].append(seat)
            got[model] += seat.rate
    return dealt


def _cells(model: str, cells: list[list[Seat]], text: Text) -> list[list[Seat]]:
    """Join cells that cannot hold the model; halve those that are very large."""
    layers = text.models[model].layers
    whole, short = [], []
    for cell in cells:
        holds = sum(seat.layers for seat in cell) >= layers
        (whole if holds else short).append(cell)
    rest = [seat for cell in short for seat in cell]
    if sum(seat.layers for seat in rest) >= layers:
        whole.append(rest)
    elif rest and whole:
        whole[0] = whole[0] + rest
    elif rest:
        whole.append(rest)
    return [part for cell in whole for part in _halved(cell)]


def _halved(cell: list[Seat]) -> list[list[Seat]]:
    parts = -(-len(cell) // CELL_VMS)
    if parts < 2:
        return [cell] if cell else []
    cell = sorted(cell, key=lambda seat: (seat.kind, seat.rack, seat.vm))
    return [cell[turn::parts] for turn in range(parts)]
