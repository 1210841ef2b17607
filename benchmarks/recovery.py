"""
Recovery.

Streams through four stages of mixed kinds while a middle stage fails.
"""

import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import httpx

from benchmarks._load import Stream, complete, make_client
from benchmarks._stats import percentile
from benchmarks._text import make_source
from kumquatway_core.events import (
    StageFailed,
    StreamRecovered,
    decode_page,
    physical_milliseconds,
)
from kumquatway_fakes import Relay
from kumquatway_fakes._spec import HoldingSpec
from kumquatway_fakes.fleet import ADMIN_KEY, EngineVM, EntryVM, Fleet, FleetPlan

MODEL = "bulletin"
LAYERS = 32
STAGES = 4
REPLICAS = 4  # chains
STREAMS = 64
PROMPT_TOKENS = 2000
FAULTS = ("kill", "hang", "engine-hang", "link", "link-silent")
MAX_TOKENS = 400
WARM_TOKENS = 8  # each stream has them before the fault
TARGET_P99 = 1.0  # seconds
TARGET_SHARE = 1 / 3  # of the baseline
VICTIM = "vm-0-2"  # its links lead through a relay
LINK_DELAY = 0.0005  # seconds, one way
LINK_RATE = 10e6  # bytes a second
DEGRADATION = 100
NOTICE = 1.0  # seconds
# microseconds for a layer and for a layer and token, by stage; eightfold apart
KINDS = ((400.0, 1.0), (800.0, 2.0), (1600.0, 4.0), (3200.0, 8.0))


@dataclass(frozen=True, kw_only=True, slots=True)
class Outcome:
    """
    One trial.

    :param gaps: seconds from the fault to the next token, of each affected stream.
    :param wrong: streams whose answer differs from the one computed alone.
    """

    fault: str
    affected: int
    gaps: tuple[float, ...]
    wrong: int
    failed: int
    baseline: float

    def line(self) -> str:
        """
        Write a row of the table.

        :return: Markdown.
        """
        p50 = percentile(self.gaps, 0.5) if self.gaps else float("nan")
        p99 = percentile(self.gaps, 0.99) if self.gaps else float("nan")
        return (
            f"| {self.fault} | {self.affected} | {p50:.3f} | {p99:.3f} | "
            f"{self.baseline:.3f} | {p99 / self.baseline:.2f} | "
            f"{self.wrong} | {self.failed} |"
        )


@dataclass(kw_only=True, slots=True)
class Causes:
    """
    What the entry wrote down of a fault.

    :param requests: ids of the streams that a failed stage served.
    :param noticed: seconds from the fault to its notice, by VM and reason.
    :param recovered: seconds from the notice to the next token, by means.
    """

    requests: set[str] = field(default_factory=set)
    noticed: dict[str, list[float]] = field(default_factory=dict)
    recovered: dict[str, list[float]] = field(default_factory=dict)


def make_plan(replicas: int = REPLICAS) -> FleetPlan:
    """
    Lay out chains of four kinds.

    :param replicas: chains.
    :return: the plan.
    """
    size = LAYERS // STAGES
    engines = []
    for replica in range(replicas):
        for stage, (layer_us, token_us) in enumerate(KINDS):
            holding = HoldingSpec(
                model=MODEL, version="1", first=stage * size, end=(stage + 1) * size
            )
            engine = EngineVM(
                name=f"vm-{replica}-{stage}",
                holdings=(holding,),
                layer_us=layer_us,
                token_us=token_us,
                relayed=f"vm-{replica}-{stage}" == VICTIM,
            )
            engines.append(engine)
    return FleetPlan(
        source=make_source({MODEL: LAYERS}),
        entries=(EntryVM(name="entry-0"),),
        engines=tuple(engines),
        engines_per_process=4,
    )


async def run_trial(fault: str, folder: Path) -> Outcome:
    """
    Run the streams once and break one stage.

    :param fault: one of `FAULTS`.
    :param folder: for settings and logs.
    :return: what the callers saw.
    """
    fleet = Fleet(plan=make_plan(), folder=folder)
    relay = Relay(
        listen=fleet.addresses.of(VICTIM, "mesh"),
        target=fleet.addresses.of(VICTIM, "bind"),
    )
    relay.faults.delay = LINK_DELAY
    relay.faults.bytes_per_second = LINK_RATE
    try:
        async with anyio.create_task_group() as group:
            await group.start(relay.run)
            await fleet.start()
            async with make_client(fleet.caller_url("entry-0")) as http:
                outcome = await _measure(fault, fleet, http, relay)
            group.cancel_scope.cancel()
    finally:
        fleet.stop()
    return outcome


