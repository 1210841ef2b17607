"""
HTTP.

Health, metrics and events of the agent.
"""

from collections.abc import Callable

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route

from kumquatway_core.events import Journal
from kumquatway_core.http import events_response, metrics_response


def agent_app(*, journal: Journal, ready: Callable[[], bool], registry) -> Starlette:
    """
    Build the agent's own HTTP application.

    :param journal: of its events.
    :param ready: tells whether it takes new work.
    :param registry: of its metrics.
    :return: an ASGI application.
    """

    async def healthz(request: Request) -> Response:
        return PlainTextResponse("ok")

    async def readyz(request: Request) -> Response:
        if ready():
            return PlainTextResponse("ready")
        return PlainTextResponse("not ready", status_code=503)

    async def metrics(request: Request) -> Response:
        return metrics_response(request, registry)

    async def events(request: Request) -> Response:
        return events_response(request, journal)

    return Starlette(
        routes=[
            Route("/healthz", healthz),
            Route("/readyz", readyz),
            Route("/metrics", metrics),
            Route("/events", events),
        ]
    )
