"""
Loaded.

Reads the cells of every model out of what the VMs hold.
"""

from collections import defaultdict

from kumquatway.placement._allot import is_shared, seat_of, served, usable
from kumquatway.placement._layout import Layout
from kumquatway.placement._split import Cell, Seat, Stage
from kumquatway.placement._types import Fleet, Holdings
from kumquatway_core.text import Text

Span = tuple[int, int]
Spans = dict[Span, list[Seat]]


def read_layout(current: Holdings, fleet: Fleet, text: Text) -> Layout:
    """
    Find chains of ranges that cover each model, whatever their version.

    A VM in the middle of a change holds two ranges; the chain that carries more has
    it. A VM in no chain is in no cell.

    :param current: what is loaded, by VM.
    :param fleet: the VMs.
    :param text: the text in force.
    :return: the layout.
    """
    shared = is_shared(fleet, text)
    taken: set[str] = set()
    layout: Layout = {}
    for name in served(text):
        others = set() if shared else taken
        layout[name] = cells = _read_model(name, others, current, fleet, text)
        taken.update(seat.vm for cell in cells for seat in cell.seats)
    return layout


def _read_model(
    name: str, taken: set[str], current: Holdings, fleet: Fleet, text: Text
) -> list[Cell]:
    by_place: dict[str, Spans] = defaultdict(lambda: defaultdict(list))
    for node in usable(fleet, text):
        held = current.get(node.name, ())
        spans = {(h.first, h.end) for h in held if h.model == name}
        if node.name in taken:
            continue
        for span in spans:
            seat = seat_of(node, name, text)
            by_place[node.data_centre][span].append(seat)
    layers = text.models[name].layers
    cells = []
    for place in sorted(by_place):
        cells.extend(_chains(name, layers, by_place[place]))
    rest: Spans = defaultdict(list)
    for spans in by_place.values():
        for span, seats in spans.items():
            rest[span].extend(seats)
    cells.extend(_chains(name, layers, rest))
    return cells


def _chains(name: str, layers: int, spans: Spans) -> list[Cell]:
    """Take chains out of the spans until none is left."""
    cells = []
    while path := _widest(layers, spans):
        cell = _chain(name, path, spans)
        if cell is None:
            break
        cells.append(cell)
        used = {seat.vm for seat in cell.seats}
        for span in list(spans):
            left = [seat for seat in spans[span] if seat.vm not in used]
            spans[span] = left
            if not left:
                del spans[span]
    return cells


def _widest(layers: int, spans: Spans) -> list[Span]:
    """Find the chain of spans whose slowest stage is fastest."""
    best = {0: float("inf")}
    via: dict[int, Span] = {}
    for span in sorted(spans):
        first, end = span
        if first not in best:
            continue
        speed = sum(seat.rate for seat in spans[span]) / (end - first)
        flow = min(best[first], speed)
        if flow > best.get(end, 0.0):
            best[end], via[end] = flow, span
    if layers not in via:
        return []
    path = []
    while layers:
        path.append(via[layers])
        layers = via[layers][0]
    return path[::-1]


def _chain(name: str, path: list[Span], spans: Spans) -> Cell | None:
    """Make a cell of a chain, each VM in the slower of its stages."""
    stages = [Stage(first=first, end=end, seats=[]) for first, end in path]
    for stage in sorted(stages, key=lambda s: _speed(spans[s.first, s.end], s)):
        used = {seat.vm for other in stages for seat in other.seats}
        members = spans[stage.first, stage.end]
        stage.seats = [seat for seat in members if seat.vm not in used]
    if not all(stage.seats for stage in stages):
        return None
    return Cell(model=name, stages=stages)


def _speed(seats: list[Seat], stage: Stage) -> float:
    return sum(seat.rate for seat in seats) / stage.layers
