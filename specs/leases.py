"""
Leases.

No order of an older lease holder takes effect after one of a newer holder.

Bounds: two holders; one restart of the agent; an order may stay in flight, and a holder
or the agent may pause, for ever. Where a number is checked there is no time at all: a
lease may change hands at any moment, the old holder may act on; numbers to three.

There too, in models of their own, the store comes back once from an older copy of the
row, in a new era; numbers to two, then to one. An era's are above those before.

Before a bare upstream: a lease of three ticks, clocks with an error of one tick over
it, one change of hand, any number of ticks and renewals (only ages are kept, as far as
they matter). No order outlasts its bound, counted from the check; this is assumed, and
one of the mutants takes it away.

A contender takes over once it has seen the row unchanged for the whole lease.

The guards stand in `kumquatway_core.leases`; agents are to hold those of `GUARDED`. The
table GUARDS of docs/design/specs.md names each place.
"""

import enum
import functools
from collections.abc import Iterator
from typing import NamedTuple

from ._explore import Mutant, Spec

HOLDERS = 2
MAX_NUMBER_TIMED = 2
MAX_NUMBER = 3
LEASE_TICKS = 3
CLOCK_ERROR_TICKS = 1
OVER_TICKS = LEASE_TICKS - CLOCK_ERROR_TICKS
ORDER_TICKS = 1
RESTARTS = 1
ERAS = 1  # times that the store comes back older
ERA_NUMBERS = 10  # above the numbers of an era
MAX_NUMBER_OF_ERA = 2
NONE = -1
UNKNOWN = -1


class Kind(enum.StrEnum):
    """What stands between a holder's order and its effect."""

    CHECKS = "upstream checks the number"
    GUARDED = "upstream ignores the number, its agent checks it"
    BARE = "upstream ignores the number, no agent before it"


class Guard(enum.StrEnum):
    """What the protocol relies on; each can be taken away."""

    MARGIN = "a holder stops early by the error of both clocks, not of its own"
    START_AT_SEND = "a lease counts from when it was asked for"
    CHECK_AT_ACT = "a holder checks the lease just before each act"
    UPSTREAM_NUMBER = "the upstream refuses an older number"
    AGENT_NUMBER = "the agent refuses an older number"
    AGENT_SERIAL = "the agent has one order at the upstream at a time"
    AGENT_LEARNS = "a new agent reads the lease's number before its first order"
    AGENT_WAITS = "a new agent waits out the orders of the one before"
    HOLDER_WAITS = "a new holder waits out the longest order"
    BOUNDED = "no order takes longer than its bound, from check to effect"
    ERA_NUMBER = "numbers of an era start above those of the one before"
    AGENT_ERA = "a new agent takes the lowest number of the era for an older one"


class Row(NamedTuple):
    """The lease in the store, with the age of its last write."""

    number: int = 0
    holder: int = NONE
    age: int = OVER_TICKS


class Holder(NamedTuple):
    """
    What an entry believes.

    `start` and `granted` are the ages of its lease, `asked` that of a write on its
    way, `checked` that of a check not yet followed by an order, or `NONE`.
    """

    number: int = 0
    start: int = LEASE_TICKS
    granted: int = ORDER_TICKS
    asked: int = NONE
    landed: int = 0
    checked: int = NONE


class Order(NamedTuple):
    """An order on its way, with the age of its check."""

    number: int
    checked: int


class Sent(NamedTuple):
    """An order that an agent's incarnation gave to the upstream."""

    number: int
    incarnation: int


class State(NamedTuple):
    """All that the parties hold, and the orders in flight."""

    row: Row = Row()
    copy: Row = Row()
    era: int = 0
    holders: tuple[Holder, ...] = (Holder(),) * HOLDERS
    orders: frozenset[Order] = frozenset()
    agent: int = 0
    agent_seen: int = 0
    at_upstream: frozenset[Sent] = frozenset()
    newest_effect: int = 0
    late_effect: bool = False


Steps = Iterator[tuple[str, State]]


