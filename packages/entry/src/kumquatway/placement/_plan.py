"""
Plan.

Chooses what each VM holds, starting from what is loaded.

Four layouts are compared: what is loaded, the same with single VMs moved or with
uneven cells divided anew, and a fresh one. The one with the fewest layers to load
wins among those that come near enough to the fresh one; the fresh one must gain
more, since it moves most.
"""

from collections.abc import Iterator
from statistics import median

from kumquatway.placement._allot import is_shared
from kumquatway.placement._flow import bound, flow_shares
from kumquatway.placement._layout import Layout, fresh, to_holdings
from kumquatway.placement._loaded import read_layout
from kumquatway.placement._match import matched
from kumquatway.placement._repair import repair, seat_free, split_again, worth
from kumquatway.placement._split import Cell
from kumquatway.placement._types import Fleet, Holdings, Limits, Plan
from kumquatway_core.text import Text


def plan(
    text: Text,
    fleet: Fleet,
    current: Holdings | None = None,
    limits: Limits | None = None,
) -> Plan:
    """
    Place the models of the text on the VMs.

    :param text: the text in force.
    :param fleet: the VMs and links.
    :param current: what is loaded, by VM; by default what the fleet says.
    :param limits: what the plan keeps to.
    :return: the plan.
    """
    current = fleet.holdings if current is None else current
    limits = limits or Limits()
    ideal = fresh(fleet, text)
    seat_free(ideal, {name: worth(cells) for name, cells in ideal.items()}, fleet, text)
    flows = bound(to_holdings(ideal, _live(fleet), text), fleet, text)
    goals = _goals(ideal, flows, text)
    ways = []
    for layout, loss in _cheaper(current, goals, fleet, text, limits):
        holdings = to_holdings(layout, _live(fleet), text)
        flows = bound(holdings, fleet, text)
        if all(
            _linked_worth(layout[name], flows[name]) >= (1 - loss) * goal
            for name, goal in goals.items()
        ):
            ways.append(holdings)
    if not ways:
        ways.append(to_holdings(matched(ideal, current), _live(fleet), text))
    chosen = min(ways, key=lambda way: moved_layers(current, way))
    return make_plan(chosen, current, fleet, text)


def _live(fleet: Fleet) -> list[str]:
    return [node.name for node in fleet.nodes if node.live]


def _cheaper(
    current: Holdings,
    goals: dict[str, float],
    fleet: Fleet,
    text: Text,
    limits: Limits,
) -> Iterator[tuple[Layout, float]]:
    """Make the layouts that load less than a fresh one, with the loss allowed."""
    yield read_layout(current, fleet, text), limits.min_gain
    if is_shared(fleet, text):
        return
    mended = read_layout(current, fleet, text)
    yield repair(mended, goals, fleet, text, limits), limits.min_gain_of_all
    again = read_layout(current, fleet, text)
    seat_free(again, goals, fleet, text)
    again = matched(split_again(again, text), current)
    yield again, limits.min_gain_of_all


def _goals(ideal: Layout, flows: dict[str, float], text: Text) -> dict[str, float]:
    """Cap what a fresh layout gives each model at the median by demand."""
    worths = {name: _linked_worth(cells, flows[name]) for name, cells in ideal.items()}
    level = median(
        [worth / text.models[name].demand for name, worth in worths.items()] or [0.0]
    )
    return {
        name: min(worth, level * text.models[name].demand)
        for name, worth in worths.items()
    }


def _linked_worth(cells: list[Cell], flow: float) -> float:
    """Value the flow that the links let through, less where a rack can end it."""
    own = sum(cell.flow for cell in cells)
    return flow * worth(cells) / own if own else 0.0


def make_plan(holdings: Holdings, current: Holdings, fleet: Fleet, text: Text) -> Plan:
    """
    Complete a plan with its bounds and shares.

    :param holdings: by VM.
    :param current: what is loaded, by VM.
    :param fleet: the VMs and links.
    :param text: the text in force.
    :return: the plan.
    """
    return Plan(
        holdings=holdings,
        bounds=bound(holdings, fleet, text),
        shares=flow_shares(holdings, fleet, text),
        moved_layers=moved_layers(current, holdings),
    )


def moved_layers(current: Holdings, target: Holdings) -> int:
    """
    Count the layers to load from one state to another.

    :param current: what is loaded, by VM.
    :param target: what shall be loaded, by VM.
    :return: layers; a range of which only the adapters change counts nothing.
    """
    total = 0
    for vm, holdings in target.items():
        loaded = {(h.model, h.version, h.first, h.end) for h in current.get(vm, ())}
        for holding in holdings:
            key = (holding.model, holding.version, holding.first, holding.end)
            if key not in loaded:
                total += holding.end - holding.first
    return total
