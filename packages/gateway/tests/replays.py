"""
Loads to replay, in virtual time and with a seed, and the baselines to replay them with.

Each decision of routing, waiting and placement is played here against the simple way
of taking it; `test_baselines` says which is better, `python -m benchmarks decisions`
by how much.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from engines import ENGINE, layer_range, server, servers

from kumquatway_gateway.chains import (
    CandidateServer,
    Chain,
    ChainLoad,
    choose_chain,
    find_chains,
    layer_capacity,
    token_capacity,
)
from kumquatway_gateway.model import NO_LAYERS, LayerRange, Server
from kumquatway_gateway.placement import ServerSnapshot, plan_moves
from kumquatway_gateway.waiting import (
    MAX_WAIT_SECONDS,
    AdmissionQueue,
    RetryBudget,
    Waiter,
    retry_after,
)

STEP_SECONDS = 0.01


class Clock:
    """Seconds that only move when told to."""

    def __init__(self):
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


def make_waiter(account: str = "a", *, at: float = 0.0, **fields) -> Waiter:
    """Make a request that waits."""
    defaults = {"priority": 1, "tokens": 900.0, "deadline": at + MAX_WAIT_SECONDS}
    return Waiter(account=account, arrived=at, **{**defaults, **fields})


# Who goes next and who is refused.


@dataclass
class TokenPool:
    """Room for tokens, each request of which stays for a second."""

    clock: Clock
    capacity: float
    used: float = 0.0
    ends: list[tuple[float, Waiter]] = field(default_factory=list)

    def claim(self, waiter: Waiter) -> Waiter | None:
        if self.used + waiter.tokens > self.capacity:
            return None
        self.used += waiter.tokens
        self.ends.append((self.clock.now + 1.0, waiter))
        return waiter

    def free(self, waiter: Waiter) -> None:
        self.used -= waiter.tokens


@dataclass
class QueueOutcome:
    """
    What became of the requests of a replay.

    :param refused_late: requests that waited for nothing.
    """

    served: dict[str, int] = field(default_factory=dict)
    asked: dict[str, int] = field(default_factory=dict)
    waits: list[float] = field(default_factory=list)
    refused_late: int = 0

    def share(self, account: str) -> float:
        """Give the share of an account's requests that were served."""
        return self.served.get(account, 0) / self.asked[account]

    def mean_wait(self) -> float:
        """Give the mean wait of those that were served, seconds."""
        return sum(self.waits) / len(self.waits)


class _PatientRoom(AdmissionQueue):
    """The baseline that lets everybody wait."""

    def expected_wait(self, waiter: Waiter | None = None) -> float:
        return 0.0


async def replay_queue(
    arrivals: list[Waiter],
    room_tokens: float,
    *,
    fair: bool = True,
    refuse_early: bool = True,
) -> QueueOutcome:
    """
    Play arrivals against chains in virtual time.

    :param arrivals: the requests.
    :param room_tokens: of all chains together.
    :param fair: whether accounts are told apart; first come first served if not.
    :param refuse_early: whether those are refused that would wait for too long.
    """
    clock = Clock()
    chains = TokenPool(clock=clock, capacity=room_tokens)
    room = (AdmissionQueue if refuse_early else _PatientRoom)(
        claim=chains.claim,
        release=chains.free,
        min_rate=lambda: room_tokens / 2,
        clock=clock,
    )
    outcome = QueueOutcome()
    tasks: dict[asyncio.Task, tuple[str, Waiter]] = {}
    pending = sorted(arrivals, key=lambda one: one.arrived)
    while pending or tasks or chains.ends:
        clock.now += STEP_SECONDS
        while pending and pending[0].arrived <= clock.now:
            one = pending.pop(0)
            outcome.asked[one.account] = outcome.asked.get(one.account, 0) + 1
            shown = one if fair else replace(one, account="")
            tasks[asyncio.create_task(room.admit(shown))] = (one.account, shown)
        for end in [end for end in chains.ends if end[0] <= clock.now]:
            chains.ends.remove(end)
            chains.free(end[1])
            room.end_service(end[1])
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        for task in [task for task in tasks if task.done()]:
            account, one = tasks.pop(task)
            if task.result() is not None:
                room.begin_service(one)
                outcome.served[account] = outcome.served.get(account, 0) + 1
                outcome.waits.append(clock.now - one.arrived)
            elif clock.now - one.arrived > 0.1:
                outcome.refused_late += 1
        for task, (_, one) in list(tasks.items()):
            if clock.now > one.deadline:
                task.cancel()
                del tasks[task]
                outcome.refused_late += 1
    return outcome


