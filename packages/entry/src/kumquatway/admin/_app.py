"""
App.

The listener of operators.
"""

import hashlib
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route

from kumquatway.membership import Member, Members
from kumquatway_core import Verdict
from kumquatway_core.events import Journal
from kumquatway_core.http import events_response, metrics_response
from kumquatway_core.wire import Drain, Message, Status


@dataclass(frozen=True, kw_only=True, slots=True)
class AdminContext:
    """
    The parts of the entry that operators reach.

    :param keys: SHA-256 digests of the operators' bearer keys.
    """

    keys: frozenset[str]
    members: Members
    journal: Journal
    registry: object
    send: Callable[[str, Message], object]
    refusal: Callable[[], Verdict | None]


class MemberView(msgspec.Struct, frozen=True, kw_only=True):
    """A VM as operators see it."""

    vm: str
    address: str
    state: str
    listed: bool
    status: Status | None


class StatusView(msgspec.Struct, frozen=True, kw_only=True):
    """The answer of `GET /admin/status`."""

    process: str
    members: tuple[MemberView, ...]


def admin_app(context: AdminContext) -> Starlette:
    """
    Build the application for operators.

    :param context: of the entry.
    :return: an ASGI application.
    """

    async def healthz(request: Request) -> Response:
        return PlainTextResponse("ok")

    async def readyz(request: Request) -> Response:
        if context.refusal() is None:
            return PlainTextResponse("ready")
        return PlainTextResponse("not ready", status_code=503)

    async def metrics(request: Request) -> Response:
        return metrics_response(request, context.registry)

    async def status(request: Request) -> Response:
        if not _allowed(context, request):
            return _unauthorized()
        members = tuple(_view(found) for found in context.members.by_vm.values())
        view = StatusView(process=context.journal.process, members=members)
        return Response(msgspec.json.encode(view), media_type="application/json")

    async def events(request: Request) -> Response:
        if not _allowed(context, request):
            return _unauthorized()
        return events_response(request, context.journal)

    async def drain(request: Request) -> Response:
        if not _allowed(context, request):
            return _unauthorized()
        vm = request.path_params["vm"]
        member = context.members.by_vm.get(vm)
        if member is None:
            return PlainTextResponse(f"no VM {vm}", status_code=404)
        leave = request.method == "POST"
        context.send(member.address, Drain(vm=vm, leave=leave))
        return PlainTextResponse("accepted", status_code=202)

    return Starlette(
        routes=[
            Route("/healthz", healthz),
            Route("/readyz", readyz),
            Route("/metrics", metrics),
            Route("/admin/status", status),
            Route("/admin/events", events),
            Route("/admin/drain/{vm}", drain, methods=["POST", "DELETE"]),
        ]
    )


def _allowed(context: AdminContext, request: Request) -> bool:
    scheme, _, key = request.headers.get("authorization", "").partition(" ")
    digest = hashlib.sha256(key.strip().encode()).hexdigest()
    return scheme.lower() == "bearer" and digest in context.keys


def _unauthorized() -> Response:
    return PlainTextResponse(
        "unknown key", status_code=401, headers={"WWW-Authenticate": "Bearer"}
    )


def _view(member: Member) -> MemberView:
    return MemberView(
        vm=member.vm,
        address=member.address,
        state=member.state().value,
        listed=member.listed,
        status=member.status,
    )
