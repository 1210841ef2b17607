"""
Pool.

Connections to servers, kept while they are surely alive.
"""

import asyncio
import time
from collections.abc import Callable

from kumquatway_gateway.http1._upstream import UpstreamConnection

CONNECT_SECONDS = 0.3  # 100 times the way to a server and back
IDLE_SECONDS = 4.0  # where a server does not say how long it keeps a connection
KEEP_ALIVE_SHARE = 0.5  # of the time that a server says
MAX_IDLE = 64  # connections kept for one server


class Unreachable(Exception):
    """
    No connection could be made, so that no byte of a request left.

    :param refused: whether the VM said that nothing listens there.
    """

    def __init__(self, message: str, *, refused: bool = False):
        super().__init__(message)
        self.refused = refused


class Pool:
    """
    Connections by server.

    :param clock: monotonic seconds.
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic):
        self.clock = clock
        self.idle: dict[str, list[UpstreamConnection]] = {}

    async def connect(
        self, server: str, address: str, timeout: float = CONNECT_SECONDS
    ) -> UpstreamConnection:
        """
        Give a connection, a kept one where there is one.

        :param server: id of the server's life, so that an address is never mixed up.
        :param address: `host:port`.
        :param timeout: for a new connection, seconds.
        :return: the connection, for one request.
        :raises Unreachable: if the server does not take the connection in time.
        """
        kept = self._take(server)
        if kept is not None:
            return kept
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()

        def released(connection: UpstreamConnection) -> None:
            self._keep(server, connection)

        def protocol() -> UpstreamConnection:
            return UpstreamConnection(released=released)

        try:
            async with asyncio.timeout(timeout):
                _, connection = await loop.create_connection(protocol, host, int(port))
        except TimeoutError as error:
            raise Unreachable(f"{address} did not answer in {timeout} s") from error
        except (OSError, ValueError) as error:
            refused = isinstance(error, ConnectionRefusedError)
            raise Unreachable(f"{address}: {error}", refused=refused) from error
        return connection

    def forget(self, server: str) -> None:
        """
        Close the connections kept to a server.

        :param server: id of the server's life.
        """
        for connection in self.idle.pop(server, ()):
            connection.abandon()

    def sweep(self) -> None:
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
            self.forget(server)

    def _take(self, server: str) -> UpstreamConnection | None:
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
        limit = connection.keep_alive * KEEP_ALIVE_SHARE or IDLE_SECONDS
        return now - connection.idle_since < limit

    def _keep(self, server: str, connection: UpstreamConnection) -> None:
        connection.idle_since = self.clock()
        kept = self.idle.setdefault(server, [])
        if len(kept) >= MAX_IDLE:
            connection.transport.close()
            return
        kept.append(connection)
