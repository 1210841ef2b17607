"""
kumquatway_gateway.http1.

HTTP/1.1 with callers and servers, parsed by httptools, framed strictly both ways.
"""

from kumquatway_gateway.http1._caller import CallerConnection, Incoming, Listener
from kumquatway_gateway.http1._fetch import Answer, Fetcher, FetchFailed
from kumquatway_gateway.http1._headers import Headers, render_request, render_response
from kumquatway_gateway.http1._pool import Pool, Unreachable
from kumquatway_gateway.http1._upstream import (
    End,
    Exchange,
    ResponseHead,
    UpstreamConnection,
)

__all__ = [
    "Answer",
    "CallerConnection",
    "End",
    "Exchange",
    "FetchFailed",
    "Fetcher",
    "Headers",
    "Incoming",
    "Listener",
    "Pool",
    "ResponseHead",
    "Unreachable",
    "UpstreamConnection",
    "render_request",
    "render_response",
]
