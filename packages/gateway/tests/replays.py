"""
Replay seeded loads in virtual time against the gateway's decisions and baselines.

Each decision of routing, waiting and placement is compared with a simple baseline.
`test_baselines` checks which one is better; `python -m benchmarks decisions` prints by
how much.
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
    """Clock that is advanced by hand."""

    def __init__(self):
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


def make_waiter(account: str = "a", *, at: float = 0.0, **fields) -> Waiter:
    """Create a waiting request."""
    defaults = {"priority": 1, "tokens": 900.0, "deadline": at + MAX_WAIT_SECONDS}
    return Waiter(account=account, arrived=at, **{**defaults, **fields})


# Admission queue: order and refusals.


@dataclass
class TokenPool:
    """Token capacity that each admitted request occupies for member second."""

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
    Outcome of the requests of a replay.

    :param served: number of requests served, by account.
    :param sent: number of requests sent, by account.
    :param waits: wait of each served request, seconds.
    :param refused_late: number of requests refused after they had waited.
    """

    served: dict[str, int] = field(default_factory=dict)
    sent: dict[str, int] = field(default_factory=dict)
    waits: list[float] = field(default_factory=list)
    refused_late: int = 0

    def share(self, account: str) -> float:
        """Return the share of an account's requests that were served."""
        return self.served.get(account, 0) / self.sent[account]

    def mean_wait(self) -> float:
        """Return the mean wait of the served requests, seconds."""
        return sum(self.waits) / len(self.waits)


class _NeverRefusingQueue(AdmissionQueue):
    """Baseline that refuses no request on arrival unless its deadline has passed."""

    def expected_wait(self, waiter: Waiter | None = None) -> float:
        return 0.0


async def replay_queue(
    arrivals: list[Waiter],
    capacity: float,
    *,
    fair: bool = True,
    refuse_early: bool = True,
) -> QueueOutcome:
    """
    Replay arrivals against an admission queue in virtual time.

    :param arrivals: the requests.
    :param capacity: token capacity of all chains together.
    :param fair: whether accounts are distinguished; if not, requests are served first
        come, first served.
    :param refuse_early: whether requests that would wait too long are refused on
        arrival.
    :return: outcome of the requests.
    """
    clock = Clock()
    chains = TokenPool(clock=clock, capacity=capacity)
    queue = (AdmissionQueue if refuse_early else _NeverRefusingQueue)(
        claim=chains.claim,
        release=chains.free,
        min_rate=lambda: capacity / 2,
        clock=clock,
    )
    outcome = QueueOutcome()
    tasks: dict[asyncio.Task, tuple[str, Waiter]] = {}
    upcoming = sorted(arrivals, key=lambda waiter: waiter.arrived)
    while upcoming or tasks or chains.ends:
        clock.now += STEP_SECONDS
        while upcoming and upcoming[0].arrived <= clock.now:
            waiter = upcoming.pop(0)
            outcome.sent[waiter.account] = outcome.sent.get(waiter.account, 0) + 1
            entered = waiter if fair else replace(waiter, account="")
            tasks[asyncio.create_task(queue.admit(entered))] = (waiter.account, entered)
        for end in [end for end in chains.ends if end[0] <= clock.now]:
            chains.ends.remove(end)
            chains.free(end[1])
            queue.end_service(end[1])
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        for task in [task for task in tasks if task.done()]:
            account, waiter = tasks.pop(task)
            if task.result() is not None:
                queue.begin_service(waiter)
                outcome.served[account] = outcome.served.get(account, 0) + 1
                outcome.waits.append(clock.now - waiter.arrived)
            elif clock.now - waiter.arrived > 0.1:
                outcome.refused_late += 1
        for task, (_, waiter) in list(tasks.items()):
            if clock.now > waiter.deadline:
                task.cancel()
                del tasks[task]
                outcome.refused_late += 1
    return outcome


def draw_arrivals(
    rates: dict[str, float], seconds: float, seed: int = 1
) -> list[Waiter]:
    """Draw the arrivals of accounts with the given rates, requests per second."""
    rng = random.Random(seed)
    arrivals = []
    for account, rate in rates.items():
        at = 0.0
        while at < seconds:
            at += rng.expovariate(rate)
            arrivals.append(make_waiter(account, at=at))
    return arrivals


# One account that sends many times its share, and a burst above the capacity.

