"""
App.

The listener of operators.
"""

from loguru import logger
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route

from kumquatway.admin._context import AdminContext, guarded
from kumquatway.admin._openapi import openapi
from kumquatway.admin._status import status_handlers
from kumquatway.admin._text import text_handlers
from kumquatway_core.http import events_response, metrics_response


def admin_app(context: AdminContext) -> Starlette:
    """
    Build the application for operators.

    :param context: of the entry.
    :return: an ASGI application.
    """
    read_text, replace_text, read_audit = text_handlers(context)
    read_status, drain = status_handlers(context)

    async def healthz(request: Request) -> Response:
        return PlainTextResponse("ok")

    async def readyz(request: Request) -> Response:
        if context.refusal() is None:
            return PlainTextResponse("ready")
        return PlainTextResponse("not ready", status_code=503)

    async def metrics(request: Request) -> Response:
        return metrics_response(request, context.registry)

    async def events(request: Request) -> Response:
        return events_response(request, context.journal)

    def route(path: str, handler, method: str = "GET") -> Route:
        return Route(path, guarded(context, handler), methods=[method])

    app = Starlette(
        routes=[
            Route("/healthz", healthz),
            Route("/readyz", readyz),
            Route("/metrics", metrics),
            Route("/openapi.json", openapi),
            route("/admin/text", read_text),
            route("/admin/text", replace_text, "PUT"),
            route("/admin/audit", read_audit),
            route("/admin/status", read_status),
            route("/admin/events", events),
            route("/admin/drain/{vm}", drain, "POST"),
            route("/admin/drain/{vm}", drain, "DELETE"),
        ],
        exception_handlers={Exception: answer_failure},
    )
    app.router.redirect_slashes = False
    return app


async def answer_failure(request: Request, error: Exception) -> Response:
    """
    Answer for a handler that failed, and say so in the log.

    :param request: of an operator.
    :param error: what the handler raised.
    :return: the response.
    """
    logger.opt(exception=error).error("a handler failed: {}", error)
    return PlainTextResponse("the entry failed", status_code=500)
