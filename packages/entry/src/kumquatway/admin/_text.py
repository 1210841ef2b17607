"""
Text.

The handlers that read and replace the text, and read its audit trail.
"""

import re
from collections.abc import Awaitable, Callable

import anyio
import msgspec
from loguru import logger
from starlette.background import BackgroundTask
from starlette.requests import ClientDisconnect, Request
from starlette.responses import PlainTextResponse, Response

from kumquatway.admin._context import AdminContext, operator
from kumquatway.configuration import Configuration
from kumquatway_core.exceptions import PlatformError
from kumquatway_core.revisions import (
    Accepted,
    AuditRecord,
    EditResult,
    InDoubt,
    Invalid,
    NotStored,
    RacedEdit,
)

MAX_TEXT = 64 * 1024 * 1024  # bytes
RETRY_AFTER = "2"  # seconds
NO_REVISION = '"0"'
AUDIT_PAGE = 100  # records
RESOLVE_TRIES = 600
RESOLVE_PAUSE = 0.5  # seconds
ANY = "*"

_TAG = re.compile(r'"(\d{1,18})"')
_NUMBER = re.compile(r"\d{1,18}", re.ASCII)


class EditView(msgspec.Struct, frozen=True, kw_only=True):
    """
    What became of an edit.

    :param outcome: `accepted`, `raced`, `invalid`, `not-stored` or `in-doubt`.
    :param expected: the revision that the edit was made from.
    :param found: the revision in force, or that the edit made.
    :param problems: one line for each place in an invalid text.
    """

    outcome: str
    expected: int
    found: int = 0
    problems: tuple[str, ...] = ()
    detail: str = ""


class AuditView(msgspec.Struct, frozen=True, kw_only=True):
    """
    The answer of `GET /admin/audit`.

    :param next: the revision to ask after for the next page.
    """

    records: tuple[AuditRecord, ...]
    next: int


def text_handlers(context: AdminContext):
    """
    Make the handlers.

    :param context: of the entry.
    :return: handlers that read the text, replace it, and read the audit trail.
    """
    configuration = context.configuration

    async def read_text(request: Request) -> Response:
        revision = configuration.replica.current
        if revision is None:
            return PlainTextResponse("", headers={"ETag": NO_REVISION})
        headers = {"ETag": f'"{revision.number}"'}
        return Response(revision.text, media_type="application/toml", headers=headers)

    async def replace_text(request: Request) -> Response:
        expected = _expected(request, configuration.number())
        if isinstance(expected, Response):
            return expected
        source = await _read_source(request)
        if isinstance(source, Response):
            return source
        edit = await configuration.propose(source, expected, operator(request))
        response = _edit_response(edit, expected)
        if isinstance(edit, InDoubt):
            response.background = BackgroundTask(resolve, configuration, edit)
        return response

    async def read_audit(request: Request) -> Response:
        after = _number(request, "after", 0)
        limit = _number(request, "limit", AUDIT_PAGE)
        if after is None or not limit:
            detail = "after is a revision, limit a number above 0"
            return PlainTextResponse(detail, status_code=400)
        try:
            records = await configuration.revisions.audit(after, min(limit, AUDIT_PAGE))
        except PlatformError as error:
            headers = {"Retry-After": RETRY_AFTER}
            return PlainTextResponse(str(error), status_code=503, headers=headers)
        last = records[-1].head.number if records else after
        body = msgspec.json.encode(AuditView(records=records, next=last))
        return Response(body, media_type="application/json")

    return read_text, replace_text, read_audit


async def resolve(
    configuration: Configuration,
    doubt: InDoubt,
    pause: Callable[[float], Awaitable[None]] = anyio.sleep,
) -> None:
    """
    Find out what became of an edit, while the store is down again and again.

    :param configuration: of the entry.
    :param doubt: the edit.
    :param pause: waits for a number of seconds.
    """
    number = doubt.revision.number
    for _ in range(RESOLVE_TRIES):
        await pause(RESOLVE_PAUSE)
        edit = await configuration.revisions.resolve(doubt)
        if not isinstance(edit, InDoubt):
            outcome = type(edit).__name__
            logger.info("the edit in doubt, revision {}: {}", number, outcome)
            configuration.replica.notify(number)
            return
    logger.error("what became of revision {} is not known", number)


def _expected(request: Request, in_force: int) -> int | Response:
    """Read the revision that an edit was made from; `*` is the one in force here."""
    header = request.headers.get("if-match", "").strip()
    if not header:
        return PlainTextResponse("If-Match names the revision", status_code=428)
    if header == ANY:
        if in_force:
            return in_force
        return PlainTextResponse("no revision is in force", status_code=412)
    tags = [_TAG.fullmatch(tag.strip()) for tag in header.split(",")]
    if not all(tags):
        detail = 'If-Match is a revision in quotes, such as "17", or *'
        return PlainTextResponse(detail, status_code=400)
    numbers = [int(tag[1]) for tag in tags]
    return in_force if in_force in numbers else numbers[0]


async def _read_source(request: Request) -> str | Response:
    chunks = []
    size = 0
    try:
        async for chunk in request.stream():
            size += len(chunk)
            if size > MAX_TEXT:
                return PlainTextResponse("the text is too large", status_code=413)
            chunks.append(chunk)
        return b"".join(chunks).decode()
    except UnicodeDecodeError as error:
        return PlainTextResponse(f"the text is no UTF-8: {error}", status_code=400)
    except ClientDisconnect:
        return PlainTextResponse("the text did not arrive", status_code=400)


def _number(request: Request, name: str, default: int) -> int | None:
    given = request.query_params.get(name)
    if given is None:
        return default
    return int(given) if _NUMBER.fullmatch(given) else None


def _edit_response(edit: EditResult, expected: int) -> Response:
    status, view = _view(edit, expected)
    headers = {}
    if isinstance(edit, Accepted):
        headers["ETag"] = f'"{edit.revision.number}"'
    if status == 503:
        headers["Retry-After"] = RETRY_AFTER
    body = msgspec.json.encode(view)
    return Response(
        body, status_code=status, headers=headers, media_type="application/json"
    )


def _view(edit: EditResult, expected: int) -> tuple[int, EditView]:
    if isinstance(edit, Accepted):
        found = edit.revision.number
        return 200, EditView(outcome="accepted", expected=expected, found=found)
    if isinstance(edit, RacedEdit):
        detail = f"made from revision {expected}, but {edit.found} is in force"
        view = EditView(
            outcome="raced", expected=expected, found=edit.found, detail=detail
        )
        return 412, view
    if isinstance(edit, Invalid):
        view = EditView(outcome="invalid", expected=expected, problems=edit.problems)
        return 422, view
    if isinstance(edit, NotStored):
        view = EditView(outcome="not-stored", expected=expected, detail=edit.detail)
        return 503, view
    number = edit.revision.number
    detail = f"revision {number} may be in force; this entry finds out, see the audit"
    return 504, EditView(outcome="in-doubt", expected=expected, detail=detail)
