"""Find chains of servers that run every layer of a model once and in order."""

from collections.abc import Iterable
from dataclasses import dataclass

from kumquatway_gateway.chains._capacity import token_capacity
from kumquatway_gateway.chains._pass_time import StageShare, longest_pass_seconds
from kumquatway_gateway.model import Engine, LayerRange, Server

HOP_SECONDS = 0.0001  # per token, within a data centre in the users' deployments
CROSSING_SECONDS = 0.00025  # per token, between data centres in the users' deployments
MAX_STAGES = 32  # limit of the engine
# Added to the cost of paths that begin at a limited server: another server goes first,
# if one holds its layers.
LIMITED_START_SECONDS = 60.0
MAX_CHAINS = 256  # 1,500 servers form about 150


@dataclass(frozen=True, kw_only=True, slots=True)
class CandidateServer:
    """
    A server that can become a stage of a chain.

    :param server: the server.
    :param layers: layers that it holds and can run.
    :param slowdown: factor by which its work takes longer than normal.
    :param layers_in_memory: number of layers that occupy its memory, if more than it
        holds.
    :param limited: whether it takes only a limited rate of requests, which are those
        that it gets as the first stage.
    """

    server: Server
    layers: LayerRange
    slowdown: float = 1.0
    layers_in_memory: int = 0
    limited: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Stage:
    """
    The layers that one server runs for a chain.

    :param server: the server.
    :param layers: layers that it runs.
    :param token_capacity: KV cache of the server for requests, tokens.
    """

    server: Server
    layers: LayerRange
    token_capacity: float = float("inf")


@dataclass(frozen=True, kw_only=True, slots=True)
class Chain:
    """
    Servers that together run all layers, in order.

    :param stages: layers of each server, from the first layer to the last.
    :param token_capacity: KV cache for requests, tokens; that of the smallest stage.
    :param request_seconds: estimated time of an average request on an idle chain.
    :param prefill_seconds: estimated time to prefill an average prompt.
    :param crossings: number of hops between data centres.
    :param pass_seconds: estimated longest time without an event on any stream.
    :param step_factor: how many times longer a step takes than on one reference server.
    :param prefill_factor: the same for prefill.
    :param hop_seconds: time between servers in one step.
    """

    stages: tuple[Stage, ...]
    token_capacity: float
    request_seconds: float
    prefill_seconds: float
    crossings: int
    pass_seconds: float = 0.0
    step_factor: float = 1.0
    prefill_factor: float = 1.0
    hop_seconds: float = 0.0

    @property
    def first_server(self) -> Server:
        """Return the server that receives the request."""
        return self.stages[0].server

    @property
    def data_centre(self) -> str:
        """Return the data centre of the first server."""
        return self.first_server.data_centre


@dataclass(frozen=True, kw_only=True, slots=True)
class _PathNode:
    """
    Last stage of the cheapest path to a layer that ends at a given server.

    :param cost: time of an average request up to and including this stage, seconds.
    :param candidate: server of this stage.
    :param start: first layer of this stage.
    :param previous: the preceding node, or None for the first stage.
    """

    cost: float
    candidate: CandidateServer
    start: int
    previous: "_PathNode | None"


def find_chains(
    engine: Engine,
    candidates: Iterable[CandidateServer],
    max_chains: int = MAX_CHAINS,
) -> tuple[Chain, ...]:
    """
    Find chains that share no server, starting with those within one data centre.

    A chain that crosses data centres sends the activations of each token over a link
    that all chains share. Such chains are therefore built only from the servers that
    are left once the chains within data centres have been found.

    :param engine: engine of the service.
    :param candidates: servers that may become stages.
    :param max_chains: maximum number of chains.
    :return: the chains; empty if some layer is held by no server.
    """
    unused = {
        candidate.server.id: candidate
        for candidate in candidates
        if len(candidate.layers)
    }
    chains: list[Chain] = []
    centres = sorted({candidate.server.data_centre for candidate in unused.values()})
    for centre in centres:
        local = [c for c in unused.values() if c.server.data_centre == centre]
        found = _find_local_chains(engine, local, max_chains - len(chains))
        chains += found
        for chain in found:
            for stage in chain.stages:
                del unused[stage.server.id]
    while len(chains) < max_chains:
        if not _add_cheapest_chain(engine, list(unused.values()), unused, chains):
            break
    return tuple(chains)


