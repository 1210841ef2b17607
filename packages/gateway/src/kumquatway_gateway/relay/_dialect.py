"""
Interface to the header fields that callers and servers use.

An adapter for each platform implements it.
"""

from dataclasses import dataclass
from typing import Protocol

from kumquatway_gateway.chains import Chain
from kumquatway_gateway.http1 import Headers, IncomingRequest
from kumquatway_gateway.http1._headers import Field
from kumquatway_gateway.model import NO_NOTICE, Request, Server, ServerNotice


@dataclass(frozen=True, kw_only=True, slots=True)
class InvalidRequest:
    """
    A caller's request that cannot be decoded.

    :param detail: the reason, for the response.
    """

    detail: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Attempt:
    """
    What the gateway adds to a request for one attempt at a server.

    :param server: the server, of which only this incarnation may run the request.
    :param account: name of the client account, or "".
    :param seconds_left: time until the response is due, seconds.
    :param chain: the chain of a model service, or None for a plain service.
    :param last_event_id: ID of the event after which a stream resumes, or "".
    :param urgent: whether the attempt continues a response that the caller has already
        begun to receive.
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
    What the head of a response says about the request.

    :param not_run: whether the server guarantees that it did not run the request.
    :param faulty_address: address of the server that caused a refusal, or "".
    :param signed: whether the response carries the server's stamp.
    :param notice: what the server says about itself.
    """

    not_run: bool
    faulty_address: str
    signed: bool
    notice: ServerNotice = NO_NOTICE


class Dialect(Protocol):
    """Decodes and encodes the header fields of requests and responses; stateless."""

    def decode(self, incoming: IncomingRequest) -> Request | InvalidRequest:
        """Decode a caller's request."""

    def encode(self, request: Request, attempt: Attempt) -> bytes:
        """Encode the request for a server, head and body."""

    def accepts(self, request: Request, status: int, headers: Headers) -> bool:
        """Tell whether a response can belong to the request."""

    def keeps_connection(self, status: int, headers: Headers) -> bool:
        """
        Tell whether another request may follow a response on its connection.

        A faulty server may write a refusal once more, and one that names no request
        would be taken for that of the next request, which may have run.
        """

    def parse_response(self, status: int, headers: Headers) -> ResponseInfo:
        """Read what a response says about the request."""

    def gateway_fields(self, request: Request) -> list[Field]:
        """Return the fields of responses that the gateway sends on its own behalf."""
