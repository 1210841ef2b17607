"""
Memory.

Refuses requests that there is no memory for, before their bodies are read.
"""

from starlette.requests import Request
from starlette.types import ASGIApp, Receive, Scope, Send

from kumquatway.api._errors import error_response
from kumquatway.protect import MemoryBound
from kumquatway_core import Reason, not_run

REQUEST_BYTES = 32 * 1024  # of a request and its stream, whatever its body
BODY_COPIES = 4  # as received, joined, decoded, in tokens
KIB = 1024  # bytes


class Memory:
    """
    Stands before an application and reserves memory for each request.

    :param app: an ASGI application.
    :param bound: of the process.
    :param body_kib: bound on a body, taken where its length is not announced, KiB.
    """

    def __init__(self, app: ASGIApp, *, bound: MemoryBound, body_kib: int):
        self.app = app
        self.bound = bound
        self.body_kib = body_kib

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve a request while memory for it is reserved."""
        if scope["type"] != "http":
            await self.app(scope, receive, send)
            return
        size = REQUEST_BYTES + BODY_COPIES * self._body(Request(scope))
        if size > self.bound.limit:
            verdict = not_run(Reason.TOO_LARGE, "larger than the entry's memory")
            await error_response(verdict)(scope, receive, send)
            return
        with self.bound.hold(size) as refused:
            app = self.app if refused is None else error_response(refused)
            await app(scope, receive, send)

    def _body(self, request: Request) -> int:
        bound = self.body_kib * KIB
        announced = request.headers.get("content-length", "")
        if announced.isdecimal():
            return min(int(announced), bound)
        return bound if "transfer-encoding" in request.headers else 0
