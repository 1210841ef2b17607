"""
Baselines.

Two simple placements to compare with: an equal split, and a greedy swarm.
"""

from kumquatway.placement._allot import seat_of, served, usable
from kumquatway.placement._plan import make_plan
from kumquatway.placement._types import Fleet, Node, Plan
from kumquatway_core.text import Text
from kumquatway_core.wire import Holding


def equal_split(text: Text, fleet: Fleet) -> Plan:
    """
    Cut each model into equal ranges that fit everywhere, and deal VMs to them.

    :param text: the text in force.
    :param fleet: the VMs and links.
    :return: the plan.
    """
    holdings = {}
    for name, nodes in _by_demand(text, fleet).items():
        layers = text.models[name].layers
        fit = min((seat_of(node, name, text).layers for node in nodes), default=0)
        if not fit:
            holdings.update({node.name: () for node in nodes})
            continue
        stages = -(-layers // min(fit, layers))
        for turn, node in enumerate(nodes):
            stage = turn % stages
            first, end = layers * stage // stages, layers * (stage + 1) // stages
            holdings[node.name] = (_holding(name, first, end, text),)
    return make_plan(holdings, {}, fleet, text)


def greedy_swarm(text: Text, fleet: Fleet) -> Plan:
    """
    Let each VM in turn take the window of blocks that is served worst.

    :param text: the text in force.
    :param fleet: the VMs and links.
    :return: the plan.
    """
    holdings = {}
    for name, nodes in _by_demand(text, fleet).items():
        layers = text.models[name].layers
        fit = min((seat_of(node, name, text).layers for node in nodes), default=0)
        block = max(1, min(fit, layers))
        blocks = -(-layers // block)
        served_by = [0.0] * blocks
        for node in nodes:
            seat = seat_of(node, name, text)
            count = max(1, min(seat.layers // block, blocks))
            starts = range(blocks - count + 1)
            start = min(starts, key=lambda s, n=count: sorted(served_by[s : s + n]))
            for index in range(start, start + count):
                served_by[index] += seat.rate / count
            first, end = start * block, min((start + count) * block, layers)
            held = _holding(name, first, end, text) if seat.layers >= block else None
            holdings[node.name] = (held,) if held else ()
    return make_plan(holdings, {}, fleet, text)


def _by_demand(text: Text, fleet: Fleet) -> dict[str, list[Node]]:
    """Deal the VMs, as they come, to the models by their demand."""
    wanted = {m: text.models[m].demand * text.models[m].layers for m in served(text)}
    dealt: dict[str, list[Node]] = {name: [] for name in wanted}
    for node in usable(fleet, text):
        if dealt:
            name = min(dealt, key=lambda name: (len(dealt[name]) + 1) / wanted[name])
            dealt[name].append(node)
    return dealt


def _holding(name: str, first: int, end: int, text: Text) -> Holding:
    model = text.models[name]
    return Holding(
        model=name,
        version=model.version,
        first=first,
        end=end,
        adapters=model.adapters,
    )