async def _measure(
    fault: str, fleet: Fleet, http: httpx.AsyncClient, relay: Relay
) -> Outcome:
    streams: list[Stream] = []
    live: list[Stream] = []

    async def one(index: int) -> None:
        prompt = f"{index:04d}" + "x" * (PROMPT_TOKENS - 4)
        stream = Stream(prompt=prompt, started=time.monotonic())
        live.append(stream)
        await complete(
            http, model=MODEL, prompt=prompt, max_tokens=MAX_TOKENS, into=stream
        )
        streams.append(stream)

    async with anyio.create_task_group() as group:
        for index in range(STREAMS):
            group.start_soon(one, index)
        while len(live) < STREAMS or any(
            len(stream.times) < WARM_TOKENS and not (stream.error or stream.finish)
            for stream in live
        ):
            await anyio.sleep(0.01)
        at = time.monotonic()
        wall = time.time()
        await _break(fault, fleet, relay)
    causes = await _read_causes(fleet, wall)
    _print_causes(causes)
    noticed = [stream for stream in live if stream.request in causes.requests]
    affected = noticed or [stream for stream in live if len(stream.times) > WARM_TOKENS]
    gaps = _gaps(affected, at)
    wrong = sum(
        not stream.right(layers=LAYERS, model=MODEL, max_tokens=MAX_TOKENS)
        for stream in streams
    )
    failed = sum(bool(stream.error) for stream in streams)
    baseline = await _baseline(http)
    return Outcome(
        fault=fault,
        affected=len(gaps),
        gaps=tuple(gaps),
        wrong=wrong,
        failed=failed,
        baseline=baseline,
    )


def _gaps(streams: list[Stream], at: float) -> list[float]:
    """
    Find the seconds from the fault to the end of each stream's longest stall.

    Tokens that had passed the broken stage still arrive after the fault, so the
    first token after it does not show the recovery. A stall that begins later than
    `NOTICE` after the fault has another cause.
    """
    gaps = []
    for stream in streams:
        times = [at, *(when for when in stream.times if when > at)]
        stalls = [
            stall
            for stall in zip(times, times[1:], strict=False)
            if stall[0] - at < NOTICE
        ]
        if not stalls:
            continue
        _, end = max(stalls, key=lambda stall: stall[1] - stall[0])
        gaps.append(end - at)
    return gaps


async def _break(fault: str, fleet: Fleet, relay: Relay) -> None:
    if fault == "kill":
        fleet.kill(VICTIM)
    elif fault == "hang":
        fleet.freeze(VICTIM)
    elif fault == "link":
        relay.faults.delay = LINK_DELAY * DEGRADATION
        relay.faults.bytes_per_second = LINK_RATE / DEGRADATION
    elif fault == "link-silent":
        relay.silence()
    elif fault == "engine-hang":
        async with httpx.AsyncClient(base_url=fleet.engine_url(VICTIM)) as http:
            await http.post("/faults", json={"hung": True})


async def _read_causes(fleet: Fleet, wall: float) -> Causes:
    headers = {"Authorization": f"Bearer {ADMIN_KEY}"}
    async with httpx.AsyncClient(base_url=fleet.admin_url("entry-0")) as admin:
        answer = await admin.get("/admin/events", headers=headers)
    causes = Causes()
    for record in decode_page(answer.content).records:
        event = record.event
        after = physical_milliseconds(record.clock) / 1000 - wall
        if isinstance(event, StageFailed):
            causes.requests.add(event.request)
            key = f"{event.vm} {event.reason} {event.detail}"
            causes.noticed.setdefault(key, []).append(after)
        if isinstance(event, StreamRecovered):
            causes.recovered.setdefault(event.means, []).append(event.seconds)
    return causes


def _print_causes(causes: Causes) -> None:
    for key, found in (causes.noticed | causes.recovered).items():
        low, high = min(found), max(found)
        print(f"<!-- {key}: {len(found)}, {low:.3f} to {high:.3f} s -->")


async def _baseline(http: httpx.AsyncClient) -> float:
    """Time the first token of as many streams that begin anew at once."""
    streams: list[Stream] = []

    async def one(index: int) -> None:
        prompt = f"b{index:03d}" + "y" * (PROMPT_TOKENS - 4)
        found = await complete(http, model=MODEL, prompt=prompt, max_tokens=1)
        streams.append(found)

    async with anyio.create_task_group() as group:
        for index in range(STREAMS):
            group.start_soon(one, index)
    served = [stream for stream in streams if stream.times]
    print(f"<!-- baseline: {STREAMS - len(served)} of {STREAMS} refused -->")
    return percentile([stream.times[0] - stream.started for stream in served], 0.99)


async def run(faults: tuple[str, ...]) -> None:
    """
    Run a trial of each fault and print the table.

    :param faults: to provoke.
    """
    print("| fault | affected | p50 s | p99 s | baseline s | share | wrong | failed |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for fault in faults:
        with tempfile.TemporaryDirectory() as folder:
            outcome = await run_trial(fault, Path(folder))
        print(outcome.line(), flush=True)


def main() -> None:
    """Run the benchmark."""
    faults = tuple(sys.argv[1:]) or FAULTS
    anyio.run(run, faults)


if __name__ == "__main__":
    main()
