"""
Claims.

A non-idempotent request through several entries runs at most once.

Bounds: one key; two tries of it by the caller, each through an entry of its own and
at any time; two upstreams of which the first may begin to leave; one restart of an
agent; one resend of a call; entries die at any point. An outage of the store is a
failure of any of its operations, at any time. A message or a write in flight may
stay there for ever, so loss and a pause of any length at either end are covered.
Claims do not expire here.

In a model of its own, the store comes back once from an older copy, without the claim.
The process that wrote it lives on, and writes it again before any key is granted.

The guards stand in `kumquatway_core.claims`, `kumquatway.calls` and
`kumquatway_agent.service`. The table GUARDS of docs/design/specs.md names each place.
"""

import enum
from collections.abc import Iterator
from typing import NamedTuple

from ._explore import Mutant, Spec

TRIES = 2
UPSTREAMS = 2
RESTARTS = 1
SENDS = 2


class Guard(enum.StrEnum):
    """What the protocol relies on; each can be taken away."""

    CLAIM_FIRST = "dispatch only once the claim is confirmed"
    COMPARE_ID = "a read back claim is mine only if the attempt id is"
    FOLLOW = "another try's claim is asked after, never dispatched anew"
    AGENT_MEMORY = "an agent runs a key once per incarnation"
    INCARNATION = "an agent refuses a call made for another incarnation"
    SINGLE_SEND = "a refusal means not-run only if the call was sent once"
    RELEASE_UNSENT = "a claim is released only if its call cannot run"
    TIMEOUT_UNSURE = "a call that was sent and not answered may have run"
    RESTORE = "a claim that the store lost is written again"
    WAIT = "no key is granted until then"


class Row(NamedTuple):
    """The claim in the store."""

    attempt: int
    upstream: int
    done: bool = False


class Try(NamedTuple):
    """One try of the caller at an entry."""

    phase: str = "new"
    upstream: int = 0
    incarnation: int = 0
    sends: int = 0
    told: str = ""


class Agent(NamedTuple):
    """The agent beside an upstream; `key` is what it remembers of the key."""

    incarnation: int = 1
    leaving: bool = False
    key: str = ""


class Call(NamedTuple):
    """A call on its way to an agent."""

    attempt: int
    upstream: int
    incarnation: int


class State(NamedTuple):
    """All that the parties hold, and what is in flight between them."""

    tries: tuple[Try, ...] = (Try(),) * TRIES
    row: Row | None = None
    writes: frozenset[int] = frozenset()
    calls: tuple[Call, ...] = ()
    replies: frozenset[tuple[int, str]] = frozenset()
    agents: tuple[Agent, ...] = (Agent(),) * UPSTREAMS
    running: tuple[Call, ...] = ()
    executed: tuple[int, ...] = ()
    lost: Row | None = None
    restoring: bool = False
    restored: bool = False


Steps = Iterator[tuple[str, State]]


def spec(*, older_store: bool = False, without: Guard | None = None) -> Spec:
    """
    Build the model.

    :param older_store: whether the store comes back from an older copy.
    :param without: the guard to leave out.
    :return: the model.
    """

    def transitions(state: State) -> Steps:
        if len(state.executed) > 1:
            return
        yield from _environment(state)
        if older_store:
            yield from _restores(state, without)
        for attempt in range(TRIES):
            yield from _entry(state, attempt, without)
        yield from _deliveries(state, without)
        yield from _services(state)

    return Spec(
        name="claims, older store" if older_store else "claims",
        initial=State(),
        transitions=transitions,
        invariants=(at_most_once, not_run_is_true, ran_is_true),
        goals=(told_ran_to_two_tries, refused_then_ran, paused_past_retry),
    )


def specs() -> tuple[Spec, ...]:
    """Build the model with its bounds."""
    return (spec(), spec(older_store=True))


def mutants() -> tuple[Mutant, ...]:
    """Build the models that must be refuted."""
    cases = (
        (Guard.CLAIM_FIRST, at_most_once, "dispatch"),
        (Guard.COMPARE_ID, at_most_once, "read back"),
        (Guard.FOLLOW, at_most_once, "claim anew"),
        (Guard.AGENT_MEMORY, at_most_once, "resend"),
        (Guard.INCARNATION, at_most_once, "agent restarts"),
        (Guard.SINGLE_SEND, not_run_is_true, "resend"),
        (Guard.RELEASE_UNSENT, at_most_once, "release"),
        (Guard.TIMEOUT_UNSURE, not_run_is_true, "timeout"),
        (Guard.RESTORE, at_most_once, "store comes back"),
        (Guard.WAIT, at_most_once, "store comes back"),
    )
    return tuple(
        Mutant(
            guard=g,
            spec=spec(older_store=g in (Guard.RESTORE, Guard.WAIT), without=g),
            breaks=i.__name__,
            step=s,
        )
        for g, i, s in cases
    )


