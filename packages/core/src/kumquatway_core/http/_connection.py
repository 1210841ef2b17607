"""
Connection.

Frees a connection whose other end is gone or reads nothing.
"""

import contextlib
import socket

import hypercorn.asyncio.run
from hypercorn.asyncio.tcp_server import TCPServer

WRITE_TIMEOUT_MS = 30_000  # milliseconds that sent bytes may wait for the other end


class Connection(TCPServer):
    """
    One connection of a listener.

    Hypercorn keeps the descriptor and three tasks of a connection that the caller
    closed until its keep-alive ends, and one whose caller stops reading for good.
    """

    async def run(self) -> None:
        """Serve the connection; the kernel resets it once writes are stuck."""
        found = self.writer.get_extra_info("socket")
        found.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, WRITE_TIMEOUT_MS)
        # The end of a reset connection is no failure.
        with contextlib.suppress(OSError):
            await super().run()

    async def _read_data(self) -> None:
        await super()._read_data()
        await self.idle_task.stop()


def install_connection_class() -> None:
    """Let hypercorn, which takes no class of connections, make these."""
    hypercorn.asyncio.run.TCPServer = Connection
