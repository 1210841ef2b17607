"""
Classes.

Shares service between priority classes, and in each between client accounts.
"""

import enum

from kumquatway.admission._ask import Ask, Kind
from kumquatway.admission._fair import FairQueue
from kumquatway_core.text import Priority

AGING_SECONDS = 2.0


class Lane(enum.IntEnum):
    """A class of service in the queue, most urgent first."""

    STATUS = 0
    URGENT = 1
    NORMAL = 2
    BULK = 3


WEIGHTS = {Lane.STATUS: 64.0, Lane.URGENT: 16.0, Lane.NORMAL: 8.0, Lane.BULK: 1.0}
MAX_WAIT_SECONDS = {
    Lane.STATUS: 1.0,
    Lane.URGENT: 2.0,
    Lane.NORMAL: 2.0,
    Lane.BULK: 20.0,
}
_LANES = {
    Priority.URGENT: Lane.URGENT,
    Priority.NORMAL: Lane.NORMAL,
    Priority.BULK: Lane.BULK,
}


def lane_of(ask: Ask, priority: Priority) -> Lane:
    """
    Choose the lane of a request.

    :param ask: the request.
    :param priority: the class of its client account.
    :return: the lane, never more urgent than the account's but for status reads.
    """
    if ask.kind is Kind.STATUS_READ:
        return Lane.STATUS
    return max(_LANES[ask.priority], _LANES[priority])


class _Class:
    """One lane's queue and its tag between lanes."""

    __slots__ = ("weight", "queue", "finish", "served")

    def __init__(self, *, weight: float):
        self.weight = weight
        self.queue: FairQueue = FairQueue()
        self.finish = 0.0
        self.served = 0.0

    def turn(self) -> float:
        """
        Give the virtual time at which the next service would end.

        :return: the tag that the lanes are ordered by.
        """
        return self.finish + self.queue.mean_cost / self.weight


class Classes:
    """Four fair queues that share service by the weights of their lanes."""

    def __init__(self):
        self.lanes = {lane: _Class(weight=WEIGHTS[lane]) for lane in Lane}
        self.now = 0.0
        self.count = 0

    def push(self, lane: Lane, account: str, share: float, item, now: float) -> None:
        """
        Add a waiting request.

        :param lane: its lane.
        :param account: its client account.
        :param share: the account's weight.
        :param item: what waits, with its `cost`.
        :param now: seconds of the injected clock.
        """
        chosen = self.lanes[lane]
        if not chosen.queue.count:
            chosen.finish = max(chosen.finish, self.now)
            chosen.served = now
        chosen.queue.push(account, share, item)
        self.count += 1

    def pop(self, now: float, *, status_only: bool = False):
        """
        Take the request to serve next.

        :param now: seconds of the injected clock.
        :param status_only: take nothing but a status read.
        :return: the item, or None if nothing fits.
        """
        chosen = self._status() if status_only else self._choose(now)
        if chosen is None:
            return None
        item = chosen.queue.pop()
        self.now = max(self.now, chosen.finish)
        chosen.finish += item.cost / chosen.weight
        chosen.served = now
        self.count -= 1
        return item

    def remove(self, lane: Lane, account: str, item) -> None:
        """
        Take out a request that waits no more.

        :param lane: its lane.
        :param account: its client account.
        :param item: what waited.
        """
        self.lanes[lane].queue.remove(account, item)
        self.count -= 1

    def settle(self, lane: Lane, account: str, difference: float) -> None:
        """
        Correct the charge of a served request.

        :param lane: its lane.
        :param account: its client account.
        :param difference: true cost less the estimate.
        """
        self.lanes[lane].queue.settle(account, difference)

    def refuse(self, lane: Lane, account: str, cost: float) -> None:
        """
        Give back the charge of a request that was taken out and not served.

        :param lane: its lane.
        :param account: its client account.
        :param cost: its estimated cost.
        """
        chosen = self.lanes[lane]
        chosen.queue.settle(account, -cost)
        chosen.finish -= cost / chosen.weight

    def waiting(self, lane: Lane, account: str) -> int:
        """
        Count the waiting requests of an account in a lane.

        :param lane: the lane.
        :param account: the client account.
        :return: requests.
        """
        flow = self.lanes[lane].queue.flows.get(account)
        return len(flow.items) if flow else 0

    def ahead(self, lane: Lane, account: str, share: float) -> float:
        """
        Estimate the service given before a new request would start.

        :param lane: its lane.
        :param account: its client account.
        :param share: the account's weight.
        :return: cost, over all lanes.
        """
        chosen = self.lanes[lane]
        busy = sum(
            other.weight
            for other in self.lanes.values()
            if other.queue.count and other is not chosen
        )
        inside = chosen.queue.ahead(account, share)
        return inside * (busy + chosen.weight) / chosen.weight

    def _status(self) -> _Class | None:
        status = self.lanes[Lane.STATUS]
        return status if status.queue.count else None

    def _choose(self, now: float) -> _Class | None:
        waiting = [one for one in self.lanes.values() if one.queue.count]
        if not waiting:
            return None
        oldest = min(waiting, key=lambda one: one.served)
        if now - oldest.served >= AGING_SECONDS:
            return oldest
        return min(waiting, key=_Class.turn)
