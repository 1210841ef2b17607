"""
kumquatway_gateway.http1.

HTTP/1.1 with callers and servers, parsed by httptools, framed strictly both ways.
"""

from kumquatway_gateway.http1._caller import CallerConnection, IncomingRequest, Listener
from kumquatway_gateway.http1._fetch import FetchedResponse, Fetcher, FetchFailed
from kumquatway_gateway.http1._headers import Headers, render_request, render_response
from kumquatway_gateway.http1._pool import ConnectionPool, Unreachable
from kumquatway_gateway.http1._upstream import (
    Exchange,
    ResponseEnd,
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
    "ResponseHead",
    "Unreachable",
    "UpstreamConnection",
    "render_request",
    "render_response",
]
