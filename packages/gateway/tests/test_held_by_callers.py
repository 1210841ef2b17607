"""Tests that what callers send, and do not read, stays within memory."""

import asyncio

import pytest

from kumquatway_core.memory import MemoryBudget
from kumquatway_fakes import free_address
from kumquatway_gateway.http1 import Listener
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
