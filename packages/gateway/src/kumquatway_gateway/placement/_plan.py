"""
Plan.

Which loads make every pool of servers whole, roomy, and proof against one loss.

A pool is a data centre that can hold the whole model, or all servers where none can.
What is held stays where it is as long as something needs it: a server that grows goes
on serving, one that gives layers up would break what runs there.
"""

import enum
from collections.abc import Iterable
from dataclasses import dataclass

from kumquatway_gateway.chains import layers_within
from kumquatway_gateway.model import Accelerator, Engine, LayerRange, Server

# Room for requests that a plan tries to leave, tokens, in turn. The first is all that
# an engine takes (site files), the last one holds about four usual requests.
ROOMS = (50_000, 45_000, 40_000, 35_000, 30_000, 25_000, 20_000, 15_000, 10_000, 4_300)
RELIEVE_BELOW = 40_000  # tokens of room, below which a server gets relief
# Layers in one load of a repair: with fewer, servers end up in crumbs; with more, a
# chain is broken for longer than a second (14 s for 80 layers, site files).
LOAD_LAYERS = 6


class Aim(enum.IntEnum):
    """What a move is for, the most urgent first."""

    GAP = 0
    SHRINK = 1
    RELIEF = 2
    DOUBLE = 3


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

    :param loads: layers that it has to load for that.
    """

    server: Server
    layers: LayerRange
    loads: int
    aim: Aim


class _Side(enum.Enum):
    """Where a server stands to a gap."""

    LEFT = "left"
    FREE = "free"
    RIGHT = "right"


@dataclass(frozen=True, kw_only=True, slots=True)
class _Offer:
    """Layers that a server could take of a gap."""

    slot: Slot
    most: int
    side: _Side


def plan(
    engine: Engine, slots: Iterable[Slot], *, may_rebuild: bool = True
) -> tuple[Move, ...]:
    """
    Plan the next moves of every pool.

    :param engine: of the service.
    :param slots: servers that are up, with what they hold.
    :param may_rebuild: whether a chain that cannot be mended may be laid out anew.
    :return: the moves, most urgent first; none where nothing is to be done.
    """
    known = [slot for slot in slots if engine.accelerator(slot.server.accelerator)]
    moves: list[Move] = []
    for members in _pools(engine, known):
        moves += _Pool(engine, members).plan(may_rebuild)
    return tuple(sorted(moves, key=lambda move: move.aim))


def _pools(engine: Engine, slots: list[Slot]) -> list[list[Slot]]:
    centres: dict[str, list[Slot]] = {}
    for slot in slots:
        centres.setdefault(slot.server.data_centre, []).append(slot)
    whole = [pool for pool in centres.values() if _fits(engine, pool)]
    if whole:
        return sorted(whole, key=lambda pool: _missing(engine, pool))
    return [slots] if slots else []


def _fits(engine: Engine, pool: list[Slot]) -> bool:
    kinds = (_kind(engine, slot) for slot in pool)
    most = sum(layers_within(engine, kind, ROOMS[-1]) for kind in kinds)
    return most >= engine.layers


def _missing(engine: Engine, pool: list[Slot]) -> int:
    held = {n for s in pool for n in range(s.layers.start, s.layers.stop)}
    return engine.layers - len(held)


def _kind(engine: Engine, slot: Slot) -> Accelerator:
    return engine.accelerator(slot.server.accelerator)


class _Pool:
    """The state of one pool while moves are added to it."""

    def __init__(self, engine: Engine, members: list[Slot]):
        self.engine = engine
        self.members = members
        self.slots = {slot.server.id: slot for slot in members}
        self.moves: dict[str, Move] = {}

    def plan(self, may_rebuild: bool) -> list[Move]:
        """Fill the gaps; where there are none, make room and double layers."""
        while (gap := self._first_gap()) is not None:
            filled = self._fill(gap)
            if not filled:
                if may_rebuild:
                    self._rebuild()
                return list(self.moves.values())
            for move in filled:
                self._apply(move)
        if not self.moves:
            self._shrink()
        self._relieve()
        self._double()
        return list(self.moves.values())

    def _apply(self, move: Move) -> None:
        self.moves[move.server.id] = move
        self.slots[move.server.id] = Slot(server=move.server, layers=move.layers)

    def _most(self, slot: Slot, room: float) -> int:
        return layers_within(self.engine, _kind(self.engine, slot), room)

    def _counts(self) -> list[int]:
        """Count for each layer the servers that hold it."""
        counts = [0] * self.engine.layers
        for slot in self.slots.values():
            for layer in range(slot.layers.start, slot.layers.stop):
                counts[layer] += 1
        return counts

    # gaps

    def _first_gap(self) -> LayerRange | None:
        counts = self._counts()
        if 0 not in counts:
            return None
        start = counts.index(0)
        stop = start
        while stop < len(counts) and not counts[stop]:
            stop += 1
        return LayerRange(start=start, stop=stop)

    def _fill(self, gap: LayerRange) -> list[Move]:
        """Share a gap among servers that nothing depends on, and its neighbours."""
        for room in ROOMS:
            offers = self._offers(gap, room)
            if sum(offer.most for offer in offers) >= len(gap):
                return self._share(offers, gap)
        return []

    def _offers(self, gap: LayerRange, room: float) -> list[_Offer]:
        left = right = None
        free = self._free()
        spare = {slot.server.id for slot in free}
        for slot in self.slots.values():
            grow = self._most(slot, room) - len(slot.layers)
            if slot.server.id in spare or not len(slot.layers) or grow <= 0:
                continue
            if slot.layers.stop == gap.start and (not left or grow > left.most):
                left = _Offer(slot=slot, most=grow, side=_Side.LEFT)
            elif slot.layers.start == gap.stop and (not right or grow > right.most):
                right = _Offer(slot=slot, most=grow, side=_Side.RIGHT)
        offers = [left] if left else []
        for slot in free:
            most = self._most(slot, room)
            if most:
                offers.append(_Offer(slot=slot, most=most, side=_Side.FREE))
        return offers + ([right] if right else [])

    def _free(self) -> list[Slot]:
        """
        Give the servers that can all be taken without leaving a gap.

        Empty ones go first, then those with the fewest layers; among equals the fast.
        """
        counts = self._counts()
        free = []
        order = sorted(
            self.slots.values(),
            key=lambda s: (len(s.layers), _kind(self.engine, s).step_factor),
        )
        for slot in order:
            held = range(slot.layers.start, slot.layers.stop)
            if any(counts[layer] < 2 for layer in held):
                continue
            for layer in held:
                counts[layer] -= 1
            free.append(slot)
        return free

    def _share(self, offers: list[_Offer], gap: LayerRange) -> list[Move]:
        """
        Share out a gap: a small one in short loads, a large one to the fast servers.

        Where most of the model is missing the slowest servers stay free, to mend the
        next gap.
        """
        if len(gap) * 2 > self.engine.layers:
            counts = self._fastest_first(offers, len(gap))
        else:
            counts = _level(offers, len(gap))
        moves: list[Move] = []
        position = gap.start
        for offer, count in zip(offers, counts, strict=True):
            if count:
                taken = LayerRange(start=position, stop=position + count)
                moves.append(_move(offer, taken))
                position = taken.stop
        return moves

    def _fastest_first(self, offers: list[_Offer], need: int) -> list[int]:
        def factor(index: int) -> float:
            return _kind(self.engine, offers[index].slot).step_factor

        counts = [0] * len(offers)
        for index in sorted(range(len(offers)), key=factor):
            counts[index] = min(offers[index].most, need)
            need -= counts[index]
        return counts

    # a chain that is broken and cannot be mended well

    def _rebuild(self) -> None:
        """
        Lay the whole pool out anew, in the order that its servers stand in.

        Only for a chain that is broken now: nothing that runs is lost by it. What a
        server keeps of its layers it need not load.
        """
        before = {slot.server.id: slot.layers for slot in self.members}
        order = sorted(
            self.members, key=lambda slot: (not len(slot.layers), slot.layers)
        )
        for room in ROOMS:
            most = [self._most(slot, room) for slot in order]
            if sum(most) >= self.engine.layers:
                break
        else:
            return
        self.moves.clear()
        position = 0
        for slot, count in zip(order, most, strict=True):
            stop = min(self.engine.layers, position + count)
            layers = LayerRange(start=position, stop=stop)
            position = stop
            held = before[slot.server.id]
            if not len(layers) or layers == held:
                continue
            kept = max(0, min(stop, held.stop) - max(layers.start, held.start))
            self._apply(
                Move(
                    server=slot.server,
                    layers=layers,
                    loads=len(layers) - kept,
                    aim=Aim.GAP,
                )
            )

    # room

    def _shrink(self) -> None:
        """Let servers without room give up edges that others hold."""
        counts = self._counts()
        for slot in list(self.slots.values()):
            over = self._over(slot)
            if not over:
                continue
            start, stop = slot.layers.start, slot.layers.stop
            while over and start < stop and counts[stop - 1] > 1:
                stop -= 1
                over -= 1
                counts[stop] -= 1
            while over and start < stop and counts[start] > 1:
                counts[start] -= 1
                start += 1
                over -= 1
            layers = LayerRange(start=start, stop=stop)
            if len(layers) and layers != slot.layers:
                self._apply(
                    Move(server=slot.server, layers=layers, loads=0, aim=Aim.SHRINK)
                )
                return

    def _over(self, slot: Slot) -> int:
        """Count the layers too many for the room that a server should have."""
        if len(slot.layers) <= self._most(slot, RELIEVE_BELOW):
            return 0
        return len(slot.layers) - self._most(slot, ROOMS[0])

    def _relieve(self) -> None:
        """Give the edges of servers without room to free servers."""
        counts = self._counts()
        crowded = [slot for slot in self.slots.values() if self._over(slot)]
        crowded.sort(key=self._over, reverse=True)
        for slot in crowded:
            over = self._over(slot)
            edge = range(slot.layers.stop - over, slot.layers.stop)
            if any(counts[layer] > 1 for layer in edge) or slot.server.id in self.moves:
                continue
            for free in self._free():
                if free.server.id in self.moves:
                    continue
                count = min(over, self._most(free, ROOMS[0]))
                if not count or free.server.id == slot.server.id:
                    continue
                stop = slot.layers.stop
                layers = LayerRange(start=stop - count, stop=stop)
                self._apply(
                    Move(server=free.server, layers=layers, loads=count, aim=Aim.RELIEF)
                )
                break

    # spare layers

    def _double(self) -> None:
        """Give empty servers the layers of one whose loss would leave a gap."""
        for slot in list(self.slots.values()):
            most = self._most(slot, ROOMS[0])
            if len(slot.layers) or not most:
                continue
            alone = self._alone()
            if not alone:
                return
            fitting = [layers for layers in alone if len(layers) <= most]
            if fitting:
                layers = max(fitting, key=len)
            else:
                first = min(alone, key=len)
                layers = LayerRange(start=first.start, stop=first.start + most)
            self._apply(
                Move(
                    server=slot.server,
                    layers=layers,
                    loads=len(layers),
                    aim=Aim.DOUBLE,
                )
            )

    def _alone(self) -> list[LayerRange]:
        """Give for each server the span of the layers that only it holds."""
        counts = self._counts()
        found = []
        for slot in self.slots.values():
            held = range(slot.layers.start, slot.layers.stop)
            own = [layer for layer in held if counts[layer] == 1]
            if own:
                found.append(LayerRange(start=own[0], stop=own[-1] + 1))
        return found


def _level(offers: list[_Offer], need: int) -> list[int]:
    """
    Fill a gap in loads of a few layers: by empty servers alone where they can.

    Next come servers whose layers others hold too, then the gap's neighbours.
    """
    counts = [0] * len(offers)
    groups = (
        [n for n, o in enumerate(offers) if _is_empty(o)],
        [n for n, o in enumerate(offers) if o.side is _Side.FREE and not _is_empty(o)],
        [n for n, o in enumerate(offers) if o.side is not _Side.FREE],
    )
    for group in groups:
        most = sum(offers[index].most for index in group)
        share = min(need, most)
        limit = min(LOAD_LAYERS, max(1, -(-share // 2)))
        while share:
            for index in group:
                room = min(limit, offers[index].most) - counts[index]
                take = min(share, max(0, room))
                counts[index] += take
                share -= take
                need -= take
            limit += 1
    return counts


def _is_empty(offer: _Offer) -> bool:
    return offer.side is _Side.FREE and not len(offer.slot.layers)


def _move(offer: _Offer, taken: LayerRange) -> Move:
    layers = taken
    if offer.side is _Side.LEFT:
        layers = LayerRange(start=offer.slot.layers.start, stop=taken.stop)
    elif offer.side is _Side.RIGHT:
        layers = LayerRange(start=taken.start, stop=offer.slot.layers.stop)
    return Move(server=offer.slot.server, layers=layers, loads=len(taken), aim=Aim.GAP)
