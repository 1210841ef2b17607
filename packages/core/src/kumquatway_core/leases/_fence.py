"""
Fence.

Guards one upstream that ignores fencing numbers, in the agent beside it.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

import anyio

Reply = TypeVar("Reply")


@dataclass(frozen=True, kw_only=True, slots=True)
class StaleNumber:
    """
    The order was not given.

    :param number: the order's fencing number.
    :param highest: the highest number seen.
    """

    number: int
    highest: int


class Fence:
    """
    Gives orders one after another and refuses an older number.

    It knows only the numbers that it has seen: after a restart of the agent the
    lease's order bound carries the promise.
    """

    def __init__(self):
        self.highest_number = 0
        self.order_lock = anyio.Lock()

    async def run_in_order(
        self, number: int, order: Callable[[], Awaitable[Reply]]
    ) -> Reply | StaleNumber:
        """
        Give an order, once those before it have ended.

        :param number: the fencing number of the lease under which it is given.
        :param order: gives it, within a timeout of its own.
        :return: the upstream's reply, or why the order was not given.
        """
        async with self.order_lock:
            if number < self.highest_number:
                return StaleNumber(number=number, highest=self.highest_number)
            self.highest_number = number
            return await order()
