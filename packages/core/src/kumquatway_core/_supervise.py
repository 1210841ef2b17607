"""
A supervisor that restarts failed tasks with backoff and a limit on the restart rate.

It uses asyncio directly, because anyio's backend imports TLS, which the gateway does
not need.
"""

import asyncio
import random
import time
from collections import deque
from collections.abc import Awaitable, Callable

from loguru import logger

from kumquatway_core.exceptions import ProcessError

INITIAL_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 5.0
MAX_RESTARTS = 20  # of one child within RESTART_PERIOD_SECONDS
RESTART_PERIOD_SECONDS = 60.0

Child = Callable[[], Awaitable[None]]


class Supervisor:
    """
    Runs children concurrently until all have returned or it is cancelled.

    A child that returns is not started again. A child that raises is restarted. If it
    raises too often, the supervisor itself fails, so that its parent can react; with
    `on_failure` it goes on with its other children instead.

    :param name: name of the supervisor in logs.
    :param clock: monotonic clock, seconds.
    :param max_restarts: restarts of one child that are allowed within the period.
    :param restart_period: length of that period, seconds.
    :param initial_backoff: upper bound of the first random delay before a restart,
        seconds; it doubles with each failure and is reset after a run that lasted
        longer than the period.
    :param on_failure: called with the error of a child that raises too often.
    """

    def __init__(
        self,
        *,
        name: str,
        clock: Callable[[], float] = time.monotonic,
        max_restarts: int = MAX_RESTARTS,
        restart_period: float = RESTART_PERIOD_SECONDS,
        initial_backoff: float = INITIAL_BACKOFF_SECONDS,
        on_failure: Callable[[ProcessError], None] | None = None,
    ):
        self.name = name
        self.clock = clock
        self.max_restarts = max_restarts
        self.restart_period = restart_period
        self.initial_backoff = initial_backoff
        self.on_failure = on_failure
        self.children: list[tuple[str, Child]] = []
        self.restarts = 0
        self._group: asyncio.TaskGroup | None = None

    def add(self, name: str, child: Child) -> None:
        """
        Add a child; start it immediately if the supervisor is running.

        :param name: name of the child in logs.
        :param child: function that runs the child; called again for each restart.
        """
        self.children.append((name, child))
        if self._group is not None:
            self._group.create_task(self._run_child(name, child), name=name)

    async def run(self) -> None:
        """
        Run the children until all have returned.

        :raises ProcessError: if a child failed more often than allowed, and there is
            no `on_failure`.
        """
        async with asyncio.TaskGroup() as group:
            self._group = group
            for name, child in self.children:
                group.create_task(self._run_child(name, child), name=name)

    async def _run_child(self, name: str, child: Child) -> None:
        failures: deque[float] = deque()
        backoff = self.initial_backoff
        while True:
            started_at = self.clock()
            try:
                await child()
                return
            except Exception as error:
                logger.opt(exception=error).error(
                    "{}: child {} failed: {}", self.name, name, error
                )
            now = self.clock()
            if now - started_at > self.restart_period:
                backoff = self.initial_backoff
            failure = self._record_failure(name, failures, now)
            if failure is not None:
                if self.on_failure is None:
                    raise failure
                self.on_failure(failure)
                return
            await asyncio.sleep(random.uniform(0, backoff))
            backoff = min(backoff * 2, MAX_BACKOFF_SECONDS)

    def _record_failure(
        self, name: str, failures: deque[float], now: float
    ) -> ProcessError | None:
        """Count a failure; return an error if there are more than allowed."""
        self.restarts += 1
        failures.append(now)
        while failures and now - failures[0] > self.restart_period:
            failures.popleft()
        if len(failures) <= self.max_restarts:
            return None
        return ProcessError(
            f"{self.name}: child {name} failed {len(failures)} times "
            f"within {self.restart_period:.0f} s, {self.max_restarts} are allowed"
        )
