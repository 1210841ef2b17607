"""
Serve.

Runs an ASGI application with hypercorn until it is cancelled.
"""

import anyio
import hypercorn.asyncio
import hypercorn.config
from loguru import logger

MAX_HEADER_BYTES = 16 * 1024
KEEP_ALIVE = 30.0  # seconds
GRACE = 1.0  # seconds


async def serve(
    app,
    address: str,
    *,
    header_bytes: int = MAX_HEADER_BYTES,
    stop: anyio.Event | None = None,
    grace: float = GRACE,
) -> None:
    """
    Listen for HTTP.

    :param app: an ASGI application.
    :param address: `host:port`.
    :param header_bytes: bound on a request's headers.
    :param stop: once set, no request is taken; those in progress may end.
    :param grace: seconds for the requests in progress.
    """
    config = hypercorn.config.Config()
    config.bind = [address]
    config.accesslog = None
    config.errorlog = None
    config.h11_max_incomplete_size = header_bytes
    config.keep_alive_timeout = KEEP_ALIVE
    config.graceful_timeout = grace
    config.include_server_header = False
    stopped = stop or anyio.Event()
    logger.debug("listening for HTTP at {}", address)
    await hypercorn.asyncio.serve(
        app, config, shutdown_trigger=stopped.wait, mode="asgi"
    )
