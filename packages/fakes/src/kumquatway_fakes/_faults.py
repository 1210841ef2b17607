"""
Faults.

What a stand-in does wrong, set by code or over `POST /faults`.
"""

import random
import time
from collections.abc import Callable

import anyio
import httpx
import msgspec
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from kumquatway_core.platform import Refusal

MEDIA_TYPE = "application/msgpack"
CUT_LENGTH = 64  # bytes announced and never sent

_encoder = msgspec.msgpack.Encoder()


class Faults(msgspec.Struct, kw_only=True):
    """
    The faults in force.

    :param down: refuse each call, do nothing.
    :param slow: wait before each effect, seconds.
    :param lose_next: so many writes take effect and get no answer.
    :param lose_share: the share of writes that get no answer.
    :param late_next: so many writes get no answer and take effect later, by code.
    :param silent: a lost answer leaves the connection open.
    :param writes_per_second: capacity; 0 has no bound.
    :param reads_per_second: capacity; 0 has no bound.
    """

    down: bool = False
    slow: float = 0.0
    lose_next: int = 0
    lose_share: float = 0.0
    late_next: int = 0
    silent: bool = False
    writes_per_second: float = 0.0
    reads_per_second: float = 0.0


class _CutResponse(Response):
    """Ends the connection amid the answer."""

    async def __call__(self, scope, receive, send):
        headers = [(b"content-length", str(CUT_LENGTH).encode())]
        start = {"type": "http.response.start", "status": 200, "headers": headers}
        await send(start)
        raise httpx.ReadError("cut by a fault")


def reply(message: msgspec.Struct, status: int = 200) -> Response:
    """
    Answer with a message.

    :param message: any message of the platform.
    :param status: the HTTP status.
    :return: the response.
    """
    return Response(_encoder.encode(message), status, media_type=MEDIA_TYPE)


class Gate:
    """
    Lets calls through to their effect as the faults say.

    :param seed: of the share of answers lost.
    """

    def __init__(self, *, seed: int = 0):
        self.faults = Faults()
        self.random = random.Random(seed)
        self.late: list[Callable[[], Response]] = []
        self.free = {"reads": 0.0, "writes": 0.0}
        self.counts = {"reads": 0, "writes": 0}

    async def read(self, effect: Callable[[], Response]) -> Response:
        """
        Serve a read.

        :param effect: makes the answer.
        :return: the response.
        """
        if self.faults.down:
            return reply(Refusal(detail="down"), 503)
        await self._wait("reads", self.faults.reads_per_second)
        return effect()

    async def write(self, effect: Callable[[], Response]) -> Response:
        """
        Serve a write.

        :param effect: does it and makes the answer.
        :return: the response.
        """
        if self.faults.down:
            return reply(Refusal(detail="down"), 503)
        await self._wait("writes", self.faults.writes_per_second)
        if self.faults.late_next:
            self.faults.late_next -= 1
            self.late.append(effect)
            return await self._lose()
        response = effect()
        if self._loses():
            return await self._lose()
        return response

    def land(self) -> None:
        """Let the late writes take effect."""
        late, self.late = self.late, []
        for effect in late:
            effect()

    def routes(self) -> list[Route]:
        """
        Make the routes that set the faults and tell the counts of calls.

        :return: the routes to add to an application.
        """
        return [
            Route("/faults", self._set, methods=["POST"]),
            Route("/counts", self._count, methods=["GET"]),
        ]

    async def _count(self, request: Request) -> Response:
        return JSONResponse(self.counts)

    async def _set(self, request: Request) -> Response:
        try:
            self.faults = msgspec.json.decode(await request.body(), type=Faults)
        except msgspec.MsgspecError as error:
            return JSONResponse({"error": str(error)}, 400)
        return JSONResponse(msgspec.to_builtins(self.faults))

    def _loses(self) -> bool:
        if self.faults.lose_next:
            self.faults.lose_next -= 1
            return True
        share = self.faults.lose_share
        return share > 0 and self.random.random() < share

    async def _lose(self) -> Response:
        if self.faults.silent:
            await anyio.sleep_forever()
        return _CutResponse()

    async def _wait(self, kind: str, rate: float) -> None:
        self.counts[kind] += 1
        if self.faults.slow:
            await anyio.sleep(self.faults.slow)
        if rate:
            now = time.monotonic()
            start = max(now, self.free[kind])
            self.free[kind] = start + 1 / rate
            await anyio.sleep(start - now)