def draw_arrivals(
    rates: dict[str, float], seconds: float, seed: int = 1
) -> list[Waiter]:
    """Draw the requests of accounts that each send at a rate, per second."""
    chance = random.Random(seed)
    found = []
    for account, rate in rates.items():
        at = 0.0
        while at < seconds:
            at += chance.expovariate(rate)
            found.append(make_waiter(account, at=at))
    return found


# One account sends many times its share, and a burst above what the chains carry.

CROWD = {"large": 120.0, "one": 4.0, "two": 4.0}  # requests a second
BURST = {"a": 40.0, "b": 40.0}
CHAINS_TOKENS = 45_000


def replay_dominant_account(*, fair: bool = True) -> QueueOutcome:
    """Replay a crowd of one account's requests."""
    return asyncio.run(
        replay_queue(draw_arrivals(CROWD, 8.0), CHAINS_TOKENS, fair=fair)
    )


def replay_burst(*, refuse_early: bool = True) -> QueueOutcome:
    """Replay a burst."""
    arrivals = draw_arrivals(BURST, 6.0)
    return asyncio.run(replay_queue(arrivals, CHAINS_TOKENS, refuse_early=refuse_early))


# Returns of refused callers: how many come within one tenth of a second.


def peak_retry_wave(draw: Callable[[], float], callers: int = 400) -> int:
    """
    Refuse callers in one instant and count the largest wave of their return.

    :param draw: gives the time to return that one caller is told, seconds.
    :return: callers in the worst tenth of a second.
    """
    waves: dict[int, int] = {}
    for _ in range(callers):
        wave = int(draw() * 10)
        waves[wave] = waves.get(wave, 0) + 1
    return max(waves.values())


def jittered_retry_after() -> Callable[[], float]:
    """Give the product's times to return, around two seconds."""
    chance = random.Random(1)
    return lambda: retry_after(2.0, random=chance.random)


def fixed_retry_after() -> float:
    """Give the baseline's: the same time for all."""
    return 2.0


# Repeats while a third of a service's answers fail.


@dataclass(kw_only=True)
class RetryOutcome:
    """
    What a service got while some of its answers failed.

    :param most: repeats for each request in the worst window of ten seconds.
    :param served: share of the requests.
    """

    max_retry_ratio: float
    served: float


def replay_retries(
    may_repeat: Callable[[Clock], tuple], *, failing: float
) -> RetryOutcome:
    """
    Send requests to a service whose answers fail, three attempts at most.

    :param may_repeat: given the clock, gives what notes a request and what asks
        for a repeat.
    :param failing: share of answers that fail.
    """
    chance = random.Random(2)
    clock = Clock()
    note, take = may_repeat(clock)
    sent: list[tuple[float, int]] = []
    served = 0
    requests = 6000
    for _ in range(requests):
        clock.now += chance.expovariate(200.0)
        note()
        repeats = 0
        while chance.random() < failing:
            if repeats == 2 or not take():
                break
            repeats += 1
        else:
            served += 1
        sent.append((clock.now, repeats))
    worst = 0.0
    for end in range(10, int(clock.now), 2):
        window = [n for at, n in sent if end - 10 <= at < end]
        worst = max(worst, sum(window) / len(window))
    return RetryOutcome(max_retry_ratio=worst, served=served / requests)


def with_retry_budget(clock: Clock):
    """Repeat within the product's budget, as one entry of one."""
    budget = RetryBudget(
        ratio=0.2, slack=100, window=10, entry_count=lambda: 1, clock=clock
    )
    return budget.record_request, budget.try_withdraw


def without_retry_budget(clock: Clock):
    """Repeat always."""
    return (lambda: None), (lambda: True)


# Which chain: a third of the capacity goes, the rest has different room.


@dataclass(kw_only=True)
class ChainOutcome:
    """
    What became of requests that chains took.

    :param served: share that was taken and fitted.
    :param evicted: share that was taken beyond the room of its chain.
    """

    served: float
    evicted: float


