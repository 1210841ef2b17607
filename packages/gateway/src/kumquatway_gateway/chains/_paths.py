"""
Paths.

Finds chains of servers that run every layer once and in order.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from kumquatway_gateway.chains._capacity import token_capacity
from kumquatway_gateway.model import Engine, LayerRange, Server

HOP_SECONDS = 0.0001  # of a token, within a data centre (site files)
CROSSING_SECONDS = 0.00025  # of a token, between data centres (site files)
MAX_PARTS = 32  # of a chain, an engine's limit


@dataclass(frozen=True, kw_only=True, slots=True)
class CandidateServer:
    """
    A server that can take part in a chain.

    :param layers: what it holds.
    :param slowness: how many times longer than usual its work takes.
    :param loaded: layers that take its memory, where more than it holds.
    """

    server: Server
    layers: LayerRange
    slowdown: float = 1.0
    layers_in_memory: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Stage:
    """
    The layers that one server runs for a chain.

    :param tokens: its room for requests, tokens.
    """

    server: Server
    layers: LayerRange
    token_capacity: float = float("inf")


@dataclass(frozen=True, kw_only=True, slots=True)
class Chain:
    """
    Servers that run all layers, in order.

    :param tokens: room for requests, tokens.
    :param seconds: estimate of a usual request, alone.
    :param read_seconds: estimate to the first token of a usual prompt.
    :param crossings: steps between data centres.
    """

    stages: tuple[Stage, ...]
    token_capacity: float
    request_seconds: float
    prefill_seconds: float
    crossings: int

    @property
    def first_server(self) -> Server:
        """Give the server that takes the request."""
        return self.stages[0].server

    @property
    def data_centre(self) -> str:
        """Give the data centre of the first server."""
        return self.first_server.data_centre


@dataclass(frozen=True, kw_only=True, slots=True)
class _Step:
    """The cheapest way to a layer that ends at a server."""

    cost: float
    holder: CandidateServer
    start: int
    before: "_Step | None"


def find_chains(
    engine: Engine, candidates: Iterable[CandidateServer], max_chains: int = 8
) -> tuple[Chain, ...]:
    """
    Find chains that share no server, those within one data centre first.

    A chain that crosses data centres moves each token's activations over a pipe that
    all share, so it is only made of servers that no other chain needs.

    :param engine: of the service.
    :param holders: servers that may take part.
    :param most: chains wanted.
    :return: the chains; none where some layer is held nowhere.
    """
    free = {holder.server.id: holder for holder in candidates if len(holder.layers)}
    chains: list[Chain] = []
    centres = sorted({holder.server.data_centre for holder in free.values()})
    for centre in centres:
        while len(chains) < max_chains:
            near = [h for h in free.values() if h.server.data_centre == centre]
            if not _take(engine, near, free, chains):
                break
    while len(chains) < max_chains:
        if not _take(engine, list(free.values()), free, chains):
            break
    return tuple(chains)


def _take(
    engine: Engine,
    holders: list[CandidateServer],
    free: dict[str, CandidateServer],
    chains: list[Chain],
) -> bool:
    chain = _cheapest(engine, holders)
    if chain is None:
        return False
    chains.append(chain)
    for part in chain.stages:
        del free[part.server.id]
    return True


def _cheapest(engine: Engine, holders: list[CandidateServer]) -> Chain | None:
    """Search from the first layer on, keeping the best way for each last server."""
    edges = sorted(
        {0, engine.layers}
        | {edge for h in holders for edge in (h.layers.start, h.layers.stop)}
    )
    ways: dict[int, dict[str, _Step]] = {0: {}}
    for position in edges:
        arrived = ways.get(position)
        if arrived is None or position >= engine.layers:
            continue
        for holder in holders:
            if not holder.layers.start <= position < holder.layers.stop:
                continue
            before = _best_before(engine, arrived, holder, position)
            if before is None and position > 0:
                continue
            for stop in edges:
                if position < stop <= holder.layers.stop:
                    _improve(engine, ways, holder, position, stop, before)
    ends = ways.get(engine.layers)
    if not ends:
        return None
    return _chain(engine, min(ends.values(), key=lambda step: step.cost))


def _best_before(
    engine: Engine, arrived: dict[str, _Step], holder: CandidateServer, position: int
) -> _Step | None:
    best = None
    best_cost = float("inf")
    for step in arrived.values():
        if _has(step, holder):
            continue
        cost = step.cost + _hop_cost(engine, step.holder.server, holder.server)
        if cost < best_cost:
            best, best_cost = step, cost
    return best


def _has(step: _Step | None, holder: CandidateServer) -> bool:
    while step is not None:
        if step.holder is holder:
            return True
        step = step.before
    return False


def _improve(
    engine: Engine,
    ways: dict[int, dict[str, _Step]],
    holder: CandidateServer,
    start: int,
    stop: int,
    before: _Step | None,
) -> None:
    cost = _run_cost(engine, holder, stop - start)
    if before is not None:
        cost += before.cost
        cost += _hop_cost(engine, before.holder.server, holder.server)
    found = ways.setdefault(stop, {})
    known = found.get(holder.server.id)
    if known is None or cost < known.cost:
        found[holder.server.id] = _Step(
            cost=cost, holder=holder, start=start, before=before
        )


def _run_cost(engine: Engine, holder: CandidateServer, layers: int) -> float:
    return _step_seconds(engine, holder, layers) + _read_seconds(engine, holder, layers)


def _step_seconds(engine: Engine, holder: CandidateServer, layers: int) -> float:
    kind = engine.accelerator(holder.server.accelerator)
    factor = kind.step_factor if kind else 1.0
    step = engine.timings.step_seconds * factor * layers / engine.layers
    return step * engine.mean_output_tokens * holder.slowdown


def _read_seconds(engine: Engine, holder: CandidateServer, layers: int) -> float:
    kind = engine.accelerator(holder.server.accelerator)
    factor = kind.prefill_factor if kind else 1.0
    read = engine.mean_prompt_tokens / engine.timings.prefill_tokens_per_second
    return read * factor * layers / engine.layers * holder.slowdown


def _hop_cost(engine: Engine, before: Server, after: Server) -> float:
    if before.data_centre == after.data_centre:
        return HOP_SECONDS * engine.mean_output_tokens
    moved = (
        engine.mean_prompt_tokens + engine.mean_output_tokens
    ) * engine.activation_bytes
    return (
        CROSSING_SECONDS * engine.mean_output_tokens
        + moved / engine.inter_dc_bytes_per_second
    )


def _chain(engine: Engine, last: _Step) -> Chain | None:
    parts: list[Stage] = []
    read = 0.0
    stop = engine.layers
    step: _Step | None = last
    while step is not None:
        layers = LayerRange(start=step.start, stop=stop)
        tokens = _room(engine, step.holder, len(layers))
        parts.append(
            Stage(server=step.holder.server, layers=layers, token_capacity=tokens)
        )
        read += _read_seconds(engine, step.holder, len(layers))
        stop = step.start
        step = step.before
    parts.reverse()
    if len(parts) > MAX_PARTS:
        return None
    centres = [part.server.data_centre for part in parts]
    return Chain(
        stages=tuple(parts),
        token_capacity=min(
            engine.max_kv_tokens, *(part.token_capacity for part in parts)
        ),
        request_seconds=last.cost,
        prefill_seconds=read,
        crossings=sum(a != b for a, b in zip(centres, centres[1:], strict=False)),
    )


def _room(engine: Engine, holder: CandidateServer, used: int) -> float:
    kind = engine.accelerator(holder.server.accelerator)
    if kind is None:
        return float("inf")
    held = max(len(holder.layers), holder.layers_in_memory)
    return token_capacity(engine, kind, held, used)
