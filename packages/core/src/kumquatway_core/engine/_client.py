"""Calls an engine over HTTP."""

from dataclasses import dataclass

import anyio
import httpx
import msgspec

from kumquatway_core import Reason, Verdict, may_have_run, not_run
from kumquatway_core.decoding import decode
from kumquatway_core.engine._messages import (
    EngineOrder,
    EngineOrderReply,
    EngineState,
    KVExport,
    StepReply,
    StepRequest,
)
from kumquatway_core.exceptions import InvalidData
from kumquatway_core.http import LIMIT_EXTENSION, open_transport

CONNECT_TIMEOUT = 1.0  # seconds
CALL_TIMEOUT = 5.0  # seconds
ORDER_TIMEOUT = 120.0  # seconds; loading layers transfers their weights
KV_TRANSFER_TIMEOUT = 60.0  # seconds
MAX_REPLY_BYTES = 64 * 1024 * 1024
MAX_KV_EXPORT_BYTES = 1024 * 1024 * 1024
KEEPALIVE_EXPIRY = 15.0  # seconds until an idle pooled connection is closed
POOL_LIMITS = httpx.Limits(keepalive_expiry=KEEPALIVE_EXPIRY)
MEDIA_TYPE = "application/msgpack"


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineFailure:
    """
    A call that failed.

    :param verdict: whether the engine may have run the call, and why it failed.
    """

    verdict: Verdict


@dataclass(frozen=True, kw_only=True, slots=True)
class _CallLimits:
    """
    Limits of a call.

    :param silence: longest time in which nothing arrives, seconds.
    :param total: time until the reply is complete, seconds.
    :param max_bytes: size of the reply.
    """

    silence: float
    total: float
    max_bytes: int = MAX_REPLY_BYTES


_KV_TRANSFER = _CallLimits(
    silence=CALL_TIMEOUT, total=KV_TRANSFER_TIMEOUT, max_bytes=MAX_KV_EXPORT_BYTES
)


def _limits(timeout: float) -> _CallLimits:
    return _CallLimits(silence=timeout, total=CONNECT_TIMEOUT + timeout)


class EngineClient:
    """
    Client of one engine.

    :param url: base URL of the engine.
    :param transport: HTTP transport to use instead of an own pool; for tests.
    """

    def __init__(self, *, url: str, transport: httpx.AsyncBaseTransport | None = None):
        self.url = url
        self.transport = None
        if transport is not None:
            self.transport = open_transport(POOL_LIMITS, transport=transport)
        self.http = self._open()

    def _open(self) -> httpx.AsyncBaseTransport:
        # A bare transport: the cookies, redirects and authentication of
        # httpx.AsyncClient take as much processor time as the call itself, and
        # there are many calls a second.
        if self.transport is not None:
            return self.transport
        return open_transport(POOL_LIMITS)

    async def step(
        self, request: StepRequest, timeout: float
    ) -> StepReply | EngineFailure:
        """
        Run a step.

        :param request: the layers to run, and the input of each stream.
        :param timeout: seconds until the engine counts as hung.
        :return: the results, or the failure.
        """
        return await self._post("/step", request, StepReply, _limits(timeout))

    async def order(
        self, order: EngineOrder, timeout: float = ORDER_TIMEOUT
    ) -> EngineOrderReply | EngineFailure:
        """
        Order the engine to load or unload layers.

        :param order: the order.
        :param timeout: seconds to wait for the reply.
        :return: the reply, or the failure.
        """
        # A connection of its own: a reconnect must not end an order in progress.
        http = self._open()
        data = msgspec.msgpack.encode(order)
        limits = _limits(timeout)
        try:
            return await self._call(
                "POST", "/orders", data, EngineOrderReply, limits, http
            )
        finally:
            if http is not self.transport:
                await http.aclose()

    async def state(self) -> EngineState | EngineFailure:
        """
        Read the loaded layers, load and memory of the engine.

        :return: the state, or the failure.
        """
        limits = _limits(CALL_TIMEOUT)
        return await self._call("GET", "/state", b"", EngineState, limits)

    async def cancel(self, streams: tuple[str, ...]) -> EngineFailure | None:
        """
        Cancel streams and free their slots.

        :param streams: names of the streams at the engine.
        :return: None, or the failure.
        """
        reply = await self._post("/cancel", streams, bool, _limits(CALL_TIMEOUT))
        return reply if isinstance(reply, EngineFailure) else None

    async def export_kv(self, stream: str) -> KVExport | EngineFailure:
        """
        Read the KV cache of a stream.

        :param stream: name of the stream at the engine.
        :return: the cache, or the failure.
        """
        return await self._post("/kv/export", (stream,), KVExport, _KV_TRANSFER)

    async def import_kv(self, cache: KVExport) -> EngineFailure | None:
        """
        Write the KV cache of a stream.

        :param cache: the cache, as exported by another engine.
        :return: None, or the failure.
        """
        reply = await self._post("/kv/import", cache, bool, _KV_TRANSFER)
        return reply if isinstance(reply, EngineFailure) else None

    async def close(self) -> None:
        """Close the connections."""
        await self.http.aclose()

    async def reconnect(self) -> None:
        """Open a new connection pool and close the old one."""
        old = self.http
        self.http = self._open()
        await old.aclose()

    async def _post(self, path, body, kind, limits):
        data = msgspec.msgpack.encode(body)
        return await self._call("POST", path, data, kind, limits)

    async def _call(self, method, path, data, kind, limits, http=None):
        try:
            with anyio.fail_after(limits.total):
                http = http or self.http
                response = await self._send(method, path, data, limits, http)
                if response.status_code == httpx.codes.OK:
                    data = await response.aread()
                    return decode(data, kind, codec=msgspec.msgpack)
                await response.aclose()
            detail = f"engine answered {path} with {response.status_code}"
            verdict = may_have_run(Reason.UPSTREAM_ERROR, detail)
        except httpx.ConnectError as error:
            verdict = not_run(Reason.UNREACHABLE, f"engine call {path}: {error!r}")
        except (httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            verdict = not_run(Reason.SILENCE, f"engine call {path}: {error!r}")
        except (TimeoutError, httpx.TimeoutException) as error:
            verdict = may_have_run(Reason.SILENCE, f"engine call {path}: {error!r}")
        except httpx.HTTPError as error:
            verdict = may_have_run(Reason.RESET, f"engine call {path}: {error!r}")
        except InvalidData as error:
            verdict = may_have_run(
                Reason.UPSTREAM_ERROR, f"engine call {path}: {error}"
            )
        return EngineFailure(verdict=verdict)

    async def _send(
        self,
        method: str,
        path: str,
        data: bytes,
        limits: _CallLimits,
        http: httpx.AsyncBaseTransport,
    ) -> httpx.Response:
        timeout = httpx.Timeout(limits.silence, connect=CONNECT_TIMEOUT)
        request = httpx.Request(
            method,
            self.url + path,
            headers={"Content-Type": MEDIA_TYPE},
            content=data,
            extensions={
                "timeout": timeout.as_dict(),
                LIMIT_EXTENSION: limits.max_bytes,
            },
        )
        return await http.handle_async_request(request)