DOMINANT_ACCOUNT_RATES = {"large": 120.0, "one": 4.0, "two": 4.0}  # requests per second
BURST_RATES = {"a": 40.0, "b": 40.0}
TOTAL_CAPACITY = 45_000


def replay_dominant_account(*, fair: bool = True) -> QueueOutcome:
    """Replay a load in which one account sends 30 times as much as others."""
    return asyncio.run(
        replay_queue(
            draw_arrivals(DOMINANT_ACCOUNT_RATES, 8.0), TOTAL_CAPACITY, fair=fair
        )
    )


def replay_burst(*, refuse_early: bool = True) -> QueueOutcome:
    """Replay a burst above the capacity of the chains."""
    arrivals = draw_arrivals(BURST_RATES, 6.0)
    return asyncio.run(
        replay_queue(arrivals, TOTAL_CAPACITY, refuse_early=refuse_early)
    )


# Retries of refused callers: how many arrive within a tenth of a second.


def peak_retry_wave(draw: Callable[[], float], callers: int = 400) -> int:
    """
    Refuse callers in one instant and find the largest wave of their retries.

    :param draw: returns the retry time of one caller, seconds.
    :param callers: number of refused callers.
    :return: number of callers in the worst tenth of a second.
    """
    waves: dict[int, int] = {}
    for _ in range(callers):
        wave = int(draw() * 10)
        waves[wave] = waves.get(wave, 0) + 1
    return max(waves.values())


def jittered_retry_after() -> Callable[[], float]:
    """Return a function that draws the gateway's retry times around two seconds."""
    rng = random.Random(1)
    return lambda: retry_after(2.0, random=rng.random)


def fixed_retry_after() -> float:
    """Return the retry time of the baseline: two seconds for every caller."""
    return 2.0


# Retries while a share of a service's responses fail.


@dataclass(kw_only=True)
class RetryOutcome:
    """
    Requests to a service of which a share of the responses fail.

    :param max_retry_ratio: retries per request in the worst window of ten seconds.
    :param served: share of the requests that were served.
    """

    max_retry_ratio: float
    served: float


def replay_retries(
    make_budget: Callable[[Clock], tuple], *, failing: float
) -> RetryOutcome:
    """
    Send requests to a service with failing responses, with at most three attempts.

    :param make_budget: takes the clock; returns a function that records a request and a
        function that returns whether a retry is allowed.
    :param failing: share of the responses that fail.
    :return: retries and served requests.
    """
    rng = random.Random(2)
    clock = Clock()
    record_request, may_retry = make_budget(clock)
    attempts: list[tuple[float, int]] = []
    served = 0
    requests = 6000
    for _ in range(requests):
        clock.now += rng.expovariate(200.0)
        record_request()
        retries = 0
        while rng.random() < failing:
            if retries == 2 or not may_retry():
                break
            retries += 1
        else:
            served += 1
        attempts.append((clock.now, retries))
    worst_ratio = 0.0
    for end in range(10, int(clock.now), 2):
        window = [retries for at, retries in attempts if end - 10 <= at < end]
        worst_ratio = max(worst_ratio, sum(window) / len(window))
    return RetryOutcome(max_retry_ratio=worst_ratio, served=served / requests)


def with_retry_budget(clock: Clock):
    """Retry within the gateway's budget, with one entry."""
    budget = RetryBudget(
        ratio=0.2, slack=100, window=10, entry_count=lambda: 1, clock=clock
    )
    return budget.record_request, budget.try_withdraw


def without_retry_budget(clock: Clock):
    """Retry every failure."""
    return (lambda: None), (lambda: True)


# Choice of a chain: the chains differ in capacity.


@dataclass(kw_only=True)
class ChainOutcome:
    """
    Outcome of requests sent to chains.

    :param served: share of requests that fitted on their chain.
    :param evicted: share of requests that exceeded the capacity of their chain.
    """

    served: float
    evicted: float


Chooser = Callable[[list[Chain], dict[str, ChainLoad], float], Chain | None]


def choose_by_capacity(chains, loads, tokens):
    """Choose a chain as the gateway does."""
    return choose_chain(chains, loads, tokens=tokens, slots=96, home="a")


def choose_least_outstanding(chains, loads, tokens):
    """Choose the chain with the fewest requests among those with free slots."""
    available = [c for c in chains if _load(loads, c).requests < 96]
    return min(available, key=lambda c: _load(loads, c).requests, default=None)


