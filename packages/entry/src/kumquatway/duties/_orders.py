"""
Orders.

Sends the planner's orders to agents and waits for their ends.
"""

from collections.abc import Callable

import anyio

from kumquatway_core import RAN, Reason, Verdict, may_have_run, not_run
from kumquatway_core.wire import Message, Order, OrderReply


class _Waiting:
    """An order whose end has not come."""

    def __init__(self):
        self.done = anyio.Event()
        self.reply: OrderReply | None = None


class Orders:
    """
    The orders of one entry.

    :param find: finds the address of a VM's agent, None if it is not known.
    :param send: sends a message to an address.
    """

    def __init__(
        self,
        *,
        find: Callable[[str], str | None],
        send: Callable[[str, Message], object],
    ):
        self.find = find
        self.send = send
        self.waiting: dict[str, _Waiting] = {}

    async def give(self, vm: str, order: Order) -> Verdict:
        """
        Send an order and wait for its end.

        :param vm: its VM.
        :param order: with the bound on its time.
        :return: `RAN` if the engine now holds what it asks for.
        """
        address = self.find(vm)
        if address is None:
            return not_run(Reason.UNREACHABLE, f"no VM {vm}")
        waiting = self.waiting[order.order] = _Waiting()
        try:
            sent = self.send(address, order)
            if isinstance(sent, Verdict):
                return sent
            with anyio.move_on_after(order.timeout):
                await waiting.done.wait()
            return _verdict(waiting.reply)
        finally:
            del self.waiting[order.order]

    def take(self, reply: OrderReply) -> None:
        """
        Take in the end of an order; one that nobody waits for is dropped.

        :param reply: as received.
        """
        waiting = self.waiting.get(reply.order)
        if waiting is not None:
            waiting.reply = reply
            waiting.done.set()


def _verdict(reply: OrderReply | None) -> Verdict:
    if reply is None:
        return may_have_run(Reason.SILENCE, "the agent did not answer")
    if reply.done:
        return Verdict(ran=RAN)
    return may_have_run(Reason.REFUSED, reply.detail)
