"""
A fence that rejects orders with a stale fencing number.

The agent uses it to protect an upstream that does not check fencing numbers itself.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

import anyio

Reply = TypeVar("Reply")


@dataclass(frozen=True, kw_only=True, slots=True)
class StaleNumber:
    """
    The order was not sent because its fencing number is out of date.

    :param number: fencing number of the rejected order.
    :param highest: highest fencing number that the fence has seen.
    """

    number: int
    highest: int


class Fence:
    """
    Sends orders one at a time and rejects those with a stale fencing number.

    The highest number is kept in memory only. After a restart of the agent, the order
    bound of the lease ensures that orders of earlier holders have ended.
    """

    def __init__(self):
        self.highest_number = 0
        self.order_lock = anyio.Lock()

    async def run_in_order(
        self, number: int, send_order: Callable[[], Awaitable[Reply]]
    ) -> Reply | StaleNumber:
        """
        Wait until the earlier orders have ended, then send an order.

        :param number: fencing number of the lease under which the order was issued.
        :param send_order: sends the order; must apply a timeout of its own.
        :return: reply of the upstream, or the reason why the order was not sent.
        """
        async with self.order_lock:
            if number < self.highest_number:
                return StaleNumber(number=number, highest=self.highest_number)
            self.highest_number = number
            return await send_order()
