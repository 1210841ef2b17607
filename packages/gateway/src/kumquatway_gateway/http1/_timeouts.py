"""Timeouts that hold for the other side, and not for this process."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

# Of the event loop, in which what has arrived in time is read: a connection takes some
# until it is open, and a large body one for each 256 KiB.
READ_ITERATIONS = 8


@asynccontextmanager
async def timeout_once_read(seconds: float) -> AsyncIterator[None]:
    """
    Limit how long the other side may take.

    Load pattern: a process with too little processor time finds an answer that has
    arrived in time in the same iteration in which the time is up.

    :param seconds: after which `TimeoutError` is raised, once what has arrived is read.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as limit:
        timer = _Timer(seconds, lambda: limit.reschedule(loop.time()))
        try:
            yield
        finally:
            timer.cancel()


class _Timer:
    """Calls a function after some time, and some more iterations of the event loop."""

    def __init__(self, seconds: float, expire: Callable[[], None]):
        self.loop = asyncio.get_running_loop()
        self.expire = expire
        self.handle: asyncio.Handle = self.loop.call_later(
            seconds, self._read, READ_ITERATIONS
        )

    def _read(self, iterations: int) -> None:
        if iterations:
            self.handle = self.loop.call_soon(self._read, iterations - 1)
        else:
            self.expire()

    def cancel(self) -> None:
        """Do not call the function."""
        self.handle.cancel()
