"""
Tokens.

Processor time of a streamed token at the entry and at each hop, and memory.
"""

import tempfile
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import anyio
import httpx

from benchmarks._bare import hop_seconds, piece_seconds
from benchmarks._load import Stream, complete, make_client
from benchmarks._stats import load_average
from benchmarks._text import make_source
from kumquatway_fakes import answer
from kumquatway_fakes._spec import HoldingSpec
from kumquatway_fakes.fleet import EngineVM, EntryVM, Fleet, FleetPlan

LAYERS = 8
STAGES = 4
LAYER_US = 1000.0
MAX_TOKENS = 80
PROMPT = "Closure of pass {:05d}."
BATCHES = {1: 4, 16: 2, 64: 1, 256: 1}  # streams at once: rounds
IDLE = 5.0  # seconds
RECOVERIES = "kumquatway_recoveries_total"
TARGET_RATIO = 3.0
MANY = 300
MANY_MODELS = ("visits", "bulletins")
MIB = 1024 * 1024  # bytes
MS = 1000  # in a second


@dataclass(frozen=True, kw_only=True, slots=True)
class Bare:
    """
    Processor seconds of the libraries alone.

    :param piece: of a stream, with its reader.
    :param server: of a stream, without its reader.
    """

    hop: float
    piece: float
    server: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Cost:
    """
    Processor seconds of a number of streams at once.

    :param tokens: delivered.
    :param wrong: streams whose answer differs from the one computed alone.
    :param refused: streams that ended with an error before the first token.
    :param recoveries: of streams, from failures or false alarms.
    :param entry: seconds of the entry.
    :param agents: seconds of all agents together.
    """

    batch: int
    tokens: int
    wrong: int
    refused: int
    recoveries: int
    seconds: float
    entry: float
    agents: float

    def line(self, bare: Bare) -> str:
        """
        Write a row of the table.

        :param bare: of the same run.
        :return: Markdown.
        """
        piece = self.entry / self.tokens
        hop = self.agents / self.tokens / STAGES
        return (
            f"| {self.batch} | {self.tokens} | {self.tokens / self.seconds:.0f} | "
            f"{piece * MS:.3f} | {piece / bare.piece:.1f} | "
            f"{piece / bare.server:.1f} | "
            f"{hop * MS:.3f} | {hop / bare.hop:.1f} | "
            f"{self.refused} | {self.wrong} | "
            f"{self.recoveries} |"
        )


def make_plan(models: Sequence[str], entries: int) -> FleetPlan:
    """
    Lay out one chain of equal stages for each model.

    :param models: names.
    :param entries: how many.
    :return: the plan.
    """
    size = LAYERS // STAGES
    engines = []
    for model in models:
        for stage in range(STAGES):
            holding = HoldingSpec(
                model=model, version="1", first=stage * size, end=(stage + 1) * size
            )
            engine = EngineVM(
                name=f"{model}-{stage}", holdings=(holding,), layer_us=LAYER_US
            )
            engines.append(engine)
    return FleetPlan(
        source=make_source(dict.fromkeys(models, LAYERS)),
        entries=tuple(EntryVM(name=f"entry-{index}") for index in range(entries)),
        engines=tuple(engines),
        engines_per_process=STAGES,
        log_level="warning",
    )


def long_prompts(count: int, model: str) -> list[str]:
    """
    Find prompts whose answers reach the bound on tokens.

    :param count: how many.
    :return: the prompts.
    """
    found = []
    index = 0
    while len(found) < count:
        prompt = PROMPT.format(index)
        index += 1
        texts, _ = answer(
            prompt=prompt.encode(), layers=LAYERS, model=model, max_tokens=MAX_TOKENS
        )
        if len(texts) == MAX_TOKENS:
            found.append(prompt)
    return found


async def run_streams(
    http: httpx.AsyncClient, model: str, prompts: list[str]
) -> list[Stream]:
    """
    Run streams at once.

    :param http: client of an entry.
    :param prompts: one for each stream.
    :return: what came back.
    """
    streams: list[Stream] = []

    async def one(prompt: str) -> None:
        found = await complete(http, model=model, prompt=prompt, max_tokens=MAX_TOKENS)
        streams.append(found)

    async with anyio.create_task_group() as group:
        for prompt in prompts:
            group.start_soon(one, prompt)
    return streams


def count_wrong(streams: list[Stream], model: str) -> int:
    """
    Count the answers that differ from those computed alone.

    :param streams: of one model.
    :return: how many.
    """
    return sum(
        not stream.right(layers=LAYERS, model=model, max_tokens=MAX_TOKENS)
        for stream in streams
        if not is_refused(stream)
    )


def is_refused(stream: Stream) -> bool:
    """
    Tell whether a stream ended with an error before its first token.

    :param stream: as its caller saw it.
    :return: False also for one that broke later, which is wrong.
    """
    return bool(stream.error) and not stream.texts


async def measure_costs(folder: Path) -> list[Cost]:
    """
    Measure each batch size on one entry and one chain.

    :param folder: for settings and logs.
    :return: a cost for each size.
    """
    model = MANY_MODELS[0]
    prompts = long_prompts(max(BATCHES), model)
    fleet = Fleet(plan=make_plan((model,), 1), folder=folder)
    try:
        await fleet.start()
        async with make_client(fleet.caller_url("entry-0")) as http:
            await run_streams(http, model, prompts[:4])
            idle = await _idle(fleet)
            return [
                await _measure(fleet, http, prompts, batch, idle) for batch in BATCHES
            ]
    finally:
        fleet.stop()


