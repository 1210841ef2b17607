"""
Admission.

Measures the cost of admission at an entry, and its policy in virtual time.
"""

import gc
import random
import statistics
import time
import tracemalloc
from dataclasses import dataclass

import anyio
import msgspec

from benchmarks._admission_sim import (
    PEAK_PER_SECOND,
    SLOTS,
    Outcome,
    Source,
    World,
    account,
    goodput,
    jain,
    overload,
    quantile,
    rush,
)
from kumquatway.admission import Admission, Ask, Capacity, Demands, Grants, Split
from kumquatway_core.text import Priority

ACCOUNTS = (10, 1_000, 26_000)
OFFERS = 20_000
RUNS = 5
ACTIVE = (16, 64, 256, 512)
ENTRIES = 380
SECONDS = 60.0
LARGE_SCALE = 10
MICROSECONDS = 1e6


@dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """
    One figure.

    :param name: what was measured.
    :param value: the figure.
    :param unit: its unit.
    """

    name: str
    value: float
    unit: str


def run() -> list[Row]:
    """
    Measure everything.

    :return: the figures.
    """
    rows = []
    for count in ACCOUNTS:
        rows += _admit_cpu(count)
    rows += _memory(ACCOUNTS[-1])
    rows += _exchange()
    rows += _overload()
    rows += _rush()
    rows += _classes()
    return rows


def _admission(capacity: int) -> Admission:
    spec = account()
    limit = Capacity(limit=capacity, floor=capacity, ceiling=capacity)
    return Admission(lookup=lambda name: spec, capacity=lambda target: limit)


def _asks(count: int) -> list[Ask]:
    draw = random.Random(1)
    return [
        Ask(
            account=f"account-{draw.randrange(count)}",
            target="model",
            prompt_tokens=200,
            answer_tokens=100,
        )
        for _ in range(OFFERS)
    ]


def _admit_cpu(count: int) -> list[Row]:
    asks = _asks(count)
    free = [_free_cpu(asks) for _ in range(RUNS)]
    queued = [_queued_cpu(asks) for _ in range(RUNS)]
    return [
        Row(
            name=f"admit and close, {count} accounts, room",
            value=statistics.median(free),
            unit="us",
        ),
        Row(
            name=f"admit and close, {count} accounts, queue of 1,000",
            value=statistics.median(queued),
            unit="us",
        ),
    ]


def _free_cpu(asks: list[Ask]) -> float:
    admission = _admission(64)
    start = time.process_time()
    for ask in asks:
        admission.offer(ask, _ignore).close(300)
    return (time.process_time() - start) / len(asks) * MICROSECONDS


def _queued_cpu(asks: list[Ask]) -> float:
    admission = _admission(1)
    tickets = [admission.offer(asks[0], _ignore)]
    for ask in asks[:1000]:
        admission.offer(ask, tickets.append)
    start = time.process_time()
    for ask in asks:
        admission.offer(ask, tickets.append)
        tickets.pop().close(300)
    return (time.process_time() - start) / len(asks) * MICROSECONDS


def _ignore(outcome) -> None:
    pass


def _memory(count: int) -> list[Row]:
    asks = [Ask(account=f"account-{i}", target="model") for i in range(count)]
    gc.collect()
    tracemalloc.start()
    admission = _admission(64)
    for ask in asks:
        admission.offer(ask, _ignore).close(0)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return [
        Row(name=f"state of {count} active accounts", value=size / 1e6, unit="MB"),
        Row(name="state of one active account", value=size / count, unit="B"),
    ]


def _exchange() -> list[Row]:
    sizes = [anyio.run(_round_bytes, count) for count in ACTIVE]
    slope = statistics.linear_regression(ACTIVE, [size.total for size in sizes]).slope
    rows = []
    for count, size in zip(ACTIVE, sizes, strict=True):
        name = f"exchange of {count} active accounts"
        rows.append(Row(name=name, value=size.total, unit="B a round"))
        rows.append(Row(name=name, value=size.messages, unit="messages a round"))
    rows.append(Row(name="exchange, slope", value=slope, unit="B an account"))
    return rows


