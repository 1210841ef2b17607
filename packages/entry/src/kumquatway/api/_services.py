"""
Services.

The handler of calls to plain services.
"""

from dataclasses import replace
from http import HTTPMethod

from starlette.requests import Request
from starlette.responses import Response

from kumquatway.api._admit import admit, ask_of_call, read_deadline
from kumquatway.api._body import read_body
from kumquatway.api._context import Caller, Context
from kumquatway.api._errors import error_response
from kumquatway.api._guard import request_id
from kumquatway.calls import Answer, ServiceAsk
from kumquatway_core import (
    RAN,
    VERDICT_HEADER,
    Reason,
    Verdict,
    may_have_run,
    not_run,
)
from kumquatway_core.events import Refused, RequestEnded, RequestStarted

IDEMPOTENT = "kumquatway-idempotent"
IDEMPOTENCY_KEY = "idempotency-key"
# RFC 9110, section 9.2.2
IDEMPOTENT_METHODS = frozenset(
    (
        HTTPMethod.GET,
        HTTPMethod.HEAD,
        HTTPMethod.PUT,
        HTTPMethod.DELETE,
        HTTPMethod.OPTIONS,
        HTTPMethod.TRACE,
    )
)
# RFC 9110, section 7.6.1
HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
# The agent asks for no encoding: it undoes none.
PRIVATE_HEADERS = HOP_HEADERS | {
    "accept-encoding",
    "authorization",
    "content-length",
    "expect",
    "host",
}
OWN_HEADERS = HOP_HEADERS | {"content-length", "date", VERDICT_HEADER.lower()}
MAX_KEY = 255  # characters
SERVER_ERROR = 500
MIN_TIMEOUT = 0.001  # seconds


def service_handler(context: Context):
    """
    Make the handler of `/services/NAME/PATH`.

    :param context: of the entry.
    :return: the handler.
    """

    async def call(request: Request) -> Response:
        name = request_id(request)
        caller = context.find_caller(request.headers.get("authorization", ""))
        if isinstance(caller, Verdict):
            return _refuse(context, name, caller)
        ask = await _ask(context, request, name)
        if isinstance(ask, Verdict):
            return _refuse(context, name, ask, caller.name)
        return await _admit(context, request, caller, ask)

    return call


async def _admit(
    context: Context, request: Request, caller: Caller, ask: ServiceAsk
) -> Response:
    deadline = context.clock() + ask.timeout
    wanted = ask_of_call(caller, ask, deadline)
    ticket = await admit(context.admission, request, wanted)
    if isinstance(ticket, Verdict):
        return _refuse(context, ask.request, ticket, caller.name)
    well = False
    try:
        ask = replace(ask, timeout=max(deadline - context.clock(), MIN_TIMEOUT))
        key = request.headers.get(IDEMPOTENCY_KEY, "")
        response = await _run(context, caller, ask, key)
        well = response.status_code < SERVER_ERROR
        return response
    finally:
        ticket.close(well=well)


def _refuse(context: Context, name: str, verdict: Verdict, account: str = ""):
    reason = verdict.reason.value
    context.emit(Refused(request=name, reason=reason, account=account))
    return error_response(verdict)


async def _run(context: Context, caller: Caller, ask: ServiceAsk, key: str) -> Response:
    context.emit(
        RequestStarted(request=ask.request, account=caller.name, target=ask.service)
    )
    verdict = may_have_run(Reason.CANCELLED)
    status = verdict.status()
    try:
        result = await context.dispatcher.run(ask, caller.name, key)
        verdict = result if isinstance(result, Verdict) else Verdict(ran=RAN)
        status = verdict.status() if verdict is result else result.status
    except Exception:
        verdict = may_have_run(Reason.INTERNAL)
        status = verdict.status()
        raise
    finally:
        context.emit(
            RequestEnded(
                request=ask.request,
                verdict=verdict.header_value(),
                status=status,
                reason=verdict.reason.value,
            )
        )
    return error_response(result) if verdict is result else _response(result)


async def _ask(context: Context, request: Request, name: str) -> ServiceAsk | Verdict:
    refusal = context.refusal()
    if refusal is not None:
        return refusal
    service = request.path_params["service"]
    described = context.text().services.get(service)
    if described is None:
        return not_run(Reason.NOT_FOUND, f"no service {service!r}")
    if len(request.headers.get(IDEMPOTENCY_KEY, "")) > MAX_KEY:
        detail = f"{IDEMPOTENCY_KEY} has over {MAX_KEY} characters"
        return not_run(Reason.BAD_REQUEST, detail)
    body = await read_body(request, context.limits.body_kib)
    if isinstance(body, Verdict):
        return body
    idempotent = _idempotent(request)
    if isinstance(idempotent, Verdict):
        return idempotent
    seconds = read_deadline(request, described.timeout)
    if isinstance(seconds, Verdict):
        return seconds
    return ServiceAsk(
        request=name,
        service=service,
        method=request.method,
        path=_path(request),
        headers=_headers(request),
        body=body,
        timeout=min(seconds, described.timeout),
        idempotent=idempotent,
    )


def _idempotent(request: Request) -> bool | Verdict:
    said = request.headers.get(IDEMPOTENT)
    if said is None:
        return request.method in IDEMPOTENT_METHODS
    if said.lower() not in ("true", "false"):
        return not_run(Reason.BAD_REQUEST, f"{IDEMPOTENT} is true or false")
    return said.lower() == "true"


def _path(request: Request) -> str:
    path = "/" + request.path_params["path"]
    query = request.url.query
    return f"{path}?{query}" if query else path


def _headers(request: Request) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, value)
        for name, value in request.headers.items()
        if name not in PRIVATE_HEADERS
    )


def _response(answer: Answer) -> Response:
    response = Response(answer.body, status_code=answer.status)
    for key, value in answer.headers:
        if key.lower() not in OWN_HEADERS:
            response.headers.append(key, value)
    response.headers[VERDICT_HEADER] = Verdict(ran=RAN).header_value()
    return response
