"""
Caller.

Calls the plain service, and says of each call whether it may have run.
"""

from collections.abc import Callable

import anyio
import httpx
from loguru import logger

from kumquatway_core import Reason, Verdict, may_have_run, not_run
from kumquatway_core.http import ENCODED_EXTENSION, LIMIT_EXTENSION, open_client
from kumquatway_core.wire import Call, CallReply

CONNECT_TIMEOUT = 1.0  # seconds
KEEPALIVE = 15.0  # seconds
MAX_BODY = 32 * 1024 * 1024  # bytes of an answer
# Bytes of each connection. The service is near, and hundreds of calls may run at once.
RECEIVE_BUFFER = 32 * 1024
HOP_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)

Send = Callable[[str, CallReply], object]


class ServiceCaller:
    """
    The service of one upstream.

    :param name: of the service.
    :param url: its base URL.
    :param incarnation: of this agent.
    :param send: sends a reply to an entry.
    """

    def __init__(
        self,
        *,
        name: str,
        url: str,
        incarnation: int,
        send: Send,
        transport: httpx.AsyncBaseTransport | None = None,
    ):
        self.name = name
        self.incarnation = incarnation
        self.send = send
        self.accepting = True
        self.running: dict[str, Call] = {}
        self.kept = _client(url, transport, httpx.Limits(keepalive_expiry=KEEPALIVE))
        # A fresh connection for each call that may not run twice: a pooled one
        # that broke unnoticed would leave its verdict in doubt.
        self.fresh = _client(url, transport, httpx.Limits(max_keepalive_connections=0))

    async def take(self, call: Call) -> None:
        """
        Run one call and send its reply.

        :param call: as received, once.
        """
        verdict = self._refusal(call)
        if verdict is not None:
            self.send(call.entry, _failed(call, verdict))
            return
        self.running[call.call] = call
        try:
            reply = await self._run(call)
        finally:
            del self.running[call.call]
        self.send(call.entry, reply)

    async def close(self) -> None:
        """Close the connections."""
        await self.kept.aclose()
        await self.fresh.aclose()

    def _refusal(self, call: Call) -> Verdict | None:
        if not self.accepting:
            return not_run(Reason.SHUTTING_DOWN, "the VM is leaving")
        if call.service != self.name:
            return not_run(Reason.REFUSED, f"the VM does not serve {call.service}")
        if call.incarnation != self.incarnation:
            return not_run(Reason.REFUSED, "meant for another incarnation")
        return None

    async def _run(self, call: Call) -> CallReply:
        http = self.kept if call.idempotent else self.fresh
        request = _build(http, call)
        if isinstance(request, Verdict):
            return _failed(call, request)
        try:
            with anyio.fail_after(call.timeout):
                return await _send(http, request, call)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            verdict = not_run(Reason.UNREACHABLE, repr(error))
        except (TimeoutError, httpx.TimeoutException):
            verdict = may_have_run(Reason.SILENCE, "the service did not answer")
        except httpx.HTTPError as error:
            verdict = may_have_run(Reason.RESET, repr(error))
        except Exception as error:
            # Bytes may have left; no call may end the agent or lose its reply.
            logger.opt(exception=error).error("call {} failed: {}", call.call, error)
            verdict = may_have_run(Reason.INTERNAL, repr(error))
        logger.info("call {} of {} failed: {}", call.call, call.request, verdict)
        return _failed(call, verdict)


def _client(url, transport, limits) -> httpx.AsyncClient:
    timeout = httpx.Timeout(None, connect=CONNECT_TIMEOUT)
    return open_client(
        url,
        timeout=timeout,
        limits=limits,
        transport=transport,
        receive_buffer=RECEIVE_BUFFER,
    )


def _build(http: httpx.AsyncClient, call: Call) -> httpx.Request | Verdict:
    """Make the request, while no byte can have left."""
    try:
        return http.build_request(
            call.method,
            call.path,
            content=call.body,
            headers=list(call.headers),
            extensions={LIMIT_EXTENSION: MAX_BODY, ENCODED_EXTENSION: True},
        )
    except (ValueError, TypeError, httpx.InvalidURL) as error:
        return not_run(Reason.BAD_REQUEST, str(error))


async def _send(
    http: httpx.AsyncClient, request: httpx.Request, call: Call
) -> CallReply:
    """Send a request; a compressed answer is passed on as it is."""
    answer = await http.send(request, stream=True)
    try:
        body = b"".join([part async for part in answer.aiter_raw()])
    finally:
        await answer.aclose()
    return _reply(call, answer, body)


def _reply(call: Call, answer: httpx.Response, body: bytes) -> CallReply:
    return CallReply(
        call=call.call,
        verdict="ran",
        reason=Reason.NONE,
        status=answer.status_code,
        headers=tuple(_end_to_end(answer.headers)),
        body=body,
    )


def _end_to_end(headers: httpx.Headers) -> list[tuple[str, str]]:
    return [
        (name, value)
        for name, value in headers.multi_items()
        if name.lower() not in HOP_HEADERS
    ]


def _failed(call: Call, verdict: Verdict) -> CallReply:
    return CallReply(
        call=call.call,
        verdict=verdict.header_value(),
        reason=verdict.reason,
        detail=verdict.detail,
    )