def spec(kind: Kind, *, restored: bool = False, without: Guard | None = None) -> Spec:
    """
    Build the model.

    :param kind: of the upstream.
    :param restored: whether the store comes back from an older copy.
    :param without: the guard to leave out.
    :return: the model.
    """
    errors = 1 if without is Guard.MARGIN else 2
    usable = LEASE_TICKS - errors * CLOCK_ERROR_TICKS
    deliver = {
        Kind.CHECKS: _to_checking_upstream,
        Kind.GUARDED: _through_agent,
        Kind.BARE: _to_bare_upstream,
    }[kind]

    timed = kind is Kind.BARE
    last = MAX_NUMBER_OF_ERA if restored else MAX_NUMBER
    take = _lease if timed else functools.partial(_change_hands, last=last)

    def believes(holder: Holder) -> bool:
        # The slowest clock that is allowed shows this much.
        elapsed = max(0, holder.start - CLOCK_ERROR_TICKS)
        return holder.number > 0 and elapsed < usable

    def one_believer(state: State) -> bool:
        return sum(believes(holder) for holder in state.holders) <= 1

    def may_act(holder: Holder) -> bool:
        if not timed:
            return True
        if holder.granted < ORDER_TICKS and without is not Guard.HOLDER_WAITS:
            return False
        return believes(holder) or without is Guard.CHECK_AT_ACT

    def transitions(state: State) -> Steps:
        if state.late_effect:
            return
        if timed:
            yield "tick", _ticked(state, without)
        if restored:
            yield from _restores(state)
        for index, holder in enumerate(state.holders):
            yield from take(state, index, without)
            if holder.number and may_act(holder):
                yield f"check {index}", _with_holder(state, index, checked=0)
            if holder.checked != NONE:
                orders = state.orders | {Order(holder.number, holder.checked)}
                after = _with_holder(state, index, checked=NONE)
                yield f"send {index}", after._replace(orders=orders)
        yield from deliver(state, without)

    return Spec(
        name=f"leases: {kind}{', older store' * restored}",
        initial=State(),
        transitions=transitions,
        invariants=(
            (no_late_effect, one_believer) if timed else (no_late_effect, own_numbers)
        ),
        goals=(newer_had_effect, old_order_outlived_its_lease),
    )


def specs() -> tuple[Spec, ...]:
    """Build the model for each kind of upstream."""
    checked = (Kind.CHECKS, Kind.GUARDED)
    return (
        *(spec(kind) for kind in Kind),
        *(spec(kind, restored=True) for kind in checked),
    )


def mutants() -> tuple[Mutant, ...]:
    """Build the models that must be refuted."""
    cases = (
        (Kind.BARE, Guard.MARGIN, "one_believer", "grant"),
        (Kind.BARE, Guard.START_AT_SEND, "one_believer", "grant"),
        (Kind.CHECKS, Guard.UPSTREAM_NUMBER, "no_late_effect", "effect"),
        (Kind.GUARDED, Guard.AGENT_NUMBER, "no_late_effect", "forward"),
        (Kind.GUARDED, Guard.AGENT_SERIAL, "no_late_effect", "forward"),
        (Kind.GUARDED, Guard.AGENT_LEARNS, "no_late_effect", "agent restarts"),
        (Kind.GUARDED, Guard.AGENT_WAITS, "no_late_effect", "agent restarts"),
        (Kind.BARE, Guard.CHECK_AT_ACT, "no_late_effect", "check"),
        (Kind.BARE, Guard.HOLDER_WAITS, "no_late_effect", "effect"),
        (Kind.BARE, Guard.BOUNDED, "no_late_effect", "tick"),
        (Kind.CHECKS, Guard.ERA_NUMBER, "own_numbers", "store comes back"),
        (Kind.GUARDED, Guard.AGENT_ERA, "no_late_effect", "agent restarts"),
    )
    return tuple(
        Mutant(
            guard=g,
            spec=spec(k, restored=g in (Guard.ERA_NUMBER, Guard.AGENT_ERA), without=g),
            breaks=i,
            step=s,
        )
        for k, g, i, s in cases
    )


def no_late_effect(state: State) -> bool:
    return not state.late_effect


def own_numbers(state: State) -> bool:
    """No two holders have one number, which no upstream could tell apart."""
    numbers = [n for h in state.holders for n in {h.number, h.landed} - {0}]
    return len(numbers) == len(set(numbers))


def newer_had_effect(state: State) -> bool:
    return state.newest_effect >= 2


def old_order_outlived_its_lease(state: State) -> bool:
    return any(order.number < state.row.number for order in state.orders)


def _ticked(state: State, without: Guard | None) -> State:
    bounded = without is not Guard.BOUNDED
    orders = state.orders
    if bounded:
        older = (o._replace(checked=o.checked + 1) for o in orders)
        orders = frozenset(o for o in older if o.checked <= ORDER_TICKS)
    return state._replace(
        row=state.row._replace(age=min(state.row.age + 1, OVER_TICKS)),
        holders=tuple(_older(holder, bounded) for holder in state.holders),
        orders=orders,
    )


def _older(holder: Holder, bounded: bool) -> Holder:
    checked = holder.checked
    if bounded and checked != NONE:
        checked = checked + 1 if checked < ORDER_TICKS else NONE
    return holder._replace(
        start=min(holder.start + 1, LEASE_TICKS),
        granted=min(holder.granted + 1, ORDER_TICKS),
        asked=NONE if holder.asked == NONE else min(holder.asked + 1, LEASE_TICKS),
        checked=checked,
    )