Pick = Callable[[list[Chain], dict[str, ChainLoad], float], Chain | None]


def choose_by_capacity(chains, loads, tokens):
    """Choose as the product does."""
    return choose_chain(chains, loads, tokens=tokens, slots=96, home="a")


def choose_least_outstanding(chains, loads, tokens):
    """Choose the chain with the fewest requests, within its slots."""
    open_ones = [c for c in chains if _load(loads, c).requests < 96]
    return min(open_ones, key=lambda c: _load(loads, c).requests, default=None)


def _load(loads: dict[str, ChainLoad], chain: Chain) -> ChainLoad:
    return loads.get(chain.first_server.id, ChainLoad())


def uneven_chains() -> list[Chain]:
    """Give two chains, one of which has a third of the other's room."""
    wide = [
        server(f"w{n}", "a", "big", layer_range(16 * n, 16 * n + 16)) for n in range(5)
    ]
    tight = [
        server(f"t{n}", "b", "big", layer_range(20 * n, 20 * n + 20)) for n in range(4)
    ]
    holders = [
        CandidateServer(server=one, layers=one.layers) for one in (*wide, *tight)
    ]
    chains = find_chains(ENGINE, holders)
    assert len(chains) == 2
    return chains


def replay_chains(pick: Pick, chains: list[Chain], *, rate: float) -> ChainOutcome:
    """Let requests of 900 tokens, two seconds each, arrive at chains."""
    chance = random.Random(3)
    loads: dict[str, ChainLoad] = {}
    ends: list[tuple[float, Chain, float]] = []
    now = 0.0
    asked = fitted = evicted = 0
    while now < 30:
        now += chance.expovariate(rate)
        for one in [one for one in ends if one[0] <= now]:
            ends.remove(one)
            _, chain, tokens = one
            loads[chain.first_server.id] = _load(loads, chain).plus(
                ChainLoad(tokens=-tokens, requests=-1)
            )
        asked += 1
        tokens = chance.uniform(300.0, 1500.0)
        chain = pick(chains, loads, tokens)
        if chain is None:
            continue
        load = _load(loads, chain)
        if load.tokens + tokens > chain.token_capacity:
            evicted += 1
            tokens = 0.0  # it waits there for nothing
        else:
            fitted += 1
        loads[chain.first_server.id] = load.plus(ChainLoad(tokens=tokens, requests=1))
        ends.append((now + 2.0, chain, tokens))
    return ChainOutcome(served=fitted / asked, evicted=evicted / asked)


# Which layers: one server is lost.


Layout = dict[str, tuple[Server, LayerRange]]


def apply_plan(layout: Layout) -> tuple[Layout, int]:
    """Carry out the product's plan; gives the layout and the layers loaded."""
    loaded = 0
    layout = dict(layout)
    for _ in range(20):
        slots = [
            ServerSnapshot(server=one, layers=held) for one, held in layout.values()
        ]
        moves = plan_moves(ENGINE, slots)
        if not moves:
            return layout, loaded
        for move in moves:
            layout[move.server.id] = (move.server, move.layers)
            loaded += move.layers_to_load
    raise AssertionError("the plan never comes to rest")


def split_equally(layout: Layout) -> tuple[Layout, int]:
    """Split the layers of each data centre anew, in proportion to memory."""
    loaded = 0
    found: Layout = {}
    centres: dict[str, list[tuple[Server, LayerRange]]] = {}
    for one, held in layout.values():
        centres.setdefault(one.data_centre, []).append((one, held))
    for members in centres.values():
        sizes = [
            ENGINE.accelerator(one.accelerator).memory_megabytes for one, _ in members
        ]
        start, total = 0, 0.0
        for (one, held), size in zip(members, sizes, strict=True):
            total += size
            stop = round(ENGINE.layers * total / sum(sizes))
            kept = max(0, min(stop, held.stop) - max(start, held.start))
            loaded += stop - start - kept
            found[one.id] = (one, layer_range(start, stop))
            start = stop
    return found, loaded


def empty_layout() -> Layout:
    """Give the servers of one deployment, all empty."""
    return {one.id: (one, NO_LAYERS) for one in servers()}


@dataclass(kw_only=True)
class LossOutcome:
    """
    What the loss of any one server came to, the mean over all servers.

    :param loaded: layers that had to be loaded.
    :param broken: data centres without a chain of their own until then.
    """

    loaded: float
    broken: float


