"""
Client.

Calls one engine over HTTP.
"""

from dataclasses import dataclass

import httpx
import msgspec

from kumquatway_core import Reason, Verdict, may_have_run, not_run
from kumquatway_core.engine._messages import (
    EngineOrder,
    EngineOrderReply,
    EngineState,
    KVExport,
    StepReply,
    StepRequest,
)
from kumquatway_core.http import open_transport

CONNECT_TIMEOUT = 1.0  # seconds
CALL_TIMEOUT = 5.0  # seconds
ORDER_TIMEOUT = 120.0  # seconds, a load moves many weights
KEEPALIVE = 30.0  # seconds after which a pooled connection is closed
MEDIA_TYPE = "application/msgpack"


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineFailure:
    """
    A call that brought no answer.

    :param verdict: whether the engine may have run it.
    """

    verdict: Verdict


class EngineClient:
    """
    The engine of one upstream.

    :param url: base URL of the engine.
    :param transport: for tests.
    """

    def __init__(self, *, url: str, transport: httpx.AsyncBaseTransport | None = None):
        self.url = url
        self.transport = transport
        self.http = self._open()

    def _open(self) -> httpx.AsyncBaseTransport:
        # The transport alone: a client's cookies, redirects and authentication
        # cost as much processor time as the call itself, many times a second.
        if self.transport is not None:
            return self.transport
        return open_transport(httpx.Limits(keepalive_expiry=KEEPALIVE))

    async def step(
        self, request: StepRequest, timeout: float
    ) -> StepReply | EngineFailure:
        """
        Run a step.

        :param request: the streams and their data.
        :param timeout: seconds until the engine counts as hung.
        :return: the results, or the failure.
        """
        return await self._post("/step", request, StepReply, timeout)

    async def order(
        self, order: EngineOrder, timeout: float = ORDER_TIMEOUT
    ) -> EngineOrderReply | EngineFailure:
        """
        Give an order.

        :param order: what to load or unload.
        :param timeout: seconds until no answer is expected any more.
        :return: the engine's answer, or the failure.
        """
        return await self._post("/orders", order, EngineOrderReply, timeout)

    async def state(self) -> EngineState | EngineFailure:
        """
        Ask what the engine holds.

        :return: its state, or the failure.
        """
        return await self._call("GET", "/state", b"", EngineState, CALL_TIMEOUT)

    async def cancel(self, streams: tuple[str, ...]) -> EngineFailure | None:
        """
        Free the slots of streams.

        :param streams: the engine's names of them.
        :return: None, or the failure.
        """
        answer = await self._post("/cancel", streams, bool, CALL_TIMEOUT)
        return answer if isinstance(answer, EngineFailure) else None

    async def export_kv(self, stream: str) -> KVExport | EngineFailure:
        """
        Read the KV cache of a stream.

        :param stream: the engine's name of it.
        :return: the cache, or the failure.
        """
        return await self._post("/kv/export", (stream,), KVExport, CALL_TIMEOUT)

    async def import_kv(self, cache: KVExport) -> EngineFailure | None:
        """
        Write the KV cache of a stream.

        :param cache: as exported by another engine.
        :return: None, or the failure.
        """
        answer = await self._post("/kv/import", cache, bool, CALL_TIMEOUT)
        return answer if isinstance(answer, EngineFailure) else None

    async def close(self) -> None:
        """Close the connections."""
        await self.http.aclose()

    async def reconnect(self) -> None:
        """Leave the connections behind and open new ones."""
        old = self.http
        self.http = self._open()
        await old.aclose()

    async def _post(self, path, body, kind, timeout):
        data = msgspec.msgpack.encode(body)
        return await self._call("POST", path, data, kind, timeout)

    async def _call(self, method, path, data, kind, timeout):
        try:
            answer = await self._send(method, path, data, timeout)
            if answer.status_code != httpx.codes.OK:
                await answer.aclose()
                detail = f"the engine answered {answer.status_code}"
                return EngineFailure(
                    verdict=may_have_run(Reason.UPSTREAM_ERROR, detail)
                )
            return msgspec.msgpack.decode(await answer.aread(), type=kind)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            verdict = not_run(Reason.UNREACHABLE, f"the engine: {error!r}")
        except httpx.TimeoutException as error:
            verdict = may_have_run(Reason.SILENCE, f"the engine: {error!r}")
        except httpx.HTTPError as error:
            verdict = may_have_run(Reason.RESET, f"the engine: {error!r}")
        except msgspec.MsgspecError as error:
            verdict = may_have_run(Reason.UPSTREAM_ERROR, f"the engine: {error}")
        return EngineFailure(verdict=verdict)

    async def _send(
        self, method: str, path: str, data: bytes, timeout: float
    ) -> httpx.Response:
        limits = httpx.Timeout(timeout, connect=CONNECT_TIMEOUT)
        request = httpx.Request(
            method,
            self.url + path,
            headers={"Content-Type": MEDIA_TYPE},
            content=data,
            extensions={"timeout": limits.as_dict()},
        )
        return await self.http.handle_async_request(request)
