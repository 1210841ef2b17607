"""
Planner.

Time, bound and moves of the planner at several sizes, beside simpler placements.
"""

import random
import resource
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path
from statistics import median

import drawsvg

from kumquatway.placement import (
    Fleet,
    Holdings,
    Link,
    Links,
    Node,
    apply_moves,
    bound,
    equal_split,
    greedy_swarm,
    moved_layers,
    plan,
    rate,
    steps,
)
from kumquatway.placement._allot import allot
from kumquatway.placement._layout import to_holdings
from kumquatway.placement._split import split
from kumquatway_core.text import Accelerator, DataCentre, Model, Text

ROOT = Path(__file__).parent.parent
PLOT = ROOT / "docs" / "plots" / "planner.svg"
SEEDS = (1, 2, 3, 4, 5)
LOST_SHARE = 0.1
GIB = 1024  # MiB
FAST_LINK = 1.25e9  # bytes per second
SLOW_LINK = 1.25e7  # bytes per second
KINDS = ((24, 1.0), (32, 2.0), (48, 3.0), (80, 5.0), (96, 8.0))  # GiB, speed
VMS_PER_RACK = 12

Way = Callable[[Text, Fleet], Holdings]


@dataclass(frozen=True, kw_only=True, slots=True)
class Size:
    """How large a fleet is."""

    servers: int
    models: int
    places: int
    regions: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """
    Medians of a size.

    :param seconds: processor time of a plan from nothing.
    :param ratios: by way, the least flow of a model by demand, over the bound.
    :param totals: by way, the flow of all models by their layers, over the bound.
    :param replan_seconds: processor time of a plan after the loss of a VM.
    :param moved_vms: VMs that load layers after the loss of one.
    :param moved_layers: the layers that they load.
    :param kept: flow after that, over the new bound.
    :param tenth_moved: share of the layers loaded after the loss of a tenth.
    :param tenth_kept: flow after that, over the new bound.
    :param roll_out_least: least flow during a roll-out of a model, over that before.
    """

    size: Size
    seconds: float
    ratios: dict[str, float]
    totals: dict[str, float]
    replan_seconds: float
    moved_vms: float
    moved_layers: float
    kept: float
    tenth_moved: float
    tenth_kept: float
    steps_seconds: float
    roll_out_least: float


SIZES = (
    Size(servers=40, models=1, places=3, regions=1),
    Size(servers=40, models=2, places=3, regions=1),
    Size(servers=400, models=29, places=7, regions=3),
    Size(servers=800, models=29, places=7, regions=3),
    Size(servers=1500, models=29, places=7, regions=3),
)


def make_text(size: Size, rng: random.Random) -> Text:
    """
    Make a text with models of several sizes and demands.

    :param size: the size.
    :param rng: the source of chance.
    :return: the text.
    """
    kinds = {
        f"kind-{index}": Accelerator(
            memory_mib=memory * GIB, layer_us=400 / speed, token_us=10 / speed
        )
        for index, (memory, speed) in enumerate(KINDS)
    }
    places = {
        f"dc-{index}": DataCentre(region=f"region-{index % size.regions}")
        for index in range(size.places)
    }
    many = size.models > 2
    models = {
        f"model-{index}": Model(
            layers=rng.choice((32, 48, 64, 80)) if many else 80,
            layer_mib=rng.choice((256, 512, 1024)) if many else 1024,
            demand=rng.choice((0.5, 1.0, 1.0, 2.0, 4.0)) if many else 1.0,
        )
        for index in range(size.models)
    }
    return Text(name="bench", models=models, data_centres=places, accelerators=kinds)


