"""
Steps.

Orders the moves from one state to another so that the flow in force is kept.

A VM with room loads the new ranges beside the old ones. Old ranges are unloaded once
the rest carries the flow without them. VMs without room are taken out of service a
few at a time, as long as a share of the flow stays. Each wave leaves a state from
which the next planner can go on.
"""

from collections.abc import Callable, Iterable, Iterator

from kumquatway.placement._capacity import MIB, holdings_mib, usable_mib
from kumquatway.placement._flow import bound_of
from kumquatway.placement._types import (
    Action,
    Fleet,
    Holdings,
    Limits,
    Move,
    Schedule,
    Wave,
)
from kumquatway_core.text import Text
from kumquatway_core.wire import Holding

ROUNDING = 1e-6  # share of a flow

State = dict[str, tuple[Holding, ...]]


def steps(
    current: Holdings,
    target: Holdings,
    fleet: Fleet,
    text: Text,
    limits: Limits | None = None,
) -> Schedule:
    """
    Order the moves between two states.

    :param current: what is loaded, by VM.
    :param target: what shall be loaded, by VM.
    :param fleet: the VMs and links.
    :param text: the text in force.
    :param limits: the rate of the weight store and the floor.
    :return: the waves, and what no order allows.
    """
    change = _Change(
        current=current,
        target=target,
        fleet=fleet,
        text=text,
        limits=limits or Limits(),
    )
    waves = tuple(change.waves())
    return Schedule(waves=waves, stalled=tuple(change.pending()))


def flow_in_force(
    state: Holdings, target: Holdings, fleet: Fleet, text: Text, models: Iterable[str]
) -> tuple[dict[str, float], dict[str, float]]:
    """
    Work out the flow of a state in the middle of a change.

    A VM with old and new ranges can serve either, not both at full speed.

    :param state: what is loaded, by VM.
    :param target: what shall be loaded, by VM.
    :param fleet: the VMs and links.
    :param text: the text in force.
    :param models: names of the models of interest.
    :return: tokens per second by model, by the old ranges and by the new.
    """
    old, new = {}, {}
    for vm, held in state.items():
        wanted = set(target.get(vm, ()))
        kept = tuple(holding for holding in held if holding in wanted)
        outgoing = tuple(holding for holding in held if holding not in wanted)
        both = set(outgoing) and set(kept)
        old[vm] = _serving(outgoing, kept) if both else held
        new[vm] = kept if both else held
    models = list(models)
    return (
        bound_of(models, old, fleet, text),
        bound_of(models, new, fleet, text),
    )


def _serving(
    outgoing: tuple[Holding, ...], kept: tuple[Holding, ...]
) -> tuple[Holding, ...]:
    """Add to the outgoing ranges those that stay and belong to other models."""
    models = {holding.model for holding in outgoing}
    return outgoing + tuple(h for h in kept if h.model not in models)


