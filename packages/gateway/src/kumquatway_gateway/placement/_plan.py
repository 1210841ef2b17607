"""
Plan the moves that give each pool all layers, KV cache capacity and spare copies.

A pool is the servers of a data centre that can hold the whole model, or all servers if
no data centre can. Layers stay on a server as long as they are needed: a server that
loads more layers keeps serving, but one that unloads layers would break off the
requests that run through them.
"""

from collections.abc import Iterable

from kumquatway_gateway.model import Engine
from kumquatway_gateway.placement._pool import MIN_CAPACITY_SHARE, PoolPlanner
from kumquatway_gateway.placement._types import Move, ServerSnapshot, max_layers


def plan_moves(
    engine: Engine, snapshots: Iterable[ServerSnapshot], *, may_rebuild: bool = True
) -> tuple[Move, ...]:
    """
    Plan the next moves of every pool.

    :param engine: engine of the service.
    :param snapshots: servers that are up.
    :param may_rebuild: whether the layers of a pool may be reassigned from scratch if
        its gaps cannot be filled, and whether servers may be taken from a chain.
    :return: the moves, most urgent first; empty if nothing needs to change.
    """
    known = [
        snapshot
        for snapshot in snapshots
        if engine.accelerator(snapshot.server.accelerator)
    ]
    moves: list[Move] = []
    for members in _pools(engine, known):
        moves += PoolPlanner(engine=engine, members=members).plan(may_rebuild)
    return tuple(sorted(moves, key=lambda move: move.purpose))


def _pools(
    engine: Engine, snapshots: list[ServerSnapshot]
) -> list[list[ServerSnapshot]]:
    centres: dict[str, list[ServerSnapshot]] = {}
    for snapshot in snapshots:
        centres.setdefault(snapshot.server.data_centre, []).append(snapshot)
    complete = [pool for pool in centres.values() if _fits_model(engine, pool)]
    if complete:
        return sorted(complete, key=lambda pool: _missing_layers(engine, pool))
    return [snapshots] if snapshots else []


def _fits_model(engine: Engine, pool: list[ServerSnapshot]) -> bool:
    tokens = MIN_CAPACITY_SHARE * engine.max_kv_tokens
    return (
        sum(max_layers(engine, snapshot, tokens) for snapshot in pool) >= engine.layers
    )


def _missing_layers(engine: Engine, pool: list[ServerSnapshot]) -> int:
    held = {
        layer
        for snapshot in pool
        for layer in range(snapshot.layers.start, snapshot.layers.stop)
    }
    return engine.layers - len(held)
