"""
Serve.

Runs an ASGI application with hypercorn until it is cancelled.
"""

import anyio
import hypercorn.asyncio
import hypercorn.config
from loguru import logger

from kumquatway_core.exceptions import ProcessError
from kumquatway_core.http._connection import install_connection_class

MAX_HEADER_BYTES = 16 * 1024
KEEP_ALIVE_SECONDS = 30.0  # seconds
SHUTDOWN_GRACE_SECONDS = 0.1  # seconds


async def serve(
    app,
    address: str,
    *,
    max_header_bytes: int = MAX_HEADER_BYTES,
    shutdown_grace: float = SHUTDOWN_GRACE_SECONDS,
) -> None:
    """
    Listen for HTTP until cancelled.

    :param app: an ASGI application.
    :param address: `host:port`.
    :param header_bytes: bound on a request's headers.
    :param grace: seconds for the requests in progress at the end.
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
    stopped = anyio.Event()
    logger.debug("listening for HTTP at {}", address)
    async with anyio.create_task_group() as group:
        group.start_soon(_listen, app, config, stopped)
        try:
            await anyio.sleep_forever()
        finally:
            stopped.set()


async def _listen(app, config: hypercorn.config.Config, stopped: anyio.Event) -> None:
    # Hypercorn ends cleanly by its trigger and not when it is cancelled.
    with anyio.CancelScope(shield=True):
        await hypercorn.asyncio.serve(
            app, config, shutdown_trigger=stopped.wait, mode="asgi"
        )
    if not stopped.is_set():
        raise ProcessError(f"the listener at {config.bind[0]} ended")
