"""
Pool.

Connections to servers, kept while they are surely alive.
"""

import asyncio
import time
from collections.abc import Callable

from kumquatway_gateway.http1._upstream import UpstreamConnection

CONNECT_TIMEOUT_SECONDS = 0.3  # 100 times the way to a server and back
DEFAULT_IDLE_SECONDS = 4.0  # where a server does not say how long it keeps a connection
KEEP_ALIVE_SHARE = 0.5  # of the time that a server says
MAX_IDLE_PER_SERVER = 64  # connections kept for one server


class Unreachable(Exception):
    """
    No connection could be made, so that no byte of a request left.

    :param refused: whether the VM said that nothing listens there.
    """

    def __init__(self, message: str, *, refused: bool = False):
        super().__init__(message)
        self.refused = refused


class ConnectionPool:
    """
    Connections by server.

    :param clock: monotonic seconds.
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic):
        self.clock = clock
        self.idle: dict[str, list[UpstreamConnection]] = {}

    async def connect(
        self, server: str, address: str, timeout: float = CONNECT_TIMEOUT_SECONDS
    ) -> UpstreamConnection:
        """
        Give a connection, a kept one where there is one.

        :param server: id of the server's life, so that an address is never mixed up.
        :param address: `host:port`.
        :param timeout: for a new connection, seconds.
        :return: the connection, for one request.
        :raises Unreachable: if the server does not take the connection in time.
        """
        kept = self._take_idle(server)
        if kept is not None:
            return kept
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()

        def released(connection: UpstreamConnection) -> None:
            self._add_idle(server, connection)

        def protocol() -> UpstreamConnection:
            return UpstreamConnection(on_reusable=released)

        try:
            async with asyncio.timeout(timeout):
                _, connection = await loop.create_connection(protocol, host, int(port))
        except TimeoutError as error:
            raise Unreachable(f"{address} did not answer in {timeout} s") from error
        except (OSError, ValueError) as error:
            refused = isinstance(error, ConnectionRefusedError)
            raise Unreachable(f"{address}: {error}", refused=refused) from error
        return connection

    def close_idle(self, server: str) -> None:
        """
        Close the connections kept to a server.

        :param server: id of the server's life.
        """
        for connection in self.idle.pop(server, ()):
            connection.abandon()

    def close_expired(self) -> None:
        """Close connections that were idle for long."""
        now = self.clock()
        for server, kept in list(self.idle.items()):
            fresh = [one for one in kept if self._is_fresh(one, now)]
            for one in kept:
                if one not in fresh:
                    one.transport.close()
            if fresh:
                self.idle[server] = fresh
            else:
                del self.idle[server]

    def close(self) -> None:
        """Close every kept connection."""
        for server in list(self.idle):
            self.close_idle(server)

    def _take_idle(self, server: str) -> UpstreamConnection | None:
        kept = self.idle.get(server)
        now = self.clock()
        while kept:
            connection = kept.pop()
            if self._is_fresh(connection, now):
                return connection
            connection.transport.close()
        return None

    def _is_fresh(self, connection: UpstreamConnection, now: float) -> bool:
        if connection.closed or not connection.reusable:
            return False
        limit = connection.keep_alive_seconds * KEEP_ALIVE_SHARE or DEFAULT_IDLE_SECONDS
        return now - connection.idle_since < limit

    def _add_idle(self, server: str, connection: UpstreamConnection) -> None:
        connection.idle_since = self.clock()
        kept = self.idle.setdefault(server, [])
        if len(kept) >= MAX_IDLE_PER_SERVER:
            connection.transport.close()
            return
        kept.append(connection)
