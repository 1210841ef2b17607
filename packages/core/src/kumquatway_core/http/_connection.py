"""Closes server connections whose peer has disconnected or does not read."""

import contextlib
import socket

import hypercorn.asyncio.run
from hypercorn.asyncio.tcp_server import TCPServer

WRITE_TIMEOUT_MS = 30_000  # how long data may wait for the peer to acknowledge it


class Connection(TCPServer):
    """
    A hypercorn connection that is closed when its peer disconnects or stops reading.

    Hypercorn itself keeps the file descriptor and three tasks of a connection until the
    keep-alive timeout if the peer has closed it, and indefinitely if the peer has
    stopped reading.
    """

    async def run(self) -> None:
        """Serve the connection; the kernel resets it if writes are stuck too long."""
        tcp_socket = self.writer.get_extra_info("socket")
        tcp_socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, WRITE_TIMEOUT_MS
        )
        # A connection that was reset is not an error of the server.
        with contextlib.suppress(OSError):
            await super().run()

    async def _read_data(self) -> None:
        await super()._read_data()
        # The peer has closed the connection: do not wait for the keep-alive timeout.
        await self.idle_task.stop()


def install_connection_class() -> None:
    """Make hypercorn use `Connection`; it has no setting for that, so patch it."""
    hypercorn.asyncio.run.TCPServer = Connection
