"""
Orders.

Gives the engine one order at a time, never one of an older lease holder.
"""

from collections.abc import Awaitable, Callable

import anyio
from loguru import logger

from kumquatway_core import NOT_RUN
from kumquatway_core.engine import EngineFailure, EngineOrder, EngineOrderReply
from kumquatway_core.exceptions import PlatformError
from kumquatway_core.leases import Fence, LeaseRow, StaleNumber, boot_clock
from kumquatway_core.wire import Holding, Order, OrderReply

MAX_WAITING = 64  # orders
POLL = 0.05  # seconds
DONE = ""

Give = Callable[[EngineOrder, float], Awaitable[EngineOrderReply | EngineFailure]]


class Orders:
    """
    The orders to one engine.

    Not every engine refuses an older fencing number, so this does. A new life of
    the agent has seen no number: it reads the lease's before its first order, and
    waits until no order of the life before can still take effect.

    :param vm: name of the VM.
    :param give: gives the engine an order, with a bound in seconds.
    :param read: reads the planner's lease; raises `PlatformError`.
    :param in_use: tells whether a stream needs a holding.
    :param closing: holdings whose new streams are to be refused; kept up here.
    :param refresh: asks the engine what it holds and tells the entries.
    :param clock: seconds, running on while the process is paused.
    """

    def __init__(
        self,
        *,
        vm: str,
        give: Give,
        read: Callable[[], Awaitable[LeaseRow | None]],
        in_use: Callable[[Holding], bool],
        closing: set[Holding],
        refresh: Callable[[], Awaitable[None]],
        clock: Callable[[], float] = boot_clock,
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
    ):
        self.vm = vm
        self.give = give
        self.read = read
        self.in_use = in_use
        self.closing = closing
        self.refresh = refresh
        self.clock = clock
        self.sleep = sleep
        self.fence = Fence()
        self.accepting = True
        self.hidden: set[Holding] = set()
        self.waiting = 0
        self.born = clock()
        self.learnt = False
        self.order_bound = 0.0
        self.quiet_until = self.born

    async def take(self, order: Order) -> OrderReply:
        """
        Carry out an order, after those before it.

        :param order: as received.
        :return: whether the engine now holds what the order asks for.
        """
        detail = self._refusal(order)
        if detail == DONE:
            self.waiting += 1
            try:
                detail = await self._take(order, self.clock() + order.timeout)
            finally:
                self.waiting -= 1
        if detail != DONE:
            logger.warning("order {} was not carried out: {}", order.order, detail)
        return OrderReply(
            order=order.order,
            vm=self.vm,
            done=detail == DONE,
            highest_fencing_number=self.fence.highest_number,
            detail=detail,
        )

    def _refusal(self, order: Order) -> str:
        if order.vm != self.vm:
            return f"meant for {order.vm}"
        if not self.accepting:
            return "the VM is leaving"
        if self.waiting >= MAX_WAITING:
            return "too many orders wait"
        return DONE

    async def _take(self, order: Order, deadline: float) -> str:
        if not self.learnt:
            try:
                await self._learn()
            except PlatformError as error:
                return f"the lease's number is unknown: {error}"
        # Raised on arrival, so that an older order that waits is not given.
        self.fence.highest_number = max(self.fence.highest_number, order.fencing_number)
        result = await self.fence.run_in_order(
            order.fencing_number, lambda: self._run(order, deadline)
        )
        if isinstance(result, StaleNumber):
            return _older(result.number, result.highest)
        return result

    async def _learn(self) -> None:
        row = await self.read()
        self.learnt = True
        if row is None:
            return
        self.fence.highest_number = max(self.fence.highest_number, row.fencing_number)
        self.order_bound = row.order_bound
        self.quiet_until = max(self.quiet_until, self.born + row.order_bound)

    async def _run(self, order: Order, deadline: float) -> str:
        quiet = self.quiet_until - self.clock()
        if quiet > 0:
            if self.quiet_until >= deadline:
                return "an earlier order may still be at the engine"
            await self.sleep(quiet)
        if order.load:
            return await self._give(order, deadline)
        return await self._unload(order, deadline)

    async def _unload(self, order: Order, deadline: float) -> str:
        """Unload once no stream needs the layers; entries stop using them first."""
        holding = order.holding
        self.hidden.add(holding)
        try:
            await self.refresh()
            while self.in_use(holding):
                if self.clock() + POLL >= deadline:
                    return "streams use the layers"
                await self.sleep(POLL)
            self.closing.add(holding)
            return await self._give(order, deadline)
        finally:
            self.closing.discard(holding)
            self.hidden.discard(holding)

    async def _give(self, order: Order, deadline: float) -> str:
        if order.fencing_number < self.fence.highest_number:
            return _older(order.fencing_number, self.fence.highest_number)
        now = self.clock()
        if now >= deadline:
            return "too late"
        asked = EngineOrder(
            fencing_number=order.fencing_number, load=order.load, holding=order.holding
        )
        answer = await self.give(asked, self._bound(deadline - now))
        if isinstance(answer, EngineFailure):
            if answer.verdict.ran is not NOT_RUN:
                self.quiet_until = now + self.order_bound
            return answer.verdict.detail or answer.verdict.reason
        if not answer.done:
            return answer.detail or "the engine refused"
        await self.refresh()
        return DONE

    def _bound(self, left: float) -> float:
        """Keep an order within what a later life of the agent waits out."""
        return min(left, self.order_bound) if self.order_bound else left


def _older(number: int, highest: int) -> str:
    return f"fencing number {number} is older than {highest}"
