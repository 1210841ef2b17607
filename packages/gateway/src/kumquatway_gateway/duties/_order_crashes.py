"""
Decides when to give an order again after servers crashed that carried it out.
"""

import time
from collections.abc import Callable, Iterable

from kumquatway_gateway.model import LayerRange

MAX_CRASHES = 3  # in a row, after which orders for a layer wait
FIRST_DELAY_SECONDS = 4.0  # after them; it doubles with each further crash
MAX_DELAY_SECONDS = 120.0


class OrderCrashes:
    """
    The servers that crashed in a row while they loaded a layer.

    Load pattern: the weights of a layer crash each server that loads them. Without a
    memory of that, the order goes to one server after the other, and to each of them
    again once it is back.

    :param clock: monotonic seconds.
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic):
        self.clock = clock
        # By service and layer, since it was last loaded.
        self.crashes: dict[tuple[str, int], int] = {}
        self.crashed_at: dict[tuple[str, int], float] = {}  # the last time

    def record_crash(self, service: str, layers: LayerRange) -> None:
        """Record that a server crashed while it carried out an order."""
        for layer in range(layers.start, layers.stop):
            key = (service, layer)
            self.crashes[key] = self.crashes.get(key, 0) + 1
            self.crashed_at[key] = self.clock()

    def record_done(self, service: str, layers: LayerRange) -> None:
        """Record that a server has carried out an order."""
        for layer in range(layers.start, layers.stop):
            self.crashes.pop((service, layer), None)
            self.crashed_at.pop((service, layer), None)

    def may_order(
        self, service: str, layers: LayerRange, pending: Iterable[LayerRange] = ()
    ) -> bool:
        """
        Tell whether an order may be given now.

        :param service: the service whose layers these are.
        :param layers: the layers that the server would hold.
        :param pending: the layers of the orders in progress for the service.
        :return: False while one of the layers waits after too many crashes, or is being
            tried again by another server.
        """
        doubtful = [
            layer
            for layer in range(layers.start, layers.stop)
            if self.crashes.get((service, layer), 0) >= MAX_CRASHES
        ]
        now = self.clock()
        for layer in doubtful:
            key = (service, layer)
            if now - self.crashed_at[key] < _delay(self.crashes[key]):
                return False
        return not any(
            other.covers(layer, layer + 1) for other in pending for layer in doubtful
        )


def _delay(crashes: int) -> float:
    """Return for how long to wait after too many crashes in a row, seconds."""
    return min(MAX_DELAY_SECONDS, FIRST_DELAY_SECONDS * 2 ** (crashes - MAX_CRASHES))
