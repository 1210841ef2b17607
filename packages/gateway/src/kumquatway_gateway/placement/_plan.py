"""
Plan.

Which loads make every pool of servers whole, roomy, and proof against one loss.

A pool is a data centre that can hold the whole model, or all servers where none can.
What is held stays where it is as long as something needs it: a server that grows goes
on serving, one that gives layers up would break what runs there.
"""

from collections.abc import Iterable

from kumquatway_gateway.model import Engine
from kumquatway_gateway.placement._pool import LEAST_ROOM, Pool
from kumquatway_gateway.placement._types import Move, ServerSnapshot, max_layers


def plan_moves(
    engine: Engine, servers: Iterable[ServerSnapshot], *, may_rebuild: bool = True
) -> tuple[Move, ...]:
    """
    Plan the next moves of every pool.

    :param engine: of the service.
    :param slots: servers that are up, with what they hold.
    :param may_rebuild: whether a chain that cannot be mended may be laid out anew.
    :return: the moves, most urgent first; none where nothing is to be done.
    """
    known = [slot for slot in servers if engine.accelerator(slot.server.accelerator)]
    moves: list[Move] = []
    for members in _pools(engine, known):
        moves += Pool(engine=engine, members=members).plan(may_rebuild)
    return tuple(sorted(moves, key=lambda move: move.purpose))


def _pools(engine: Engine, slots: list[ServerSnapshot]) -> list[list[ServerSnapshot]]:
    centres: dict[str, list[ServerSnapshot]] = {}
    for slot in slots:
        centres.setdefault(slot.server.data_centre, []).append(slot)
    whole = [pool for pool in centres.values() if _fits(engine, pool)]
    if whole:
        return sorted(whole, key=lambda pool: _missing(engine, pool))
    return [slots] if slots else []


def _fits(engine: Engine, pool: list[ServerSnapshot]) -> bool:
    least = LEAST_ROOM * engine.max_kv_tokens
    return sum(max_layers(engine, slot, least) for slot in pool) >= engine.layers


def _missing(engine: Engine, pool: list[ServerSnapshot]) -> int:
    held = {n for s in pool for n in range(s.layers.start, s.layers.stop)}
    return engine.layers - len(held)
