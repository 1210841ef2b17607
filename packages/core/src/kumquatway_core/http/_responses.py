"""
Responses.

Metrics and events over HTTP.
"""

from aioprometheus import Registry
from aioprometheus.renderer import render
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response

from kumquatway_core.events import Journal, encode_page
from kumquatway_core.events._journal import DEFAULT_PAGE_SIZE


def metrics_response(request: Request, registry: Registry) -> Response:
    """
    Render the metrics in the form that the reader accepts.

    :param request: of the reader.
    :param registry: of the process.
    :return: the response.
    """
    accepted = request.headers.getlist("accept")
    content, headers = render(registry, accepted)
    return Response(content, headers=dict(headers))


def events_response(request: Request, journal: Journal) -> Response:
    """
    Answer with a page of events.

    :param request: its query may give `since`, `kind`, `request`, `vm`, `limit`.
    :param journal: of the process.
    :return: the page as JSON, or 400 for a bad number.
    """
    query = request.query_params
    try:
        since = int(query.get("since", "0"))
        limit = min(
            max(int(query.get("limit", DEFAULT_PAGE_SIZE)), 1), DEFAULT_PAGE_SIZE
        )
    except ValueError:
        return PlainTextResponse("since and limit are numbers", status_code=400)
    page = journal.since(
        since,
        kinds=query.getlist("kind"),
        request=query.get("request", ""),
        vm=query.get("vm", ""),
        limit=limit,
    )
    return Response(encode_page(page), media_type="application/json")
