"""
The replica of the current revision on one process; its number never decreases.
"""

import random
from collections.abc import Awaitable, Callable

import anyio
from loguru import logger

from kumquatway_core.exceptions import PlatformError
from kumquatway_core.revisions._revisions import Revisions, Validator
from kumquatway_core.revisions._rows import Revision, digest

POLL_SECONDS = 2.0
JITTER_FRACTION = 0.25  # of the interval, in both directions

Apply = Callable[[Revision], Awaitable[None]]


async def ignore_revision(revision: Revision) -> None:
    """
    Ignore a revision; the default for processes that need no callback.

    :param revision: ignored revision.
    """


class Replica:
    """
    Holds the highest valid revision that the process has received.

    :param validate: returns the problems of a text, none for a valid text.
    :param apply: called with each accepted revision, in increasing order.
    :param interval: time between polls of the store, seconds.
    :param sleep: waits for a number of seconds.
    :param uniform: returns a random number between two bounds, for the jitter.
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
        Return the number of the current revision.

        :return: revision number, 0 before the first revision.
        """
        return self.current.number if self.current else 0

    async def offer(self, revision: Revision) -> bool:
        """
        Accept a revision from the store or a peer, if it is higher and valid.

        :param revision: any revision.
        :return: whether the revision was accepted.
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
        Request an immediate poll of the store, because a peer reported a revision.

        Does nothing if the revision is not higher than those accepted or rejected.

        :param number: number of the reported revision.
        """
        if number > self.number and number > self.highest_rejected:
            self.poll_requested.set()

    async def wait_for(self, number: int) -> Revision:
        """
        Wait until the current revision has at least the given number.

        :param number: revision number.
        :return: current revision.
        """
        async with self.updated:
            while self.number < number:
                await self.updated.wait()
        return self.current

    async def poll(self, revisions: Revisions) -> bool:
        """
        Poll the store once; if it fails, the current revision stays.

        :param revisions: revisions in the store.
        :return: whether a new revision was accepted.
        """
        try:
            number = await revisions.latest_number()
            if number <= max(self.number, self.highest_rejected):
                return False
            latest = await revisions.latest()
        except PlatformError as error:
            logger.warning(
                "poll of the store failed, revision {} stays current: {}",
                self.number,
                error,
            )
            return False
        return latest is not None and await self.offer(latest)

    async def watch(self, revisions: Revisions) -> None:
        """
        Poll the store with jitter, and immediately when notified, until cancelled.

        :param revisions: revisions in the store.
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
        """Tell whether a revision is higher, intact and valid."""
        if revision.number <= self.number:
            return False
        if digest(revision.text) != revision.head.digest:
            logger.error(
                "revision {} rejected: its text does not match its digest",
                revision.number,
            )
            return False
        problems = await anyio.to_thread.run_sync(self.validate, revision.text)
        if problems:
            self.highest_rejected = max(self.highest_rejected, revision.number)
            logger.error(
                "revision {} rejected, its text is invalid: {}",
                revision.number,
                problems,
            )
        return not problems