def replay_losses(lay_out: Callable[[Layout], tuple[Layout, int]]) -> LossOutcome:
    """Lose each server in turn from a settled layout."""
    layout, _ = lay_out(empty_layout())
    loaded = broken = 0
    for name in layout:
        rest = {key: value for key, value in layout.items() if key != name}
        broken += 3 - len(_centres_served(rest))
        loaded += lay_out(rest)[1]
    return LossOutcome(loaded=loaded / len(layout), broken=broken / len(layout))


def _centres_served(layout: Layout) -> set[str]:
    holders = [
        CandidateServer(server=one, layers=held) for one, held in layout.values()
    ]
    chains = find_chains(ENGINE, holders)
    return {chain.data_centre for chain in chains if not chain.crossings}


def min_token_capacity(layout: Layout) -> float:
    """Give the room of the fullest server, tokens."""
    return min(
        token_capacity(
            ENGINE, ENGINE.accelerator(one.accelerator), len(held), len(held)
        )
        for one, held in layout.values()
        if held != NO_LAYERS
    )


# How many copies of the model: what its servers hold is no room for requests.


TIGHT_TOKENS = 4_300.0  # room that is left where servers hold all that fits


def fill_memory(layout: Layout) -> Layout:
    """Hold all the layers that fit, in as many copies as that gives."""
    found: Layout = {}
    start = 0
    for one, _ in layout.values():
        kind = ENGINE.accelerator(one.accelerator)
        most = layer_capacity(ENGINE, kind, TIGHT_TOKENS)
        stop = min(ENGINE.layers, start + most)
        found[one.id] = (one, layer_range(start, stop))
        start = stop % ENGINE.layers
    return found


def layout_chains(layout: Layout) -> tuple[Chain, ...]:
    """Find the chains of a layout."""
    holders = [
        CandidateServer(server=one, layers=held) for one, held in layout.values()
    ]
    return find_chains(ENGINE, holders)


def sustainable_request_rate(layout: Layout) -> float:
    """Compute the usual requests a second that the room of all chains allows."""
    tokens = ENGINE.mean_prompt_tokens + ENGINE.mean_output_tokens
    return sum(
        min(ENGINE.slots, chain.token_capacity / tokens) / chain.request_seconds
        for chain in layout_chains(layout)
    )


# Chains within a data centre.


def moved_megabytes(layout: Layout, *, near_first: bool = True) -> float:
    """
    Compute what a usual request moves between data centres, the mean over the chains.

    :param near_first: whether chains within one data centre are looked for first.
    """
    home = {one.id: one.data_centre for one, _ in layout.values()}
    if not near_first:
        layout = {
            name: (replace(one, data_centre="any"), held)
            for name, (one, held) in layout.items()
        }
    steps = 0
    chains = [
        chain for chain in layout_chains(layout) if chain.token_capacity >= TIGHT_TOKENS
    ][:3]
    for chain in chains:
        centres = [home[part.server.id] for part in chain.stages]
        steps += sum(a != b for a, b in zip(centres, centres[1:], strict=False))
    tokens = ENGINE.mean_prompt_tokens + ENGINE.mean_output_tokens
    return steps / len(chains) * tokens * ENGINE.activation_bytes / 1e6


# Chains with a server that takes many times its time.


def mean_request_seconds(
    layout: Layout, *, slowdown: float, slowdown_reported: bool = True
) -> float:
    """
    Compute how long a usual request takes where one server is slow, the mean over all.

    :param known: whether chains are found and chosen by what servers say of their pace.
    """
    total = 0.0
    for name, (slow, _) in layout.items():
        holders = [
            CandidateServer(
                server=one,
                layers=held,
                slowdown=slowdown if slowdown_reported and one.id == name else 1.0,
            )
            for one, held in layout.values()
        ]
        chains = find_chains(ENGINE, holders)
        chosen = choose_chain(chains, {}, tokens=900, slots=96, home=slow.data_centre)
        [played] = find_chains(
            ENGINE,
            [
                CandidateServer(
                    server=part.server,
                    layers=part.layers,
                    slowdown=slowdown if part.server.id == name else 1.0,
                )
                for part in chosen.stages
            ],
        )
        total += played.request_seconds
    return total / len(layout)
