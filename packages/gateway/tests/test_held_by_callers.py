"""Tests that what callers send, and do not read, stays within memory."""

import asyncio

import pytest

from kumquatway_core.memory import MemoryBudget
from kumquatway_fakes import free_address
from kumquatway_gateway.http1 import (
    CallerConnection,
    ConnectionPool,
    Exchange,
    Listener,
    RequestBodies,
    ResponseEnd,
    UpstreamConnection,
)
from kumquatway_gateway.model import Limits


class TestCallersThatDoNotRead:
    """Responses that were complete, and had yet to leave, counted nowhere."""

    def test_are_bounded_together(self):
        body = bytes(12 << 20)  # more than the kernel takes

        async def serve(caller, incoming):
            caller.respond(200, [], body, keep_alive=True)

        async def scenario():
            memory = MemoryBudget(max_bytes=16 << 20)
            listener = Listener(limits=Limits, serve=serve, memory=memory)
            address = free_address()
            await listener.start(address)
            host, _, port = address.rpartition(":")
            callers = []
            for _ in range(3):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
                callers.append((reader, writer))
            async with asyncio.timeout(10):
                while len(listener.connections) != 1:
                    await asyncio.sleep(0.01)
            assert 0 < memory.held <= memory.max_bytes
            for _, writer in callers:
                writer.close()
            listener.close()

        asyncio.run(scenario())


class _SlowTransport:
    """The transport of a connection whose caller does not read."""

    def __init__(self, host: str, unsent: int):
        self.host = host
        self.unsent = unsent

    def get_extra_info(self, name: str) -> tuple[str, int] | None:
        return (self.host, 1) if name == "peername" else None

    def get_write_buffer_size(self) -> int:
        return self.unsent

    def abort(self) -> None:
        self.unsent = 0


class TestManyCallersThatDoNotRead:
    """Each held little, so that the server with most responses lost one of them."""

    @pytest.mark.parametrize("connections", [64, 100, 400])
    def test_lose_before_the_responses_of_a_sound_server(self, connections):
        body = bytes(160_000)

        async def scenario():
            memory = ConnectionPool().memory
            tasks = []
            for number in range(connections):
                caller = CallerConnection(
                    limits=Limits,
                    serve=None,
                    bodies=RequestBodies(),
                    memory=memory,
                    on_opened=lambda caller: None,
                    on_closed=lambda caller: None,
                )
                caller.transport = _SlowTransport(
                    f"192.0.2.{number % 4}", int(memory.max_bytes) // connections
                )
                tasks.append(asyncio.create_task(caller.flush()))
            await asyncio.sleep(0)
            assert memory.held > memory.max_bytes * 0.99
            ends = [self._receive(memory, body) for _ in range(8)]
            for connection, _ in ends:
                connection.data_received(body[80_000:])
            assert [end.result() for _, end in ends] == [ResponseEnd.COMPLETE] * 8
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            assert memory.held == 0

        asyncio.run(scenario())

    @staticmethod
    def _receive(memory, body):
        """Receive half of a response; return its connection and its end."""
        connection = UpstreamConnection(
            on_reusable=lambda connection: None, memory=memory, sender="sound"
        )
        connection.connection_made(_SlowTransport("", 0))
        exchange = Exchange()
        connection.transport.write = lambda data: None
        connection.send(exchange, b"")
        connection.data_received(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        )
        connection.data_received(body[:80_000])
        return connection, exchange.ended


class TestSmallObjectsOfCallers:
    """Requests of many small fields or chunks."""

    @pytest.mark.parametrize("filler", [b"a: b\r\n", b"a:\r\n"])
    def test_a_head_of_too_many_fields_is_rejected(self, filler):
        async def scenario():
            listener = Listener(limits=Limits, serve=None)
            address = free_address()
            await listener.start(address)
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET / HTTP/1.1\r\n" + filler * 1000)
            async with asyncio.timeout(5):
                assert b" 431 " in await reader.readline()
            writer.close()
            listener.close()

        asyncio.run(scenario())
