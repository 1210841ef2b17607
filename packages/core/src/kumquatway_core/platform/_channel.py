"""
Sends calls to one platform service.

Each call has a timeout. The connection pool is replaced when it is too old or when a
response on it was lost.
"""

import time
from collections.abc import Callable
from http import HTTPStatus
from typing import TypeVar

import anyio
import httpx
import msgspec

from kumquatway_core.decoding import Decoder
from kumquatway_core.exceptions import InvalidData, PlatformUnavailable, ResponseLost
from kumquatway_core.http import open_client
from kumquatway_core.platform._messages import Refusal

CALL_TIMEOUT_SECONDS = 2.0
CONNECT_TIMEOUT_FRACTION = 0.25  # of a call's timeout, for each address
KEEPALIVE_SECONDS = 15.0
MAX_POOL_AGE_SECONDS = 60.0
MAX_CONNECTIONS = 16
MEDIA_TYPE = "application/msgpack"

_refusal_decoder = Decoder(Refusal, codec=msgspec.msgpack)

T = TypeVar("T")
TransportFactory = Callable[[], httpx.AsyncBaseTransport]


class _Pool:
    """An HTTP client and the number of its calls in progress."""

    def __init__(self, *, client: httpx.AsyncClient, opened_at: float):
        self.client = client
        self.opened_at = opened_at
        self.calls_in_progress = 0
        self.retired = False


class Channel:
    """
    Client of one platform service over HTTP.

    :param addresses: base URLs of the service. The next one is tried if the call was
        not run: no byte of it was sent, or the service refused it.
    :param make_transport: makes a transport for each new connection pool; for tests.
    :param timeout: timeout of a call, seconds.
    :param clock: monotonic clock, seconds.
    """

    def __init__(
        self,
        *,
        addresses: tuple[str, ...],
        make_transport: TransportFactory | None = None,
        timeout: float = CALL_TIMEOUT_SECONDS,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.addresses = addresses
        self.make_transport = make_transport
        self.timeout = timeout
        self.clock = clock
        self.preferred_index = 0
        self.pool: _Pool | None = None

    async def call(self, method: str, path: str, body: bytes = b"") -> httpx.Response:
        """
        Send a call without retrying it.

        :param method: HTTP method.
        :param path: path and query.
        :param body: MessagePack or raw bytes.
        :return: the response with its whole body.
        :raises PlatformUnavailable: if no byte was sent, or the service refused the
            call.
        :raises ResponseLost: if the call may have taken effect.
        """
        pool = await self._open_pool()
        pool.calls_in_progress += 1
        try:
            with anyio.fail_after(self.timeout):
                return await self._send(pool, method, path, body)
        except TimeoutError as error:
            await self._retire(pool)
            raise ResponseLost(
                f"{method} {path}: no response within {self.timeout} s"
            ) from error
        except ResponseLost:
            await self._retire(pool)
            raise
        finally:
            pool.calls_in_progress -= 1
            await self._close_unused(pool)

    async def call_idempotent(
        self, method: str, path: str, body: bytes = b""
    ) -> httpx.Response:
        """
        Send an idempotent call, and retry it once if the response is lost.

        :param method: HTTP method.
        :param path: path and query.
        :param body: MessagePack or raw bytes.
        :return: the response with its whole body.
        :raises PlatformError: if the service could not be reached, refused the call, or
            responded to neither try.
        """
        try:
            return await self.call(method, path, body)
        except ResponseLost:
            return await self.call(method, path, body)

    async def close(self) -> None:
        """Close all connections; calls in progress fail with `ResponseLost`."""
        if self.pool is not None:
            pool, self.pool = self.pool, None
            await pool.client.aclose()

    async def _open_pool(self) -> _Pool:
        now = self.clock()
        if self.pool is not None and now - self.pool.opened_at > MAX_POOL_AGE_SECONDS:
            await self._retire(self.pool)
        if self.pool is None:
            self.pool = _Pool(client=self._open_client(), opened_at=now)
        return self.pool

    def _open_client(self) -> httpx.AsyncClient:
        limits = httpx.Limits(
            max_connections=MAX_CONNECTIONS, keepalive_expiry=KEEPALIVE_SECONDS
        )
        transport = self.make_transport() if self.make_transport else None
        return open_client(
            "", timeout=self._httpx_timeout(), limits=limits, transport=transport
        )

    def _httpx_timeout(self) -> httpx.Timeout:
        connect_timeout = self.timeout * CONNECT_TIMEOUT_FRACTION
        return httpx.Timeout(
            self.timeout, connect=connect_timeout, pool=connect_timeout
        )

    async def _retire(self, pool: _Pool) -> None:
        """Stop using a pool for new calls, and close it after its last call."""
        pool.retired = True
        if self.pool is pool:
            self.pool = None
        await self._close_unused(pool)

    async def _close_unused(self, pool: _Pool) -> None:
        if pool.retired and pool.calls_in_progress == 0:
            with anyio.CancelScope(shield=True), anyio.move_on_after(self.timeout):
                await pool.client.aclose()

    async def _send(
        self, pool: _Pool, method: str, path: str, body: bytes
    ) -> httpx.Response:
        failure = PlatformUnavailable("no address of the service is configured")
        first_index = self.preferred_index
        for offset in range(len(self.addresses)):
            index = (first_index + offset) % len(self.addresses)
            url = self.addresses[index] + path
            try:
                response = await self._send_to(pool, method, url, body)
            except PlatformUnavailable as error:
                failure = error
                continue
            self.preferred_index = index
            return response
        raise failure

    async def _send_to(
        self, pool: _Pool, method: str, url: str, body: bytes
    ) -> httpx.Response:
        headers = {"Content-Type": MEDIA_TYPE}
        try:
            response = await pool.client.request(
                method, url, content=body, headers=headers
            )
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            raise PlatformUnavailable(f"{method} {url}: {error!r}") from error
        except (httpx.HTTPError, RuntimeError) as error:
            # httpx raises RuntimeError when the client is closed during a call.
            raise ResponseLost(f"{method} {url}: {error!r}") from error
        return _check_status(response)


def _check_status(response: httpx.Response) -> httpx.Response:
    if response.status_code == HTTPStatus.SERVICE_UNAVAILABLE:
        raise _error_for_503(response)
    if response.status_code >= HTTPStatus.INTERNAL_SERVER_ERROR:
        raise ResponseLost(f"the service responded with status {response.status_code}")
    return response


def _error_for_503(response: httpx.Response) -> PlatformUnavailable | ResponseLost:
    """
    Tell a refusal by the service from a 503 of a proxy.

    Only the service's own 503 says that the call was not run.
    """
    try:
        return PlatformUnavailable(_refusal_decoder.decode(response.content).detail)
    except InvalidData:
        return ResponseLost(
            "status 503 without a refusal of the service, perhaps from a proxy"
        )


def decode_body(decoder: Decoder[T], data: bytes) -> T:
    """
    Decode the body of a response.

    :param decoder: decoder for the expected message.
    :param data: response body.
    :return: the decoded message.
    :raises ResponseLost: if the body is not a valid message of that type.
    """
    try:
        return decoder.decode(data)
    except InvalidData as error:
        raise ResponseLost(f"invalid response body: {error}") from error
