"""
Revisions.

A configuration that was accepted takes effect and is never taken back.

Bounds: two operators, the first with two edits and the second with one; two processes
with the first revision and one that is born with none. An outage of the store is a
failure of any of its operations, at any time, before or after a write took effect. A
write may land late. A peer's copy may be as old as the first revision.

The guards stand in `kumquatway_core.revisions`. The table GUARDS of
docs/design/specs.md names each place.
"""

import enum
from collections.abc import Iterator
from typing import NamedTuple

from ._explore import Mutant, Spec

EDITS = (2, 1)
PROCESSES = 3


class Guard(enum.StrEnum):
    """What the protocol relies on; each can be taken away."""

    COMPARE = "the store takes a text only on the revision it was based on"
    HIGHER_ONLY = "a process takes only a higher revision"
    STORED_FIRST = "a process takes a text only from the store or a peer that has it"
    READ_OWN_ROW = "a lost answer is resolved by the row of its own revision"
    ABSENT_IS_UNKNOWN = "a row that is not there yet is no proof of a refusal"


class Revision(NamedTuple):
    """A text, named by its operator and the count of the edit."""

    number: int
    operator: int
    edit: int
    base: int


FIRST = Revision(1, -1, 0, 0)


class Operator(NamedTuple):
    """What an operator's shell holds."""

    edits: int = 0
    write: Revision | None = None
    unsure: bool = False
    accepted: frozenset[Revision] = frozenset()
    refused: frozenset[Revision] = frozenset()


class Process(NamedTuple):
    """The revision in force on a process, the highest it had, and its source."""

    in_force: Revision | None = FIRST
    highest: int = 1
    from_peer: bool = False


class State(NamedTuple):
    """All that the parties hold; `rows` is the store's row per revision."""

    rows: tuple[Revision, ...] = (FIRST,)
    late_writes: frozenset[Revision] = frozenset()
    operators: tuple[Operator, ...] = (Operator(),) * len(EDITS)
    processes: tuple[Process, ...] = (
        *(Process(),) * (PROCESSES - 1),
        Process(in_force=None, highest=0),
    )


Steps = Iterator[tuple[str, State]]


def spec(*, without: Guard | None = None) -> Spec:
    """
    Build the model.

    :param without: the guard to leave out.
    :return: the model.
    """

    def transitions(state: State) -> Steps:
        for revision in state.late_writes:
            yield (
                f"late write lands {revision.operator}",
                _land(state, revision, without),
            )
        for index, operator in enumerate(state.operators):
            if operator.write:
                yield from _resolve(state, index, without)
            elif operator.edits < EDITS[index]:
                yield from _edit(state, index, without)
        yield from _spread(state, without)

    return Spec(
        name="revisions",
        initial=State(),
        transitions=transitions,
        invariants=(never_goes_down, one_text_each, none_lost, told_the_truth),
        goals=(born_in_an_outage, two_edits_in_force, race_refused),
    )


def specs() -> tuple[Spec, ...]:
    """Build the model with its bounds."""
    return (spec(),)


def mutants() -> tuple[Mutant, ...]:
    """Build the models that must be refuted."""
    cases = (
        (Guard.COMPARE, none_lost, "write"),
        (Guard.HIGHER_ONLY, never_goes_down, "peer copy"),
        (Guard.STORED_FIRST, one_text_each, "takes its own"),
        (Guard.READ_OWN_ROW, told_the_truth, "read back"),
        (Guard.ABSENT_IS_UNKNOWN, told_the_truth, "late write"),
    )
    return tuple(
        Mutant(guard=g, spec=spec(without=g), breaks=i.__name__, step=s)
        for g, i, s in cases
    )


def never_goes_down(state: State) -> bool:
    return all(_number(process) == process.highest for process in state.processes)


def one_text_each(state: State) -> bool:
    known = [p.in_force for p in state.processes if p.in_force]
    texts = {*known, *state.rows}
    return len(texts) == len({revision.number for revision in texts})


