"""
The interface for reports of and orders to model servers.

An adapter implements it for the protocol of the servers.
"""

import enum
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from kumquatway_gateway.model import LayerRange, Server, ServerNotice


class OrderOutcome(enum.Enum):
    """The outcome of an order to a model server."""

    BEGUN = "begun"
    HOLDS = "holds already"
    MISFIT = "does not fit the server's state"
    FENCED = "a newer holder of the lease has given orders"
    UNKNOWN = "not answered"
    OTHER = "another server, or refused"
    WITHDRAWN = "not sent, as the lease had run out"


@dataclass(frozen=True, kw_only=True, slots=True)
class StalledRequest:
    """
    A request that waits for a server which does not respond.

    :param request: ID of the request.
    :param address: address of the server that does not respond.
    """

    request: str
    address: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerReport:
    """
    The state of a model server, as reported by itself.

    :param incarnation: tells one run of the server's process from the next.
    :param layers: the layers that it offers.
    :param sequence: number of orders that it has begun.
    :param busy: whether it still carries out an order.
    :param running: number of requests in progress.
    :param waiting: number of requests that wait.
    :param slowdown: how many times longer than usual its work takes.
    :param stalled: requests that wait for another server.
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
    """
    Fetches the state of model servers and sends orders to them.

    :ivar on_notice: called with what a server says about itself in any response, and
        with the time at which it was asked, monotonic seconds.
    """

    on_notice: Callable[[Server, ServerNotice, float], None]

    async def report(self, server: Server, timeout: float) -> ServerReport:
        """
        Fetch the state of a server.

        :param timeout: seconds.
        :raises FetchFailed: if the server does not respond in time.
        """

    async def accepts_work(self, server: Server, path: str, timeout: float) -> bool:
        """
        Ask a server whether it accepts new work.

        :param path: HTTP path of its readiness check.
        :param timeout: seconds.
        :return: False while the server shuts down or considers itself broken.
        :raises FetchFailed: if the server does not respond in time.
        """

    async def order_layers(
        self,
        server: Server,
        layers: LayerRange,
        *,
        fence: int,
        sequence: int,
        is_permitted: Callable[[], bool],
    ) -> OrderOutcome:
        """
        Order a server to hold a range of layers.

        :param layers: the range to hold.
        :param fence: fencing token of the lease that the order is given under.
        :param sequence: number of orders that the server must have begun; otherwise
            it rejects this one.
        :param is_permitted: tells whether the lease is still held; asked just before
            the order is sent.
        """
