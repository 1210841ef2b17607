"""
Supervise.

A supervisor restarts a child that failed, with backoff and an intensity limit.

It is built on asyncio alone, since anyio's backend imports TLS, which a gateway does
without.
"""

import asyncio
import random
import time
from collections import deque
from collections.abc import Awaitable, Callable

from loguru import logger

from kumquatway_core.exceptions import ProcessError

INITIAL_BACKOFF_SECONDS = 0.05  # seconds
MAX_BACKOFF_SECONDS = 5.0  # seconds
MAX_RESTARTS = 20  # within RESTART_PERIOD
RESTART_PERIOD_SECONDS = 60.0  # seconds

Child = Callable[[], Awaitable[None]]


class Supervisor:
    """
    Runs children side by side until it is stopped.

    A child that returns is done. A child that raises is started again; one that
    raises too often ends the supervisor, so that its own parent decides.

    :param name: for logs.
    :param clock: monotonic seconds.
    """

    def __init__(
        self,
        *,
        name: str,
        clock: Callable[[], float] = time.monotonic,
        max_restarts: int = MAX_RESTARTS,
        restart_period: float = RESTART_PERIOD_SECONDS,
        initial_backoff: float = INITIAL_BACKOFF_SECONDS,
    ):
        self.name = name
        self.clock = clock
        self.max_restarts = max_restarts
        self.restart_period = restart_period
        self.initial_backoff = initial_backoff
        self.children: list[tuple[str, Child]] = []
        self.restarts = 0
        self._group: asyncio.TaskGroup | None = None

    def add(self, name: str, child: Child) -> None:
        """
        Add a child, and start it at once if the supervisor runs.

        :param name: for logs.
        :param child: called again for each start.
        """
        self.children.append((name, child))
        if self._group is not None:
            self._group.create_task(self._run_child(name, child), name=name)

    async def run(self) -> None:
        """
        Run the children until all are done.

        :raises ProcessError: if a child failed more often than allowed.
        """
        async with asyncio.TaskGroup() as group:
            self._group = group
            for name, child in self.children:
                group.create_task(self._run_child(name, child), name=name)

    async def _run_child(self, name: str, child: Child) -> None:
        failures: deque[float] = deque()
        backoff = self.initial_backoff
        while True:
            started = self.clock()
            try:
                await child()
                return
            except Exception as error:
                logger.opt(exception=error).error(
                    "{}: child {} failed: {}", self.name, name, error
                )
            now = self.clock()
            if now - started > self.restart_period:
                backoff = self.initial_backoff
            self._record_failure(name, failures, now)
            await asyncio.sleep(random.uniform(0, backoff))
            backoff = min(backoff * 2, MAX_BACKOFF_SECONDS)

    def _record_failure(self, name: str, failures: deque[float], now: float) -> None:
        self.restarts += 1
        failures.append(now)
        while failures and now - failures[0] > self.restart_period:
            failures.popleft()
        if len(failures) > self.max_restarts:
            raise ProcessError(
                f"{self.name}: child {name} failed {len(failures)} times "
                f"within {self.restart_period:.0f} s"
            )