def at_most_once(state: State) -> bool:
    return len(state.executed) <= 1


def not_run_is_true(state: State) -> bool:
    return not any(
        one.told == "not-run" and attempt in state.executed
        for attempt, one in enumerate(state.tries)
    )


def ran_is_true(state: State) -> bool:
    told = any(one.told == "ran" for one in state.tries)
    return not told or len(state.executed) == 1


def told_ran_to_two_tries(state: State) -> bool:
    return sum(one.told == "ran" for one in state.tries) == 2


def refused_then_ran(state: State) -> bool:
    told = [one.told for one in state.tries]
    return "not-run" in told and "ran" in told


def paused_past_retry(state: State) -> bool:
    """The first call is still in hand when a later try has its answer."""
    held = any(call.attempt == 0 for call in state.calls)
    return held and state.tries[1].told == "may-have-run"


def _environment(state: State) -> Steps:
    for attempt in state.writes:
        yield f"late claim lands {attempt}", _landed(state, attempt)
    if not state.agents[0].leaving:
        yield "upstream leaves", _with_agent(state, 0, leaving=True)
    if sum(agent.incarnation - 1 for agent in state.agents) < RESTARTS:
        for index, agent in enumerate(state.agents):
            after = _with_agent(state, index, incarnation=agent.incarnation + 1, key="")
            yield f"agent restarts {index}", after


def _restores(state: State, without: Guard | None) -> Steps:
    if not state.restored:
        after = state._replace(row=None, lost=state.row, restoring=True, restored=True)
        yield "store comes back", after
    if not state.restoring:
        return
    if without is Guard.RESTORE or not state.lost:
        yield "wait ends", state._replace(lost=None, restoring=False)
    elif not state.row:
        after = state._replace(row=state.lost, lost=None, restoring=False)
        yield "claim is written again", after


def _entry(state: State, attempt: int, without: Guard | None) -> Steps:
    one = state.tries[attempt]
    if one.phase not in ("new", "ended"):
        yield f"entry dies {attempt}", _with_try(state, attempt, phase="ended")
    match one.phase:
        case "new" if attempt == 0 or state.tries[attempt - 1].phase != "new":
            yield from _begin(state, attempt)
        case "claiming":
            yield from _await_claim(state, attempt, without)
        case "unsure":
            yield from _read_back(state, attempt, without)
        case "claimed":
            yield from _dispatch(state, attempt)
        case "dispatched":
            yield from _await_reply(state, attempt, without)
        case "following":
            yield from _follow(state, attempt, without)


def _begin(state: State, attempt: int) -> Steps:
    for upstream, agent in enumerate(state.agents):
        if agent.leaving:
            continue
        after = _with_try(state, attempt, phase="claiming", upstream=upstream)
        yield (
            f"claim {attempt}",
            after._replace(writes=state.writes | {attempt}),
        )


def _await_claim(state: State, attempt: int, without: Guard | None) -> Steps:
    if attempt in state.writes and state.restoring and without is not Guard.WAIT:
        landed = _landed(state, attempt)
        yield from _release(landed, attempt)
    elif attempt in state.writes:
        landed = _landed(state, attempt)
        phase = "claimed" if landed.row.attempt == attempt else "following"
        yield f"claim answered {attempt}", _with_try(landed, attempt, phase=phase)
    yield f"claim timeout {attempt}", _with_try(state, attempt, phase="unsure")
    if without is Guard.CLAIM_FIRST:
        yield from _dispatch(state, attempt)


def _read_back(state: State, attempt: int, without: Guard | None) -> Steps:
    # A write that is still in flight may land later: the try then never dispatches.
    if state.row and not state.restoring:
        mine = state.row.attempt == attempt or without is Guard.COMPARE_ID
        phase = "claimed" if mine else "following"
        yield f"read back {attempt}", _with_try(state, attempt, phase=phase)
    yield f"refuse {attempt}", _tell(state, attempt, "not-run")


def _landed(state: State, attempt: int) -> State:
    row = state.row or Row(attempt, state.tries[attempt].upstream)
    return state._replace(writes=state.writes - {attempt}, row=row)


