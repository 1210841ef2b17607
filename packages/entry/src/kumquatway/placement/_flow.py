"""
Flow.

The max-flow of each model from its first to its last layer, and its hops.

A vertex is a layer boundary at a data centre, before or after the hop. VMs of one
data centre and range form one edge, so that the graph does not grow with the VMs.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import networkx

from kumquatway.placement._capacity import rate
from kumquatway.placement._types import Fleet, Holdings, Node, Share
from kumquatway_core.text import Text
from kumquatway_core.wire import Holding

UNITS_PER_TOKEN = 1000
SOURCE = "source"
SINK = "sink"


@dataclass(frozen=True, slots=True, order=True)
class _Range:
    """The VMs of a data centre with the same range of layers."""

    data_centre: str
    first: int
    end: int


@dataclass(kw_only=True, slots=True)
class _Edge:
    """Capacity of each VM of a range, tokens per second."""

    vms: dict[str, float] = field(default_factory=dict)

    @property
    def capacity(self) -> float:
        return sum(self.vms.values())


@dataclass(frozen=True, kw_only=True, slots=True)
class _VersionFlow:
    """The flow of one version of a model."""

    total: float
    by_vm: Mapping[tuple[str, _Range], float]
    by_hop: Mapping[tuple[str, str, int], float]


def bound(holdings: Holdings, fleet: Fleet, text: Text) -> dict[str, float]:
    """
    Work out the highest flow that the holdings allow.

    :param holdings: by VM.
    :param fleet: the VMs; those that are not live carry nothing.
    :param text: the text in force.
    :return: tokens per second by model.
    """
    return bound_of(text.models, holdings, fleet, text)


def bound_of(
    models: Iterable[str], holdings: Holdings, fleet: Fleet, text: Text
) -> dict[str, float]:
    """
    Work out the highest flow of some models only.

    :param models: names of models of the text.
    :param holdings: by VM.
    :param fleet: the VMs.
    :param text: the text in force.
    :return: tokens per second by model.
    """
    flows = _flows(holdings, fleet, text, models)
    return {name: sum(flow.total for flow in parts) for name, parts in flows.items()}


def flow_shares(holdings: Holdings, fleet: Fleet, text: Text) -> tuple[Share, ...]:
    """
    Spread the highest flow over the hops from VM to VM.

    :param holdings: by VM.
    :param fleet: the VMs.
    :param text: the text in force.
    :return: the shares; those from the entries have an empty source.
    """
    shares = []
    for name, parts in _flows(holdings, fleet, text, text.models).items():
        for flow in parts:
            shares.extend(_version_shares(name, flow))
    return tuple(shares)


def _flows(
    holdings: Holdings, fleet: Fleet, text: Text, models: Iterable[str]
) -> dict[str, list[_VersionFlow]]:
    nodes = {node.name: node for node in fleet.nodes if node.live}
    wanted = set(models)
    of_model: dict[str, list[tuple[Node, Holding]]] = {name: [] for name in models}
    for vm, held in holdings.items():
        if vm not in nodes:
            continue
        for holding in held:
            if holding.model in wanted:
                of_model[holding.model].append((nodes[vm], holding))
    return {
        name: _model_flows(name, pairs, holdings, fleet, text)
        for name, pairs in of_model.items()
    }


def _model_flows(
    name: str,
    pairs: list[tuple[Node, Holding]],
    holdings: Holdings,
    fleet: Fleet,
    text: Text,
) -> list[_VersionFlow]:
    """Serve the versions one after the other, in the order that carries more."""
    in_force = text.models[name].version
    versions = sorted({holding.version for _, holding in pairs})
    versions.sort(key=lambda version: version != in_force)
    shares = {
        node.name: _time_share(name, holdings[node.name], text) for node, _ in pairs
    }
    best: list[_VersionFlow] = []
    for order in _orders(versions):
        flows = _in_order(name, order, pairs, dict(shares), fleet, text)
        if sum(f.total for f in flows) > sum(f.total for f in best):
            best = flows
    return best


def _orders(versions: list[str]) -> list[list[str]]:
    if len(versions) < 2:
        return [versions]
    return [versions, versions[::-1]]


def _in_order(
    name: str,
    versions: list[str],
    pairs: list[tuple[Node, Holding]],
    left: dict[str, float],
    fleet: Fleet,
    text: Text,
) -> list[_VersionFlow]:
    flows = []
    for version in versions:
        held = [(node, h) for node, h in pairs if h.version == version]
        flow = _version_flow(name, held, left, fleet, text)
        flows.append(flow)
        kinds = {node.name: node.accelerator for node, _ in held}
        for (vm, span), tokens in flow.by_vm.items():
            speed = rate(text.accelerators[kinds[vm]])
            left[vm] -= tokens * (span.end - span.first) / speed
    return flows


def _time_share(name: str, held: tuple[Holding, ...], text: Text) -> float:
    """Split a VM's time between its models so that tokens follow demand."""
    cost: dict[str, float] = {}
    for holding in held:
        model = text.models.get(holding.model)
        if model is None:
            continue
        layers = holding.end - holding.first
        work = model.demand * layers
        cost[holding.model] = max(cost.get(holding.model, 0.0), work)
    total = sum(cost.values())
    return cost[name] / total if total else 1.0


