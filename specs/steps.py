"""
Steps.

A stream over three stages is answered once, in order, through failures.

Bounds: one prompt token and two generated ones; three stages of one layer each; two
attempts, the second on a new route, with one failure in the first; or one attempt with
two failures. A stage that fails is replaced, be it dead or one that hangs and goes on
unseen. A message that was
sent may be handled at any later time, any number of times, in any order, or never:
this covers loss, repeats, late pieces, and the replay of what a stage retained.

Accelerators of another kind may compute another token, so a token is named by the
route that sampled it.

The guards stand in `kumquatway_agent.stage._streams`, `_stage` and
`kumquatway.streams._session`. The table GUARDS of docs/design/specs.md names each
place.
"""

import enum
from collections.abc import Iterator
from typing import NamedTuple

from ._explore import Mutant, Spec

STAGES = 3
LAST_POSITION = 2
PROMPT_TOKEN = 0


class Guard(enum.StrEnum):
    """What the protocol relies on; each can be taken away."""

    POSITION = "a stage runs only the position it expects"
    REPEAT = "a stage answers a repeated position from memory"
    LAYER = "a stage runs only the layer it holds"
    STREAM_KEY = "a stage keeps the streams of each attempt apart"
    FORCED = "the last stage samples no position that the prompt holds"
    SAMPLED_ALIKE = "a replaced last stage samples what the one before sampled"
    CURRENT_ATTEMPT = "the entry drops pieces of an older attempt"
    NEXT_PIECE = "the entry takes only the next position"


class Run(NamedTuple):
    """A position in a stage's KV cache; `good` if every layer was run for it."""

    position: int
    token: int
    good: bool


class Item(NamedTuple):
    """A stream's part of a step, on its way to a stage."""

    attempt: int
    layer: int
    run: Run


class Piece(NamedTuple):
    """A generated token on its way to the entry."""

    attempt: int
    run: Run


class Engine(NamedTuple):
    """A stage's engine; one that hangs is no longer on the route."""

    attempt: int
    stage: int
    life: int = 0
    routed: bool = True
    cache: tuple[Run, ...] = ()


class State(NamedTuple):
    """All that the parties hold; what was sent stays."""

    engines: tuple[Engine, ...]
    items: frozenset[Item]
    pieces: frozenset[Piece] = frozenset()
    attempt: int = 0
    prompt_end: int = 1
    delivered: tuple[Run, ...] = ()
    failures: int = 0


Steps = Iterator[tuple[str, State]]


def spec(*, attempts: int = 2, failures: int = 1, without: Guard | None = None) -> Spec:
    """
    Build the model.

    :param attempts: routes that may be tried.
    :param failures: stages of the first route that may fail.
    :param without: the guard to leave out.
    :return: the model.
    """

    last = rerouted_and_delivered if attempts > 1 else delivered_after_two

    def transitions(state: State) -> Steps:
        for index, engine in enumerate(state.engines):
            for item in state.items:
                if _accepts(engine, item, without):
                    label = f"run {engine.stage} position {item.run.position}"
                    yield label, _run(state, index, item, without)
            if state.failures < failures and engine.routed and not engine.attempt:
                yield from _fail(state, index)
        yield from _deliver(state, without)
        if state.attempt + 1 < attempts:
            yield "new attempt", _reroute(state)

    return Spec(
        name=f"steps, {attempts} attempts, {failures} failures",
        initial=_initial(),
        transitions=transitions,
        invariants=(
            run_once_in_order,
            every_layer_once,
            delivered_once_in_order,
            one_answer,
        ),
        goals=(spliced_and_delivered, hung_stage_ran_on, last),
    )


def specs() -> tuple[Spec, ...]:
    """Build the model with its two bounds."""
    return (spec(), spec(attempts=1, failures=2))


def mutants() -> tuple[Mutant, ...]:
    """Build the models that must be refuted."""
    cases = (
        (Guard.POSITION, run_once_in_order, "splice"),
        (Guard.REPEAT, run_once_in_order, "run"),
        (Guard.LAYER, every_layer_once, "run"),
        (Guard.STREAM_KEY, one_answer, "new attempt"),
        (Guard.FORCED, one_answer, "new attempt"),
        (Guard.SAMPLED_ALIKE, one_answer, "splice"),
        (Guard.CURRENT_ATTEMPT, one_answer, "new attempt"),
        (Guard.NEXT_PIECE, delivered_once_in_order, "deliver"),
    )
    return tuple(
        Mutant(guard=g, spec=spec(without=g), breaks=i.__name__, step=s)
        for g, i, s in cases
    )


def run_once_in_order(state: State) -> bool:
    return all(
        run.position == expected
        for engine in state.engines
        for expected, run in enumerate(engine.cache)
    )


