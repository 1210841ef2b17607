"""
Pools connections to servers.

Idle connections are reused only while the server is sure to keep them open.
"""

import asyncio
import time
from collections.abc import Callable

from kumquatway_core.memory import MemoryBudget
from kumquatway_gateway.http1._upstream import UpstreamConnection

CONNECT_TIMEOUT_SECONDS = 0.3  # 100 times the round-trip time to a server
DEFAULT_IDLE_SECONDS = 4.0  # for a server that sends no `Keep-Alive` timeout
KEEP_ALIVE_SHARE = 0.5  # of the `Keep-Alive` timeout that a server sends
MAX_IDLE_PER_SERVER = 64  # connections
MAX_HELD_BYTES = 24 * 1024 * 1024  # of all responses that are being read or sent


class Unreachable(Exception):
    """
    No connection could be opened, so no part of the request was sent.

    :param refused: whether the VM refused the connection: nothing listens on the port.
    """

    def __init__(self, message: str, *, refused: bool = False):
        super().__init__(message)
        self.refused = refused


class ConnectionPool:
    """
    A pool of idle connections, by server.

    :param clock: returns monotonic seconds.
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic):
        self.clock = clock
        self.idle: dict[str, list[UpstreamConnection]] = {}
        self.memory = MemoryBudget(max_bytes=MAX_HELD_BYTES)

    async def connect(
        self, server: str, address: str, timeout: float = CONNECT_TIMEOUT_SECONDS
    ) -> UpstreamConnection:
        """
        Return an idle connection, or open a new one.

        :param server: key of the server in the pool. The ID of a server names one
            incarnation, so that a connection is never reused for another server at the
            same address. With "" the connection is new, and closed after its response.
        :param address: `host:port`.
        :param timeout: for opening a new connection, seconds.
        :return: a connection for one request.
        :raises Unreachable: if no connection could be opened in time.
        """
        idle = self._take_idle(server)
        if idle is not None:
            return idle
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()

        def on_reusable(connection: UpstreamConnection) -> None:
            self._add_idle(server, connection)

        def protocol() -> UpstreamConnection:
            return UpstreamConnection(
                on_reusable=on_reusable, memory=self.memory, sender=address
            )

        try:
            async with asyncio.timeout(timeout):
                _, connection = await loop.create_connection(protocol, host, int(port))
        except TimeoutError as error:
            raise Unreachable(
                f"no connection to {address} within {timeout} s"
            ) from error
        except (OSError, ValueError, OverflowError) as error:
            refused = isinstance(error, ConnectionRefusedError)
            raise Unreachable(f"{address}: {error}", refused=refused) from error
        return connection

    def close_idle(self, server: str) -> None:
        """
        Close the idle connections to a server.

        :param server: key of the server in the pool.
        """
        for connection in self.idle.pop(server, ()):
            connection.abandon()

    def close_expired(self) -> None:
        """Close the connections that are too old to be reused."""
        now = self.clock()
        for server, connections in list(self.idle.items()):
            usable = [one for one in connections if self._is_usable(one, now)]
            for connection in connections:
                if connection not in usable:
                    connection.transport.close()
            if usable:
                self.idle[server] = usable
            else:
                del self.idle[server]

    def close(self) -> None:
        """Close every idle connection."""
        for server in list(self.idle):
            self.close_idle(server)

    def _take_idle(self, server: str) -> UpstreamConnection | None:
        idle = self.idle.get(server) if server else None
        now = self.clock()
        while idle:
            connection = idle.pop()
            if self._is_usable(connection, now):
                return connection
            connection.transport.close()
        return None

    def _is_usable(self, connection: UpstreamConnection, now: float) -> bool:
        if connection.closed or not connection.reusable:
            return False
        limit = connection.keep_alive_seconds * KEEP_ALIVE_SHARE or DEFAULT_IDLE_SECONDS
        return now - connection.idle_since < limit

    def _add_idle(self, server: str, connection: UpstreamConnection) -> None:
        if not server:
            connection.transport.close()
            return
        connection.idle_since = self.clock()
        idle = self.idle.setdefault(server, [])
        if len(idle) >= MAX_IDLE_PER_SERVER:
            connection.transport.close()
            return
        idle.append(connection)
