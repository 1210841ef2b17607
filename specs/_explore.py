"""
Exploration.

Runs a specification through the model checker and names what it found.
"""

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Any

from minicheck import Protocol, check_safety

MAX_STATES = 400_000

Transitions = Callable[[Any], Iterable[tuple[str, Any]]]
Predicate = Callable[[Any], bool]


@dataclass(frozen=True, kw_only=True, slots=True)
class Spec:
    """
    A model and what is asked of it.

    :param initial: the first state, a named tuple.
    :param transitions: gives each (step, next state) of a state.
    :param invariants: hold in each reachable state.
    :param goals: each must hold in some reachable state.
    """

    name: str
    initial: Any
    transitions: Transitions
    invariants: tuple[Predicate, ...]
    goals: tuple[Predicate, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Mutant:
    """
    A model with a guard removed, and how it is refuted.

    :param guard: what was removed.
    :param spec: the model without it.
    :param breaks: name of an invariant that fails.
    :param step: starts the label of a step in the shortest counterexample.
    """

    guard: str
    spec: Spec
    breaks: str
    step: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Findings:
    """
    What an exploration found.

    :param states: distinct reachable states.
    :param depth: the longest of the shortest paths, steps.
    :param exhaustive: whether every reachable state was seen.
    :param seconds: time that it took.
    :param broken: steps of the shortest counterexample by invariant.
    :param reached: steps of the shortest witness by goal.
    """

    states: int
    depth: int
    exhaustive: bool
    seconds: float
    broken: dict[str, tuple[str, ...]]
    reached: dict[str, tuple[str, ...]]

    def holds(self) -> bool:
        """Tell whether all states were seen and no invariant fails in any."""
        return self.exhaustive and not self.broken


def explore(spec: Spec) -> Findings:
    """
    Visit every reachable state, breadth first.

    :param spec: the model.
    :return: what was found.
    """
    depths = {spec.initial: 0}
    start = time.perf_counter()
    result = _check(spec, _recorded(spec.transitions, depths))
    return Findings(
        states=result["reachable_states"],
        depth=max(depths.values()),
        exhaustive=result["exhaustive"],
        seconds=time.perf_counter() - start,
        broken=_traces(result, spec.invariants),
        reached=_traces(result, spec.goals),
    )


def refute(mutant: Mutant) -> tuple[str, ...]:
    """
    Search for the shortest run that breaks a mutant's invariant.

    :param mutant: the model without a guard and what should fail.
    :return: the steps of the run; empty if the invariant holds.
    """
    invariant = next(p for p in mutant.spec.invariants if p.__name__ == mutant.breaks)
    narrowed = replace(mutant.spec, invariants=(invariant,), goals=())
    transitions = _until_broken(mutant.spec.transitions, invariant)
    result = _check(narrowed, transitions)
    return _traces(result, narrowed.invariants).get(mutant.breaks, ())


def _check(spec: Spec, transitions: Transitions) -> dict:
    checks = {p.__name__: _on_fields(spec, p) for p in spec.invariants}
    checks |= {p.__name__: _never(spec, p) for p in spec.goals}
    protocol = Protocol(
        name=spec.name,
        candidate=False,
        fields=spec.initial._fields,
        initial=spec.initial,
        transitions=transitions,
        invariants=checks,
    )
    return check_safety(protocol, max_states=MAX_STATES)


def _until_broken(transitions: Transitions, invariant: Predicate) -> Transitions:
    broken = False

    def step(state: Any) -> Iterable[tuple[str, Any]]:
        nonlocal broken
        if broken:
            return
        for label, after in transitions(state):
            yield label, after
            if not invariant(after):
                broken = True
                return

    return step


def _recorded(transitions: Transitions, depths: dict[Any, int]) -> Transitions:
    def record(state: Any) -> list[tuple[str, Any]]:
        steps = list(transitions(state))
        for _, after in steps:
            depths.setdefault(after, depths[state] + 1)
        return steps

    return record


def _on_fields(spec: Spec, predicate: Predicate) -> Callable[[dict], bool]:
    make = type(spec.initial)._make
    return lambda fields: predicate(make(fields.values()))


def _never(spec: Spec, predicate: Predicate) -> Callable[[dict], bool]:
    check = _on_fields(spec, predicate)
    return lambda fields: not check(fields)


def _traces(result: dict, predicates: tuple[Predicate, ...]) -> dict:
    found = {}
    for predicate in predicates:
        trace = result["properties"][predicate.__name__]["counterexample"]
        if trace:
            found[predicate.__name__] = tuple(step["label"] for step in trace[1:])
    return found
