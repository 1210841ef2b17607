"""
Channel.

Calls of one platform service with a deadline, over connections that are not kept
when they are old or in doubt.
"""

import time
from collections.abc import Callable
from http import HTTPStatus

import anyio
import httpx
import msgspec

from kumquatway_core.exceptions import PlatformUnavailable, ResponseLost
from kumquatway_core.http import open_client
from kumquatway_core.platform._messages import Refusal

CALL_TIMEOUT_SECONDS = 2.0
CONNECT_TIMEOUT_FRACTION = 0.25  # of the deadline, for each address
KEEPALIVE_SECONDS = 15.0
MAX_POOL_AGE_SECONDS = 60.0
MAX_CONNECTIONS = 16
MEDIA_TYPE = "application/msgpack"

_refusal_decoder = msgspec.msgpack.Decoder(Refusal)

TransportFactory = Callable[[], httpx.AsyncBaseTransport]


class _Pool:
    """One client with its calls in progress."""

    def __init__(self, *, client: httpx.AsyncClient, opened_at: float):
        self.client = client
        self.opened_at = opened_at
        self.calls_in_progress = 0
        self.retired = False


class Channel:
    """
    Sends calls to one service of the platform.

    :param addresses: base URLs, tried in turn while no byte has left.
    :param transports: makes a transport for each new pool of connections, in tests.
    :param deadline: bound on a call, seconds.
    :param clock: a monotonic clock, seconds.
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
        Send one call, once.

        :param method: the HTTP method.
        :param path: the path and query.
        :param body: MessagePack or raw bytes.
        :return: the whole response.
        :raises PlatformUnavailable: if no byte left or the service refused the call.
        :raises ResponseLost: if the call may have taken effect.
        """
        pool = await self._open_pool()
        pool.calls_in_progress += 1
        try:
            with anyio.fail_after(self.timeout):
                return await self._send(pool, method, path, body)
        except TimeoutError as error:
            await self._retire(pool)
            raise ResponseLost(f"{method} {path}: {self.timeout} s passed") from error
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
        Send an idempotent call, a second time if its first answer is lost.

        :param method: the HTTP method.
        :param path: the path and query.
        :param body: MessagePack or raw bytes.
        :return: the whole response.
        :raises PlatformError: if neither try was answered.
        """
        try:
            return await self.call(method, path, body)
        except ResponseLost:
            return await self.call(method, path, body)

    async def close(self) -> None:
        """Close the connections; calls in progress end with `ResponseLost`."""
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
        wait = self.timeout * CONNECT_TIMEOUT_FRACTION
        return httpx.Timeout(self.timeout, connect=wait, pool=wait)

    async def _retire(self, pool: _Pool) -> None:
        """Keep new calls off a pool; it closes with the last call on it."""
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
        failure = PlatformUnavailable("no address is known")
        first = self.preferred_index
        for turn in range(len(self.addresses)):
            index = (first + turn) % len(self.addresses)
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
            # httpx raises RuntimeError where its client was closed under a call.
            raise ResponseLost(f"{method} {url}: {error!r}") from error
        return _check_status(response)


def _check_status(response: httpx.Response) -> httpx.Response:
    if response.status_code == HTTPStatus.SERVICE_UNAVAILABLE:
        raise _error_for_503(response)
    if response.status_code >= HTTPStatus.INTERNAL_SERVER_ERROR:
        raise ResponseLost(f"status {response.status_code}")
    return response


def _error_for_503(response: httpx.Response) -> PlatformUnavailable | ResponseLost:
    """Trust a 503 only from the service itself: a proxy's says nothing."""
    try:
        return PlatformUnavailable(_refusal_decoder.decode(response.content).detail)
    except msgspec.MsgspecError:
        return ResponseLost("status 503 from between")


def decode_body(decoder: msgspec.msgpack.Decoder | msgspec.json.Decoder, data: bytes):
    """
    Decode an answer that a service gave.

    :param decoder: of the expected type.
    :param data: the body.
    :return: the value.
    :raises ResponseLost: if the body is not what the service promises.
    """
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ResponseLost(f"an answer that cannot be read: {error}") from error
