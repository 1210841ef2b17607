"""
Room.

Requests that wait until a chain has room for them.
"""

import asyncio
import time
from collections.abc import Callable
from typing import Generic, TypeVar

from kumquatway_gateway.waiting._order import Waiter, next_waiter, tokens_ahead

# A caller leaves after two seconds without a first event (users' platform pages), and
# the first event takes a few hundred milliseconds once a chain is found.
MAX_WAIT_SECONDS = 1.2
RATE_SECONDS = 2.0  # over which the rate of leaving tokens is averaged
MIN_RATE = 2_000.0  # tokens a second, before anything has left

T = TypeVar("T")


class AdmissionQueue(Generic[T]):
    """
    The queue before the chains of one service.

    :param claim: reserves what can take a waiter now, or gives None.
    :param undo: frees what was reserved for a waiter that has left.
    :param least_rate: gives the tokens that leave in a second at least.
    :param clock: monotonic seconds.
    """

    def __init__(
        self,
        *,
        claim: Callable[[Waiter], T | None],
        release: Callable[[T], None],
        min_rate: Callable[[], float] = lambda: MIN_RATE,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.claim = claim
        self.release = release
        self.min_rate = min_rate
        self.clock = clock
        self.waiting: dict[Waiter, asyncio.Future[T | None]] = {}
        self.in_service: dict[str, float] = {}
        self.queued_tokens = 0.0
        self.rate = MIN_RATE
        self._left = 0.0
        self._since = clock()

    def expected_wait(self, waiter: Waiter | None = None) -> float:
        """
        Estimate how long one that comes now would wait.

        :param waiter: the newcomer, or None for one that goes last.
        :return: seconds.
        """
        self._average()
        ahead = self.queued_tokens
        if waiter is not None:
            ahead = tokens_ahead(waiter, self.waiting, self.in_service)
        return ahead / max(self.rate, self.min_rate(), MIN_RATE)

    async def admit(self, waiter: Waiter) -> T | None:
        """
        Wait for room.

        Load pattern: a burst above what the chains carry. Who would wait longer than
        makes sense is refused on arrival, so that the queue holds only requests that
        are still served in time.

        :param waiter: the request.
        :return: what takes it, or None where it is refused.
        """
        if not self.waiting:
            found = self.claim(waiter)
            if found is not None:
                return found
        now = self.clock()
        patience = waiter.deadline - now
        if patience <= 0 or self.expected_wait(waiter) > patience:
            return None
        future: asyncio.Future[T | None] = asyncio.get_running_loop().create_future()
        self.waiting[waiter] = future
        self.queued_tokens += waiter.tokens
        try:
            async with asyncio.timeout(patience):
                return await asyncio.shield(future)
        except TimeoutError:
            return self._taken(future)
        except asyncio.CancelledError:
            found = self._taken(future)
            if found is not None:
                self.release(found)
            raise
        finally:
            if self.waiting.pop(waiter, None) is not None:
                self.queued_tokens -= waiter.tokens

    def begin_service(self, waiter: Waiter) -> None:
        """Count the tokens of a request that is in service now."""
        served = self.in_service.get(waiter.account, 0.0)
        self.in_service[waiter.account] = served + waiter.tokens

    def end_service(self, waiter: Waiter) -> None:
        """Count the tokens of a request that has ended, and let the next go."""
        served = self.in_service.get(waiter.account, 0.0) - waiter.tokens
        if served > 0.5:
            self.in_service[waiter.account] = served
        else:
            self.in_service.pop(waiter.account, None)
        self._left += waiter.tokens
        self.admit_waiting()

    def admit_waiting(self) -> None:
        """Let those go for which there is room now."""
        while self.waiting:
            waiter = next_waiter(self.waiting, self.in_service, self.clock())
            found = self.claim(waiter)
            if found is None:
                return
            future = self.waiting.pop(waiter)
            self.queued_tokens -= waiter.tokens
            if not future.done():
                future.set_result(found)

    @staticmethod
    def _taken(future: asyncio.Future[T | None]) -> T | None:
        return future.result() if future.done() else None

    def _average(self) -> None:
        passed = self.clock() - self._since
        if passed < 0.1:
            return
        share = min(1.0, passed / RATE_SECONDS)
        self.rate += share * (self._left / passed - self.rate)
        self._left = 0.0
        self._since = self.clock()
