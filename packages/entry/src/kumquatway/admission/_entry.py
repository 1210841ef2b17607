"""
Entry's admission.

Admission at one entry, with its part of the limits that hold over all of them.
"""

import time
from collections.abc import Callable

from kumquatway.admission._admission import Admission
from kumquatway.admission._capacity import Capacity
from kumquatway.admission._exchange import Exchange
from kumquatway.admission._queueing import Queueing
from kumquatway.admission._split import Split
from kumquatway_core.text import Account, Text
from kumquatway_core.wire import Demands, Grants, Message

SERVICE_LIMIT = 256  # calls in progress at a plain service, which reports no wait


class EntryAdmission:
    """
    Admission and what feeds it.

    :param address: of this entry.
    :param text: reads the text in force.
    :param entries: lists the addresses of the live entries, this one among them.
    :param send: sends a message to an address.
    :param clock: gives the time, seconds.
    """

    def __init__(
        self,
        *,
        address: str,
        text: Callable[[], Text],
        entries: Callable[[], tuple[str, ...]],
        send: Callable[[str, Message], object],
        clock: Callable[[], float] = time.monotonic,
    ):
        self.text = text
        self.send = send
        self.exchange = Exchange(send=send)
        self.split = Split(
            entry=address, entries=entries, exchange=self.exchange.ask, clock=clock
        )
        self.queueing = Queueing(clock=clock)
        self.admission = Admission(
            lookup=self._lookup,
            share=self.split.share,
            capacity=self._capacity,
            demand=self.split.demand.add,
            clock=clock,
        )

    def take_demands(self, demands: Demands) -> None:
        """
        Grant another entry its parts.

        :param demands: as received.
        """
        self.send(demands.entry, self.split.answer(demands))

    def take_grants(self, grants: Grants) -> None:
        """
        Take in the parts of this entry.

        :param grants: as received.
        """
        self.exchange.take(grants)

    def observe_first(
        self, target: str, prompt: int, seconds: float, gap: float
    ) -> None:
        """
        Learn from the first token of a stream how full the engines are.

        :param target: name of the model.
        :param prompt: its tokens.
        :param seconds: from sending the prompt to the first token.
        :param gap: the usual time between tokens now, seconds, or 0.
        """
        wait = self.queueing.wait(target, prompt, seconds, gap)
        self.admission.observe(target, wait)

    def queued(self) -> dict[str, int]:
        """
        Count the requests that wait.

        :return: by target.
        """
        pools = self.admission.pools
        return {target: pool.queue.count for target, pool in pools.items()}

    def _lookup(self, name: str) -> Account | None:
        return self.text().accounts.get(name)

    def _capacity(self, target: str) -> Capacity:
        if target in self.text().services:
            limit = float(SERVICE_LIMIT)
            return Capacity(limit=limit, floor=limit, ceiling=limit)
        return Capacity()