def every_layer_once(state: State) -> bool:
    return all(run.good for run in state.delivered)


def delivered_once_in_order(state: State) -> bool:
    return all(
        run.position == expected
        for expected, run in enumerate(state.delivered, start=1)
    )


def one_answer(state: State) -> bool:
    """What the route runs is what the caller was sent."""
    sent = {run.position: run.token for run in state.delivered}
    return all(
        sent.get(run.position, run.token) == run.token
        for engine in state.engines
        if engine.routed and engine.attempt == state.attempt
        for run in engine.cache
    )


def spliced_and_delivered(state: State) -> bool:
    first = state.attempt == 0 and len(state.delivered) == LAST_POSITION
    return first and any(engine.life and engine.cache for engine in state.engines)


def rerouted_and_delivered(state: State) -> bool:
    routes = {run.token for run in state.delivered}
    return len(state.delivered) == LAST_POSITION and len(routes) == 2


def delivered_after_two(state: State) -> bool:
    replaced = [e for e in state.engines if e.life and e.cache]
    return len(replaced) == 2 and len(state.delivered) == LAST_POSITION


def hung_stage_ran_on(state: State) -> bool:
    new = [len(e.cache) for e in state.engines if e.life]
    old = [len(e.cache) for e in state.engines if not e.routed]
    return bool(new and old) and 0 < new[0] < old[0]


def _initial() -> State:
    engines = tuple(Engine(0, stage) for stage in range(STAGES))
    first = Item(0, 0, Run(0, PROMPT_TOKEN, True))
    return State(engines=engines, items=frozenset({first}))


def _accepts(engine: Engine, item: Item, without: Guard | None) -> bool:
    if item.attempt != engine.attempt and without is not Guard.STREAM_KEY:
        return False
    if item.layer != engine.stage and without is not Guard.LAYER:
        return False
    if len(engine.cache) > LAST_POSITION:
        return False
    if item.run.position < len(engine.cache):
        return without is Guard.REPEAT
    return item.run.position == len(engine.cache) or without is Guard.POSITION


def _run(state: State, index: int, item: Item, without: Guard | None) -> State:
    engine = state.engines[index]
    whole = item.layer == engine.stage and item.run.position == len(engine.cache)
    run = item.run._replace(good=item.run.good and whole)
    engines = list(state.engines)
    engines[index] = engine._replace(cache=(*engine.cache, run))
    after = state._replace(engines=tuple(engines))
    if engine.stage + 1 < STAGES:
        passed = Item(engine.attempt, engine.stage + 1, run)
        return after._replace(items=after.items | {passed})
    return _sample(after, engine, run, without)


def _sample(state: State, engine: Engine, run: Run, without: Guard | None) -> State:
    position = run.position + 1
    known = position < state.prompt_end and engine.attempt == state.attempt
    if position > LAST_POSITION or (known and without is not Guard.FORCED):
        return state
    token = engine.attempt + 1
    if without is Guard.SAMPLED_ALIKE:
        token += 2 * engine.life
    sampled = Run(position, token, run.good)
    return state._replace(
        items=state.items | {Item(engine.attempt, 0, sampled._replace(good=True))},
        pieces=state.pieces | {Piece(engine.attempt, sampled)},
    )


def _fail(state: State, index: int) -> Steps:
    engine = state.engines[index]
    others = state.engines[:index] + state.engines[index + 1 :]
    fresh = Engine(engine.attempt, engine.stage, life=engine.life + 1)
    failed = state._replace(failures=state.failures + 1)
    spliced = failed._replace(engines=(*others, fresh))
    yield f"splice {engine.stage}, died", spliced
    hung = engine._replace(routed=False)
    yield (
        f"splice {engine.stage}, hangs",
        failed._replace(engines=(*others, hung, fresh)),
    )


def _deliver(state: State, without: Guard | None) -> Steps:
    expected = len(state.delivered) + 1
    if expected > LAST_POSITION:
        return
    for piece in state.pieces:
        right = piece.attempt == state.attempt or without is Guard.CURRENT_ATTEMPT
        following = piece.run.position == expected or without is Guard.NEXT_PIECE
        if right and following:
            delivered = (*state.delivered, piece.run)
            label = f"deliver position {piece.run.position}"
            yield label, state._replace(delivered=delivered)


def _reroute(state: State) -> State:
    attempt = state.attempt + 1
    known = (Run(0, PROMPT_TOKEN, True), *state.delivered)
    return state._replace(
        engines=(*state.engines, *(Engine(attempt, s) for s in range(STAGES))),
        items=state.items | {Item(attempt, 0, run) for run in known},
        attempt=attempt,
        prompt_end=len(known),
    )
