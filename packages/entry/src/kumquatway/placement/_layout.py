"""
Layout.

The cells of every model, and their likeness in holdings of VMs.
"""

from collections.abc import Iterable

from kumquatway.placement._allot import allot, served, share
from kumquatway.placement._split import Cell, Seat, split
from kumquatway.placement._types import Fleet
from kumquatway_core.text import Text
from kumquatway_core.wire import Holding

Layout = dict[str, list[Cell]]


def fresh(fleet: Fleet, text: Text) -> Layout:
    """
    Place every model without regard to what is loaded.

    :param fleet: the VMs.
    :param text: the text in force.
    :return: the layout; a model that cannot be held has no cells.
    """
    layout = _split_all(allot(fleet, text), text)
    if all(layout.values()):
        return layout
    together = _split_all(share(fleet, text), text)
    return max(layout, together, key=lambda each: sum(map(bool, each.values())))


def _split_all(cells: dict[str, list[list[Seat]]], text: Text) -> Layout:
    return {model: _split_model(model, parts, text) for model, parts in cells.items()}


def _split_model(model: str, parts: list[list[Seat]], text: Text) -> list[Cell]:
    layers = text.models[model].layers
    made = [split(model, layers, part) for part in parts]
    if all(made):
        return list(filter(None, made))
    seats = [seat for part in parts for seat in part]
    joined = split(model, layers, seats)
    cells = [joined] if joined else []
    return max(cells, list(filter(None, made)), key=lambda cs: sum(c.flow for c in cs))


def to_holdings(
    layout: Layout, vms: Iterable[str], text: Text
) -> dict[str, tuple[Holding, ...]]:
    """
    List what each VM holds in a layout.

    :param layout: the cells.
    :param vms: the VMs; those without a seat get an empty tuple.
    :param text: the text, which says versions and adapters.
    :return: by VM.
    """
    held: dict[str, list[Holding]] = {vm: [] for vm in vms}
    for name in served(text):
        model = text.models[name]
        for cell in layout.get(name, []):
            for stage in cell.stages:
                holding = Holding(
                    model=name,
                    version=model.version,
                    first=stage.first,
                    end=stage.end,
                    adapters=model.adapters,
                )
                for seat in stage.seats:
                    held[seat.vm].append(holding)
    return {vm: tuple(holdings) for vm, holdings in held.items()}
