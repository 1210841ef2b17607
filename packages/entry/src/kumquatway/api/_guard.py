"""
Guard.

What each request meets first: an id, a bound on its headers, an answer in any case.
"""

import secrets
from collections.abc import Callable, Sequence

import anyio
from loguru import logger
from starlette.requests import Request
from starlette.types import ASGIApp, Message, Receive, Scope, Send

from kumquatway.api._errors import error_response
from kumquatway.api._kept import KeptConnections
from kumquatway.api._requests import Requests
from kumquatway_core import Reason, Verdict, may_have_run, not_run
from kumquatway_core.logs import request_context

ID_BYTES = 8
REQUEST_ID = b"x-request-id"
HEADER_OVERHEAD = 4  # bytes of a header line beside name and value
KIB = 1024  # bytes
TOO_LARGE = 431
DISCARD_BYTES = 64 * 1024 * 1024  # of a refused body, read so that the answer arrives
DISCARD_SECONDS = 5.0

Headers = Sequence[tuple[bytes, bytes]]


def request_id(request: Request) -> str:
    """
    Read the id that the guard gave a request.

    :param request: of the caller.
    :return: 16 hexadecimal digits.
    """
    return request.state.request


class Guard:
    """
    Stands before an application, once for each listener.

    :param app: an ASGI application.
    :param header_kib: bound on all headers of a request, KiB.
    :param requests: counts those in progress.
    :param kept: chooses what callers are told of their connections.
    """

    def __init__(
        self,
        app: ASGIApp,
        *,
        header_kib: int,
        requests: Requests,
        kept: KeptConnections,
    ):
        self.app = app
        self.header_kib = header_kib
        self.requests = requests
        self.kept = kept

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve a request under an id that its answer and its log lines carry."""
        if scope["type"] != "http":
            await self.app(scope, receive, send)
            return
        name = secrets.token_hex(ID_BYTES)
        scope["state"] = {**scope.get("state", {}), "request": name}
        exchange = _Exchange(
            request=name,
            receive=receive,
            send=send,
            fields=lambda: self.kept.begin(scope),
        )
        with request_context(name), self.requests.track() as handler:
            try:
                if _size(scope) > self.header_kib * KIB:
                    await self._refuse(scope, exchange)
                    return
                await self._run(scope, exchange, handler)
            finally:
                self.kept.end(scope)

    async def _refuse(self, scope: Scope, exchange: "_Exchange") -> None:
        detail = f"the headers have over {self.header_kib} KiB"
        response = error_response(not_run(Reason.TOO_LARGE, detail), status=TOO_LARGE)
        await response(scope, exchange.receive, exchange.send)

    async def _run(
        self, scope: Scope, exchange: "_Exchange", handler: anyio.CancelScope
    ) -> None:
        verdict = await self._handle(scope, exchange, handler)
        if verdict is None or exchange.started:
            return  # the listener cuts a begun answer off, which callers can tell
        response = error_response(verdict)
        await response(scope, exchange.receive, exchange.send)

    async def _handle(
        self, scope: Scope, exchange: "_Exchange", handler: anyio.CancelScope
    ) -> Verdict | None:
        """Run the application; a verdict, if it did not end by itself."""
        try:
            with handler:
                await self.app(scope, exchange.receive, exchange.send)
        except Exception as error:
            logger.opt(exception=error).error("a handler failed: {}", error)
            return may_have_run(Reason.INTERNAL, "the entry failed")
        if handler.cancelled_caught:
            return may_have_run(Reason.SHUTTING_DOWN, "the entry ended")
        return None


class _Exchange:
    """One request and its answer, whose start is given the request's id."""

    def __init__(
        self,
        *,
        request: str,
        receive: Receive,
        send: Send,
        fields: Callable[[], list[tuple[bytes, bytes]]],
    ):
        self.header = (REQUEST_ID, request.encode())
        self.fields = fields
        self.started = False
        self.body_read = False
        self._receive = receive
        self._send = send

    async def receive(self) -> Message:
        message = await self._receive()
        self.body_read = not message.get("more_body", False)
        return message

    async def send(self, message: Message) -> None:
        if message["type"] == "http.response.start":
            self.started = True
            await self._discard()
            kept = [pair for pair in message["headers"] if pair[0] != REQUEST_ID]
            message = {**message, "headers": [*kept, self.header, *self.fields()]}
        await self._send(message)

    async def _discard(self) -> None:
        """Read what is left of the body: a listener that closes on it resets."""
        left = DISCARD_BYTES
        with anyio.move_on_after(DISCARD_SECONDS):
            while not self.body_read and left > 0:
                message = await self.receive()
                left -= len(message.get("body", b""))


def _size(scope: Scope) -> int:
    """Add up the request line and the headers."""
    line = len(scope.get("raw_path") or b"") + len(scope["query_string"])
    return line + sum(
        len(name) + len(value) + HEADER_OVERHEAD for name, value in scope["headers"]
    )
