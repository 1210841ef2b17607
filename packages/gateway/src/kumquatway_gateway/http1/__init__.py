"""
Implements HTTP/1.1 towards callers and servers, with the parser httptools.

Requests and responses whose framing is invalid are rejected.
"""

from kumquatway_gateway.http1._caller import (
    CallerConnection,
    IncomingRequest,
    Listener,
    RequestHandler,
    ResponseProgress,
)
from kumquatway_gateway.http1._fetch import (
    FetchedResponse,
    Fetcher,
    FetchFailed,
    Transfer,
)
from kumquatway_gateway.http1._headers import Headers, render_request, render_response
from kumquatway_gateway.http1._pool import ConnectionPool, Unreachable
from kumquatway_gateway.http1._request_bodies import RequestBodies
from kumquatway_gateway.http1._upstream import (
    Exchange,
    ResponseEnd,
    ResponseFraming,
    ResponseHead,
    UpstreamConnection,
)

__all__ = [
    "FetchedResponse",
    "CallerConnection",
    "ResponseEnd",
    "Exchange",
    "FetchFailed",
    "Fetcher",
    "Headers",
    "IncomingRequest",
    "Listener",
    "ConnectionPool",
    "RequestBodies",
    "RequestHandler",
    "ResponseFraming",
    "ResponseHead",
    "ResponseProgress",
    "Transfer",
    "Unreachable",
    "UpstreamConnection",
    "render_request",
    "render_response",
]