def _version_flow(
    name: str,
    held: list[tuple[Node, Holding]],
    left: Mapping[str, float],
    fleet: Fleet,
    text: Text,
) -> _VersionFlow:
    model = text.models[name]
    port = fleet.links.within.bandwidth / model.activation_bytes
    edges: dict[_Range, _Edge] = defaultdict(_Edge)
    ranges = Counter(node.name for node, _ in held)
    for node, holding in held:
        layers = holding.end - holding.first
        speed = rate(text.accelerators[node.accelerator]) / layers
        speed /= ranges[node.name]
        capacity = min(speed * max(left[node.name], 0.0), port)
        span = _Range(node.data_centre, holding.first, holding.end)
        edges[span].vms[node.name] = capacity
    graph = _graph(name, edges, fleet, text)
    if SOURCE not in graph or SINK not in graph:
        return _VersionFlow(total=0.0, by_vm={}, by_hop={})
    total, flow = networkx.maximum_flow(graph, SOURCE, SINK)
    by_vm = {}
    for span, edge in edges.items():
        used = flow[("in", span.data_centre, span.first)][span] / UNITS_PER_TOKEN
        for vm, capacity in edge.vms.items():
            if used:
                by_vm[vm, span] = used * capacity / edge.capacity
    by_hop = {
        (start[1], target[1], start[2]): units / UNITS_PER_TOKEN
        for start, targets in flow.items()
        if isinstance(start, tuple) and start[0] == "out"
        for target, units in targets.items()
        if target != SINK and units
    }
    return _VersionFlow(total=total / UNITS_PER_TOKEN, by_vm=by_vm, by_hop=by_hop)


def _graph(
    name: str, edges: Mapping[_Range, _Edge], fleet: Fleet, text: Text
) -> networkx.DiGraph:
    model = text.models[name]
    graph = networkx.DiGraph()
    starts = {(span.data_centre, span.first) for span in edges}
    ends = {(span.data_centre, span.end) for span in edges}
    for span, edge in edges.items():
        units = int(edge.capacity * UNITS_PER_TOKEN)
        graph.add_edge(("in", span.data_centre, span.first), span, capacity=units)
        graph.add_edge(span, ("out", span.data_centre, span.end), capacity=units)
    for data_centre, layer in starts:
        if layer == 0:
            graph.add_edge(SOURCE, ("in", data_centre, 0))
    for data_centre, layer in ends:
        if layer == model.layers:
            graph.add_edge(("out", data_centre, layer), SINK)
    demand = sum(other.demand for other in text.models.values())
    part = model.demand / demand if demand else 1.0
    for data_centre, layer in ends:
        for other, first in starts:
            if first != layer:
                continue
            hop = ("out", data_centre, layer), ("in", other, layer)
            if other == data_centre:
                graph.add_edge(*hop)
                continue
            link = fleet.links.between(data_centre, other)
            tokens = link.bandwidth * part / model.activation_bytes
            graph.add_edge(*hop, capacity=int(tokens * UNITS_PER_TOKEN))
    return graph


def _version_shares(name: str, flow: _VersionFlow) -> list[Share]:
    into: dict[tuple[str, int], dict[str, float]] = defaultdict(dict)
    out: dict[tuple[str, int], dict[str, float]] = defaultdict(dict)
    for (vm, span), tokens in flow.by_vm.items():
        into[span.data_centre, span.first][vm] = tokens
        out[span.data_centre, span.end][vm] = tokens
    shares = [
        Share(model=name, source="", target=vm, tokens_per_second=tokens)
        for (_, first), vms in into.items()
        if first == 0
        for vm, tokens in vms.items()
    ]
    for (data_centre, other, layer), tokens in flow.by_hop.items():
        sources = out[data_centre, layer]
        targets = into[other, layer]
        scale = tokens / (sum(sources.values()) * sum(targets.values()))
        for vm, sent in sources.items():
            for target, received in targets.items():
                weight = sent * received * scale
                share = Share(
                    model=name, source=vm, target=target, tokens_per_second=weight
                )
                shares.append(share)
    return shares
