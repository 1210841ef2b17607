"""
Plan.

Fills gaps in the layers that the servers of a pool hold, with the shortest loads.

A pool is a data centre that can hold the whole model, or all servers where none can.
What is held stays where it is: a server that grows goes on serving, one that gives
layers up would break what runs there.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from kumquatway_gateway.chains import layers_within
from kumquatway_gateway.model import NOTHING, Accelerator, Engine, LayerRange, Server

# Room for requests that a plan tries to leave, tokens, in turn; the last one holds
# about four usual requests.
ROOMS = (50_000, 40_000, 30_000, 20_000, 12_000, 4_300)


@dataclass(frozen=True, kw_only=True, slots=True)
class Slot:
    """
    A server that may hold layers.

    :param layers: what it holds, or will hold once its order is done.
    """

    server: Server
    layers: LayerRange


@dataclass(frozen=True, kw_only=True, slots=True)
class Move:
    """
    Layers that a server is to hold.

    :param gap: whether no chain of the pool is whole without it.
    """

    server: Server
    layers: LayerRange
    loads: int
    gap: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class _Offer:
    """Layers that a server could take of a gap; `side` says where it stands."""

    slot: Slot
    most: int
    side: str


def plan(engine: Engine, slots: Iterable[Slot]) -> tuple[Move, ...]:
    """
    Plan the loads that make every pool whole, then those that double layers.

    :param engine: of the service.
    :param slots: servers that are up, with what they hold.
    :return: the moves, most urgent first; none where nothing is to be done.
    """
    known = [slot for slot in slots if engine.accelerator(slot.server.accelerator)]
    moves: list[Move] = []
    for pool in _pools(engine, known):
        moves += _plan_pool(engine, pool)
    return tuple(sorted(moves, key=lambda move: not move.gap))


def _pools(engine: Engine, slots: list[Slot]) -> list[list[Slot]]:
    centres: dict[str, list[Slot]] = {}
    for slot in slots:
        centres.setdefault(slot.server.data_centre, []).append(slot)
    whole = [pool for pool in centres.values() if _fits(engine, pool)]
    rest = [s for pool in centres.values() if pool not in whole for s in pool]
    if whole:
        # Leftovers hold nothing that could be a chain of their own.
        return sorted(whole, key=lambda pool: _missing(engine, pool))
    return [rest] if rest else []


def _missing(engine: Engine, pool: list[Slot]) -> int:
    held = {n for s in pool for n in range(s.layers.start, s.layers.stop)}
    return engine.layers - len(held)


def _fits(engine: Engine, pool: list[Slot]) -> bool:
    return _layers(engine, pool, ROOMS[-1]) >= engine.layers


def _layers(engine: Engine, pool: list[Slot], room: float) -> int:
    return sum(layers_within(engine, _kind(engine, slot), room) for slot in pool)


def _kind(engine: Engine, slot: Slot) -> Accelerator:
    return engine.accelerator(slot.server.accelerator)


def _plan_pool(engine: Engine, pool: list[Slot]) -> list[Move]:
    state = {slot.server.id: slot for slot in pool}
    moves: dict[str, Move] = {}
    complete = True
    while (gap := _first_gap(engine, state.values())) is not None:
        filled = _fill(engine, state, gap)
        if not filled:
            complete = False
            break
        _apply(state, moves, filled)
    if complete:
        for slot in list(state.values()):
            if not len(slot.layers):
                double = _double(engine, state, slot)
                if double is not None:
                    _apply(state, moves, [double])
    return list(moves.values())


def _apply(state: dict[str, Slot], moves: dict[str, Move], filled: list[Move]) -> None:
    for move in filled:
        moves[move.server.id] = move
        state[move.server.id] = Slot(server=move.server, layers=move.layers)


def _first_gap(engine: Engine, slots: Iterable[Slot]) -> LayerRange | None:
    """Find the first layers that nobody holds."""
    reached = 0
    for layers in sorted(slot.layers for slot in slots if len(slot.layers)):
        if layers.start > reached:
            return LayerRange(start=reached, stop=layers.start)
        reached = max(reached, layers.stop)
    if reached < engine.layers:
        return LayerRange(start=reached, stop=engine.layers)
    return None


def _fill(engine: Engine, state: dict[str, Slot], gap: LayerRange) -> list[Move]:
    """Share a gap among its neighbours and servers that nothing depends on."""
    for room in ROOMS:
        offers = _offers(engine, state, gap, room)
        if sum(offer.most for offer in offers) >= len(gap):
            return _share(engine, offers, gap)
    return []


def _offers(
    engine: Engine, state: dict[str, Slot], gap: LayerRange, room: float
) -> list[_Offer]:
    left = right = None
    free: list[_Offer] = []
    needed = _needed(state)
    for slot in state.values():
        most = layers_within(engine, _kind(engine, slot), room)
        grow = most - len(slot.layers)
        if not len(slot.layers) or slot.server.id not in needed:
            free.append(_Offer(slot=slot, most=most, side="free"))
        elif slot.layers.stop == gap.start and grow > (left.most if left else 0):
            left = _Offer(slot=slot, most=grow, side="left")
        elif slot.layers.start == gap.stop and grow > (right.most if right else 0):
            right = _Offer(slot=slot, most=grow, side="right")
    free = [offer for offer in free if offer.most]
    free.sort(key=lambda offer: _kind(engine, offer.slot).step_factor)
    return [*([left] if left else []), *free, *([right] if right else [])]


def _needed(state: dict[str, Slot]) -> set[str]:
    """Name the servers that hold a layer which no other server holds."""
    holders: dict[int, list[str]] = {}
    for slot in state.values():
        for layer in range(slot.layers.start, slot.layers.stop):
            holders.setdefault(layer, []).append(slot.server.id)
    return {names[0] for names in holders.values() if len(names) == 1}


def _share(engine: Engine, offers: list[_Offer], gap: LayerRange) -> list[Move]:
    """
    Give each as few layers as will do, or, for a large gap, whole fast servers.

    A gap of the size of a few servers is filled with equal short loads; where most of
    the model is missing, the slowest servers stay free to mend the next gap.
    """
    if len(gap) * 2 > engine.layers:
        counts = _fastest_first(offers, len(gap))
    else:
        counts = _level(offers, len(gap))
    moves: list[Move] = []
    position = gap.start
    for offer, count in zip(offers, counts, strict=True):
        if not count:
            continue
        taken = LayerRange(start=position, stop=position + count)
        moves.append(_move(offer, taken))
        position = taken.stop
    return moves


def _fastest_first(offers: list[_Offer], need: int) -> list[int]:
    counts = []
    for offer in offers:
        count = min(offer.most, need)
        counts.append(count)
        need -= count
    return counts


def _level(offers: list[_Offer], need: int) -> list[int]:
    """Raise all equally until the gap is filled."""
    counts = [0] * len(offers)
    while need:
        for index, offer in enumerate(offers):
            if need and counts[index] < offer.most:
                counts[index] += 1
                need -= 1
    return counts


def _move(offer: _Offer, taken: LayerRange) -> Move:
    layers = taken
    if offer.side == "left":
        layers = LayerRange(start=offer.slot.layers.start, stop=taken.stop)
    elif offer.side == "right":
        layers = LayerRange(start=taken.start, stop=offer.slot.layers.stop)
    return Move(server=offer.slot.server, layers=layers, loads=len(taken), gap=True)


def _double(engine: Engine, state: dict[str, Slot], slot: Slot) -> Move | None:
    """Give a free server the layers of one whose loss would leave a gap."""
    most = layers_within(engine, _kind(engine, slot), ROOMS[0])
    if not most:
        return None
    alone = _alone(state)
    if not alone:
        return None
    fitting = [layers for layers in alone if len(layers) <= most]
    if fitting:
        layers = max(fitting, key=len)
    else:
        layers = min(alone, key=len)
        layers = LayerRange(start=layers.start, stop=layers.start + most)
    return Move(server=slot.server, layers=layers, loads=len(layers), gap=False)


def _alone(state: dict[str, Slot]) -> list[LayerRange]:
    """Give for each server the layers that only it holds, where they are one run."""
    counts: dict[int, int] = {}
    for slot in state.values():
        for layer in range(slot.layers.start, slot.layers.stop):
            counts[layer] = counts.get(layer, 0) + 1
    found = []
    for slot in state.values():
        own = [n for n in range(slot.layers.start, slot.layers.stop) if counts[n] == 1]
        if own:
            found.append(LayerRange(start=own[0], stop=own[-1] + 1))
    return found


__all__ = ["NOTHING", "Move", "Slot", "plan"]
