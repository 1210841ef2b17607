"""
OpenAPI.

Describes the admin API in its own terms.
"""

import msgspec
from starlette.requests import Request
from starlette.responses import Response

from kumquatway.admin._status import StatusView
from kumquatway.admin._text import AuditView, EditView
from kumquatway_core.events import Page

VERSION = "3.1.0"
_TYPES = (StatusView, AuditView, EditView, Page)
_TEXT = {"type": "string"}
_NUMBER = {"type": "integer", "minimum": 0}
_TOML = {"application/toml": {"schema": _TEXT}}


def _answer(description: str, schema: dict | None = None) -> dict:
    """Describe an answer: JSON of a schema, else a line of text."""
    if schema is None:
        content = {"text/plain": {"schema": _TEXT}}
    else:
        content = {"application/json": {"schema": schema}}
    return {"description": description, "content": content}


def _operation(
    name: str, summary: str, answers: dict, *, parameters: tuple[dict, ...] = ()
) -> dict:
    unauthorized = {"401": _answer("The key is unknown.")}
    return {
        "operationId": name,
        "summary": summary,
        "parameters": list(parameters),
        "responses": answers | unauthorized,
    }


def _open_page(name: str, summary: str, answers: dict) -> dict:
    """Describe a page that asks for no key."""
    return {
        "operationId": name,
        "summary": summary,
        "security": [],
        "responses": answers,
    }


def _query(name: str, description: str, schema: dict) -> dict:
    return {"name": name, "in": "query", "description": description, "schema": schema}


def _header(name: str, description: str, *, required: bool = False) -> dict:
    return {
        "name": name,
        "in": "header",
        "description": description,
        "required": required,
        "schema": _TEXT,
    }


def _replace_text(edit: dict) -> dict:
    operation = _operation(
        "replaceText",
        "Replace the text, if the revision it was made from is still in force.",
        {
            "200": _answer("In force.", edit),
            "400": _answer("If-Match or the text has a wrong form."),
            "412": _answer("Another edit came first; both revisions are named.", edit),
            "413": _answer("The text is too large."),
            "422": _answer("The text is wrong; each place is named.", edit),
            "428": _answer("If-Match is missing."),
            "503": _answer("The store took no call; the edit is not in force.", edit),
            "504": _answer("The outcome is not known yet.", edit),
        },
        parameters=(
            _header("If-Match", "The revision in quotes, or *.", required=True),
            _header("Kumquatway-Author", "Who edits, for the audit trail."),
        ),
    )
    return operation | {"requestBody": {"required": True, "content": _TOML}}


def _paths(status: dict, audit: dict, edit: dict, page: dict) -> dict:
    drained = {
        "202": _answer("The agent is told."),
        "404": _answer("No such VM."),
        "503": _answer("The agent cannot be told now."),
    }
    vm = {"name": "vm", "in": "path", "required": True, "schema": _TEXT}
    text = {"description": "The text; its ETag is the revision.", "content": _TOML}
    return {
        "/healthz": {"get": _open_page("health", "Alive.", {"200": _answer("ok")})},
        "/readyz": {
            "get": _open_page(
                "readiness",
                "Whether requests are taken.",
                {"200": _answer("ready"), "503": _answer("not ready")},
            )
        },
        "/metrics": {
            "get": _open_page("metrics", "Metrics.", {"200": _answer("Metrics.")})
        },
        "/openapi.json": {
            "get": _open_page(
                "description", "This page.", {"200": _answer("JSON.", {})}
            )
        },
        "/admin/text": {
            "get": _operation("readText", "Read the text in force.", {"200": text}),
            "put": _replace_text(edit),
        },
        "/admin/audit": {
            "get": _operation(
                "readAudit",
                "Who changed what.",
                {
                    "200": _answer("A page of records.", audit),
                    "400": _answer("A number has a wrong form."),
                    "503": _answer("The store does not answer."),
                },
                parameters=(
                    _query("after", "The last revision of the page before.", _NUMBER),
                    _query("limit", "The most records returned.", _NUMBER),
                ),
            )
        },
        "/admin/status": {
            "get": _operation(
                "readStatus",
                "The VMs as this entry sees them.",
                {"200": _answer("The status.", status)},
            )
        },
        "/admin/events": {
            "get": _operation(
                "readEvents",
                "Events of this process.",
                {
                    "200": _answer("A page of events.", page),
                    "400": _answer("A number has a wrong form."),
                },
                parameters=(
                    _query("since", "The last sequence of the page before.", _NUMBER),
                    _query("limit", "The most records returned.", _NUMBER),
                    _query("kind", "A kind; it may be repeated.", _TEXT),
                    _query("request", "The id of a request.", _TEXT),
                    _query("vm", "The name of a VM.", _TEXT),
                ),
            )
        },
        "/admin/drain/{vm}": {
            "parameters": [vm],
            "post": _operation("drain", "Let a VM leave.", drained),
            "delete": _operation("undoDrain", "Take a drain back.", drained),
        },
    }


def _document() -> dict:
    schemas, components = msgspec.json.schema_components(
        _TYPES, ref_template="#/components/schemas/{name}"
    )
    return {
        "openapi": VERSION,
        "info": {"title": "kumquatway admin API", "version": "0.1.0"},
        "security": [{"bearer": []}],
        "paths": _paths(*schemas),
        "components": {
            "schemas": components,
            "securitySchemes": {"bearer": {"type": "http", "scheme": "bearer"}},
        },
    }


_BODY = msgspec.json.encode(_document())


async def openapi(request: Request) -> Response:
    """
    Answer with the description of the admin API.

    :param request: of anybody.
    :return: the OpenAPI document.
    """
    return Response(_BODY, media_type="application/json")
