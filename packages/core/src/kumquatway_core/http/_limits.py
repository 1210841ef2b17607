"""Bounds the bodies of responses, which a server in trouble may send without end."""

from collections.abc import AsyncIterator

import httpx

MAX_RESPONSE_BYTES = 64 * 1024 * 1024  # before any decoding, unless a request says so
LIMIT_EXTENSION = "kumquatway.max_response_bytes"


class _LimitedStream(httpx.AsyncByteStream):
    """The body of a response, up to a limit."""

    def __init__(self, *, stream: httpx.AsyncByteStream, limit: int):
        self.stream = stream
        self.limit = limit

    async def __aiter__(self) -> AsyncIterator[bytes]:
        received = 0
        async for part in self.stream:
            received += len(part)
            if received > self.limit:
                await self.stream.aclose()
                raise httpx.RemoteProtocolError(
                    f"the response has more than {self.limit} bytes"
                )
            yield part

    async def aclose(self) -> None:
        await self.stream.aclose()


class LimitedTransport(httpx.AsyncBaseTransport):
    """
    A transport that breaks off responses which are too long.

    Reading such a response raises `httpx.RemoteProtocolError`. A request can set its
    own limit with the extension `LIMIT_EXTENSION`.

    :param transport: sends the requests.
    """

    def __init__(self, *, transport: httpx.AsyncBaseTransport):
        self.transport = transport

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request; the response has a limited body."""
        response = await self.transport.handle_async_request(request)
        limit = request.extensions.get(LIMIT_EXTENSION, MAX_RESPONSE_BYTES)
        response.stream = _LimitedStream(stream=response.stream, limit=limit)
        return response

    async def aclose(self) -> None:
        """Close the connections."""
        await self.transport.aclose()
