"""
Repair.

Mends a layout by moving single VMs to the stages that are short of speed.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from kumquatway.placement._allot import seat_of, served, usable
from kumquatway.placement._layout import Layout
from kumquatway.placement._split import Cell, Seat, Stage, join, split
from kumquatway.placement._types import Fleet, Limits
from kumquatway_core.text import Text

MIN_STEP = 0.005  # share of a model's flow that one move must gain
FRAGILE_WORTH = 0.5  # share at which a model counts that one rack can take away
MAX_MOVES_SHARE = 0.1
BALANCED = 0.9  # share of the flow of stages of equal speed


@dataclass(frozen=True, kw_only=True, slots=True)
class _Trade:
    """A VM that leaves one stage for another, and the lower ratio after it."""

    ratio: float
    seat: Seat
    source: Stage
    target: Stage


def worth(cells: list[Cell]) -> float:
    """
    Value the cells of a model.

    :param cells: the cells.
    :return: tokens per second, less where one rack can take the model away.
    """
    flow = sum(cell.flow for cell in cells)
    return flow * FRAGILE_WORTH if _is_fragile(cells) else flow


def repair(
    layout: Layout, targets: dict[str, float], fleet: Fleet, text: Text, limits: Limits
) -> Layout:
    """
    Put VMs without a seat to use, then move VMs while a model is below its target.

    :param layout: changed in place.
    :param targets: the worth of each model in a fresh layout.
    :param fleet: the VMs.
    :param text: the text in force.
    :param limits: says how far below its target a model may stay.
    :return: the layout.
    """
    seat_free(layout, targets, fleet, text)
    moves = int(len(fleet.nodes) * MAX_MOVES_SHARE) + 2
    for _ in range(moves):
        model = min(targets, key=lambda name: _ratio(name, layout, targets))
        if _ratio(model, layout, targets) >= 1 - limits.min_gain:
            break
        trade = _best_trade(model, layout, targets, fleet, text)
        if trade is None:
            break
        _apply(trade, model, fleet, text)
    return layout


def split_again(layout: Layout, text: Text) -> Layout:
    """
    Divide anew the layers of the cells whose stages are far from equal in speed.

    :param layout: changed in place.
    :param text: the text in force.
    :return: the layout.
    """
    for name, cells in layout.items():
        layers = text.models[name].layers
        for index, cell in enumerate(cells):
            if _balance(cell) >= BALANCED:
                continue
            again = split(name, layers, cell.seats)
            if again is not None and again.flow > cell.flow:
                cells[index] = again
    return layout


def _ratio(model: str, layout: Layout, targets: dict[str, float]) -> float:
    if not targets[model]:
        return 1.0
    return worth(layout[model]) / targets[model]


def _is_fragile(cells: list[Cell]) -> bool:
    """Tell whether the loss of one rack stops every cell."""
    if not cells:
        return False
    fatal = [_fatal_racks(cell) for cell in cells]
    return bool(set.intersection(*fatal))


def _fatal_racks(cell: Cell) -> set[tuple[str, str]]:
    racks = set()
    for stage in cell.stages:
        places = {(seat.data_centre, seat.rack) for seat in stage.seats}
        if len(places) == 1:
            racks |= places
    return racks


def seat_free(
    layout: Layout, targets: dict[str, float], fleet: Fleet, text: Text
) -> None:
    """
    Add each VM without a seat to the slowest stage near it.

    :param layout: changed in place.
    :param targets: the worth of each model in a fresh layout.
    :param fleet: the VMs.
    :param text: the text in force.
    """
    seated = {
        seat.vm for cells in layout.values() for cell in cells for seat in cell.seats
    }
    for node in usable(fleet, text):
        if node.name in seated:
            continue
        names = sorted(served(text), key=lambda name: _ratio(name, layout, targets))
        for name in names:
            seat = seat_of(node, name, text)
            near = [c for c in layout[name] if node.data_centre in _places(c)]
            if any(join(cell, seat) for cell in sorted(near, key=lambda c: c.flow)):
                break


def _places(cell: Cell) -> set[str]:
    return {seat.data_centre for seat in cell.seats}


def _best_trade(
    model: str, layout: Layout, targets: dict[str, float], fleet: Fleet, text: Text
) -> _Trade | None:
    """Look for a VM to help the least balanced cell, else the next."""
    for cell in sorted(layout[model], key=_balance):
        target = min(cell.stages, key=lambda stage: stage.flow)
        trade = _trade_for(target, model, layout, targets, fleet, text)
        if trade is not None:
            return trade
    return None


def _balance(cell: Cell) -> float:
    layers = cell.stages[-1].end
    return cell.flow * layers / sum(seat.rate for seat in cell.seats)


def _trade_for(
    target: Stage,
    model: str,
    layout: Layout,
    targets: dict[str, float],
    fleet: Fleet,
    text: Text,
) -> _Trade | None:
    nodes = {node.name: node for node in fleet.nodes}
    least = _ratio(model, layout, targets) + MIN_STEP
    best: _Trade | None = None
    places = {seat.data_centre for seat in target.seats}
    for donor, source, seat in _donors(layout, target):
        mine = seat_of(nodes[seat.vm], model, text)
        if seat.data_centre not in places or mine.layers < target.layers:
            continue
        source.seats.remove(seat)
        target.seats.append(mine)
        ratio = min(_ratio(model, layout, targets), _ratio(donor, layout, targets))
        target.seats.remove(mine)
        source.seats.append(seat)
        if ratio > least and (best is None or ratio > best.ratio):
            best = _Trade(ratio=ratio, seat=seat, source=source, target=target)
    return best


def _donors(layout: Layout, target: Stage) -> Iterator[tuple[str, Stage, Seat]]:
    """List one VM of each kind and rack of each other stage that can spare it."""
    for name, cells in layout.items():
        for cell in cells:
            for stage in cell.stages:
                if stage is target or len(stage.seats) < 2:
                    continue
                alike = {(s.data_centre, s.rack, s.kind): s for s in stage.seats}
                for seat in alike.values():
                    yield name, stage, seat


def _apply(trade: _Trade, model: str, fleet: Fleet, text: Text) -> None:
    node = next(node for node in fleet.nodes if node.name == trade.seat.vm)
    trade.source.seats.remove(trade.seat)
    trade.target.seats.append(seat_of(node, model, text))
