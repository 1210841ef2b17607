"""
Replica.

The revision in force on one process: it only ever rises.
"""

import random
from collections.abc import Awaitable, Callable

import anyio
from loguru import logger

from kumquatway_core.exceptions import PlatformError
from kumquatway_core.revisions._revisions import Revisions, Validator
from kumquatway_core.revisions._rows import Revision, digest

POLL_SECONDS = 2.0
JITTER_FRACTION = 0.25  # share of the interval, both ways

Apply = Callable[[Revision], Awaitable[None]]


async def ignore_revision(revision: Revision) -> None:
    """
    Do nothing with a revision.

    :param revision: ignored.
    """


class Replica:
    """
    Holds the highest valid revision that the process has met.

    :param check: gives the problems of a text, none for a valid one.
    :param apply: called with each revision taken, in rising order.
    :param interval: between polls of the store, seconds.
    :param pause: waits for a number of seconds.
    :param uniform: draws the jitter between two bounds.
    """

    def __init__(
        self,
        *,
        validate: Validator,
        apply: Apply = ignore_revision,
        interval: float = POLL_SECONDS,
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
        uniform: Callable[[float, float], float] = random.uniform,
    ):
        self.validate = validate
        self.apply = apply
        self.interval = interval
        self.sleep = sleep
        self.uniform = uniform
        self.current: Revision | None = None
        self.highest_rejected = 0
        self.poll_requested = anyio.Event()
        self.update_lock = anyio.Lock()
        self.updated = anyio.Condition()

    @property
    def number(self) -> int:
        """
        Give the number of the revision in force.

        :return: the number, 0 before the first.
        """
        return self.current.number if self.current else 0

    async def offer(self, revision: Revision) -> bool:
        """
        Take a revision from the store or a peer, if it is higher and valid.

        :param revision: any revision.
        :return: whether it was taken.
        """
        async with self.update_lock:
            if not await self._is_applicable(revision):
                return False
            await self.apply(revision)
            self.current = revision
        async with self.updated:
            self.updated.notify_all()
        return True

    def notify(self, number: int) -> None:
        """
        Learn that a revision exists, from a peer; the store is asked at once.

        :param number: the revision.
        """
        if number > self.number and number > self.highest_rejected:
            self.poll_requested.set()

    async def wait_for(self, number: int) -> Revision:
        """
        Wait until a revision, or a higher one, is in force here.

        :param number: the revision.
        :return: the revision in force.
        """
        async with self.updated:
            while self.number < number:
                await self.updated.wait()
        return self.current

    async def poll(self, revisions: Revisions) -> bool:
        """
        Ask the store once; an outage leaves the revision in force.

        :param revisions: the store.
        :return: whether a revision was taken.
        """
        try:
            number = await revisions.latest_number()
            if number <= max(self.number, self.highest_rejected):
                return False
            latest = await revisions.latest()
        except PlatformError as error:
            logger.warning("revision {} stays in force: {}", self.number, error)
            return False
        return latest is not None and await self.offer(latest)

    async def watch(self, revisions: Revisions) -> None:
        """
        Poll the store with jitter, and at once when notified, until cancelled.

        :param revisions: the store.
        """
        while True:
            await self.poll(revisions)
            await self._wait_for_next_poll()

    async def _wait_for_next_poll(self) -> None:
        spread = self.interval * JITTER_FRACTION
        seconds = self.uniform(self.interval - spread, self.interval + spread)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._request_poll_after, seconds)
            await self.poll_requested.wait()
            tasks.cancel_scope.cancel()
        self.poll_requested = anyio.Event()

    async def _request_poll_after(self, seconds: float) -> None:
        await self.sleep(seconds)
        self.poll_requested.set()

    async def _is_applicable(self, revision: Revision) -> bool:
        """Guard: only a higher, whole and valid revision comes into force."""
        if revision.number <= self.number:
            return False
        if digest(revision.text) != revision.head.digest:
            logger.error("revision {} does not fit its digest", revision.number)
            return False
        problems = await anyio.to_thread.run_sync(self.validate, revision.text)
        if problems:
            self.highest_rejected = max(self.highest_rejected, revision.number)
            logger.error("revision {} is refused: {}", revision.number, problems)
        return not problems