def _load(loads: dict[str, ChainLoad], chain: Chain) -> ChainLoad:
    return loads.get(chain.first_server.id, ChainLoad())


def uneven_chains() -> list[Chain]:
    """Return two chains, one with a tenth of the token capacity of the other."""
    wide = [
        server(f"w{n}", "a", "big", layer_range(16 * n, 16 * n + 16)) for n in range(5)
    ]
    tight = [
        server(f"t{n}", "b", "big", layer_range(20 * n, 20 * n + 20)) for n in range(4)
    ]
    candidates = [
        CandidateServer(server=member, layers=member.layers)
        for member in (*wide, *tight)
    ]
    chains = find_chains(ENGINE, candidates)
    assert len(chains) == 2
    return chains


def replay_chains(choose: Chooser, chains: list[Chain], *, rate: float) -> ChainOutcome:
    """Send requests of 900 tokens on average to chains; each runs for two seconds."""
    rng = random.Random(3)
    loads: dict[str, ChainLoad] = {}
    ends: list[tuple[float, Chain, float]] = []
    now = 0.0
    sent = fitted = evicted = 0
    while now < 30:
        now += rng.expovariate(rate)
        for end in [end for end in ends if end[0] <= now]:
            ends.remove(end)
            _, chain, tokens = end
            loads[chain.first_server.id] = _load(loads, chain).plus(
                ChainLoad(tokens=-tokens, requests=-1)
            )
        sent += 1
        tokens = rng.uniform(300.0, 1500.0)
        chain = choose(chains, loads, tokens)
        if chain is None:
            continue
        load = _load(loads, chain)
        if load.tokens + tokens > chain.token_capacity:
            evicted += 1
            tokens = 0.0  # an evicted request occupies no capacity
        else:
            fitted += 1
        loads[chain.first_server.id] = load.plus(ChainLoad(tokens=tokens, requests=1))
        ends.append((now + 2.0, chain, tokens))
    return ChainOutcome(served=fitted / sent, evicted=evicted / sent)


# Placement: one server is lost.


Layout = dict[str, tuple[Server, LayerRange]]


def apply_plan(layout: Layout) -> tuple[Layout, int]:
    """Apply the gateway's plans until nothing changes; also return layers loaded."""
    loaded = 0
    layout = dict(layout)
    for _ in range(20):
        snapshots = [
            ServerSnapshot(server=member, layers=held)
            for member, held in layout.values()
        ]
        moves = plan_moves(ENGINE, snapshots)
        if not moves:
            return layout, loaded
        for move in moves:
            layout[move.server.id] = (move.server, move.layers)
            loaded += move.layers_to_load
    raise AssertionError("plan still has moves after 20 rounds")


def split_equally(layout: Layout) -> tuple[Layout, int]:
    """Split the layers of each data centre in proportion to memory."""
    loaded = 0
    new_layout: Layout = {}
    centres: dict[str, list[tuple[Server, LayerRange]]] = {}
    for member, held in layout.values():
        centres.setdefault(member.data_centre, []).append((member, held))
    for members in centres.values():
        sizes = [
            ENGINE.accelerator(member.accelerator).memory_megabytes
            for member, _ in members
        ]
        start, total = 0, 0.0
        for (member, held), size in zip(members, sizes, strict=True):
            total += size
            stop = round(ENGINE.layers * total / sum(sizes))
            kept = max(0, min(stop, held.stop) - max(start, held.start))
            loaded += stop - start - kept
            new_layout[member.id] = (member, layer_range(start, stop))
            start = stop
    return new_layout, loaded


def empty_layout() -> Layout:
    """Return the servers of one deployment, all empty."""
    return {member.id: (member, NO_LAYERS) for member in servers()}


@dataclass(kw_only=True)
class LossOutcome:
    """
    Effect of the loss of one server, averaged over all servers.

    :param loaded: number of layers loaded to repair the layout.
    :param broken: number of data centres without their own chain until the repair.
    """

    loaded: float
    broken: float