async def _idle(fleet: Fleet) -> dict[str, float]:
    """Measure the share of a processor that each idle process takes."""
    before = _cpu(fleet)
    await anyio.sleep(IDLE)
    after = _cpu(fleet)
    return {name: (after[name] - before[name]) / IDLE for name in after}


def _cpu(fleet: Fleet) -> dict[str, float]:
    return {name: process.cpu_seconds() for name, process in fleet.processes.items()}


async def _measure(
    fleet: Fleet,
    http: httpx.AsyncClient,
    prompts: list[str],
    batch: int,
    idle: dict[str, float],
) -> Cost:
    model = MANY_MODELS[0]
    recovered = await _recoveries(fleet)
    before = _cpu(fleet)
    started = anyio.current_time()
    streams: list[Stream] = []
    for _ in range(BATCHES[batch]):
        streams += await run_streams(http, model, prompts[:batch])
    seconds = anyio.current_time() - started
    after = _cpu(fleet)
    spent = {name: after[name] - before[name] - idle[name] * seconds for name in after}
    agents = [spent[engine.name] for engine in fleet.plan.engines]
    return Cost(
        batch=batch,
        tokens=sum(len(stream.texts) for stream in streams),
        wrong=count_wrong(streams, model),
        refused=sum(map(is_refused, streams)),
        recoveries=await _recoveries(fleet) - recovered,
        seconds=seconds,
        entry=spent["entry-0"],
        agents=sum(agents),
    )


async def _recoveries(fleet: Fleet) -> int:
    """Read how many streams the entry recovered so far."""
    async with httpx.AsyncClient(base_url=fleet.admin_url("entry-0")) as http:
        answer = await http.get("/metrics", headers={"Accept": "text/plain"})
    lines = [line for line in answer.text.splitlines() if line.startswith(RECOVERIES)]
    return sum(int(float(line.split()[-1])) for line in lines)


async def run_many(folder: Path) -> list[str]:
    """
    Run many streams over two models, two entries and eight agents.

    :param folder: for settings and logs.
    :return: lines of a table, Markdown.
    """
    fleet = Fleet(plan=make_plan(MANY_MODELS, 2), folder=folder)
    try:
        await fleet.start()
        return await _run_many(fleet)
    finally:
        fleet.stop()


async def _run_many(fleet: Fleet) -> list[str]:
    idle = _memory(fleet)
    peak = dict(idle)
    found: dict[str, list[Stream]] = {model: [] for model in MANY_MODELS}
    share = MANY // 4

    async def ask(entry: str, model: str, first: int) -> None:
        prompts = [PROMPT.format(first + index) for index in range(share)]
        async with make_client(fleet.caller_url(entry)) as http:
            found[model] += await run_streams(http, model, prompts)

    async with anyio.create_task_group() as sampler:
        sampler.start_soon(_sample_memory, fleet, peak)
        async with anyio.create_task_group() as group:
            for index, entry in enumerate(fleet.plan.entries):
                for model in MANY_MODELS:
                    group.start_soon(ask, entry.name, model, index * share)
        sampler.cancel_scope.cancel()
    wrong = sum(count_wrong(streams, model) for model, streams in found.items())
    streams = sum(len(streams) for streams in found.values())
    refused = sum(is_refused(stream) for some in found.values() for stream in some)
    errors = Counter(
        stream.error for some in found.values() for stream in some if stream.error
    )
    lines = [
        f"{streams} streams at once, {refused} refused, {wrong} wrong or mixed.",
        "",
    ]
    lines += [f"- {count} times {error}" for error, count in errors.most_common(5)]
    lines += ["| process | MiB idle | MiB at most under load |", "| --- | --- | --- |"]
    for name in _ours(fleet):
        row = f"| {name} | {idle[name] / MIB:.0f} | {peak[name] / MIB:.0f} |"
        lines.append(row)
    return lines


def _ours(fleet: Fleet) -> list[str]:
    return [vm.name for vm in (*fleet.plan.entries, *fleet.plan.engines)]


def _memory(fleet: Fleet) -> dict[str, int]:
    return {name: fleet.processes[name].memory_bytes() for name in _ours(fleet)}


async def _sample_memory(fleet: Fleet, peak: dict[str, int]) -> None:
    while True:
        for name, size in _memory(fleet).items():
            peak[name] = max(peak[name], size)
        await anyio.sleep(0.2)


async def run(report) -> None:
    """
    Measure and report.

    :param report: takes lines of Markdown.
    """
    with tempfile.TemporaryDirectory() as folder:
        piece, server = await piece_seconds(Path(folder))
    bare = Bare(hop=await hop_seconds(), piece=piece, server=server)
    report(
        f"Bare hop {bare.hop * MS:.3f} ms, bare piece {bare.piece * MS:.3f} ms with "
        f"its reader, {bare.server * MS:.3f} ms without."
    )
    report(f"{load_average()} Ratios are to the bare figures; target {TARGET_RATIO}.\n")
    report(
        "| streams | tokens | tokens/s | entry ms/token | ratio "
        "| without reader | agent ms/token and hop | ratio "
        "| refused | wrong | recoveries |"
    )
    report("| --- |" + " --- |" * 10)
    with tempfile.TemporaryDirectory() as folder:
        for cost in await measure_costs(Path(folder)):
            report(cost.line(bare))
    report("")
    with tempfile.TemporaryDirectory() as folder:
        for line in await run_many(Path(folder)):
            report(line)
    report(load_average())


def main() -> None:
    """Run the benchmark."""
    anyio.run(run, lambda line: print(line, flush=True))


if __name__ == "__main__":
    main()