def _find_local_chains(
    engine: Engine, candidates: list[CandidateServer], max_chains: int
) -> list[Chain]:
    """
    Find chains within one data centre.

    The cheapest chain may use only some layers of a server, and then no other chain can
    use the rest. Where the servers hold several copies of the model, chains that use
    whole servers leave the others a complete copy. Such chains are taken where they
    serve more requests.
    """
    any_use = _find_disjoint_chains(engine, candidates, max_chains, whole=False)
    if _copies(engine, candidates) <= len(any_use):
        return any_use
    whole_use = _find_disjoint_chains(engine, candidates, max_chains, whole=True)
    return max(any_use, whole_use, key=_request_rate)


def _find_disjoint_chains(
    engine: Engine, candidates: list[CandidateServer], max_chains: int, *, whole: bool
) -> list[Chain]:
    """Find the cheapest chain, then the cheapest of the other servers, and so on."""
    unused = {candidate.server.id: candidate for candidate in candidates}
    chains: list[Chain] = []
    if whole:
        while len(chains) < max_chains:
            local = list(unused.values())
            if not _add_cheapest_chain(engine, local, unused, chains, whole=True):
                break
    while len(chains) < max_chains:
        if not _add_cheapest_chain(engine, list(unused.values()), unused, chains):
            break
    return chains


def _copies(engine: Engine, candidates: list[CandidateServer]) -> int:
    """Return the number of servers that hold the rarest layer."""
    counts = [0] * engine.layers
    for candidate in candidates:
        for layer in range(candidate.layers.start, candidate.layers.stop):
            counts[layer] += 1
    return min(counts)


def _request_rate(chains: list[Chain]) -> float:
    """Estimate the capacity of chains, in tokens per second."""
    return sum(chain.token_capacity / chain.request_seconds for chain in chains)


def _add_cheapest_chain(
    engine: Engine,
    candidates: list[CandidateServer],
    unused: dict[str, CandidateServer],
    chains: list[Chain],
    *,
    whole: bool = False,
) -> bool:
    """Add the cheapest chain, if any, to `chains` and take its servers off `unused`."""
    chain = _find_cheapest_chain(engine, candidates, whole=whole)
    if chain is None:
        return False
    chains.append(chain)
    for stage in chain.stages:
        del unused[stage.server.id]
    return True


def _find_cheapest_chain(
    engine: Engine, candidates: list[CandidateServer], *, whole: bool
) -> Chain | None:
    """
    Find the cheapest chain by a search from the first layer to the last.

    If `whole` is set, each of its servers runs all the layers that it holds.

    For each layer at which a range starts or ends, the search keeps the cheapest path
    to that layer for each server that the path can end with.
    """
    boundaries = sorted(
        {0, engine.layers}
        | {boundary for c in candidates for boundary in (c.layers.start, c.layers.stop)}
    )
    paths: dict[int, dict[str, _PathNode]] = {0: {}}
    for position in boundaries:
        arriving = paths.get(position)
        if arriving is None or position >= engine.layers:
            continue
        for candidate in candidates:
            if not candidate.layers.start <= position < candidate.layers.stop:
                continue
            if whole and candidate.layers.start != position:
                continue
            previous = _cheapest_predecessor(engine, arriving, candidate, position)
            if previous is None and position > 0:
                continue
            stops = (candidate.layers.stop,) if whole else boundaries
            for stop in stops:
                if position < stop <= candidate.layers.stop:
                    _keep_if_cheaper(engine, paths, candidate, position, stop, previous)
    complete = paths.get(engine.layers)
    if not complete:
        return None
    return _build_chain(engine, min(complete.values(), key=lambda node: node.cost))


def _cheapest_predecessor(
    engine: Engine,
    arriving: dict[str, _PathNode],
    candidate: CandidateServer,
    position: int,
) -> _PathNode | None:
    best = None
    best_cost = float("inf")
    for node in arriving.values():
        if _contains(node, candidate):
            continue
        cost = node.cost + _transfer_seconds(
            engine, node.candidate.server, candidate.server
        )
        if cost < best_cost:
            best, best_cost = node, cost
    return best


def _contains(node: _PathNode | None, candidate: CandidateServer) -> bool:
    while node is not None:
        if node.candidate is candidate:
            return True
        node = node.previous
    return False


