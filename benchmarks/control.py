"""
Control.

What entries and agents spend on each other, by the number of each.
"""

import tempfile
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

import anyio
import drawsvg
import httpx

from benchmarks._load import make_client
from benchmarks._nodes import read_counts
from benchmarks._stats import Line, fit_line, load_average
from benchmarks._text import make_source
from benchmarks.tokens import run_streams
from kumquatway_fakes._spec import HoldingSpec
from kumquatway_fakes.fleet import EngineVM, EntryVM, Fleet, FleetPlan, Process

MODEL = "bulletins"
LAYERS = 8
STAGES = 4
LAYER_US = 5_000.0
AGENTS = (8, 16, 32, 64, 128)  # before one entry
ENTRIES = (1, 2, 4, 8)  # before as many agents each
AGENTS_PER_PROCESS = 16
SETTLE = 3.0  # seconds
WINDOW = 6.0  # seconds
STREAMS = 2  # at once, at the first entry, in the small load
MIB = 1024 * 1024  # bytes
PLOTS = Path(__file__).resolve().parent.parent / "docs" / "plots"


@dataclass(frozen=True, kw_only=True, slots=True)
class Usage:
    """
    What one process spends.

    :param cpu: share of a processor.
    :param bytes: a second on the mesh, both ways.
    :param messages: a second on the mesh, both ways.
    :param memory: resident, MiB.
    """

    cpu: float
    bytes: float
    messages: float
    memory: float

    def shared(self, nodes: int) -> "Usage":
        """
        Divide by the nodes of the process.

        :param nodes: how many.
        :return: what one spends.
        """
        return Usage(
            cpu=self.cpu / nodes,
            bytes=self.bytes / nodes,
            messages=self.messages / nodes,
            memory=self.memory / nodes,
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """
    The usage of the last entry and of one agent in a fleet.

    :param entry: idle.
    :param agent: idle.
    :param loaded_entry: while the first entry serves the small load.
    :param loaded_agent: then.
    :param list_bytes: of the platform's VM list, which an entry reads each second.
    """

    entries: int
    agents: int
    entry: Usage
    agent: Usage
    loaded_entry: Usage
    loaded_agent: Usage
    list_bytes: int


class NodesFleet(Fleet):
    """A fleet whose agents share processes and whose nodes count their traffic."""

    def _add_agent(self, name: str, settings: dict) -> None:
        path = self._write(name, settings)
        engines = [engine.name for engine in self.plan.engines]
        group = f"agents-{engines.index(name) // AGENTS_PER_PROCESS}"
        if group not in self.processes:
            self._add(group, ["-m", "benchmarks._nodes", "agents", self._path(group)])
        self.processes[group].arguments.append(str(path))

    def _add_entry(self, entry: EntryVM) -> None:
        super()._add_entry(entry)
        settings = self.processes[entry.name].arguments[-1]
        arguments = ["-m", "benchmarks._nodes", "entry", self._path(entry.name)]
        self._add(entry.name, [*arguments, settings])

    def _path(self, name: str) -> str:
        return str(self.folder / f"{name}.counts")

    async def measure(self, name: str) -> Usage:
        """
        Watch a process for a while.

        :param name: of the process.
        :return: what it spends.
        """
        process: Process = self.processes[name]
        path = Path(self._path(name))
        before, cpu = read_counts(path), process.cpu_seconds()
        await anyio.sleep(WINDOW)
        after, spent = read_counts(path), process.cpu_seconds() - cpu
        seconds = after.at - before.at
        return Usage(
            cpu=spent / WINDOW,
            bytes=(after.bytes - before.bytes) / seconds,
            messages=(after.messages - before.messages) / seconds,
            memory=process.memory_bytes() / MIB,
        )


def make_plan(entries: int, agents: int) -> FleetPlan:
    """
    Lay out chains of one model.

    :param entries: how many.
    :param agents: a multiple of the stages.
    :return: the plan.
    """
    size = LAYERS // STAGES
    engines = []
    for index in range(agents):
        stage = index % STAGES
        holding = HoldingSpec(
            model=MODEL, version="1", first=stage * size, end=(stage + 1) * size
        )
        engine = EngineVM(
            name=f"vm-{index}", holdings=(holding,), layer_us=LAYER_US, retained_mib=8
        )
        engines.append(engine)
    return FleetPlan(
        source=make_source({MODEL: LAYERS}),
        entries=tuple(EntryVM(name=f"entry-{index}") for index in range(entries)),
        engines=tuple(engines),
        engines_per_process=16,
        log_level="error",
    )


async def measure(entries: int, agents: int) -> Row:
    """
    Measure one size, idle and under the small load.

    :param entries: how many.
    :param agents: how many.
    :return: the usage.
    """
    with tempfile.TemporaryDirectory() as folder:
        fleet = NodesFleet(plan=make_plan(entries, agents), folder=Path(folder))
        try:
            await fleet.start()
            await anyio.sleep(SETTLE)
            entry, agent = await _watch(fleet)
            async with anyio.create_task_group() as group:
                group.start_soon(_load, fleet)
                await anyio.sleep(1)
                loaded_entry, loaded_agent = await _watch(fleet)
                group.cancel_scope.cancel()
            size = await _list_bytes(fleet)
        finally:
            fleet.stop()
    return Row(
        entries=entries,
        agents=agents,
        entry=entry,
        agent=agent,
        loaded_entry=loaded_entry,
        loaded_agent=loaded_agent,
        list_bytes=size,
    )


async def _watch(fleet: NodesFleet) -> tuple[Usage, Usage]:
    """Watch the first entry and the first process of agents at the same time."""
    found: dict[str, Usage] = {}

    async def one(name: str) -> None:
        found[name] = await fleet.measure(name)

    async with anyio.create_task_group() as group:
        group.start_soon(one, "entry-0")
        group.start_soon(one, "agents-0")
    nodes = min(len(fleet.plan.engines), AGENTS_PER_PROCESS)
    return found["entry-0"], found["agents-0"].shared(nodes)


async def _load(fleet: NodesFleet) -> None:
    async with make_client(fleet.caller_url("entry-0")) as http:
        while True:
            await run_streams(http, MODEL, ["small load"] * STREAMS)


async def _list_bytes(fleet: NodesFleet) -> int:
    async with httpx.AsyncClient(base_url=fleet.platform_url("vms")) as http:
        answer = await http.get("/vms")
    return len(answer.content)


@dataclass(frozen=True, kw_only=True, slots=True)
class Slope:
    """
    One figure as a line over the number of nodes.

    :param unit: of the ordinate.
    :param size: nodes at the size that the project is for.
    """

    name: str
    unit: str
    xs: tuple[int, ...]
    ys: tuple[float, ...]
    size: int

    def line(self) -> Line:
        """
        Fit the line.

        :return: the line.
        """
        return fit_line(self.xs, self.ys)


def make_slopes(by_agents: Sequence[Row], by_entries: Sequence[Row]) -> list[Slope]:
    """
    Turn rows into lines.

    :param by_agents: rows with one entry.
    :param by_entries: rows with as many agents each.
    :return: the slopes.
    """

    def agents(name: str, unit: str, read: Callable[[Row], float]) -> Slope:
        xs = tuple(row.agents for row in by_agents)
        ys = tuple(read(row) for row in by_agents)
        return Slope(name=f"{name}, by agents", unit=unit, xs=xs, ys=ys, size=1_500)

    def entries(name: str, unit: str, read: Callable[[Row], float]) -> Slope:
        xs = tuple(row.entries for row in by_entries)
        ys = tuple(read(row) for row in by_entries)
        return Slope(name=f"{name}, by entries", unit=unit, xs=xs, ys=ys, size=380)

    return [
        agents("entry idle, CPU", "% of a core", lambda row: row.entry.cpu * 100),
        agents("entry idle, mesh", "B/s", lambda row: row.entry.bytes),
        agents("entry idle, mesh", "messages/s", lambda row: row.entry.messages),
        agents("entry idle, memory", "MiB", lambda row: row.entry.memory),
        agents(
            "entry loaded, CPU", "% of a core", lambda row: row.loaded_entry.cpu * 100
        ),
        agents("entry loaded, mesh", "B/s", lambda row: row.loaded_entry.bytes),
        agents("VM list", "B", lambda row: row.list_bytes),
        entries("entry idle, CPU", "% of a core", lambda row: row.entry.cpu * 100),
        entries("entry idle, mesh", "B/s", lambda row: row.entry.bytes),
        entries("entry idle, memory", "MiB", lambda row: row.entry.memory),
        entries("agent idle, CPU", "% of a core", lambda row: row.agent.cpu * 100),
        entries("agent idle, mesh", "B/s", lambda row: row.agent.bytes),
        entries("agent idle, mesh", "messages/s", lambda row: row.agent.messages),
        entries(
            "agent loaded, CPU", "% of a core", lambda row: row.loaded_agent.cpu * 100
        ),
        entries("agent loaded, mesh", "B/s", lambda row: row.loaded_agent.bytes),
    ]


def draw(slopes: list[Slope]) -> drawsvg.Drawing:
    """
    Draw each slope with its line.

    :param slopes: to draw.
    :return: the drawing.
    """
    columns, wide, tall = 3, 260, 170
    rows = -(-len(slopes) // columns)
    drawing = drawsvg.Drawing(columns * wide, rows * tall)
    drawing.append(drawsvg.Rectangle(0, 0, columns * wide, rows * tall, fill="white"))
    for index, slope in enumerate(slopes):
        left = index % columns * wide + 30
        base = index // columns * tall + 140
        _draw_slope(drawing, slope, left, base)
    return drawing


def _draw_slope(drawing, slope: Slope, left: float, base: float) -> None:
    line = slope.line()
    most_x, most_y = max(slope.xs), max(*slope.ys, line.at(max(slope.xs)), 1e-9)
    title = f"{slope.name}: {slope.unit}"
    drawing.append(drawsvg.Text(title, 11, left, base - 120))
    drawing.append(drawsvg.Line(left, base, left + 210, base, stroke="#888"))
    drawing.append(drawsvg.Text(f"{most_y:.3g}", 9, left - 26, base - 96))

    def at(x: float, y: float) -> tuple[float, float]:
        return left + x / most_x * 200, base - max(y, 0) / most_y * 100

    ends = (*at(0, line.intercept), *at(most_x, line.at(most_x)))
    drawing.append(drawsvg.Line(*ends, stroke="#d98324"))
    for x, y in zip(slope.xs, slope.ys, strict=True):
        drawing.append(drawsvg.Circle(*at(x, y), 3, fill="#1b6ca8"))
        drawing.append(drawsvg.Text(str(x), 9, at(x, 0)[0] - 4, base + 11))


def _row_line(row: Row) -> str:
    cells = [str(row.entries), str(row.agents)]
    for usage in (row.entry, row.agent, row.loaded_entry, row.loaded_agent):
        cells += [f"{usage.cpu:.2%}", f"{usage.bytes:.0f}", f"{usage.messages:.1f}"]
    cells += [f"{row.entry.memory:.0f}", f"{row.agent.memory:.0f}"]
    return "| " + " | ".join(cells) + " |"


def _print_rows(rows: list[Row]) -> None:
    heads = ["entries", "agents"]
    for name in ("entry idle", "agent idle", "entry loaded", "agent loaded"):
        heads += [f"{name} CPU", "B/s", "messages/s"]
    heads += ["entry MiB", "agent MiB"]
    print("| " + " | ".join(heads) + " |")
    print("| " + " | ".join(["---"] * len(heads)) + " |")
    for row in rows:
        print(_row_line(row))


def _print_slopes(slopes: list[Slope]) -> None:
    print("\n| | slope | at none | fit | at the target size |")
    print("| --- | --- | --- | --- | --- |")
    for slope in slopes:
        line = slope.line()
        print(
            f"| {slope.name}, {slope.unit} | {line.slope:.4g} | {line.intercept:.4g} | "
            f"{line.fit:.3f} | {line.at(slope.size):.4g} |"
        )


async def run() -> None:
    """Measure all sizes, print the tables, and draw the plot."""
    print(f"{load_average()} Agents share a process, {AGENTS_PER_PROCESS} at most;")
    print("the figures are for one. Bytes are without headers of TCP and IP.\n")
    by_agents = [await measure(1, agents) for agents in AGENTS]
    more = [await measure(entries, AGENTS[0]) for entries in ENTRIES[1:]]
    by_entries = [by_agents[0], *more]
    _print_rows([*by_agents, *more])
    slopes = make_slopes(by_agents, by_entries)
    _print_slopes(slopes)
    PLOTS.mkdir(parents=True, exist_ok=True)
    draw(slopes).save_svg(str(PLOTS / "control.svg"))
    print(f"\n{load_average()}")


def main() -> None:
    """Run the benchmark."""
    anyio.run(run)


if __name__ == "__main__":
    main()
