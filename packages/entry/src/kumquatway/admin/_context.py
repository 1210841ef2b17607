"""
Context.

What the handlers of an operator's request need of the entry, and who may ask.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from aioprometheus import Registry
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response

from kumquatway.configuration import Configuration
from kumquatway.membership import Members
from kumquatway_core import Verdict
from kumquatway_core.events import Journal
from kumquatway_core.http import bearer_digest
from kumquatway_core.wire import Message

Handler = Callable[[Request], Awaitable[Response]]


@dataclass(frozen=True, kw_only=True, slots=True)
class AdminContext:
    """
    The parts of the entry that operators reach.

    :param keys: SHA-256 digests of the operators' bearer keys.
    :param refusal: tells why no request is taken now, or None.
    """

    keys: frozenset[str]
    members: Members
    configuration: Configuration
    journal: Journal
    registry: Registry
    send: Callable[[str, Message], object]
    refusal: Callable[[], Verdict | None]


def guarded(context: AdminContext, handler: Handler) -> Handler:
    """
    Let only operators reach a handler.

    :param context: of the entry.
    :param handler: that is guarded.
    :return: a handler that answers 401 to others.
    """

    async def guard(request: Request) -> Response:
        if not _allowed(context, request):
            return _unauthorized()
        return await handler(request)

    return guard


def operator(request: Request) -> str:
    """
    Name who asks, for the audit trail.

    :param request: of an operator.
    :return: the `Kumquatway-Author` header, else the start of the key's digest.
    """
    named = request.headers.get("kumquatway-author", "")
    return named[:100] or f"key {_digest(request)[:8]}"


def _allowed(context: AdminContext, request: Request) -> bool:
    return _digest(request) in context.keys


def _digest(request: Request) -> str:
    return bearer_digest(request.headers.get("authorization", ""))


def _unauthorized() -> Response:
    return PlainTextResponse(
        "unknown key", status_code=401, headers={"WWW-Authenticate": "Bearer"}
    )