def _dispatch(state: State, attempt: int) -> Steps:
    one = state.tries[attempt]
    agent = state.agents[one.upstream]
    call = Call(attempt, one.upstream, agent.incarnation)
    after = _with_try(
        state, attempt, phase="dispatched", incarnation=agent.incarnation, sends=1
    )
    yield f"dispatch {attempt}", after._replace(calls=(*state.calls, call))
    yield from _release(state, attempt)


def _release(state: State, attempt: int) -> Steps:
    after = _tell(state, attempt, "not-run")
    if state.lost and state.lost.attempt == attempt:
        after = after._replace(lost=None)
    yield f"refuse {attempt}", after
    if state.row and state.row.attempt == attempt:
        yield f"release {attempt}", after._replace(row=None)


def _await_reply(state: State, attempt: int, without: Guard | None) -> Steps:
    one = state.tries[attempt]
    unsure = "not-run" if without is Guard.TIMEOUT_UNSURE else "may-have-run"
    yield f"timeout {attempt}", _tell(state, attempt, unsure)
    if without is Guard.RELEASE_UNSENT:
        yield from _release(state, attempt)
    if one.sends < SENDS:
        # The copy names the incarnation that the first one was made for.
        copy = Call(attempt, one.upstream, one.incarnation)
        after = _with_try(state, attempt, sends=one.sends + 1)
        yield f"resend {attempt}", after._replace(calls=(*state.calls, copy))
    if (attempt, "ran") in state.replies:
        told = _tell(state, attempt, "ran")
        yield f"ran, completion lost {attempt}", told
        if state.row and state.row.attempt == attempt:
            done = state.row._replace(done=True)
            yield f"ran, completed {attempt}", told._replace(row=done)
    if (attempt, "refused") in state.replies:
        if one.sends == 1 or without is Guard.SINGLE_SEND:
            yield from _release(state, attempt)
        else:
            yield f"refused, unsure {attempt}", _tell(state, attempt, "may-have-run")


def _follow(state: State, attempt: int, without: Guard | None) -> Steps:
    yield f"claimed elsewhere {attempt}", _tell(state, attempt, "may-have-run")
    if without is Guard.FOLLOW:
        yield f"claim anew {attempt}", _with_try(state, attempt, phase="claimed")
    row = state.row
    if not row:
        return
    answered = state.agents[row.upstream].key == "done"
    if row.done or answered:
        yield f"stored answer {attempt}", _tell(state, attempt, "ran")


def _deliveries(state: State, without: Guard | None) -> Steps:
    for index, call in enumerate(state.calls):
        rest = state.calls[:index] + state.calls[index + 1 :]
        taken = state._replace(calls=rest)
        agent = state.agents[call.upstream]
        right = agent.incarnation == call.incarnation or without is Guard.INCARNATION
        repeat = agent.key and without is not Guard.AGENT_MEMORY
        if repeat and right:
            yield f"repeat {call.attempt}", taken
        elif not right or agent.leaving:
            replies = state.replies | {(call.attempt, "refused")}
            yield f"agent refuses {call.attempt}", taken._replace(replies=replies)
        else:
            held = _with_agent(taken, call.upstream, key="running")
            running = (*state.running, call)
            yield f"agent runs {call.attempt}", held._replace(running=running)


def _services(state: State) -> Steps:
    for index, call in enumerate(state.running):
        rest = state.running[:index] + state.running[index + 1 :]
        ran = state._replace(running=rest, executed=(*state.executed, call.attempt))
        if state.agents[call.upstream].incarnation == call.incarnation:
            replies = state.replies | {(call.attempt, "ran")}
            ran = _with_agent(ran, call.upstream, key="done")._replace(replies=replies)
        yield f"execute {call.attempt}", ran


def _with_try(state: State, attempt: int, **changes: object) -> State:
    tries = list(state.tries)
    tries[attempt] = tries[attempt]._replace(**changes)
    return state._replace(tries=tuple(tries))


def _tell(state: State, attempt: int, verdict: str) -> State:
    # What the entry held matters no more once it has told its verdict.
    ended = Try(phase="ended", upstream=state.tries[attempt].upstream, told=verdict)
    tries = list(state.tries)
    tries[attempt] = ended
    replies = frozenset(r for r in state.replies if r[0] != attempt)
    return state._replace(tries=tuple(tries), replies=replies)


def _with_agent(state: State, index: int, **changes: object) -> State:
    agents = list(state.agents)
    agents[index] = agents[index]._replace(**changes)
    return state._replace(agents=tuple(agents))
