"""HTTP responses with metrics and events."""

from aioprometheus import Registry
from aioprometheus.renderer import render
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response

from kumquatway_core.events import Journal, encode_page
from kumquatway_core.events._journal import DEFAULT_PAGE_SIZE


def metrics_response(request: Request, registry: Registry) -> Response:
    """
    Render the metrics in the format that the request accepts.

    :param request: the HTTP request.
    :param registry: metrics registry of the process.
    :return: the rendered metrics.
    """
    accepted = request.headers.getlist("accept")
    content, headers = render(registry, accepted)
    return Response(content, headers=dict(headers))


def events_response(request: Request, journal: Journal) -> Response:
    """
    Respond with a page of events.

    :param request: the HTTP request; its query may have `since`, `kind`, `request`,
        `vm` and `limit`.
    :param journal: event journal of the process.
    :return: the page as JSON, or status 400 if `since` or `limit` is not a number.
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
