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

DEADLINE_SECONDS = 2.0
CONNECT_SHARE = 0.25  # of the deadline, for each address
IDLE_SECONDS = 15.0
POOL_AGE_SECONDS = 60.0
MAX_CONNECTIONS = 16
MEDIA_TYPE = "application/msgpack"

_refusals = msgspec.msgpack.Decoder(Refusal)

Transports = Callable[[], httpx.AsyncBaseTransport]


class _Pool:
    """One client with its calls in progress."""

    def __init__(self, *, client: httpx.AsyncClient, born: float):
        self.client = client
        self.born = born
        self.calls = 0
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
        transports: Transports | None = None,
        deadline: float = DEADLINE_SECONDS,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.addresses = addresses
        self.transports = transports
        self.deadline = deadline
        self.clock = clock
        self.preferred = 0
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
        pool.calls += 1
        try:
            with anyio.fail_after(self.deadline):
                return await self._send(pool, method, path, body)
        except TimeoutError as error:
            await self._retire(pool)
            raise ResponseLost(f"{method} {path}: {self.deadline} s passed") from error
        except ResponseLost:
            await self._retire(pool)
            raise
        finally:
            pool.calls -= 1
            await self._close_unused(pool)

    async def repeat(self, method: str, path: str, body: bytes = b"") -> httpx.Response:
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
        if self.pool is not None and now - self.pool.born > POOL_AGE_SECONDS:
            await self._retire(self.pool)
        if self.pool is None:
            self.pool = _Pool(client=self._open_client(), born=now)
        return self.pool

    def _open_client(self) -> httpx.AsyncClient:
        limits = httpx.Limits(
            max_connections=MAX_CONNECTIONS, keepalive_expiry=IDLE_SECONDS
        )
        transport = self.transports() if self.transports else None
        return open_client(
            "", timeout=self._timeout(), limits=limits, transport=transport
        )

    def _timeout(self) -> httpx.Timeout:
        wait = self.deadline * CONNECT_SHARE
        return httpx.Timeout(self.deadline, connect=wait, pool=wait)

    async def _retire(self, pool: _Pool) -> None:
        """Keep new calls off a pool; it closes with the last call on it."""
        pool.retired = True
        if self.pool is pool:
            self.pool = None
        await self._close_unused(pool)

    async def _close_unused(self, pool: _Pool) -> None:
        if pool.retired and pool.calls == 0:
            with anyio.CancelScope(shield=True), anyio.move_on_after(self.deadline):
                await pool.client.aclose()

    async def _send(
        self, pool: _Pool, method: str, path: str, body: bytes
    ) -> httpx.Response:
        failure = PlatformUnavailable("no address is known")
        first = self.preferred
        for turn in range(len(self.addresses)):
            index = (first + turn) % len(self.addresses)
            url = self.addresses[index] + path
            try:
                response = await self._send_to(pool, method, url, body)
            except PlatformUnavailable as error:
                failure = error
                continue
            self.preferred = index
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
        return _checked(response)


def _checked(response: httpx.Response) -> httpx.Response:
    if response.status_code == HTTPStatus.SERVICE_UNAVAILABLE:
        raise _unavailable(response)
    if response.status_code >= HTTPStatus.INTERNAL_SERVER_ERROR:
        raise ResponseLost(f"status {response.status_code}")
    return response


def _unavailable(response: httpx.Response) -> PlatformUnavailable | ResponseLost:
    """Trust a 503 only from the service itself: a proxy's says nothing."""
    try:
        return PlatformUnavailable(_refusals.decode(response.content).detail)
    except msgspec.MsgspecError:
        return ResponseLost("status 503 from between")


def decode(decoder: msgspec.msgpack.Decoder | msgspec.json.Decoder, data: bytes):
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
