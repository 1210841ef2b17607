"""
Makes HTTP requests with a timeout and returns complete responses.

Used for the platform's services, for servers and for peers.
"""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

from kumquatway_gateway.http1._headers import Headers, render_request
from kumquatway_gateway.http1._pool import (
    CONNECT_TIMEOUT_SECONDS,
    ConnectionPool,
    Unreachable,
)
from kumquatway_gateway.http1._upstream import (
    MAX_BUFFERED_BODY_BYTES,
    Exchange,
    ResponseEnd,
)


class FetchFailed(Exception):
    """
    A request got no complete response.

    :param sent: whether any part of the request may have reached the server.
    :param refused: whether the VM refused the connection: nothing listens on the port.
    """

    def __init__(self, message: str, *, sent: bool, refused: bool = False):
        super().__init__(message)
        self.sent = sent
        self.refused = refused


@dataclass(frozen=True, kw_only=True, slots=True)
class FetchedResponse:
    """A response with its complete body."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class Transfer:
    """
    How long the body of a long response may take to arrive.

    :param silence: longest time without any part of it, seconds.
    :param total: longest time from the request to the end of the response, seconds.
    """

    silence: float
    total: float


class Fetcher:
    """
    Makes requests over pooled connections; closes one whose request has failed.

    :param pool: the connections.
    """

    def __init__(self, *, pool: ConnectionPool):
        self.pool = pool

    async def fetch(
        self,
        address: str,
        method: str,
        target: str,
        *,
        body: bytes = b"",
        content_type: bytes = b"application/json",
        fields: tuple[tuple[bytes, bytes], ...] = (),
        timeout: float = 1.0,
        pool_key: str = "",
        reuse: bool = True,
        max_bytes: int = MAX_BUFFERED_BODY_BYTES,
        transfer: Transfer | None = None,
        is_permitted: Callable[[], bool] = lambda: True,
    ) -> FetchedResponse:
        """
        Send a request, without retries, and wait for the response.

        :param address: `host:port`.
        :param method: HTTP method.
        :param target: path and query.
        :param body: request body; POST and PUT state its length also if it is empty.
        :param content_type: media type of the body.
        :param fields: further header fields.
        :param timeout: for the connection and then again for the response, seconds;
            connecting takes at most `CONNECT_TIMEOUT_SECONDS`.
        :param pool_key: key of the connection in the pool; the address by default.
        :param reuse: whether to use and keep a pooled connection. On a new one, the
            response cannot be a late copy of an earlier one.
        :param max_bytes: limit of the response's body.
        :param transfer: lets a response that goes on arriving take longer than
            `timeout`. Load pattern: many processes with thin links read a long
            document at once. None gives it up before its end if the whole is late.
        :param is_permitted: tells whether the request may still be sent; called just
            before, as connecting takes time and the process may have been paused.
        :return: the response.
        :raises FetchFailed: if no complete response arrived, or the request was no
            longer permitted.
        """
        connect_timeout = min(timeout, CONNECT_TIMEOUT_SECONDS)
        try:
            connection = await self.pool.connect(
                (pool_key or address) if reuse else "", address, connect_timeout
            )
        except Unreachable as error:
            refused = error.refused
            raise FetchFailed(str(error), sent=False, refused=refused) from error
        head = [(b"Host", address.encode()), *fields]
        if body or method in ("POST", "PUT"):
            head.append((b"Content-Type", content_type))
            head.append((b"Content-Length", b"%d" % len(body)))
        if not is_permitted():
            connection.abandon()
            raise FetchFailed(f"{address}: no longer permitted", sent=False)
        exchange = Exchange(max_buffered_bytes=max_bytes)
        sent_at = time.monotonic()
        connection.send(exchange, render_request(method, target, head) + body)
        try:
            end = await _receive(exchange, timeout, transfer)
        except TimeoutError as error:
            seconds = time.monotonic() - sent_at
            raise FetchFailed(
                f"{address}: no response within {seconds:.1f} s", sent=True
            ) from error
        finally:
            if not exchange.ended.done() or exchange.ended.cancelled():
                connection.abandon()
        if end is not ResponseEnd.COMPLETE:
            raise FetchFailed(f"{address}: {end.value}", sent=True)
        response = exchange.head.result()
        return FetchedResponse(
            status=response.status,
            headers=response.headers,
            body=bytes(exchange.body),
        )


async def _receive(
    exchange: Exchange, timeout: float, transfer: Transfer | None
) -> ResponseEnd:
    """
    Wait for the end of a response, or for as long as parts of it arrive.

    A response that is complete in the iteration in which the time is up counts.
    """
    start = time.monotonic()
    deadline = start + timeout
    while (seconds := deadline - time.monotonic()) > 0:
        await asyncio.wait((exchange.ended,), timeout=seconds)
        if exchange.ended.done():
            return exchange.ended.result()
        if transfer is not None:
            silent_at = exchange.arrived_at + transfer.silence
            deadline = max(deadline, min(silent_at, start + transfer.total))
    raise TimeoutError