@dataclass(kw_only=True, slots=True)
class _Traffic:
    """What one entry sent and received in a round."""

    total: int = 0
    messages: int = 0


async def _round_bytes(count: int) -> _Traffic:
    traffic = _Traffic()
    names = tuple(f"10.0.{i // 256}.{i % 256}:7001" for i in range(ENTRIES))

    async def exchange(owner: str, demands: Demands) -> Grants:
        grants = Grants(shares=tuple(0.5 for _ in demands.items))
        traffic.total += len(msgspec.msgpack.encode(demands))
        traffic.total += len(msgspec.msgpack.encode(grants))
        traffic.messages += 2
        return grants

    split = Split(entry=names[0], entries=lambda: names, exchange=exchange)
    for index in range(count):
        split.demand.add(f"account-{index:05}", 1.0)
    await split.round()
    return traffic


def _overload() -> list[Row]:
    rows = []
    for policy in ("fifo", "priority", "fair"):
        for load in (0.5, 1, 2, 5):
            world = overload(load, policy, SECONDS)
            name = f"goodput over peak, {policy}, load {load}"
            rows.append(Row(name=name, value=goodput(world, SECONDS), unit=""))
    for name, make in _CAPACITIES.items():
        world = World(_twenty(5), capacity=make)
        world.run(SECONDS)
        label = f"goodput over peak, capacity {name}, load 5"
        rows.append(Row(name=label, value=goodput(world, SECONDS), unit=""))
    return rows


def _rush() -> list[Row]:
    rows = []
    alone = rush(large=False)
    rows.append(Row(name="p95 first token, small alone", value=_p95(alone), unit="s"))
    for policy in ("fifo", "priority", "fair"):
        world = rush(policy)
        p95 = _p95(world)
        rows.append(Row(name=f"p95 first token, {policy}", value=p95, unit="s"))
        index = jain([one.served / _due(n) for n, one in world.outcomes.items()])
        rows.append(Row(name=f"Jain's index, {policy}", value=index, unit=""))
    world = rush(scale=LARGE_SCALE, seconds=30.0)
    name = f"p95 first token, fair, {LARGE_SCALE} times the slots"
    rows.append(Row(name=name, value=_p95(world), unit="s"))
    return rows


def _classes() -> list[Row]:
    rows = []
    for policy in ("fifo", "priority", "fair"):
        urgent = account(priority=Priority.URGENT)
        bulk = account(priority=Priority.BULK)
        sources = [
            Source(name="urgent", per_second=1.2 * PEAK_PER_SECOND, spec=urgent),
            Source(name="bulk", per_second=0.2 * PEAK_PER_SECOND, spec=bulk),
        ]
        for source in sources:
            source.priority = source.spec.priority
        world = World(sources, policy=policy)
        world.run(SECONDS)
        for name, outcome in sorted(world.outcomes.items()):
            part = outcome.good / outcome.offered
            label = f"answered in time over offered, {policy}, {name}"
            rows.append(Row(name=label, value=part, unit=""))
    return rows


def _due(name: str) -> float:
    return 10 - 9 * 0.75 if name == "large" else 0.75


def _p95(world: World) -> float:
    small: list[Outcome] = [
        outcome for name, outcome in world.outcomes.items() if name != "large"
    ]
    return quantile([wait for one in small for wait in one.first_token], 0.95)


def _twenty(load: float) -> list[Source]:
    rate = load * SLOTS / 20
    return [Source(name=f"a{i}", per_second=rate) for i in range(20)]


def _fixed(limit: int):
    return lambda target: Capacity(limit=limit, floor=limit, ceiling=limit)


_CAPACITIES = {
    "fixed, right": _fixed(SLOTS),
    "fixed, half": _fixed(SLOTS // 2),
    "fixed, 4 times": _fixed(4 * SLOTS),
    "adaptive": lambda target: Capacity(),
}


if __name__ == "__main__":
    for row in run():
        print(f"{row.name}: {row.value:.4g} {row.unit}")
