"""Tests of the specifications: each holds, and each mutant is refuted."""

import pytest

from . import claims, leases, revisions, steps
from ._explore import Mutant, Spec, explore, refute

MIN_STATES = {
    "claims": 30_000,
    "claims, older store": 100_000,
    "leases: upstream checks the number": 1_000,
    "leases: upstream ignores the number, its agent checks it": 10_000,
    "leases: upstream ignores the number, no agent before it": 15_000,
    "leases: upstream checks the number, older store": 2_000,
    "leases: upstream ignores the number, its agent checks it, older store": 30_000,
    "steps, 2 attempts, 1 failures": 15_000,
    "steps, 1 attempts, 2 failures": 1_000,
    "revisions": 10_000,
}


def by_name(spec: Spec) -> str:
    return spec.name


def by_guard(mutant: Mutant) -> str:
    return mutant.guard.name


def assert_holds(spec: Spec) -> None:
    found = explore(spec)
    assert found.broken == {}
    assert found.exhaustive
    assert found.states >= MIN_STATES[spec.name]
    assert set(found.reached) == {goal.__name__ for goal in spec.goals}


def assert_refuted(mutant: Mutant) -> None:
    run = refute(mutant)
    assert run, f"without '{mutant.guard}' {mutant.breaks} still holds"
    assert any(step.startswith(mutant.step) for step in run), run


class TestClaims:
    """A non-idempotent request runs at most once, and each verdict is true."""

    @pytest.mark.parametrize("spec", claims.specs(), ids=by_name)
    def test_holds(self, spec):
        assert_holds(spec)

    @pytest.mark.parametrize("mutant", claims.mutants(), ids=by_guard)
    def test_mutant_is_refuted(self, mutant):
        assert_refuted(mutant)

    def test_each_guard_has_a_mutant(self):
        assert {m.guard for m in claims.mutants()} == set(claims.Guard)


class TestLeases:
    """No order of an older holder takes effect after one of a newer."""

    @pytest.mark.parametrize("spec", leases.specs(), ids=by_name)
    def test_holds(self, spec):
        assert_holds(spec)

    @pytest.mark.parametrize("mutant", leases.mutants(), ids=by_guard)
    def test_mutant_is_refuted(self, mutant):
        assert_refuted(mutant)

    def test_each_guard_has_a_mutant(self):
        assert {m.guard for m in leases.mutants()} == set(leases.Guard)


class TestSteps:
    """Each layer runs once for each token, and each token is delivered once."""

    @pytest.mark.parametrize("spec", steps.specs(), ids=by_name)
    def test_holds(self, spec):
        assert_holds(spec)

    @pytest.mark.parametrize("mutant", steps.mutants(), ids=by_guard)
    def test_mutant_is_refuted(self, mutant):
        assert_refuted(mutant)

    def test_each_guard_has_a_mutant(self):
        assert {m.guard for m in steps.mutants()} == set(steps.Guard)


class TestRevisions:
    """An accepted configuration is never lost and never goes back."""

    @pytest.mark.parametrize("spec", revisions.specs(), ids=by_name)
    def test_holds(self, spec):
        assert_holds(spec)

    @pytest.mark.parametrize("mutant", revisions.mutants(), ids=by_guard)
    def test_mutant_is_refuted(self, mutant):
        assert_refuted(mutant)

    def test_each_guard_has_a_mutant(self):
        assert {m.guard for m in revisions.mutants()} == set(revisions.Guard)


class TestExploration:
    """What the exploration itself must not hide."""

    def test_guarded_model_gives_no_counterexample(self):
        whole = Mutant(
            guard="none", spec=revisions.spec(), breaks="none_lost", step="write"
        )
        assert refute(whole) == ()

    def test_truncated_search_does_not_hold(self, monkeypatch):
        monkeypatch.setattr("specs._explore.MAX_STATES", 100)
        found = explore(revisions.spec())
        assert not found.exhaustive
        assert not found.holds()
