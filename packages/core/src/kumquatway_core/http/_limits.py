"""
Bounds responses, which a server in trouble may send without end.

Each body has a limit, and all responses of a process have a bound together: many that
stay below their limits would exhaust the memory as well.
"""

import io
from collections.abc import AsyncIterator

import anyio
import httpx
from anyio.lowlevel import checkpoint

from kumquatway_core.memory import OBJECT_BYTES, MemoryBudget

MAX_RESPONSE_BYTES = 64 * 1024 * 1024  # before any decoding, unless a request says so
MAX_HELD_BYTES = 34 * 1024 * 1024  # of all responses that the process is reading
LIMIT_EXTENSION = "kumquatway.max_response_bytes"
ENCODED_EXTENSION = "kumquatway.accepts_encoded"
IDENTITY = "identity"
FIELD_BYTES = 4 * OBJECT_BYTES  # of a header field, besides its name and value

process_memory = MemoryBudget(max_bytes=MAX_HELD_BYTES)


class _LimitedStream(httpx.AsyncByteStream):
    """
    The body of a response, within its limit and the process's.

    It comes in one part, since its readers want it as a whole: parts of a few bytes
    would take an object each.

    :param stream: the body as it arrives.
    :param limit: on the body, in bytes.
    :param head_size: what the head takes, in bytes.
    :param sender: whose body it is.
    :param memory: of the process.
    """

    def __init__(
        self,
        *,
        stream: httpx.AsyncByteStream,
        limit: int,
        head_size: int,
        sender: str,
        memory: MemoryBudget,
    ):
        self.stream = stream
        self.limit = limit
        self.head_size = head_size
        self.memory = memory
        self.given_up = False
        self.reading = anyio.CancelScope()
        self.share = memory.begin(sender, self._give_up)
        memory.resize(self.share, head_size)

    async def __aiter__(self) -> AsyncIterator[bytes]:
        try:
            body = await self._read()
        except BaseException:
            self._release()
            raise
        yield body

    async def aclose(self) -> None:
        self._release()
        await self.stream.aclose()

    async def _read(self) -> bytes:
        parts = aiter(self.stream)
        # It closes before an error is raised, whose traceback refers to it.
        with io.BytesIO() as body:
            while not self.given_up:
                with anyio.CancelScope() as self.reading:
                    part = await anext(parts, None)
                    if part is None:
                        return body.getvalue()
                    body.write(part)
                    await self._count(body.tell())
                    # Thousands of parts may be there, and none waits for the next.
                    await checkpoint()
        await self._fail("the responses to this process have too many bytes together")

    async def _count(self, size: int) -> None:
        if size > self.limit:
            await self._fail(f"the response has more than {self.limit} bytes")
        self.memory.resize(self.share, self.head_size + size)

    async def _fail(self, detail: str) -> None:
        await self.stream.aclose()
        raise httpx.RemoteProtocolError(detail)

    def _give_up(self) -> None:
        self.given_up = True
        self.reading.cancel()

    def _release(self) -> None:
        self.memory.resize(self.share, 0)


class LimitedTransport(httpx.AsyncBaseTransport):
    """
    A transport that breaks off responses which are too long.

    Reading such a response raises `httpx.RemoteProtocolError`, and so does one that is
    compressed, whose size is not known before it is decoded. A request can set its own
    limit with the extension `LIMIT_EXTENSION`, and take a compressed response, which it
    must not decode, with `ENCODED_EXTENSION`.

    :param transport: sends the requests.
    :param memory: bounds all responses together.
    """

    def __init__(
        self,
        *,
        transport: httpx.AsyncBaseTransport,
        memory: MemoryBudget = process_memory,
    ):
        self.transport = transport
        self.memory = memory

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request; the response has a limited body."""
        response = await self.transport.handle_async_request(request)
        if _is_encoded(response) and ENCODED_EXTENSION not in request.extensions:
            await response.aclose()
            raise httpx.RemoteProtocolError("the response is compressed")
        response.stream = _LimitedStream(
            stream=response.stream,
            limit=request.extensions.get(LIMIT_EXTENSION, MAX_RESPONSE_BYTES),
            head_size=_head_size(response.headers),
            sender=request.url.netloc.decode(),
            memory=self.memory,
        )
        return response

    async def aclose(self) -> None:
        """Close the connections."""
        await self.transport.aclose()


def _is_encoded(response: httpx.Response) -> bool:
    return response.headers.get("content-encoding", IDENTITY).lower() != IDENTITY


def _head_size(headers: httpx.Headers) -> int:
    return sum(len(name) + len(value) + FIELD_BYTES for name, value in headers.raw)
