"""
Errors.

A verdict as an HTTP answer in the shape of the API.
"""

import math

import msgspec
from starlette.exceptions import HTTPException
from starlette.requests import Request
from starlette.responses import Response

from kumquatway_core import NOT_RUN, VERDICT_HEADER, Reason, Verdict, not_run

RETRY_AFTER = 1.0  # seconds
RETRY_STATUSES = frozenset((429, 503))
TYPES = {
    400: "invalid_request_error",
    401: "authentication_error",
    404: "not_found_error",
    405: "invalid_request_error",
    409: "conflict_error",
    413: "invalid_request_error",
    422: "invalid_request_error",
    429: "rate_limit_error",
    431: "invalid_request_error",
}


class ErrorBody(msgspec.Struct, frozen=True, kw_only=True):
    """
    What an API error says.

    :param verdict: `ran`, `not-run` or `may-have-run`.
    """

    message: str
    type: str
    code: str
    verdict: str
    param: str | None = None


class ErrorDocument(msgspec.Struct, frozen=True, kw_only=True):
    """The JSON document of an error."""

    error: ErrorBody


def error_document(verdict: Verdict, status: int | None = None) -> bytes:
    """
    Write a verdict as JSON.

    :param verdict: of the request.
    :param status: HTTP status, if not the one of the verdict's reason.
    :return: the document.
    """
    body = ErrorBody(
        message=verdict.detail or verdict.reason.value.replace("_", " "),
        type=TYPES.get(status or verdict.status(), "server_error"),
        code=verdict.reason.value,
        verdict=verdict.header_value(),
    )
    return msgspec.json.encode(ErrorDocument(error=body))


def error_headers(verdict: Verdict) -> dict[str, str]:
    """
    Write the headers of an error.

    :param verdict: of the request.
    :return: header names and values.
    """
    headers = {VERDICT_HEADER: verdict.header_value()}
    wait = _retry_after(verdict)
    if wait is not None:
        headers["Retry-After"] = str(math.ceil(wait))
    if verdict.status() == 401:
        headers["WWW-Authenticate"] = "Bearer"
    return headers


def error_response(verdict: Verdict, *, status: int | None = None) -> Response:
    """
    Answer with a verdict.

    :param verdict: of the request.
    :param status: HTTP status, if not the one of the verdict's reason.
    :return: the response.
    """
    return Response(
        error_document(verdict, status),
        status_code=status or verdict.status(),
        headers=error_headers(verdict),
        media_type="application/json",
    )


async def routing_error(request: Request, error: HTTPException) -> Response:
    """
    Answer a request that no handler takes.

    :param request: of the caller.
    :param error: of the router, such as 404 or 405.
    :return: the response.
    """
    reason = Reason.NOT_FOUND if error.status_code == 404 else Reason.BAD_REQUEST
    detail = f"{request.method} {request.url.path}: {error.detail}"
    response = error_response(not_run(reason, detail), status=error.status_code)
    response.headers.update(error.headers or {})
    return response


def bad_request(detail: str) -> Verdict:
    """
    Make the verdict of a request that cannot be understood.

    :param detail: what is wrong with it.
    :return: the verdict.
    """
    return not_run(Reason.BAD_REQUEST, detail)


def _retry_after(verdict: Verdict) -> float | None:
    """Tell when to retry; each refusal for want of capacity says so."""
    if verdict.retry_after is not None:
        return verdict.retry_after
    if verdict.ran is NOT_RUN and verdict.status() in RETRY_STATUSES:
        return RETRY_AFTER
    return None
