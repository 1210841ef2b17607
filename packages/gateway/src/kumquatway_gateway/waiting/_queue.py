"""Queue requests until a chain has free capacity for them."""

import asyncio
import time
from collections.abc import Callable
from typing import Generic, TypeVar

from kumquatway_gateway.waiting._order import Waiter
from kumquatway_gateway.waiting._waiting import WaitingRequests

# Callers on the users' platform give up after two seconds without a first event, and
# the first event arrives a few hundred milliseconds after a chain is found.
MAX_WAIT_SECONDS = 1.2
RATE_SECONDS = 2.0  # time over which the token rate is averaged
MIN_RATE = 2_000.0  # tokens per second; start value and lower bound

T = TypeVar("T")


class AdmissionQueue(Generic[T]):
    """
    Queue of the requests that wait for a chain of one service.

    :param claim: reserves capacity for a request without the places that are reserved
        for others, or returns None if there is none.
    :param release: frees the capacity reserved for a request that was cancelled.
    :param min_rate: returns the lowest rate at which requests are expected to end,
        tokens per second.
    :param max_rate: returns the highest rate at which requests may begin, tokens per
        second.
    :param blocked_seconds: returns for how long there will certainly be no capacity.
    :param can_serve: returns whether the capacity that others give back can ever be
        enough for a request, and in time.
    :param places: returns the names of the places that a request may use.
    :param clock: returns monotonic seconds.
    """

    def __init__(
        self,
        *,
        claim: Callable[..., T | None],
        release: Callable[[T], None],
        min_rate: Callable[[], float] = lambda: MIN_RATE,
        max_rate: Callable[[], float] = lambda: float("inf"),
        blocked_seconds: Callable[[], float] = lambda: 0.0,
        can_serve: Callable[[Waiter], bool] = lambda waiter: True,
        places: Callable[[Waiter], frozenset[str]] = lambda waiter: frozenset(),
        clock: Callable[[], float] = time.monotonic,
    ):
        self.claim = claim
        self.release = release
        self.min_rate = min_rate
        self.max_rate = max_rate
        self.blocked_seconds = blocked_seconds
        self.can_serve = can_serve
        self.places = places
        self.clock = clock
        self.waiting = WaitingRequests[asyncio.Future[T | None]]()
        self.in_service: dict[str, float] = {}
        self.queued_tokens = 0.0
        self.rate = MIN_RATE
        self._ended_tokens = 0.0
        self._rate_updated_at = clock()

    def expected_wait(self, waiter: Waiter | None = None) -> float:
        """
        Estimate how long a new request would wait.

        :param waiter: the request, or None for a request behind all others.
        :return: seconds.
        """
        self._update_rate()
        ahead = self.queued_tokens
        if waiter is not None:
            ahead = self.waiting.tokens_ahead(waiter, self.in_service)
        rate = min(max(self.rate, self.min_rate(), MIN_RATE), self.max_rate())
        queueing = ahead / rate if ahead else 0.0
        return self.blocked_seconds() + queueing

    async def admit(self, waiter: Waiter) -> T | None:
        """
        Wait until capacity is reserved for a request, or refuse it.

        Load pattern: a burst above the capacity of the chains. A request that is
        expected to wait past its deadline is refused on arrival, so that the queue
        holds only requests that can be served in time. One that no chain can hold
        would keep all others waiting behind it.

        :param waiter: the request.
        :return: the reservation, or None if the request is refused.
        """
        if self.waiting.are_all_restricted():
            reservation = self._claim(waiter, self._reserved())
            if reservation is not None:
                return reservation
        now = self.clock()
        time_left = waiter.deadline - now
        if time_left <= 0 or not self.can_serve(waiter):
            return None
        if not waiter.patient and self.expected_wait(waiter) > time_left:
            return None
        future: asyncio.Future[T | None] = asyncio.get_running_loop().create_future()
        self.waiting.add(waiter, future)
        self.queued_tokens += waiter.tokens
        try:
            async with asyncio.timeout(time_left):
                return await asyncio.shield(future)
        except TimeoutError:
            return self._result(future)
        except asyncio.CancelledError:
            reservation = self._result(future)
            if reservation is not None:
                self.release(reservation)
            raise
        finally:
            if self.waiting.remove(waiter) is not None:
                self.queued_tokens -= waiter.tokens

    def begin_service(self, waiter: Waiter) -> None:
        """Add the tokens of a request to those its account has in service."""
        account_tokens = self.in_service.get(waiter.account, 0.0)
        self.in_service[waiter.account] = account_tokens + waiter.tokens

    def end_service(self, waiter: Waiter) -> None:
        """Subtract the tokens of a request that has ended, and admit the next ones."""
        account_tokens = self.in_service.get(waiter.account, 0.0) - waiter.tokens
        if account_tokens > 0.5:
            self.in_service[waiter.account] = account_tokens
        else:
            self.in_service.pop(waiter.account, None)
        self._ended_tokens += waiter.tokens
        self.admit_waiting()

    def admit_waiting(self) -> None:
        """
        Admit waiting requests until capacity runs out; refuse those in vain.

        Load pattern: chains that some requests must not use have room, and those that
        they may use are full. Others get the former, but not the latter ahead of them.
        """
        reserved: frozenset[str] = frozenset()
        unmet: set[tuple] = set()  # restrictions of requests that found no room
        while waiter := self.waiting.next(self.in_service, self.clock(), unmet):
            reservation = self._claim(waiter, reserved)
            if reservation is None and self.can_serve(waiter):
                if not waiter.is_restricted:
                    return
                unmet.add(waiter.restriction)
                reserved |= self.places(waiter)
                continue
            future = self.waiting.remove(waiter)
            self.queued_tokens -= waiter.tokens
            if not future.done():
                future.set_result(reservation)

    def _claim(self, waiter: Waiter, reserved: frozenset[str]) -> T | None:
        """Reserve capacity for a request in places that no other one waits for."""
        if not reserved:
            return self.claim(waiter)
        return self.claim(waiter, reserved=reserved)

    def _reserved(self) -> frozenset[str]:
        """Return the places that waiting requests wait for."""
        waiters = self.waiting.one_of_each_restriction()
        return frozenset().union(*map(self.places, waiters))

    @staticmethod
    def _result(future: asyncio.Future[T | None]) -> T | None:
        return future.result() if future.done() else None

    def _update_rate(self) -> None:
        elapsed = self.clock() - self._rate_updated_at
        if elapsed < 0.1:
            return
        weight = min(1.0, elapsed / RATE_SECONDS)
        self.rate += weight * (self._ended_tokens / elapsed - self.rate)
        self._ended_tokens = 0.0
        self._rate_updated_at = self.clock()
