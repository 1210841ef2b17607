"""Plan the moves of one pool: fill gaps, then free memory, then add spare copies."""

from dataclasses import replace

from kumquatway_gateway.model import Engine, LayerRange
from kumquatway_gateway.placement._gaps import (
    Offer,
    Side,
    create_moves,
    distribute_layers,
)
from kumquatway_gateway.placement._types import (
    Move,
    Purpose,
    ServerSnapshot,
    max_layers,
)

# Shares of the engine's KV cache limit that the planner tries to keep free on a server,
# in this order. The last one holds about four average requests (the limit is 50,000
# tokens in the users' deployments).
CAPACITY_SHARES = (1.0, 0.9, 0.8, 0.7, 0.6, 0.5, 0.4, 0.3, 0.2, 0.086)
MIN_CAPACITY_SHARE = CAPACITY_SHARES[-1]
RELIEF_SHARE = 0.8  # share of the same limit below which a server is relieved


class PoolPlanner:
    """
    Planner for one pool; its servers change as moves are added to the plan.

    :param engine: engine of the service.
    :param members: servers of the pool.
    """

    def __init__(self, *, engine: Engine, members: list[ServerSnapshot]):
        self.engine = engine
        self.capacity_targets = [
            share * engine.max_kv_tokens for share in CAPACITY_SHARES
        ]
        self.members = members
        self.snapshots = {snapshot.server.id: snapshot for snapshot in members}
        self.moves: dict[str, Move] = {}
        self.may_use_active = False

    def plan(self, may_rebuild: bool) -> list[Move]:
        """
        Fill the gaps, then free memory for requests and add spare copies of layers.

        :param may_rebuild: whether all layers are reassigned if a gap cannot be filled,
            and whether servers may be taken from a chain in use.
        :return: the moves.
        """
        self.may_use_active = may_rebuild
        while (gap := self._first_gap()) is not None:
            filled = self._fill_gap(gap)
            if not filled:
                if may_rebuild:
                    self._rebuild()
                return list(self.moves.values())
            for move in filled:
                self._add_move(move)
        if not self.moves:
            self._bypass_slow()
            self._shrink()
        self._relieve_crowded()
        self._add_copies()
        return list(self.moves.values())

    def _add_move(self, move: Move) -> None:
        self.moves[move.server.id] = move
        before = self.snapshots[move.server.id]
        self.snapshots[move.server.id] = replace(before, layers=move.layers)

    def _max_layers(self, snapshot: ServerSnapshot, tokens: float) -> int:
        return max_layers(self.engine, snapshot, tokens)

    def _step_factor(self, snapshot: ServerSnapshot) -> float:
        return self.engine.accelerator(snapshot.server.accelerator).step_factor

    def _copy_counts(self, *, include_slow: bool = True) -> list[int]:
        """Count the servers that hold each layer."""
        counts = [0] * self.engine.layers
        for snapshot in self.snapshots.values():
            if snapshot.slow and not include_slow:
                continue
            for layer in range(snapshot.layers.start, snapshot.layers.stop):
                counts[layer] += 1
        return counts

    # Gaps

    def _first_gap(self) -> LayerRange | None:
        counts = self._copy_counts()
        if 0 not in counts:
            return None
        start = counts.index(0)
        stop = start
        while stop < len(counts) and not counts[stop]:
            stop += 1
        return LayerRange(start=start, stop=stop)

    def _fill_gap(self, gap: LayerRange) -> list[Move]:
        """Fill a gap with redundant servers and the neighbours of the gap."""
        for tokens in self.capacity_targets:
            offers = self._find_offers(gap, tokens)
            if sum(offer.max_layers for offer in offers) >= len(gap):
                return self._divide_gap(offers, gap)
        return []

    def _find_offers(self, gap: LayerRange, tokens: float) -> list[Offer]:
        left = right = None
        free = self._redundant_servers()
        spare = {snapshot.server.id for snapshot in free}
        for snapshot in self.snapshots.values():
            # Loading layers takes memory from requests, which would break off.
            growth = self._max_layers(
                snapshot, max(tokens, snapshot.used_tokens)
            ) - len(snapshot.layers)
            if snapshot.server.id in spare or not len(snapshot.layers) or growth <= 0:
                continue
            if snapshot.busy:
                continue
            if snapshot.layers.stop == gap.start and (
                not left or growth > left.max_layers
            ):
                left = Offer(snapshot=snapshot, max_layers=growth, side=Side.LEFT)
            elif snapshot.layers.start == gap.stop and (
                not right or growth > right.max_layers
            ):
                right = Offer(snapshot=snapshot, max_layers=growth, side=Side.RIGHT)
        offers = [left] if left else []
        for snapshot in free:
            limit = self._max_layers(snapshot, tokens)
            if limit:
                offers.append(
                    Offer(snapshot=snapshot, max_layers=limit, side=Side.FREE)
                )
        return offers + ([right] if right else [])

    def _redundant_servers(self) -> list[ServerSnapshot]:
        """
        Return servers that can all be reassigned without leaving a gap.

        Empty servers come first, then those with the fewest layers; among equals, the
        fastest. A server of a chain would first have to finish its requests, and the
        chain could accept no new ones, so such servers come last and are used only if
        `may_rebuild` is set, which callers do after a delay.
        """
        counts = self._copy_counts()
        free = []
        order = sorted(
            (
                snapshot
                for snapshot in self.snapshots.values()
                if self._is_available(snapshot)
            ),
            key=lambda snapshot: (
                snapshot.in_use,
                len(snapshot.layers),
                self._step_factor(snapshot),
            ),
        )
        for snapshot in order:
            held = range(snapshot.layers.start, snapshot.layers.stop)
            if any(counts[layer] < 2 for layer in held):
                continue
            for layer in held:
                counts[layer] -= 1
            free.append(snapshot)
        return free

    def _is_available(self, snapshot: ServerSnapshot) -> bool:
        return not snapshot.busy and (self.may_use_active or not snapshot.in_use)

    def _divide_gap(self, offers: list[Offer], gap: LayerRange) -> list[Move]:
        """
        Divide a gap: a small one into short loads, a large one by speed of the servers.

        If more than half of the model is missing, the fastest servers load as much as
        they can, so that the slowest stay free to fill the next gap.
        """
        if len(gap) * 2 > self.engine.layers:
            counts = self._fastest_first(offers, len(gap))
        else:
            counts = distribute_layers(offers, len(gap))
        return create_moves(offers, counts, gap.start)

    def _fastest_first(self, offers: list[Offer], need: int) -> list[int]:
        def factor(index: int) -> float:
            return self._step_factor(offers[index].snapshot)

        counts = [0] * len(offers)
        for index in sorted(range(len(offers)), key=factor):
            counts[index] = min(offers[index].max_layers, need)
            need -= counts[index]
        return counts

    # Gaps that cannot be filled

    def _rebuild(self) -> None:
        """
        Reassign all layers of the pool, keeping the order of its servers.

        Used only while the pool's chain is broken, so no running request is lost.
        Servers do not reload layers that they keep.
        """
        before = {snapshot.server.id: snapshot.layers for snapshot in self.members}
        order = sorted(
            (snapshot for snapshot in self.members if not snapshot.busy),
            key=lambda snapshot: (not len(snapshot.layers), snapshot.layers),
        )
        for tokens in self.capacity_targets:
            limits = [self._max_layers(snapshot, tokens) for snapshot in order]
            if sum(limits) >= self.engine.layers:
                break
        else:
            return
        self.moves.clear()
        position = 0
        for snapshot, count in zip(order, limits, strict=True):
            stop = min(self.engine.layers, position + count)
            layers = LayerRange(start=position, stop=stop)
            position = stop
            held = before[snapshot.server.id]
            if not len(layers) or layers == held:
                continue
            kept = max(0, min(stop, held.stop) - max(layers.start, held.start))
            self._add_move(
                Move(
                    server=snapshot.server,
                    layers=layers,
                    layers_to_load=len(layers) - kept,
                    purpose=Purpose.GAP,
                )
            )

    # Slow servers

    def _bypass_slow(self) -> None:
        """
        Load layers that only a slow server holds on idle servers.

        Running requests are not affected. Chains avoid the slow server once the layers
        are loaded; when it is fast again, the idle servers become spare again.
        """
        for slow in [snapshot for snapshot in self.snapshots.values() if snapshot.slow]:
            counts = self._copy_counts(include_slow=False)
            held = range(slow.layers.start, slow.layers.stop)
            slow_only = [layer for layer in held if not counts[layer]]
            if not slow_only:
                continue
            span = LayerRange(start=slow_only[0], stop=slow_only[-1] + 1)
            idle = self._idle_offers()
            if sum(offer.max_layers for offer in idle) < len(span):
                continue
            for move in create_moves(
                idle, distribute_layers(idle, len(span)), span.start
            ):
                self._add_move(replace(move, purpose=Purpose.RELIEF))

    def _idle_offers(self) -> list[Offer]:
        counts = self._copy_counts(include_slow=False)
        offers = []
        for snapshot in self._redundant_servers():
            held = range(snapshot.layers.start, snapshot.layers.stop)
            needed = any(counts[layer] < 2 for layer in held)
            if (
                needed
                or snapshot.in_use
                or snapshot.slow
                or snapshot.server.id in self.moves
            ):
                continue
            for layer in held:
                counts[layer] -= 1
            limit = self._max_layers(snapshot, self.capacity_targets[0])
            if limit:
                offers.append(
                    Offer(snapshot=snapshot, max_layers=limit, side=Side.FREE)
                )
        return offers

    # KV cache capacity

    def _shrink(self) -> None:
        """Unload the outer layers of a crowded server that others hold too."""
        counts = self._copy_counts()
        for snapshot in list(self.snapshots.values()):
            excess = self._excess_layers(snapshot)
            if not excess or snapshot.busy:
                continue
            start, stop = snapshot.layers.start, snapshot.layers.stop
            while excess and start < stop and counts[stop - 1] > 1:
                stop -= 1
                excess -= 1
                counts[stop] -= 1
            while excess and start < stop and counts[start] > 1:
                counts[start] -= 1
                start += 1
                excess -= 1
            layers = LayerRange(start=start, stop=stop)
            if len(layers) and layers != snapshot.layers:
                self._add_move(
                    Move(
                        server=snapshot.server,
                        layers=layers,
                        layers_to_load=0,
                        purpose=Purpose.SHRINK,
                    )
                )
                return

    def _excess_layers(self, snapshot: ServerSnapshot) -> int:
        """
        Return how many layers a server must unload to have the full KV cache.

        :param snapshot: the server.
        :return: number of layers; 0 if it has at least `RELIEF_SHARE` of the KV cache.
        """
        if len(snapshot.layers) <= self._max_layers(
            snapshot, RELIEF_SHARE * self.engine.max_kv_tokens
        ):
            return 0
        return len(snapshot.layers) - self._max_layers(
            snapshot, self.capacity_targets[0]
        )

    def _relieve_crowded(self) -> None:
        """Load the last layers of crowded servers on redundant servers."""
        counts = self._copy_counts()
        crowded = [
            snapshot
            for snapshot in self.snapshots.values()
            if self._excess_layers(snapshot)
        ]
        crowded.sort(key=self._excess_layers, reverse=True)
        for snapshot in crowded:
            excess = self._excess_layers(snapshot)
            edge = range(snapshot.layers.stop - excess, snapshot.layers.stop)
            if (
                any(counts[layer] > 1 for layer in edge)
                or snapshot.server.id in self.moves
            ):
                continue
            for free in self._redundant_servers():
                if free.server.id in self.moves:
                    continue
                count = min(excess, self._max_layers(free, self.capacity_targets[0]))
                if not count or free.server.id == snapshot.server.id:
                    continue
                stop = snapshot.layers.stop
                layers = LayerRange(start=stop - count, stop=stop)
                self._add_move(
                    Move(
                        server=free.server,
                        layers=layers,
                        layers_to_load=count,
                        purpose=Purpose.RELIEF,
                    )
                )
                break

    # Spare copies

    def _add_copies(self) -> None:
        """Load further copies of layers on empty servers, whole ones if they fit."""
        empty = [
            snapshot
            for snapshot in self.snapshots.values()
            if not len(snapshot.layers)
            and not snapshot.busy
            and self._max_layers(snapshot, self.capacity_targets[0])
        ]
        while self._add_whole_copy(empty):
            pass
        self._double_spans()

    def _add_whole_copy(self, empty: list[ServerSnapshot]) -> bool:
        """
        Load one more copy of all layers on empty servers.

        Load pattern: a pool has servers for several chains, and its requests fill one.
        Copies of the spans of single servers would leave some of their layers without
        one, so that the servers that hold the others never form a chain.

        :param empty: empty servers; those that are used are removed.
        :return: whether the servers have room for a whole copy.
        """
        counts = self._copy_counts()
        fewest = min(counts)
        missing = [layer for layer, count in enumerate(counts) if count == fewest]
        room = {
            snapshot.server.id: self._max_layers(snapshot, self.capacity_targets[0])
            for snapshot in empty
        }
        if sum(room.values()) < len(missing) or not missing:
            return False
        # Small remainders of a run are left to servers that have room for few layers.
        empty.sort(key=lambda snapshot: room[snapshot.server.id])
        for run in _runs(missing):
            start = run.start
            while start < run.stop:
                if not empty:
                    return False
                snapshot = empty.pop()
                stop = min(run.stop, start + room[snapshot.server.id])
                layers = LayerRange(start=start, stop=stop)
                self._add_move(
                    Move(
                        server=snapshot.server,
                        layers=layers,
                        layers_to_load=len(layers),
                        purpose=Purpose.DOUBLE,
                    )
                )
                start = stop
        return True

    def _double_spans(self) -> None:
        """Load layers that only one server holds on the remaining empty servers."""
        for snapshot in list(self.snapshots.values()):
            limit = self._max_layers(snapshot, self.capacity_targets[0])
            if len(snapshot.layers) or not limit or snapshot.busy:
                continue
            candidates = self._single_copy_spans()
            if not candidates:
                return
            fitting = [layers for layers in candidates if len(layers) <= limit]
            if fitting:
                layers = max(fitting, key=len)
            else:
                smallest = min(candidates, key=len)
                layers = LayerRange(start=smallest.start, stop=smallest.start + limit)
            self._add_move(
                Move(
                    server=snapshot.server,
                    layers=layers,
                    layers_to_load=len(layers),
                    purpose=Purpose.DOUBLE,
                )
            )

    def _single_copy_spans(self) -> list[LayerRange]:
        """Return, for each server, the span of the layers that no other holds."""
        counts = self._copy_counts()
        spans = []
        for snapshot in self.snapshots.values():
            held = range(snapshot.layers.start, snapshot.layers.stop)
            single_copy = [layer for layer in held if counts[layer] == 1]
            if single_copy:
                spans.append(LayerRange(start=single_copy[0], stop=single_copy[-1] + 1))
        return spans


def _runs(layers: list[int]) -> list[LayerRange]:
    """Group ascending layers into ranges without gaps."""
    runs: list[LayerRange] = []
    for layer in layers:
        if runs and runs[-1].stop == layer:
            runs[-1] = LayerRange(start=runs[-1].start, stop=layer + 1)
        else:
            runs.append(LayerRange(start=layer, stop=layer + 1))
    return runs
