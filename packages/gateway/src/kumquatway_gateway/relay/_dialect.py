"""
Dialect.

How callers and servers spell what a request needs; an adapter translates.
"""

from dataclasses import dataclass
from typing import Protocol

from kumquatway_gateway.chains import Chain
from kumquatway_gateway.http1 import Headers, IncomingRequest
from kumquatway_gateway.http1._headers import Field
from kumquatway_gateway.model import Request, Server


@dataclass(frozen=True, kw_only=True, slots=True)
class InvalidRequest:
    """A request that cannot be understood."""

    detail: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Attempt:
    """
    What a server is told beside the caller's request.

    :param server: the life of the server that must take it.
    :param account: name of the client account, or "".
    :param seconds: that are left for the answer.
    :param chain: of a model service, or None.
    :param last_event: after which a stream goes on, or "".
    :param urgent: whether it goes on with what a caller has seen the start of.
    """

    server: Server
    account: str
    seconds_left: float
    chain: Chain | None = None
    last_event_id: str = ""
    urgent: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class ResponseInfo:
    """
    What the head of an answer says of the request.

    :param not_run: whether the server promises that it did not run it.
    :param at: address of the server that is at fault, or "".
    :param genuine: whether the server has signed it.
    """

    not_run: bool
    faulty_address: str
    signed: bool


class Dialect(Protocol):
    """Translates requests and answers; holds no state."""

    def decode(self, incoming: IncomingRequest) -> Request | InvalidRequest:
        """Read a caller's request."""

    def encode(self, request: Request, attempt: Attempt) -> bytes:
        """Write the request for a server, head and body."""

    def accepts(self, request: Request, status: int, headers: Headers) -> bool:
        """Tell whether an answer can belong to the request."""

    def parse_response(self, status: int, headers: Headers) -> ResponseInfo:
        """Read what an answer says of the request."""

    def gateway_fields(self, request: Request) -> list[Field]:
        """Give the fields of an answer of the gateway's own."""
