"""Tests of a supervisor one of whose children fails for good."""

import asyncio

import pytest

from kumquatway_core import Supervisor
from kumquatway_core.exceptions import ProcessError


async def _fail() -> None:
    raise ZeroDivisionError


async def _run(supervisor: Supervisor, *, seconds: float) -> list[str]:
    """Run a failing child beside one that counts; return what the latter did."""
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
        supervisor = Supervisor(name="s", max_restarts=0)
        with pytest.raises(ExceptionGroup) as caught:
            asyncio.run(_run(supervisor, seconds=5.0))
        assert caught.group_contains(ProcessError)

    def test_ends_no_other_child_if_the_parent_is_told(self):
        failures: list[ProcessError] = []
        supervisor = Supervisor(
            name="s", max_restarts=2, initial_backoff=0.0, on_failure=failures.append
        )
        steps = asyncio.run(_run(supervisor, seconds=0.3))
        assert steps.count("step") > 3
        assert steps[-2:] == ["end", "timeout"]
        [failure] = failures
        assert "failing failed 3 times" in str(failure)
