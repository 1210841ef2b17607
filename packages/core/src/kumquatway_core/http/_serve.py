"""Runs an ASGI application with hypercorn until cancelled."""

import anyio
import hypercorn.asyncio
import hypercorn.config
from loguru import logger

from kumquatway_core.exceptions import ProcessError
from kumquatway_core.http._connection import install_connection_class
from kumquatway_core.http._heads import install_field_limit

MAX_HEADER_BYTES = 16 * 1024
KEEP_ALIVE_SECONDS = 30.0
SHUTDOWN_GRACE_SECONDS = 0.1


async def serve(
    app,
    address: str,
    *,
    max_header_bytes: int = MAX_HEADER_BYTES,
    shutdown_grace: float = SHUTDOWN_GRACE_SECONDS,
) -> None:
    """
    Listen for HTTP requests until cancelled.

    :param app: ASGI application.
    :param address: address to listen on, `host:port`.
    :param max_header_bytes: maximum size of a request's headers.
    :param shutdown_grace: time that requests in progress get to finish after the
        cancellation, seconds.
    :raises ProcessError: if the listener ends without being cancelled.
    """
    config = hypercorn.config.Config()
    config.bind = [address]
    config.accesslog = None
    config.errorlog = None
    config.h11_max_incomplete_size = max_header_bytes
    config.keep_alive_timeout = KEEP_ALIVE_SECONDS
    config.graceful_timeout = shutdown_grace
    config.include_server_header = False
    install_connection_class()
    install_field_limit()
    stop_requested = anyio.Event()
    logger.debug("listening for HTTP requests on {}", address)
    async with anyio.create_task_group() as group:
        group.start_soon(_listen, app, config, stop_requested)
        try:
            await anyio.sleep_forever()
        finally:
            stop_requested.set()


async def _listen(
    app, config: hypercorn.config.Config, stop_requested: anyio.Event
) -> None:
    # Hypercorn shuts down cleanly on its trigger, but not when cancelled.
    with anyio.CancelScope(shield=True):
        await hypercorn.asyncio.serve(
            app, config, shutdown_trigger=stop_requested.wait, mode="asgi"
        )
    if not stop_requested.is_set():
        raise ProcessError(f"the HTTP listener on {config.bind[0]} ended unexpectedly")
