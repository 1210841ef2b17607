"""Reads responses whose head already says that the request was not run."""

import asyncio

from kumquatway_gateway.http1 import Exchange

MAX_BODY_BYTES = 64 * 1024  # of a refusal
BODY_SECONDS = 0.1  # for the body of a refusal, so that its connection can be reused


async def wait_for_refusal_body(exchange: Exchange) -> None:
    """
    Wait for the end of a refusal, but not for long: its body decides nothing.

    :param exchange: a request whose response has a head.
    """
    exchange.max_buffered_bytes = MAX_BODY_BYTES
    await asyncio.wait((exchange.ended,), timeout=BODY_SECONDS)
