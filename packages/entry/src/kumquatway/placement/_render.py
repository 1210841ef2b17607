"""
Render.

Shows a plan to people as tables and to programs as data.
"""

from collections import defaultdict
from dataclasses import dataclass

from rich.table import Table

from kumquatway.placement._allot import usable
from kumquatway.placement._capacity import holdings_mib, rate, usable_mib
from kumquatway.placement._types import Fleet, Plan
from kumquatway_core.text import Text


@dataclass(frozen=True, kw_only=True, slots=True)
class ModelRow:
    """
    What a plan gives a model.

    :param bound: max-flow, tokens per second.
    :param share_of_speed: the speed of its VMs that the flow uses, 0 to 1.
    :param stages: ranges of layers, over all data centres.
    :param data_centres: where it is held.
    """

    model: str
    version: str
    bound: float
    share_of_speed: float
    vms: int
    stages: int
    data_centres: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class RangeRow:
    """A range of layers and the VMs of a data centre that hold it."""

    model: str
    first: int
    end: int
    data_centre: str
    vms: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class VMRow:
    """
    What a VM holds.

    :param weights_mib: weights, MiB.
    :param usable_mib: room for weights, MiB.
    """

    vm: str
    data_centre: str
    rack: str
    accelerator: str
    ranges: tuple[str, ...]
    weights_mib: float
    usable_mib: float


@dataclass(frozen=True, kw_only=True, slots=True)
class PlanView:
    """A plan as programs read it."""

    models: tuple[ModelRow, ...]
    ranges: tuple[RangeRow, ...]
    vms: tuple[VMRow, ...]
    unserved: tuple[str, ...]
    moved_layers: int


def plan_view(plan: Plan, fleet: Fleet, text: Text) -> PlanView:
    """
    Turn a plan into rows.

    :param plan: the plan.
    :param fleet: the VMs.
    :param text: the text.
    :return: the rows; msgspec encodes them as JSON.
    """
    ranges = _ranges(plan, fleet)
    return PlanView(
        models=tuple(
            _model_row(name, plan, ranges, fleet, text) for name in sorted(plan.bounds)
        ),
        ranges=ranges,
        vms=_vm_rows(plan, fleet, text),
        unserved=plan.unserved,
        moved_layers=plan.moved_layers,
    )


def render_plan(plan: Plan, fleet: Fleet, text: Text) -> tuple[Table, ...]:
    """
    Turn a plan into tables for the shell.

    :param plan: the plan.
    :param fleet: the VMs.
    :param text: the text.
    :return: a table of models and one of ranges.
    """
    view = plan_view(plan, fleet, text)
    models = Table(title="Models")
    for heading in ("model", "version", "tokens/s", "of speed", "VMs", "ranges", "in"):
        models.add_column(heading)
    for row in view.models:
        bound = f"{row.bound:,.0f}" if row.bound else "not served"
        models.add_row(
            row.model,
            row.version,
            bound,
            f"{row.share_of_speed:.0%}",
            str(row.vms),
            str(row.stages),
            ", ".join(row.data_centres),
        )
    ranges = Table(title=f"Layers ({view.moved_layers} to load)")
    for heading in ("model", "layers", "data centre", "VMs"):
        ranges.add_column(heading)
    for row in view.ranges:
        layers = f"{row.first} to {row.end - 1}"
        ranges.add_row(row.model, layers, row.data_centre, ", ".join(row.vms))
    return models, ranges


def _ranges(plan: Plan, fleet: Fleet) -> tuple[RangeRow, ...]:
    places = {node.name: node.data_centre for node in fleet.nodes}
    vms = defaultdict(list)
    for vm, holdings in plan.holdings.items():
        for held in holdings:
            vms[held.model, places[vm], held.first, held.end].append(vm)
    return tuple(
        RangeRow(
            model=model,
            first=first,
            end=end,
            data_centre=place,
            vms=tuple(sorted(vms[model, place, first, end])),
        )
        for model, place, first, end in sorted(vms)
    )


def _model_row(
    name: str, plan: Plan, ranges: tuple[RangeRow, ...], fleet: Fleet, text: Text
) -> ModelRow:
    model = text.models[name]
    own = [row for row in ranges if row.model == name]
    vms = {vm for row in own for vm in row.vms}
    speed = sum(
        rate(text.accelerators[node.accelerator])
        for node in usable(fleet, text)
        if node.name in vms
    )
    return ModelRow(
        model=name,
        version=model.version,
        bound=plan.bounds[name],
        share_of_speed=plan.bounds[name] * model.layers / speed if speed else 0.0,
        vms=len(vms),
        stages=len(own),
        data_centres=tuple(sorted({row.data_centre for row in own})),
    )


def _vm_rows(plan: Plan, fleet: Fleet, text: Text) -> tuple[VMRow, ...]:
    return tuple(
        VMRow(
            vm=node.name,
            data_centre=node.data_centre,
            rack=node.rack,
            accelerator=node.accelerator,
            ranges=tuple(
                f"{held.model}@{held.version}:{held.first}-{held.end - 1}"
                for held in plan.holdings.get(node.name, ())
            ),
            weights_mib=holdings_mib(plan.holdings.get(node.name, ()), text),
            usable_mib=usable_mib(text.accelerators[node.accelerator]),
        )
        for node in usable(fleet, text)
    )
