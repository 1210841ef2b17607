"""
App.

The listener of callers.
"""

from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.middleware import Middleware
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route

from kumquatway.api._context import Context
from kumquatway.api._errors import routing_error
from kumquatway.api._guard import Guard
from kumquatway.api._memory import Memory
from kumquatway.api._models import model_handlers
from kumquatway.api._services import service_handler

METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]


def caller_app(context: Context) -> Starlette:
    """
    Build the application for callers.

    :param context: of the entry.
    :return: an ASGI application.
    """
    chat, complete, models, model = model_handlers(context)
    call = service_handler(context)

    async def healthz(request: Request) -> Response:
        return PlainTextResponse("ok")

    async def readyz(request: Request) -> Response:
        if context.refusal() is None:
            return PlainTextResponse("ready")
        return PlainTextResponse("not ready", status_code=503)

    app = Starlette(
        routes=[
            Route("/healthz", healthz),
            Route("/readyz", readyz),
            Route("/v1/chat/completions", chat, methods=["POST"]),
            Route("/v1/completions", complete, methods=["POST"]),
            Route("/v1/models", models, methods=["GET"]),
            Route("/v1/models/{model}", model, methods=["GET"]),
            Route("/services/{service}/{path:path}", call, methods=METHODS),
        ],
        middleware=[
            Middleware(
                Guard,
                header_kib=context.limits.header_kib,
                requests=context.requests,
                kept=context.kept,
            ),
            Middleware(Memory, bound=context.memory, body_kib=context.limits.body_kib),
        ],
        exception_handlers={HTTPException: routing_error},
    )
    # A redirect would answer without a verdict.
    app.router.redirect_slashes = False
    return app