def make_fleet(size: Size, text: Text, rng: random.Random) -> Fleet:
    """
    Make VMs of five kinds, with links that differ a hundredfold.

    :param size: the size.
    :param text: the text.
    :param rng: the source of chance.
    :return: the fleet.
    """
    racks = max(4, size.servers // size.places // VMS_PER_RACK)
    nodes = tuple(
        Node(
            name=f"vm-{index:04}",
            data_centre=f"dc-{index % size.places}",
            rack=f"rack-{rng.randrange(racks)}",
            accelerator=f"kind-{rng.randrange(len(KINDS))}",
        )
        for index in range(size.servers)
    )
    names = sorted(text.data_centres)
    pairs = {}
    for one in names:
        for other in names:
            if one < other:
                pairs[one, other] = _link(one, other, text, rng)
    return Fleet(nodes=nodes, links=Links(pairs=pairs))


def _link(one: str, other: str, text: Text, rng: random.Random) -> Link:
    places = text.data_centres
    if places[one].region == places[other].region:
        bandwidth = FAST_LINK / rng.choice((1, 10, 100))
        return Link(latency=0.0005, bandwidth=bandwidth)
    return Link(latency=0.03, bandwidth=SLOW_LINK)


def chains(text: Text, fleet: Fleet) -> Holdings:
    """
    Place chains of single VMs, each chain inside a data centre where it fits.

    :param text: the text.
    :param fleet: the fleet.
    :return: what each VM holds.
    """
    layout = {}
    for name, cells in allot(fleet, text).items():
        layers = text.models[name].layers
        layout[name] = []
        for seats in cells:
            count = max(1, sum(seat.layers for seat in seats) // (2 * layers))
            ordered = sorted(seats, key=lambda seat: (seat.kind, seat.vm))
            parts = [ordered[turn::count] for turn in range(count)]
            made = [split(name, layers, part, spread=((1, 1),)) for part in parts]
            layout[name] += [cell for cell in made if cell]
    return to_holdings(layout, [node.name for node in fleet.nodes], text)


def blind(text: Text, fleet: Fleet) -> Holdings:
    """
    Place as the planner does, as if all VMs stood in one data centre.

    :param text: the text.
    :param fleet: the fleet.
    :return: what each VM holds.
    """
    nodes = tuple(replace(node, data_centre="dc-0") for node in fleet.nodes)
    return plan(text, replace(fleet, nodes=nodes)).holdings


WAYS: dict[str, Way] = {
    "planner": lambda text, fleet: plan(text, fleet).holdings,
    "chains of single VMs": chains,
    "planner blind to data centres": blind,
    "greedy by swarm": lambda text, fleet: greedy_swarm(text, fleet).holdings,
    "equal split": lambda text, fleet: equal_split(text, fleet).holdings,
}


def ratio(holdings: Holdings, fleet: Fleet, text: Text) -> float:
    """
    Compare the least flow of a model, by demand, with the speed of the fleet.

    :param holdings: what each VM holds.
    :param fleet: the fleet.
    :param text: the text.
    :return: 1.0 where every VM is busy for the models in proportion to demand.
    """
    speed = sum(rate(text.accelerators[node.accelerator]) for node in fleet.nodes)
    work = sum(model.layers * model.demand for model in text.models.values())
    flows = bound(holdings, fleet, text)
    least = min(flows[name] / model.demand for name, model in text.models.items())
    return least * work / speed


def total(holdings: Holdings, fleet: Fleet, text: Text) -> float:
    """
    Compare the work done for all models with the speed of the fleet.

    :param holdings: what each VM holds.
    :param fleet: the fleet.
    :param text: the text.
    :return: 1.0 where every VM is busy.
    """
    speed = sum(rate(text.accelerators[node.accelerator]) for node in fleet.nodes)
    flows = bound(holdings, fleet, text)
    return sum(flows[name] * text.models[name].layers for name in flows) / speed


def loaded(fleet: Fleet, holdings: Holdings, lost: set[str]) -> Fleet:
    """
    Make the fleet that is left, with what it holds.

    :param fleet: the fleet.
    :param holdings: what each VM holds.
    :param lost: names of VMs.
    :return: the fleet without them.
    """
    nodes = tuple(
        replace(node, holdings=holdings[node.name])
        for node in fleet.nodes
        if node.name not in lost
    )
    return replace(fleet, nodes=nodes)


def measure(size: Size) -> Row:
    """
    Measure one size.

    :param size: the size.
    :return: medians over the seeds.
    """
    rows = [_measure_once(size, random.Random(seed)) for seed in SEEDS]

    def middle(read: Callable[[Row], float]) -> float:
        return median(read(row) for row in rows)

    return Row(
        size=size,
        seconds=middle(lambda row: row.seconds),
        ratios={way: middle(lambda row, way=way: row.ratios[way]) for way in WAYS},
        totals={way: middle(lambda row, way=way: row.totals[way]) for way in WAYS},
        replan_seconds=middle(lambda row: row.replan_seconds),
        moved_vms=middle(lambda row: row.moved_vms),
        moved_layers=middle(lambda row: row.moved_layers),
        kept=middle(lambda row: row.kept),
        tenth_moved=middle(lambda row: row.tenth_moved),
        tenth_kept=middle(lambda row: row.tenth_kept),
        steps_seconds=middle(lambda row: row.steps_seconds),
        roll_out_least=min(row.roll_out_least for row in rows),
    )


def _measure_once(size: Size, rng: random.Random) -> Row:
    text = make_text(size, rng)
    fleet = make_fleet(size, text, rng)
    start = time.process_time()
    first = plan(text, fleet).holdings
    seconds = time.process_time() - start
    ratios, totals = {}, {}
    for name, way in WAYS.items():
        holdings = way(text, fleet)
        ratios[name] = ratio(holdings, fleet, text)
        totals[name] = total(holdings, fleet, text)
    one = loaded(fleet, first, {rng.choice(fleet.nodes).name})
    start = time.process_time()
    second = plan(text, one)
    replan_seconds = time.process_time() - start
    gone = rng.sample(fleet.nodes, int(size.servers * LOST_SHARE))
    tenth = loaded(fleet, first, {node.name for node in gone})
    third = plan(text, tenth)
    steps_seconds, least = _roll_out(text, loaded(fleet, first, set()))
    return Row(
        size=size,
        seconds=seconds,
        ratios=ratios,
        totals=totals,
        replan_seconds=replan_seconds,
        moved_vms=sum(
            not set(second.holdings[node.name]) <= set(node.holdings)
            for node in one.nodes
        ),
        moved_layers=second.moved_layers,
        kept=ratio(second.holdings, one, text),
        tenth_moved=third.moved_layers / moved_layers({}, third.holdings),
        tenth_kept=ratio(third.holdings, tenth, text),
        steps_seconds=steps_seconds,
        roll_out_least=least,
    )


def _roll_out(text: Text, fleet: Fleet) -> tuple[float, float]:
    """Change the version of a model; find the least flow after any wave."""
    name = "model-0"
    models = text.models | {name: replace(text.models[name], version="2")}
    after = replace(text, models=models)
    before = bound(fleet.holdings, fleet, text)[name]
    target = plan(after, fleet).holdings
    start = time.process_time()
    schedule = steps(fleet.holdings, target, fleet, after)
    seconds = time.process_time() - start
    state, least = fleet, 1.0
    for wave in schedule.waves:
        state = loaded(state, apply_moves(state.holdings, wave.moves), set())
        flow = bound(state.holdings, state, after)[name]
        least = min(least, flow / before)
    return seconds, least


def page(rows: list[Row]) -> str:
    """
    Write the figures as a section of a page.

    :param rows: of all sizes.
    :return: Markdown.
    """
    lines = [
        "## Planner",
        "",
        "From `python -m benchmarks.planner`: pure computation on one core, medians",
        f"over {len(SEEDS)} random fleets (the least for the roll-out). Five kinds",
        "with speeds 1 to 8 and 24 to 96 GiB, links of 12.5 MB/s to 1.25 GB/s.",
        "Seconds are processor time. The bound is the joint speed of all VMs over the",
        "layers of the models by demand, as if links were no limit.",
        "",
        "Flow of the model served worst, by demand, over the bound:",
        "",
        *_table(rows, lambda row: row.ratios),
        "",
        "Work for all models over the joint speed:",
        "",
        *_table(rows, lambda row: row.totals),
    ]
    lines += [
        "",
        "Time, and the loss of VMs; flows are over the speed of the VMs left:",
        "",
        "| servers, models | plan, s | plan after 1 lost, s | VMs moved | layers moved "
        "| flow | 10 % lost: layers moved | flow |",
        "| --- |" + " --- |" * 7,
    ]
    for row in rows:
        lines.append(
            f"| {_name(row)} | {row.seconds:.2f} | {row.replan_seconds:.2f} "
            f"| {row.moved_vms:g} | {row.moved_layers:g} | {row.kept:.3f} "
            f"| {row.tenth_moved:.1%} | {row.tenth_kept:.3f} |"
        )
    lines += [
        "",
        "Roll-out of a version of one model: least flow of it after any wave, over the",
        "flow before, and the time to order the moves:",
        "",
        "| servers, models | least flow | s |",
        "| --- | --- | --- |",
    ]
    for row in rows:
        least = f"{row.roll_out_least:.3f}"
        lines.append(f"| {_name(row)} | {least} | {row.steps_seconds:.2f} |")
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    lines += ["", f"Peak resident memory of the run: {peak:.0f} MiB.", ""]
    lines += ["![time and flow of the planner](plots/planner.svg)", ""]
    return "\n".join(lines)


def _table(rows: list[Row], read: Callable[[Row], dict[str, float]]) -> list[str]:
    lines = ["| servers, models | " + " | ".join(WAYS) + " |"]
    lines.append("| --- |" + " --- |" * len(WAYS))
    for row in rows:
        cells = " | ".join(f"{read(row)[way]:.3f}" for way in WAYS)
        lines.append(f"| {_name(row)} | {cells} |")
    return lines


def _name(row: Row) -> str:
    return f"{row.size.servers}, {row.size.models}"


def draw(rows: list[Row]) -> drawsvg.Drawing:
    """
    Draw the flow of each way as bars by size.

    :param rows: of all sizes.
    :return: the drawing.
    """
    width, height, base, bar = 760, 320, 250, 20
    colours = ("#1b6ca8", "#5fa8d3", "#9bb1a5", "#d98324", "#a4452c")
    drawing = drawsvg.Drawing(width, height)
    drawing.append(drawsvg.Rectangle(0, 0, width, height, fill="white"))
    title = "Flow of the model served worst, over the joint speed of all VMs"
    drawing.append(drawsvg.Text(title, 14, 40, 22))
    for tenth in range(0, 11, 2):
        y = base - tenth * 20
        drawing.append(drawsvg.Line(40, y, width - 10, y, stroke="#ddd"))
        drawing.append(drawsvg.Text(f"{tenth / 10:.1f}", 10, 15, y + 3))
    for group, row in enumerate(rows):
        left = 55 + group * 142
        for index, way in enumerate(WAYS):
            tall = row.ratios[way] * 200
            x = left + index * bar
            shape = drawsvg.Rectangle(x, base - tall, bar - 3, tall)
            shape.args["fill"] = colours[index]
            drawing.append(shape)
        label = f"{row.size.servers} VMs, {row.size.models} models"
        drawing.append(drawsvg.Text(label, 11, left, base + 16))
        drawing.append(drawsvg.Text(f"{row.seconds:.2f} s", 11, left, base + 30))
    x = 40
    for index, way in enumerate(WAYS):
        mark = drawsvg.Rectangle(x, base + 46, 10, 10, fill=colours[index])
        drawing.append(mark)
        drawing.append(drawsvg.Text(way, 10, x + 14, base + 55))
        x += 40 + len(way) * 5
    return drawing


def run(report: Callable[[str], None]) -> list[Row]:
    """
    Measure all sizes, print the page and draw the plot.

    :param report: takes lines for people.
    :return: the rows.
    """
    rows = []
    for size in SIZES:
        rows.append(measure(size))
        report(f"planner: {size.servers} servers in {rows[-1].seconds:.2f} s")
    text = page(rows)
    PLOT.parent.mkdir(parents=True, exist_ok=True)
    draw(rows).save_svg(str(PLOT))
    report(text)
    return rows


def main() -> None:
    """Run by hand."""
    run(print)


if __name__ == "__main__":
    main()