def none_lost(state: State) -> bool:
    """Each revision was made from the one just before it."""
    return all(
        later.base == earlier.number and later.number == earlier.number + 1
        for earlier, later in zip(state.rows, state.rows[1:], strict=False)
    )


def told_the_truth(state: State) -> bool:
    return all(
        operator.accepted <= set(state.rows) and operator.refused.isdisjoint(state.rows)
        for operator in state.operators
    )


def born_in_an_outage(state: State) -> bool:
    new = state.processes[-1]
    return new.from_peer and _number(new) == 2


def two_edits_in_force(state: State) -> bool:
    return all(_number(process) == 3 for process in state.processes)


def race_refused(state: State) -> bool:
    accepted = any(operator.accepted for operator in state.operators)
    return accepted and any(operator.refused for operator in state.operators)


def _number(process: Process) -> int:
    return process.in_force.number if process.in_force else 0


def _edit(state: State, index: int, without: Guard | None) -> Steps:
    edits = state.operators[index].edits + 1
    # An operator may have read a process whose revision is an old one.
    for base in {_number(process) for process in state.processes[:-1]}:
        revision = Revision(base + 1, index, edits, base)
        changes = {"edits": edits, "write": revision}
        begun = _with_operator(state, index, **changes)
        yield (
            f"write {index}, no answer",
            _with_operator(
                begun._replace(late_writes=begun.late_writes | {revision}),
                index,
                unsure=True,
            ),
        )
        landed = _land(begun, revision, without)
        told = "accepted" if revision in landed.rows else "refused"
        yield f"write {index}, {told}", _tell(landed, index, told)
        yield f"write {index}, answer lost", _with_operator(landed, index, unsure=True)
        if without is Guard.STORED_FIRST:
            yield f"takes its own {index}", _taken(begun, index, revision)


def _land(state: State, revision: Revision, without: Guard | None) -> State:
    after = state._replace(late_writes=state.late_writes - {revision})
    last = state.rows[-1].number
    if without is Guard.COMPARE:
        number = max(revision.number, last + 1)
        return after._replace(rows=(*state.rows, revision._replace(number=number)))
    if revision.base != last:
        return after
    return after._replace(rows=(*state.rows, revision))


def _resolve(state: State, index: int, without: Guard | None) -> Steps:
    write = state.operators[index].write
    own = [row for row in state.rows if row.number == write.number]
    if without is Guard.READ_OWN_ROW:
        own = state.rows[-1:] if own else []
    if own:
        told = "accepted" if own[0] == write else "refused"
        yield f"read back {index}, {told}", _tell(state, index, told)
    elif without is Guard.ABSENT_IS_UNKNOWN:
        yield f"read back {index}, absent", _tell(state, index, "refused")


def _tell(state: State, index: int, told: str) -> State:
    operator = state.operators[index]
    known = getattr(operator, told) | {operator.write}
    return _with_operator(state, index, write=None, unsure=False, **{told: known})


def _spread(state: State, without: Guard | None) -> Steps:
    last = state.rows[-1]
    for index, process in enumerate(state.processes):
        if last.number > _number(process):
            yield f"store copy {index}", _taken(state, index, last)
        for copy in _peer_copies(state):
            higher = copy.number > _number(process)
            if higher or (without is Guard.HIGHER_ONLY and copy != process.in_force):
                yield f"peer copy {index}", _taken(state, index, copy, True)


def _peer_copies(state: State) -> tuple[Revision, ...]:
    # A copy on its way is as old as any that a peer once had.
    highest = max(process.highest for process in state.processes)
    known = {p.in_force for p in state.processes if p.in_force}
    return tuple({*known, *(row for row in state.rows if row.number <= highest)})


def _taken(
    state: State, index: int, revision: Revision, from_peer: bool = False
) -> State:
    highest = max(state.processes[index].highest, revision.number)
    processes = list(state.processes)
    processes[index] = Process(in_force=revision, highest=highest, from_peer=from_peer)
    return state._replace(processes=tuple(processes))


def _with_operator(state: State, index: int, **changes: object) -> State:
    operators = list(state.operators)
    operators[index] = operators[index]._replace(**changes)
    return state._replace(operators=tuple(operators))