def _keep_if_cheaper(
    engine: Engine,
    paths: dict[int, dict[str, _PathNode]],
    candidate: CandidateServer,
    start: int,
    stop: int,
    previous: _PathNode | None,
) -> None:
    cost = _run_seconds(engine, candidate, stop - start)
    if previous is None:
        cost += _start_cost(candidate)
    else:
        cost += previous.cost
        cost += _transfer_seconds(engine, previous.candidate.server, candidate.server)
    ending_here = paths.setdefault(stop, {})
    best = ending_here.get(candidate.server.id)
    if best is None or cost < best.cost:
        ending_here[candidate.server.id] = _PathNode(
            cost=cost, candidate=candidate, start=start, previous=previous
        )


def _start_cost(candidate: CandidateServer) -> float:
    return LIMITED_START_SECONDS if candidate.limited else 0.0


def _run_seconds(engine: Engine, candidate: CandidateServer, layers: int) -> float:
    return _decode_seconds(engine, candidate, layers) + _prefill_seconds(
        engine, candidate, layers
    )


def _decode_seconds(engine: Engine, candidate: CandidateServer, layers: int) -> float:
    accelerator = engine.accelerator(candidate.server.accelerator)
    factor = accelerator.step_factor if accelerator else 1.0
    seconds = engine.timings.step_seconds * factor * layers / engine.layers
    return seconds * engine.mean_output_tokens * candidate.slowdown


def _prefill_seconds(engine: Engine, candidate: CandidateServer, layers: int) -> float:
    accelerator = engine.accelerator(candidate.server.accelerator)
    factor = accelerator.prefill_factor if accelerator else 1.0
    seconds = engine.mean_prompt_tokens / engine.timings.prefill_tokens_per_second
    return seconds * factor * layers / engine.layers * candidate.slowdown


def _transfer_seconds(engine: Engine, sender: Server, receiver: Server) -> float:
    if sender.data_centre == receiver.data_centre:
        return HOP_SECONDS * engine.mean_output_tokens
    moved_bytes = (
        engine.mean_prompt_tokens + engine.mean_output_tokens
    ) * engine.activation_bytes
    return (
        CROSSING_SECONDS * engine.mean_output_tokens
        + moved_bytes / engine.inter_dc_bytes_per_second
    )


def _build_chain(engine: Engine, last: _PathNode) -> Chain | None:
    stages: list[Stage] = []
    shares: list[StageShare] = []
    prefill_seconds = 0.0
    stop = engine.layers
    node: _PathNode | None = last
    while node is not None:
        first = node.candidate
        layers = LayerRange(start=node.start, stop=stop)
        capacity = _stage_capacity(engine, node.candidate, len(layers))
        stages.append(
            Stage(server=node.candidate.server, layers=layers, token_capacity=capacity)
        )
        shares.append(
            StageShare(
                accelerator=engine.accelerator(node.candidate.server.accelerator),
                layers=len(layers),
                slowdown=node.candidate.slowdown,
            )
        )
        prefill_seconds += _prefill_seconds(engine, node.candidate, len(layers))
        stop = node.start
        node = node.previous
    stages.reverse()
    if len(stages) > MAX_STAGES:
        return None
    centres = [stage.server.data_centre for stage in stages]
    tokens = min(engine.max_kv_tokens, *(stage.token_capacity for stage in stages))
    hop_seconds = _hop_seconds(stages)
    return Chain(
        stages=tuple(stages),
        token_capacity=tokens,
        pass_seconds=longest_pass_seconds(engine, shares, tokens)
        + engine.timings.steps_per_pass * hop_seconds,
        step_factor=sum(share.step_factor(engine) for share in shares),
        prefill_factor=sum(share.prefill_factor(engine) for share in shares),
        hop_seconds=hop_seconds,
        request_seconds=last.cost - _start_cost(first),
        prefill_seconds=prefill_seconds,
        crossings=sum(a != b for a, b in zip(centres, centres[1:], strict=False)),
    )


def _hop_seconds(stages: list[Stage]) -> float:
    """Return the time between servers in one step."""
    seconds = 0.0
    for sender, receiver in zip(stages, stages[1:], strict=False):
        if sender.server.data_centre == receiver.server.data_centre:
            seconds += HOP_SECONDS
        else:
            seconds += CROSSING_SECONDS
    return seconds


def _stage_capacity(
    engine: Engine, candidate: CandidateServer, used_layers: int
) -> float:
    accelerator = engine.accelerator(candidate.server.accelerator)
    if accelerator is None:
        return float("inf")
    held_layers = max(len(candidate.layers), candidate.layers_in_memory)
    return token_capacity(engine, accelerator, held_layers, used_layers)
