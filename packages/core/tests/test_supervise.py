"""Tests of a supervisor one of whose children fails for good."""

import asyncio

import pytest
from virtual_time import run_in_virtual_time

from kumquatway_core import Supervisor
from kumquatway_core.exceptions import ProcessError


async def _fail() -> None:
    raise ZeroDivisionError


async def _run(*, seconds: float, **options) -> list[str]:
    """Run a failing child beside one that counts; return what the latter did."""
    supervisor = Supervisor(name="s", **options)
    steps: list[str] = []

    async def count() -> None:
        try:
            while True:
                await asyncio.sleep(0.01)
                steps.append("step")
        finally:
            steps.append("end")

    supervisor.add("failing", _fail)
    supervisor.add("counting", count)
    try:
        async with asyncio.timeout(seconds):
            await supervisor.run()
    except TimeoutError:
        steps.append("timeout")
    return steps


class TestChildThatFailsTooOften:
    """A child raises more often than allowed."""

    def test_ends_the_supervisor(self):
        with pytest.raises(ExceptionGroup) as caught:
            run_in_virtual_time(lambda: _run(seconds=5.0, max_restarts=0))
        assert caught.group_contains(ProcessError)

    def test_ends_no_other_child_if_the_parent_is_told(self):
        failures: list[ProcessError] = []
        steps = run_in_virtual_time(
            lambda: _run(
                seconds=0.3,
                max_restarts=2,
                initial_backoff=0.0,
                on_failure=failures.append,
            )
        )
        assert steps.count("step") > 3
        assert steps[-2:] == ["end", "timeout"]
        [failure] = failures
        assert "failing failed 3 times" in str(failure)
