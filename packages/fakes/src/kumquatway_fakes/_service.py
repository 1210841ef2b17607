"""
Service.

A stand-in for a plain service that records each execution.
"""

from dataclasses import dataclass

import anyio
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]


class Execution(msgspec.Struct, frozen=True, kw_only=True):
    """
    A call that the service ran.

    :param key: the `Idempotency-Key` it came with, or "".
    """

    number: int
    method: str
    path: str
    key: str
    body: str


@dataclass(kw_only=True, slots=True)
class ServiceFaults:
    """
    What is wrong with a service now; changed at run time or by `POST /_faults`.

    :param seconds: that a call takes.
    :param silent: calls are run and never answered.
    :param status: of each answer, 200 when well.
    """

    seconds: float = 0.0
    silent: bool = False
    status: int = 200


class PlainService:
    """The state of one plain service."""

    def __init__(self):
        self.executions: list[Execution] = []
        self.faults = ServiceFaults()

    async def run(self, request: Request) -> Response:
        """
        Run a call and record it.

        :param request: of the agent.
        :return: what was recorded.
        """
        body = await request.body()
        execution = Execution(
            number=len(self.executions) + 1,
            method=request.method,
            path=request.url.path,
            key=request.headers.get("idempotency-key", ""),
            body=body.decode(errors="replace"),
        )
        self.executions.append(execution)
        await anyio.sleep(self.faults.seconds)
        if self.faults.silent:
            await anyio.sleep_forever()
        return Response(
            msgspec.json.encode(execution),
            status_code=self.faults.status,
            media_type="application/json",
        )


def service_app(service: PlainService) -> Starlette:
    """
    Serve a plain service.

    :param service: its state.
    :return: an ASGI application.
    """

    async def faults(request: Request) -> Response:
        data = await request.body()
        service.faults = msgspec.json.decode(data, type=ServiceFaults)
        return Response(status_code=204)

    async def executions(request: Request) -> Response:
        found = msgspec.json.encode(service.executions)
        return Response(found, media_type="application/json")

    return Starlette(
        routes=[
            Route("/_faults", faults, methods=["POST"]),
            Route("/_executions", executions, methods=["GET"]),
            Route("/{path:path}", service.run, methods=METHODS),
        ]
    )
