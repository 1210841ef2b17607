"""Runs scenarios of requests in virtual time: nothing waits, and no instant is late."""

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from contextlib import ExitStack
from typing import TypeVar
from unittest.mock import patch

from kumquatway_gateway.fleet import Fleet
from kumquatway_gateway.quarantine import Quarantine
from kumquatway_gateway.relay import ModelRouter, Relay
from kumquatway_gateway.relay._event_relay import EventRelay
from kumquatway_gateway.waiting import RetryBudget

T = TypeVar("T")
# Their clocks are bound when their modules are imported.
_CLOCKED = (EventRelay, Fleet, ModelRouter, Quarantine, Relay, RetryBudget)


class _Clock:
    """Clock that the event loop advances when it has nothing to do."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


class _Selector(selectors.SelectSelector):
    """Passes the time until the next timer at once."""

    def __init__(self, clock: _Clock):
        super().__init__()
        self.clock = clock

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError("tasks wait for something that never happens")
        self.clock.now += max(timeout, 0.0)
        return []


def run_in_virtual_time(scenario: Callable[[], Coroutine[None, None, T]]) -> T:
    """
    Run a scenario without sockets, and return its result.

    :param scenario: creates all that has a clock.
    """
    clock = _Clock()
    with ExitStack() as stack:
        stack.enter_context(patch("time.monotonic", clock))
        for each in _CLOCKED:
            defaults = each.__init__.__kwdefaults__
            stack.enter_context(patch.dict(defaults, clock=clock))
        runner = stack.enter_context(
            asyncio.Runner(
                loop_factory=lambda: asyncio.SelectorEventLoop(_Selector(clock))
            )
        )
        return runner.run(scenario())