def replay_losses(make_layout: Callable[[Layout], tuple[Layout, int]]) -> LossOutcome:
    """Remove each server in turn from a complete layout, and repair the layout."""
    layout, _ = make_layout(empty_layout())
    loaded = broken = 0
    for name in layout:
        rest = {key: value for key, value in layout.items() if key != name}
        broken += 3 - len(_centres_with_chain(rest))
        loaded += make_layout(rest)[1]
    return LossOutcome(loaded=loaded / len(layout), broken=broken / len(layout))


def _centres_with_chain(layout: Layout) -> set[str]:
    candidates = [
        CandidateServer(server=member, layers=held) for member, held in layout.values()
    ]
    chains = find_chains(ENGINE, candidates)
    return {chain.data_centre for chain in chains if not chain.crossings}


def min_token_capacity(layout: Layout) -> float:
    """Return the smallest token capacity of a server that holds layers."""
    return min(
        token_capacity(
            ENGINE, ENGINE.accelerator(member.accelerator), len(held), len(held)
        )
        for member, held in layout.values()
        if held != NO_LAYERS
    )


# Copies of the model: memory that holds layers is not available to requests.


TIGHT_TOKENS = 4_300.0  # token capacity left if servers hold all layers that fit


def fill_memory(layout: Layout) -> Layout:
    """Fill the memory of every server with as many copies of the model as fit."""
    new_layout: Layout = {}
    start = 0
    for member, _ in layout.values():
        accelerator = ENGINE.accelerator(member.accelerator)
        limit = layer_capacity(ENGINE, accelerator, TIGHT_TOKENS)
        stop = min(ENGINE.layers, start + limit)
        new_layout[member.id] = (member, layer_range(start, stop))
        start = stop % ENGINE.layers
    return new_layout


def layout_chains(layout: Layout) -> tuple[Chain, ...]:
    """Find the chains of a layout."""
    candidates = [
        CandidateServer(server=member, layers=held) for member, held in layout.values()
    ]
    return find_chains(ENGINE, candidates)


def sustainable_request_rate(layout: Layout) -> float:
    """Compute the average requests per second that all chains can sustain."""
    tokens = ENGINE.mean_prompt_tokens + ENGINE.mean_output_tokens
    return sum(
        min(ENGINE.slots, chain.token_capacity / tokens) / chain.request_seconds
        for chain in layout_chains(layout)
    )


# Traffic between data centres.


def moved_megabytes(layout: Layout, *, near_first: bool = True) -> float:
    """
    Compute the megabytes that an average request sends between data centres.

    :param layout: layers of each server.
    :param near_first: whether chains within one data centre are preferred.
    :return: megabytes, averaged over at most three chains.
    """
    home = {member.id: member.data_centre for member, _ in layout.values()}
    if not near_first:
        layout = {
            name: (replace(member, data_centre="any"), held)
            for name, (member, held) in layout.items()
        }
    crossings = 0
    chains = [
        chain for chain in layout_chains(layout) if chain.token_capacity >= TIGHT_TOKENS
    ][:3]
    for chain in chains:
        centres = [home[stage.server.id] for stage in chain.stages]
        crossings += sum(a != b for a, b in zip(centres, centres[1:], strict=False))
    tokens = ENGINE.mean_prompt_tokens + ENGINE.mean_output_tokens
    return crossings / len(chains) * tokens * ENGINE.activation_bytes / 1e6


# Slow servers.


def mean_request_seconds(
    layout: Layout, *, slowdown: float, slowdown_reported: bool = True
) -> float:
    """
    Compute how long an average request takes if one server is slow.

    :param layout: layers of each server.
    :param slowdown: factor by which the slow server takes longer.
    :param slowdown_reported: whether chains are found and chosen by the slowdowns that
        servers report.
    :return: seconds, averaged over all choices of the slow server.
    """
    total = 0.0
    for name, (slow, _) in layout.items():
        candidates = [
            CandidateServer(
                server=member,
                layers=held,
                slowdown=slowdown if slowdown_reported and member.id == name else 1.0,
            )
            for member, held in layout.values()
        ]
        chains = find_chains(ENGINE, candidates)
        chosen = choose_chain(chains, {}, tokens=900, slots=96, home=slow.data_centre)
        [actual] = find_chains(
            ENGINE,
            [
                CandidateServer(
                    server=stage.server,
                    layers=stage.layers,
                    slowdown=slowdown if stage.server.id == name else 1.0,
                )
                for stage in chosen.stages
            ],
        )
        total += actual.request_seconds
    return total / len(layout)
