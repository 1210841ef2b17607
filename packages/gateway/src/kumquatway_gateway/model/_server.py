"""Defines an upstream server and the layers that it holds."""

import enum
from dataclasses import dataclass, replace


class ServerState(enum.Enum):
    """Whether a server accepts new work."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, kw_only=True, slots=True, order=True)
class LayerRange:
    """Layers `start` to `stop`, with `stop` excluded."""

    start: int
    stop: int

    def __len__(self) -> int:
        return max(0, self.stop - self.start)

    def covers(self, start: int, stop: int) -> bool:
        """
        Tell whether layers lie within this range.

        :param start: first layer.
        :param stop: one past the last layer.
        :return: True if all of them do.
        """
        return self.start <= start and stop <= self.stop


NO_LAYERS = LayerRange(start=0, stop=0)


@dataclass(frozen=True, kw_only=True, slots=True)
class Server:
    """
    One incarnation of a server of a service, from the platform's server list.

    :param id: ID of this incarnation; its address may later be reused by another
        server.
    :param address: `host:port`.
    :param incarnation: start of this run of the server, Unix milliseconds, or 0 if
        not reported.
    :param accelerator: kind of the accelerator, or "" for a plain service.
    :param layers: layers that the server holds, as last registered.
    :param version: version of the weights that it holds.
    :param slots: requests that it processes concurrently, or 0 if not reported.
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
class Gap:
    """
    A time for which no list of the store is known, so that it may have been away.

    :param start: time of the last list before it, by the store's clock, seconds.
    :param end: time of the first list after it.
    """

    start: float
    end: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerList:
    """
    The platform's list of servers, as its store had it at one time.

    :param servers: the registered servers, by ID.
    :param listed_at: when the store had this list, by its own clock, seconds; 0 if it
        does not tell.
    :param generation: generation of the store; it rises when the store came back from
        an older copy, and is 0 if unknown.
    """

    servers: dict[str, Server]
    listed_at: float
    generation: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerNotice:
    """
    What a server says about itself in the head of a response of any kind.

    :param leaving: whether it shuts down and wants no new work from any entry.
    :param pause_seconds: for how long it wants no request from this entry, or 0.
    :param max_request_rate: requests per second that it takes from all entries
        together, or None if it names no limit.
    :param limit_is_unknown: whether the response does not tell if there is a limit, as
        its value is invalid or another server may have responded at the address.
    """

    leaving: bool = False
    pause_seconds: float = 0.0
    max_request_rate: float | None = None
    limit_is_unknown: bool = False


NO_NOTICE = ServerNotice()


@dataclass(frozen=True, kw_only=True, slots=True)
class LayerReport:
    """
    A server's own report of its layers, which may be newer than the server list.

    :param sequence: number of orders that the server had started.
    :param busy: whether an order was in progress.
    :param reported_at: time of the report, monotonic seconds.
    :param loaded: layers that occupy memory while an order is in progress, if that is
        more than the server offers.
    """

    incarnation: int
    layers: LayerRange
    sequence: int
    busy: bool
    reported_at: float
    loaded: int = 0

    def progress(self) -> tuple[int, bool]:
        """Return how far the server's run is: orders started, and whether all ended."""
        return self.sequence, not self.busy

    def says_the_same_as(self, other: "LayerReport") -> bool:
        """
        Tell whether two reports differ at most in their time.

        :param other: a report of the same server.
        """
        return replace(other, reported_at=self.reported_at) == self
