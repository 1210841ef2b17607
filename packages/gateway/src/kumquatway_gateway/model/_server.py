"""
Server.

One life of an upstream server, as the platform's list and its own reports tell it.
"""

import enum
from dataclasses import dataclass


class ServerState(enum.Enum):
    """Whether a server takes new work."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, kw_only=True, slots=True, order=True)
class LayerRange:
    """Layers `start` to `stop`, the last one excluded."""

    start: int
    stop: int

    def __len__(self) -> int:
        return max(0, self.stop - self.start)

    def covers(self, start: int, stop: int) -> bool:
        """
        Tell whether layers lie within the range.

        :param start: the first layer.
        :param stop: one past the last layer.
        :return: True if each of them does.
        """
        return self.start <= start and stop <= self.stop


NO_LAYERS = LayerRange(start=0, stop=0)


@dataclass(frozen=True, kw_only=True, slots=True)
class Server:
    """
    A server of a service.

    :param id: of this life; an address may be another's later.
    :param address: `host:port`.
    :param born: start of this life, Unix milliseconds, or 0 if untold.
    :param accelerator: the kind, or "" for a plain service.
    :param layers: what it holds, as it last reported.
    :param version: of the weights that it holds.
    :param slots: requests that it works on at once, 0 if untold.
    """

    id: str
    service: str
    address: str
    data_centre: str
    state: ServerState = ServerState.READY
    incarnation: int = 0
    accelerator: str = ""
    layers: LayerRange = NO_LAYERS
    version: int = 0
    slots: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class LayerReport:
    """
    What a server said that it holds, fresher than the list.

    :param sequence: orders that it had begun.
    :param busy: whether an order was in progress.
    :param at: when it said so, monotonic seconds.
    :param loaded: layers that take memory while an order is in progress, where that is
        more than it offers.
    """

    incarnation: int
    layers: LayerRange
    sequence: int
    busy: bool
    reported_at: float
    loaded: int = 0
