"""
Route.

A chain of upstreams that covers each layer of a model once.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Collection, Iterable

from kumquatway.membership import Member
from kumquatway_core import Reason, Verdict, not_run
from kumquatway_core.text import Model
from kumquatway_core.wire import Holding, Stage

RETRY_AFTER = 2.0  # seconds
MIN_STEP = 0.001  # seconds, of an engine that has not run a step yet
SPREAD = 0.2  # random share of a cost, so that entries do not choose alike
FAR = 0.002  # seconds between data centres

InFlight = Callable[[str], int]
Weight = Callable[[str], float]


def none_in_flight(vm: str) -> int:
    """
    Stand in for a count of streams.

    :param vm: name of a VM.
    :return: 0.
    """
    return 0


def full_weight(vm: str) -> float:
    """
    Stand in for the weight of an upstream.

    :param vm: name of a VM.
    :return: 1.
    """
    return 1.0


def choose_route(
    *,
    members: Iterable[Member],
    name: str,
    model: Model,
    adapter: str = "",
    avoid: Collection[str] = (),
    in_flight: InFlight = none_in_flight,
    weight: Weight = full_weight,
    jitter: Callable[[], float] = random.random,
) -> tuple[Stage, ...] | Verdict:
    """
    Choose the chain with the least expected time for a step.

    :param members: the live VMs.
    :param name: of the model.
    :param model: as the text describes it.
    :param adapter: that each stage must have, or "".
    :param avoid: names of VMs not to use.
    :param in_flight: counts this entry's streams on a VM, by its name.
    :param weight: of a VM by its name, up to 1; its cost is divided by it.
    :param jitter: draws from [0, 1).
    :return: the stages, or a verdict of `not_run`.
    """
    by_first: dict[int, list[tuple[Member, Holding]]] = {}
    for member, holding in _holders(members, name, model.version, adapter):
        if member.vm not in avoid:
            by_first.setdefault(holding.first, []).append((member, holding))

    def cost(member: Member) -> float:
        return _cost(member, in_flight, jitter) / weight(member.vm)

    route = _cheapest(by_first, model.layers, cost)
    if route is None:
        detail = f"no chain of upstreams covers the layers of {name}"
        return not_run(Reason.NO_UPSTREAM, detail, RETRY_AFTER)
    return route


def choose_replacement(
    *,
    members: Iterable[Member],
    name: str,
    version: str,
    adapter: str,
    stage: Stage,
    avoid: Collection[str],
    in_flight: InFlight = none_in_flight,
    weight: Weight = full_weight,
    jitter: Callable[[], float] = random.random,
) -> Stage | None:
    """
    Choose another upstream for the same layers.

    :param members: the live VMs.
    :param stage: that is replaced.
    :param avoid: names of VMs not to use.
    :return: None if no other VM holds these layers.
    """
    found = [
        member
        for member, holding in _holders(members, name, version, adapter)
        if holding.first <= stage.first
        and stage.end <= holding.end
        and member.vm not in avoid
    ]
    if not found:
        return None

    def cost(member: Member) -> float:
        return _cost(member, in_flight, jitter) / weight(member.vm)

    member = min(found, key=cost)
    return _stage(member, stage.first, stage.end)


def choose_upstream(
    *,
    members: Iterable[Member],
    service: str,
    avoid: Collection[str] = (),
    jitter: Callable[[], float] = random.random,
) -> Member | None:
    """
    Choose an upstream of a plain service, the less loaded of two drawn.

    :param members: the live VMs.
    :param service: its name.
    :param avoid: names of VMs not to use.
    :return: None if no live VM serves it.
    """
    found = [
        member
        for member in members
        if member.status.service == service and member.vm not in avoid
    ]
    if not found:
        return None
    drawn = [found[int(jitter() * len(found))] for _ in range(2)]
    return min(drawn, key=lambda member: member.status.load.waiting)


def _holders(
    members: Iterable[Member], name: str, version: str, adapter: str
) -> Iterable[tuple[Member, Holding]]:
    for member in members:
        for holding in member.status.holdings:
            if (holding.model, holding.version) != (name, version):
                continue
            if adapter and adapter not in holding.adapters:
                continue
            yield member, holding


def _cheapest(
    by_first: dict[int, list[tuple[Member, Holding]]],
    layers: int,
    cost_of: Callable[[Member], float],
) -> tuple[Stage, ...] | None:
    """Search the cheapest chain, by Dijkstra over layer and VM."""
    order = itertools.count()
    costs: dict[str, float] = {}
    heap: list = [(0.0, next(order), 0, None, ())]
    done: set[tuple[int, str]] = set()
    while heap:
        cost, _, layer, last, route = heapq.heappop(heap)
        if layer == layers:
            return route
        here = (layer, last.vm if last else "")
        if here in done:
            continue
        done.add(here)
        for member, holding in by_first.get(layer, ()):
            if member.vm not in costs:
                costs[member.vm] = cost_of(member)
            step = costs[member.vm] + _distance(last, member)
            stage = _stage(member, holding.first, holding.end)
            entry = (cost + step, next(order), holding.end, member, (*route, stage))
            heapq.heappush(heap, entry)
    return None


def _cost(member: Member, in_flight: InFlight, jitter: Callable[[], float]) -> float:
    load = member.status.load
    step = max(load.step_seconds, MIN_STEP)
    # The report lags; what this entry itself sent meanwhile is known.
    queued = 1 + load.waiting + max(load.streams, in_flight(member.vm))
    return step * queued * (1 + SPREAD * jitter())


def _distance(last: Member | None, member: Member) -> float:
    if last is None or last.status.data_centre == member.status.data_centre:
        return 0.0
    return FAR


def _stage(member: Member, first: int, end: int) -> Stage:
    return Stage(
        vm=member.vm,
        address=member.address,
        incarnation=member.status.incarnation,
        first=first,
        end=end,
    )