class _Change:
    """A simulated change from one state to another."""

    def __init__(
        self,
        *,
        current: Holdings,
        target: Holdings,
        fleet: Fleet,
        text: Text,
        limits: Limits,
    ):
        self.fleet = fleet
        self.text = text
        self.limits = limits
        self.target = target
        self.state: State = {vm: tuple(current.get(vm, ())) for vm in target}
        self.room = {
            node.name: usable_mib(text.accelerators[node.accelerator])
            for node in fleet.nodes
            if node.accelerator in text.accelerators
        }
        touched = {m.holding.model for m in self.pending()}
        self.models = sorted(touched & set(text.models))
        before = bound_of(self.models, self.state, fleet, text)
        after = bound_of(self.models, target, fleet, text)
        self.floors = {name: min(before[name], after[name]) for name in self.models}

    def pending(self) -> Iterator[Move]:
        """List the moves not yet made."""
        for vm in self.target:
            yield from self.loads(vm)
            yield from self.unloads(vm)

    def loads(self, vm: str) -> list[Move]:
        """List the ranges that a VM lacks."""
        return [
            Move(vm=vm, action=Action.LOAD, holding=holding)
            for holding in self.target[vm]
            if holding not in self.state[vm]
        ]

    def unloads(self, vm: str) -> list[Move]:
        """List the ranges that a VM no longer needs."""
        return [
            Move(vm=vm, action=Action.UNLOAD, holding=holding)
            for holding in self.state[vm]
            if holding not in self.target[vm]
        ]

    def waves(self) -> Iterator[Wave]:
        """Make waves until nothing more may be done."""
        yield from self.unload_unknown()
        progress = True
        while progress:
            progress = False
            for part in (self.load_beside, self.unload_old, self.exchange):
                for wave in part():
                    progress = True
                    yield wave

    def unload_unknown(self) -> Iterator[Wave]:
        """Unload models that the text no longer names."""
        moves = [
            move
            for vm in self.target
            for move in self.unloads(vm)
            if move.holding.model not in self.text.models
        ]
        if moves:
            yield self.make(moves)

    def load_beside(self) -> Iterator[Wave]:
        """Load what fits beside what is loaded."""
        moves = []
        for vm in self.target:
            free = self.room.get(vm, 0.0) - holdings_mib(self.state[vm], self.text)
            for move in self.loads(vm):
                size = holdings_mib((move.holding,), self.text)
                if size <= free:
                    free -= size
                    moves.append(move)
        yield from self.load(moves)

    def unload_old(self) -> Iterator[Wave]:
        """Unload what the flow does not need, on VMs that have all new ranges."""
        ready = [vm for vm in self.target if self.unloads(vm) and not self.loads(vm)]
        chosen = self.most(ready, self.unloads, 1.0)
        if chosen:
            yield self.make([move for vm in chosen for move in self.unloads(vm)])

    def exchange(self) -> Iterator[Wave]:
        """Take some VMs without room out of service and load them anew."""
        full = [vm for vm in self.target if self.unloads(vm) and self.loads(vm)]
        chosen = self.most(full, self.unloads, self.limits.floor)
        if not chosen:
            return
        yield self.make([move for vm in chosen for move in self.unloads(vm)])
        yield from self.load([move for vm in chosen for move in self.loads(vm)])

    def most(
        self, vms: list[str], moves: Callable[[str], list[Move]], floor: float
    ) -> list[str]:
        """Choose many VMs whose moves together leave the floor."""
        chosen: list[str] = []
        parts = [vms] if vms else []
        while parts:
            part = parts.pop()
            trial = dict(self.state)
            for vm in chosen + part:
                for move in moves(vm):
                    trial[vm] = _after(trial[vm], move)
            if self.holds(trial, floor):
                chosen.extend(part)
            elif len(part) > 1:
                middle = len(part) // 2
                parts.append(part[middle:])
                parts.append(part[:middle])
        return chosen

    def holds(self, state: State, floor: float) -> bool:
        """Tell whether a state keeps a share of the flow in force."""
        least = {n: f * floor * (1 - ROUNDING) for n, f in self.floors.items()}
        views = flow_in_force(state, self.target, self.fleet, self.text, self.models)
        return any(
            all(flows[name] >= tokens for name, tokens in least.items())
            for flows in views
        )

    def load(self, moves: list[Move]) -> Iterator[Wave]:
        """Cut loads into waves that the weight store serves in time."""
        most = self.limits.store_bytes * self.limits.wave_seconds
        part: list[Move] = []
        size = 0.0
        for move in moves:
            more = self.bytes(move)
            if part and size + more > most:
                yield self.make(part)
                part, size = [], 0.0
            part.append(move)
            size += more
        if part:
            yield self.make(part)

    def bytes(self, move: Move) -> float:
        """Say what a move takes from the weight store."""
        if move.action is Action.UNLOAD:
            return 0.0
        return holdings_mib((move.holding,), self.text) * MIB

    def make(self, moves: list[Move]) -> Wave:
        """Apply moves to the state."""
        size = sum(self.bytes(move) for move in moves)
        for move in moves:
            self.state[move.vm] = _after(self.state[move.vm], move)
        return Wave(
            moves=tuple(moves),
            load_bytes=size,
            seconds=size / self.limits.store_bytes,
        )


def apply_moves(state: Holdings, moves: Iterable[Move]) -> State:
    """
    Work out the state after moves.

    :param state: what is loaded, by VM.
    :param moves: in order; a move already made changes nothing.
    :return: the new state.
    """
    after = dict(state)
    for move in moves:
        after[move.vm] = _after(after.get(move.vm, ()), move)
    return after


def _after(held: tuple[Holding, ...], move: Move) -> tuple[Holding, ...]:
    rest = tuple(holding for holding in held if holding != move.holding)
    return (*rest, move.holding) if move.action is Action.LOAD else rest
