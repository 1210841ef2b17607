"""
Fair queue.

Start-time fair queueing between flows, with costs settled after service.
"""

import heapq
from collections.abc import Hashable
from typing import Generic, Protocol, TypeVar

PRUNE_FLOWS = 64
BANK_ITEMS = 8
SMOOTHING = 1 / 64


class Costed(Protocol):
    """An item of the queue."""

    cost: float


K = TypeVar("K", bound=Hashable)
T = TypeVar("T", bound=Costed)


class Flow(Generic[T]):
    """
    One flow's items and tags.

    :param weight: its weight in the sharing of service.
    :param finish: virtual time at which its last service ends.
    """

    __slots__ = ("weight", "finish", "carry", "backlog", "items", "listed")

    def __init__(self, *, weight: float, finish: float):
        self.weight = weight
        self.finish = finish
        self.carry = 0.0
        self.backlog = 0.0
        self.items: list[T] = []
        self.listed = False


class FairQueue(Generic[K, T]):
    """Serves the flow whose next service starts first in virtual time."""

    def __init__(self):
        self.flows: dict[K, Flow[T]] = {}
        self.starts: list[tuple[float, int, Flow[T]]] = []
        self.now = 0.0
        self.mean_cost = 0.0
        self.count = 0
        self.weight = 0.0
        self.pushes = 0
        self.prune_at = PRUNE_FLOWS

    def push(self, key: K, weight: float, item: T) -> None:
        """
        Add an item at the end of its flow.

        :param key: the flow.
        :param weight: the flow's weight.
        :param item: what waits.
        """
        flow = self.flows.get(key)
        if flow is None:
            flow = self.flows[key] = Flow(weight=weight, finish=self._earliest())
        if not flow.items:
            flow.weight = weight
            self.weight += weight
        self._learn(item.cost)
        flow.items.append(item)
        flow.backlog += item.cost
        self.count += 1
        if not flow.listed:
            self._list(flow)

    def pop(self) -> T | None:
        """
        Take the item whose service starts first.

        :return: the item, or None if nothing waits.
        """
        while self.starts:
            start, _, flow = heapq.heappop(self.starts)
            flow.listed = False
            if flow.items:
                return self._serve(flow, start)
        return None

    def remove(self, key: K, item: T) -> None:
        """
        Take out an item that waits no more.

        :param key: its flow.
        :param item: what waited.
        """
        flow = self.flows[key]
        flow.items.remove(item)
        self._drop(flow, item)

    def settle(self, key: K, difference: float) -> None:
        """
        Correct the charge of a served item.

        :param key: its flow.
        :param difference: true cost less the estimate.
        """
        flow = self.flows.get(key)
        if flow is not None:
            flow.carry += difference

    def ahead(self, key: K, weight: float) -> float:
        """
        Estimate the service given before a new item of a flow would start.

        :param key: the flow.
        :param weight: its weight.
        :return: cost, over all flows.
        """
        flow = self.flows.get(key)
        if flow is None:
            flow = Flow(weight=weight, finish=self._earliest())
        first = max(self._earliest(), flow.finish)
        lead = max(0.0, first - self._base() + flow.backlog / weight)
        others = self.weight if flow.items else self.weight + weight
        return lead * others

    def backlog(self) -> float:
        """
        Add up what waits.

        :return: cost.
        """
        return sum(flow.backlog for flow in self.flows.values())

    def _earliest(self) -> float:
        # A flow that used less than its share may catch up on some items.
        return self.now - BANK_ITEMS * self.mean_cost

    def _base(self) -> float:
        return min(self.now, self.starts[0][0]) if self.starts else self.now

    def _learn(self, cost: float) -> None:
        part = max(SMOOTHING, 1 / (self.pushes + 1))
        self.mean_cost += part * (cost - self.mean_cost)

    def _list(self, flow: Flow[T]) -> None:
        start = max(self._earliest(), flow.finish)
        self.pushes += 1
        flow.listed = True
        heapq.heappush(self.starts, (start, self.pushes, flow))

    def _serve(self, flow: Flow[T], start: float) -> T:
        self.now = max(self.now, start)
        item = flow.items.pop(0)
        charge = item.cost + flow.carry
        flow.carry = min(0.0, charge)
        flow.finish = start + max(0.0, charge) / flow.weight
        self._drop(flow, item)
        if flow.items:
            self._list(flow)
        elif len(self.flows) > self.prune_at:
            self._prune()
        return item

    def _drop(self, flow: Flow[T], item: T) -> None:
        flow.backlog -= item.cost
        self.count -= 1
        if not flow.items:
            flow.backlog = 0.0
            self.weight -= flow.weight
        if not self.count:
            self.weight = 0.0

    def _prune(self) -> None:
        if not self.count:
            # Without contention the past needs no memory.
            self.now = max(flow.finish for flow in self.flows.values())
            self.now += BANK_ITEMS * self.mean_cost
        earliest = self._earliest()
        self.flows = {
            key: flow
            for key, flow in self.flows.items()
            if flow.items or flow.listed or flow.finish > earliest
        }
        self.prune_at = max(PRUNE_FLOWS, 2 * len(self.flows))
