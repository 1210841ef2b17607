"""
Fetch.

Whole calls of the platform's services and of servers, each with a deadline.
"""

import asyncio
from dataclasses import dataclass

from kumquatway_gateway.http1._headers import Headers, render_request
from kumquatway_gateway.http1._pool import (
    CONNECT_TIMEOUT_SECONDS,
    ConnectionPool,
    Unreachable,
)
from kumquatway_gateway.http1._upstream import Exchange, ResponseEnd


class FetchFailed(Exception):
    """
    A call got no answer.

    :param sent: whether a byte of it may have arrived.
    :param refused: whether the VM said that nothing listens there.
    """

    def __init__(self, message: str, *, sent: bool, refused: bool = False):
        super().__init__(message)
        self.sent = sent
        self.refused = refused


@dataclass(frozen=True, kw_only=True, slots=True)
class FetchedResponse:
    """The whole answer to a call."""

    status: int
    headers: Headers
    body: bytes


class Fetcher:
    """
    Makes calls over kept connections; one that did not answer is closed.

    :param pool: of connections.
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
    ) -> FetchedResponse:
        """
        Make one call, once.

        :param address: `host:port`.
        :param method: the HTTP method.
        :param target: path and query.
        :param body: sent with its length if there is one or the method takes one.
        :param content_type: of the body.
        :param fields: further header fields.
        :param timeout: of the whole call, seconds.
        :param server: key of the kept connections; the address by default.
        :return: the answer.
        :raises FetchFailed: if none arrived whole.
        """
        limit = min(timeout, CONNECT_TIMEOUT_SECONDS)
        try:
            connection = await self.pool.connect(pool_key or address, address, limit)
        except Unreachable as error:
            refused = error.refused
            raise FetchFailed(str(error), sent=False, refused=refused) from error
        head = [(b"Host", address.encode()), *fields]
        if body or method in ("POST", "PUT"):
            head.append((b"Content-Type", content_type))
            head.append((b"Content-Length", b"%d" % len(body)))
        exchange = Exchange()
        connection.send(exchange, render_request(method, target, head) + body)
        try:
            async with asyncio.timeout(timeout):
                end = await exchange.ended
        except TimeoutError as error:
            raise FetchFailed(f"{address}: {timeout} s passed", sent=True) from error
        finally:
            if not exchange.ended.done() or exchange.ended.cancelled():
                connection.abandon()
        if end is not ResponseEnd.COMPLETE:
            raise FetchFailed(f"{address}: {end.value}", sent=True)
        got = exchange.head.result()
        return FetchedResponse(
            status=got.status, headers=got.headers, body=b"".join(exchange.body)
        )
