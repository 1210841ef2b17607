"""
Relay.

A link between two processes that can be slow, narrow or silent.
"""

import time
from collections import deque
from dataclasses import dataclass

import anyio
from anyio.abc import ByteStream, SocketAttribute

from kumquatway_fakes._sockets import reset_on_close


@dataclass(kw_only=True, slots=True)
class LinkFaults:
    """
    What the link does now; changed at run time.

    :param delay: one way, seconds.
    :param bytes_per_second: bandwidth each way of each connection; 0 has no bound.
    :param refusing: new connections are closed at once.
    """

    delay: float = 0.0
    bytes_per_second: float = 0.0
    refusing: bool = False


class _Connection:
    """One connection through the link."""

    def __init__(self):
        self.silent = False
        self.was_reset = False  # by either end


class Relay:
    """
    A link to one address.

    :param listen: `host:port` where it takes connections.
    :param target: `host:port` where it leads.
    """

    def __init__(self, *, listen: str, target: str):
        self.listen = listen
        self.target = target
        self.faults = LinkFaults()
        self.connections: set[_Connection] = set()
        self.accepted = 0

    def silence(self) -> int:
        """
        Lose track of every open connection; new ones work.

        :return: connections that fell silent.
        """
        for connection in self.connections:
            connection.silent = True
        return len(self.connections)

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Carry bytes until cancelled."""
        host, _, port = self.listen.rpartition(":")
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port)
        )
        async with listener:
            task_status.started()
            await listener.serve(self._carry)

    async def _carry(self, near: ByteStream) -> None:
        self.accepted += 1
        connection = _Connection()
        async with near:
            if self.faults.refusing:
                return
            host, _, port = self.target.rpartition(":")
            try:
                far = await anyio.connect_tcp(host, int(port))
            except OSError:
                return
            async with far:
                self.connections.add(connection)
                try:
                    await self._join(near, far, connection)
                finally:
                    self.connections.discard(connection)
                    for stream in (near, far):
                        raw = stream.extra(SocketAttribute.raw_socket)
                        reset_on_close(raw, connection.was_reset)

    async def _join(
        self, near: ByteStream, far: ByteStream, connection: _Connection
    ) -> None:
        async with anyio.create_task_group() as group:

            async def one_way(source: ByteStream, sink: ByteStream) -> None:
                await self._pump(source, sink, connection)
                if not connection.silent:
                    group.cancel_scope.cancel()

            group.start_soon(one_way, near, far)
            group.start_soon(one_way, far, near)

    async def _pump(
        self, source: ByteStream, sink: ByteStream, connection: _Connection
    ) -> None:
        """
        Carry bytes one way until their source ends.

        What is under way does not hold up the reading, and is delivered in the end.
        """
        under_way: deque[tuple[float, bytes]] = deque()
        wake = anyio.Event()
        ended = False
        free_at = 0.0

        async def deliver() -> None:
            nonlocal wake
            while under_way or not ended:
                if not under_way:
                    wake = anyio.Event()
                    await wake.wait()
                    continue
                due, data = under_way.popleft()
                await anyio.sleep(max(due - time.monotonic(), 0))
                if connection.silent:
                    await anyio.sleep_forever()
                try:
                    await sink.send(data)
                except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                    return

        async with anyio.create_task_group() as group:
            group.start_soon(deliver)
            try:
                async for data in source:
                    now = time.monotonic()
                    free_at = max(free_at, now) + self._seconds(len(data))
                    under_way.append((free_at + self.faults.delay, data))
                    wake.set()
            except anyio.BrokenResourceError:
                connection.was_reset = True
            except anyio.ClosedResourceError:
                pass
            if connection.silent:
                await anyio.sleep_forever()
            ended = True
            wake.set()

    def _seconds(self, size: int) -> float:
        if not self.faults.bytes_per_second:
            return 0.0
        return size / self.faults.bytes_per_second
