"""
Weight store.

Serves weights no faster than one rate shared by all readers.
"""

import time
from collections.abc import Callable

import anyio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from kumquatway_fakes._faults import Gate

CHUNK = 64 * 1024  # bytes


class WeightStore:
    """
    The stand-in of the weight store.

    :param bytes_per_second: the rate shared by all readers.
    :param clock: a monotonic clock, seconds.
    :param sleep: waits for a number of seconds.
    """

    def __init__(
        self,
        *,
        bytes_per_second: float,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable = anyio.sleep,
    ):
        self.gate = Gate()
        self.bytes_per_second = bytes_per_second
        self.clock = clock
        self.sleep = sleep
        self.free = 0.0
        self.app = Starlette(
            routes=[
                Route("/weights/{name:path}", self._get, methods=["GET"]),
                *self.gate.routes(),
            ]
        )

    async def take(self, size: int) -> None:
        """
        Wait until so many bytes are within the rate.

        :param size: bytes.
        """
        now = self.clock()
        start = max(now, self.free)
        self.free = start + size / self.bytes_per_second
        await self.sleep(self.free - now)

    async def _get(self, request: Request) -> Response:
        try:
            size = int(request.query_params.get("size", "0"))
        except ValueError:
            return Response("size must be a number of bytes", 400)
        headers = {"Content-Length": str(size)}
        return await self.gate.read(
            lambda: StreamingResponse(self._chunks(size), headers=headers)
        )

    async def _chunks(self, size: int):
        while size > 0:
            count = min(size, CHUNK)
            await self.take(count)
            yield bytes(count)
            size -= count
