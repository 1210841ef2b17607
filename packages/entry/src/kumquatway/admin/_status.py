"""
Status.

The handlers of status and drain.
"""

import msgspec
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response

from kumquatway.admin._context import AdminContext
from kumquatway.membership import Member
from kumquatway_core import Verdict
from kumquatway_core.wire import Drain, Status


class MemberView(msgspec.Struct, frozen=True, kw_only=True):
    """
    A VM as operators see it.

    :param listed: the platform lists it.
    """

    vm: str
    address: str
    state: str
    listed: bool
    status: Status | None


class StatusView(msgspec.Struct, frozen=True, kw_only=True):
    """
    The answer of `GET /admin/status`.

    :param revision: of the text in force at this entry.
    :param ready: the entry takes requests.
    """

    process: str
    revision: int
    ready: bool
    members: tuple[MemberView, ...]


def status_handlers(context: AdminContext):
    """
    Make the handlers.

    :param context: of the entry.
    :return: handlers of status and drain.
    """

    async def status(request: Request) -> Response:
        members = tuple(view_member(found) for found in context.members.by_vm.values())
        view = StatusView(
            process=context.journal.process,
            revision=context.configuration.number(),
            ready=context.refusal() is None,
            members=members,
        )
        return Response(msgspec.json.encode(view), media_type="application/json")

    async def drain(request: Request) -> Response:
        vm = request.path_params["vm"]
        member = context.members.by_vm.get(vm)
        if member is None:
            return PlainTextResponse(f"no VM {vm}", status_code=404)
        leave = request.method == "POST"
        sent = context.send(member.address, Drain(vm=vm, leave=leave))
        if isinstance(sent, Verdict):
            return PlainTextResponse(sent.detail, status_code=503)
        return PlainTextResponse("accepted", status_code=202)

    return status, drain


def view_member(member: Member) -> MemberView:
    """
    Show a member.

    :param member: of the replica.
    :return: what operators see of it.
    """
    return MemberView(
        vm=member.vm,
        address=member.address,
        state=member.state().value,
        listed=member.listed,
        status=member.status,
    )
