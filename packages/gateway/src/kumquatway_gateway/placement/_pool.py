"""
Pool.

The moves of one data centre's servers: gaps first, then room, then spare layers.
"""

from dataclasses import replace

from kumquatway_gateway.model import Engine, LayerRange
from kumquatway_gateway.placement._gaps import Offer, Side, hand_out, level
from kumquatway_gateway.placement._types import (
    Move,
    Purpose,
    ServerSnapshot,
    max_layers,
)

# Room for requests that a plan tries to leave, in turn, of all that an engine takes;
# the last one holds about four usual requests (50,000 tokens at most, site files).
ROOM_SHARES = (1.0, 0.9, 0.8, 0.7, 0.6, 0.5, 0.4, 0.3, 0.2, 0.086)
LEAST_ROOM = ROOM_SHARES[-1]
RELIEVE_BELOW = 0.8  # of the same, below which a server gets relief


class Pool:
    """
    The state of one pool while moves are added to it.

    :param engine: of the service.
    :param members: the pool's servers.
    """

    def __init__(self, *, engine: Engine, members: list[ServerSnapshot]):
        self.engine = engine
        self.rooms = [share * engine.max_kv_tokens for share in ROOM_SHARES]
        self.members = members
        self.slots = {slot.server.id: slot for slot in members}
        self.moves: dict[str, Move] = {}
        self.may_take_used = False

    def plan(self, may_rebuild: bool) -> list[Move]:
        """
        Fill the gaps; where there are none, make room and double layers.

        :param may_rebuild: whether a chain that cannot be mended is laid out anew, and
            servers are taken from a chain that serves.
        :return: the moves.
        """
        self.may_take_used = may_rebuild
        while (gap := self._first_gap()) is not None:
            filled = self._fill(gap)
            if not filled:
                if may_rebuild:
                    self._rebuild()
                return list(self.moves.values())
            for move in filled:
                self._apply(move)
        if not self.moves:
            self._bypass()
            self._shrink()
        self._relieve()
        self._double()
        return list(self.moves.values())

    def _apply(self, move: Move) -> None:
        self.moves[move.server.id] = move
        before = self.slots[move.server.id]
        self.slots[move.server.id] = replace(before, layers=move.layers)

    def _most(self, slot: ServerSnapshot, room: float) -> int:
        return max_layers(self.engine, slot, room)

    def _slowness(self, slot: ServerSnapshot) -> float:
        return self.engine.accelerator(slot.server.accelerator).step_factor

    def _counts(self, *, with_slow: bool = True) -> list[int]:
        """Count for each layer the servers that hold it."""
        counts = [0] * self.engine.layers
        for slot in self.slots.values():
            if slot.slow and not with_slow:
                continue
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
        for room in self.rooms:
            offers = self._offers(gap, room)
            if sum(offer.most for offer in offers) >= len(gap):
                return self._share(offers, gap)
        return []

    def _offers(self, gap: LayerRange, room: float) -> list[Offer]:
        left = right = None
        free = self._free()
        spare = {slot.server.id for slot in free}
        for slot in self.slots.values():
            # A load takes memory: requests without theirs would break off.
            grow = self._most(slot, max(room, slot.used_tokens)) - len(slot.layers)
            if slot.server.id in spare or not len(slot.layers) or grow <= 0:
                continue
            if slot.busy:
                continue
            if slot.layers.stop == gap.start and (not left or grow > left.most):
                left = Offer(slot=slot, most=grow, side=Side.LEFT)
            elif slot.layers.start == gap.stop and (not right or grow > right.most):
                right = Offer(slot=slot, most=grow, side=Side.RIGHT)
        offers = [left] if left else []
        for slot in free:
            most = self._most(slot, room)
            if most:
                offers.append(Offer(slot=slot, most=most, side=Side.FREE))
        return offers + ([right] if right else [])

    def _free(self) -> list[ServerSnapshot]:
        """
        Give the servers that can all be taken without leaving a gap.

        Empty ones go first, then those with the fewest layers; among equals the fast.
        One that a chain goes through would first have to end what it serves, and the
        chain would take nothing new: it comes last, and only after some patience.
        """
        counts = self._counts()
        free = []
        order = sorted(
            (slot for slot in self.slots.values() if self._is_available(slot)),
            key=lambda s: (s.in_use, len(s.layers), self._slowness(s)),
        )
        for slot in order:
            held = range(slot.layers.start, slot.layers.stop)
            if any(counts[layer] < 2 for layer in held):
                continue
            for layer in held:
                counts[layer] -= 1
            free.append(slot)
        return free

    def _is_available(self, slot: ServerSnapshot) -> bool:
        return not slot.busy and (self.may_take_used or not slot.in_use)

    def _share(self, offers: list[Offer], gap: LayerRange) -> list[Move]:
        """
        Share out a gap: a small one in short loads, a large one to the fast servers.

        Where most of the model is missing the slowest servers stay free, to mend the
        next gap.
        """
        if len(gap) * 2 > self.engine.layers:
            counts = self._fastest_first(offers, len(gap))
        else:
            counts = level(offers, len(gap))
        return hand_out(offers, counts, gap.start)

    def _fastest_first(self, offers: list[Offer], need: int) -> list[int]:
        def factor(index: int) -> float:
            return self._slowness(offers[index].slot)

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
            (slot for slot in self.members if not slot.busy),
            key=lambda slot: (not len(slot.layers), slot.layers),
        )
        for room in self.rooms:
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
                    layers_to_load=len(layers) - kept,
                    purpose=Purpose.GAP,
                )
            )

    # servers that are slow

    def _bypass(self) -> None:
        """
        Give idle servers the layers that only a slow one holds.

        Nothing that runs is touched: routing goes around the slow server once they are
        loaded, and those that helped are spare servers again when it is not slow.
        """
        for slow in [slot for slot in self.slots.values() if slot.slow]:
            counts = self._counts(with_slow=False)
            held = range(slow.layers.start, slow.layers.stop)
            alone = [layer for layer in held if not counts[layer]]
            if not alone:
                continue
            span = LayerRange(start=alone[0], stop=alone[-1] + 1)
            idle = self._idle_offers()
            if sum(offer.most for offer in idle) < len(span):
                continue
            for move in hand_out(idle, level(idle, len(span)), span.start):
                self._apply(replace(move, purpose=Purpose.RELIEF))

    def _idle_offers(self) -> list[Offer]:
        counts = self._counts(with_slow=False)
        offers = []
        for slot in self._free():
            held = range(slot.layers.start, slot.layers.stop)
            needed = any(counts[layer] < 2 for layer in held)
            if needed or slot.in_use or slot.slow or slot.server.id in self.moves:
                continue
            for layer in held:
                counts[layer] -= 1
            most = self._most(slot, self.rooms[0])
            if most:
                offers.append(Offer(slot=slot, most=most, side=Side.FREE))
        return offers

    # room

    def _shrink(self) -> None:
        """Let servers without room give up edges that others hold."""
        counts = self._counts()
        for slot in list(self.slots.values()):
            over = self._over(slot)
            if not over or slot.busy:
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
                    Move(
                        server=slot.server,
                        layers=layers,
                        layers_to_load=0,
                        purpose=Purpose.SHRINK,
                    )
                )
                return

    def _over(self, slot: ServerSnapshot) -> int:
        """Count the layers too many for the room that a server should have."""
        if len(slot.layers) <= self._most(
            slot, RELIEVE_BELOW * self.engine.max_kv_tokens
        ):
            return 0
        return len(slot.layers) - self._most(slot, self.rooms[0])

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
                count = min(over, self._most(free, self.rooms[0]))
                if not count or free.server.id == slot.server.id:
                    continue
                stop = slot.layers.stop
                layers = LayerRange(start=stop - count, stop=stop)
                self._apply(
                    Move(
                        server=free.server,
                        layers=layers,
                        layers_to_load=count,
                        purpose=Purpose.RELIEF,
                    )
                )
                break

    # spare layers

    def _double(self) -> None:
        """Give empty servers the layers of one whose loss would leave a gap."""
        for slot in list(self.slots.values()):
            most = self._most(slot, self.rooms[0])
            if len(slot.layers) or not most or slot.busy:
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
                    layers_to_load=len(layers),
                    purpose=Purpose.DOUBLE,
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