def _change_hands(state: State, index: int, without: Guard | None, last: int) -> Steps:
    number = state.holders[index].landed
    if number:
        granted = {"number": number, "landed": 0, "checked": NONE}
        yield f"grant {index}", _with_holder(state, index, **granted)
        yield f"answer lost {index}", _with_holder(state, index, landed=0)
    elif state.row.number % ERA_NUMBERS < last - state.era:
        lowest = 0 if without is Guard.ERA_NUMBER else state.era * ERA_NUMBERS
        number = max(state.row.number, lowest) + 1
        landed = _with_holder(state, index, landed=number)
        yield f"land {index}", landed._replace(row=Row(number, index))


def _restores(state: State) -> Steps:
    if state.era == ERAS:
        return
    if state.copy != state.row:
        yield "copy is made", state._replace(copy=state.row)
        yield "store comes back", state._replace(row=state.copy, era=state.era + 1)


def _lease(state: State, index: int, without: Guard | None) -> Steps:
    holder = state.holders[index]
    if holder.asked == NONE:
        yield f"ask {index}", _with_holder(state, index, asked=0)
        return
    yield f"answer lost {index}", _with_holder(state, index, asked=NONE, landed=0)
    if holder.landed:
        yield f"grant {index}", _granted(state, index, without)
    elif number := _next_number(state, index):
        landed = _with_holder(state, index, landed=number)
        yield f"land {index}", landed._replace(row=Row(number, index, 0))


def _next_number(state: State, index: int) -> int:
    row = state.row
    if row.holder == index and row.number == state.holders[index].number:
        return row.number
    # The fastest clock that is allowed shows the lease as over this early.
    over = row.age >= OVER_TICKS
    return row.number + 1 if over and row.number < MAX_NUMBER_TIMED else 0


def _granted(state: State, index: int, without: Guard | None) -> State:
    holder = state.holders[index]
    start = 0 if without is Guard.START_AT_SEND else holder.asked
    after = _with_holder(state, index, start=start, asked=NONE, landed=0)
    if holder.landed == holder.number:
        return after
    return _with_holder(after, index, number=holder.landed, granted=0, checked=NONE)


def _to_checking_upstream(state: State, without: Guard | None) -> Steps:
    for order in state.orders:
        taken = state._replace(orders=state.orders - {order})
        newer = order.number >= state.newest_effect
        if newer or without is Guard.UPSTREAM_NUMBER:
            yield f"effect {order.number}", _effect(taken, order.number)


def _to_bare_upstream(state: State, without: Guard | None) -> Steps:
    for order in state.orders:
        taken = state._replace(orders=state.orders - {order})
        yield f"effect {order.number}", _effect(taken, order.number)


def _through_agent(state: State, without: Guard | None) -> Steps:
    if state.agent < RESTARTS:
        seen = 0 if without is Guard.AGENT_LEARNS else UNKNOWN
        restarted = state._replace(agent=state.agent + 1, agent_seen=seen)
        yield "agent restarts", restarted
    if state.agent_seen == UNKNOWN:
        lowest = 0 if without is Guard.AGENT_ERA else state.era * ERA_NUMBERS
        seen = max(state.row.number, lowest)
        yield "agent learns", state._replace(agent_seen=seen)
    for order in state.orders:
        if _forwards(state, order, without):
            yield f"forward {order.number}", _forwarded(state, order)
    for sent in state.at_upstream:
        done = state._replace(at_upstream=state.at_upstream - {sent})
        yield f"effect {sent.number}", _effect(done, sent.number)


def _forwards(state: State, order: Order, without: Guard | None) -> bool:
    if state.agent_seen == UNKNOWN:
        return False
    if order.number < state.agent_seen and without is not Guard.AGENT_NUMBER:
        return False
    own = any(sent.incarnation == state.agent for sent in state.at_upstream)
    if own and without is not Guard.AGENT_SERIAL:
        return False
    earlier = any(sent.incarnation < state.agent for sent in state.at_upstream)
    return not earlier or without is Guard.AGENT_WAITS


def _forwarded(state: State, order: Order) -> State:
    return state._replace(
        orders=state.orders - {order},
        agent_seen=max(state.agent_seen, order.number),
        at_upstream=state.at_upstream | {Sent(order.number, state.agent)},
    )


def _effect(state: State, number: int) -> State:
    return state._replace(
        newest_effect=max(state.newest_effect, number),
        late_effect=number < state.newest_effect,
    )


def _with_holder(state: State, index: int, **changes: int) -> State:
    holders = list(state.holders)
    holders[index] = holders[index]._replace(**changes)
    return state._replace(holders=tuple(holders))
