"""
Engines.

What is asked of model servers beside requests; an adapter translates.
"""

import enum
from dataclasses import dataclass
from typing import Protocol

from kumquatway_gateway.model import LayerRange, Server


class OrderOutcome(enum.Enum):
    """What became of an order."""

    BEGUN = "begun"
    HOLDS = "holds already"
    MISFIT = "does not fit the server's state"
    FENCED = "a newer holder of the lease has given orders"
    UNKNOWN = "not answered"
    OTHER = "another server, or refused"


@dataclass(frozen=True, kw_only=True, slots=True)
class StalledRequest:
    """A request that waits for a server that does not answer."""

    request: str
    address: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerReport:
    """
    What a model server says of itself.

    :param sequence: orders that it has begun.
    :param pace: how many times longer than usual its work takes.
    """

    incarnation: int
    layers: LayerRange
    sequence: int
    busy: bool
    running: int
    waiting: int
    slowdown: float
    stalled: tuple[StalledRequest, ...]


class EngineClient(Protocol):
    """Asks and orders model servers."""

    async def report(self, server: Server, timeout: float) -> ServerReport:
        """
        Ask a server for its state.

        :raises FetchFailed: if it does not answer in time.
        """

    async def accepts_work(self, server: Server, path: str, timeout: float) -> bool:
        """
        Ask a server whether it takes new work.

        :param path: where its service says so.
        :return: False while it leaves, or holds itself for broken.
        :raises FetchFailed: if it does not answer in time.
        """

    async def order_layers(
        self, server: Server, layers: LayerRange, *, fence: int, sequence: int
    ) -> OrderOutcome:
        """Order a server to hold layers, if it has begun so many orders."""
