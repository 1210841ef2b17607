"""Tests that callers know for how long they may use an idle connection."""

import asyncio
import errno
import time
from asyncio.trsock import TransportSocket
from dataclasses import replace

import pytest

from kumquatway_fakes import free_address
from kumquatway_gateway.http1 import CallerConnection, IncomingRequest, Listener
from kumquatway_gateway.model import Limits

REQUEST = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"
KEPT_SECONDS = 2


class _Site:
    """A listener whose limits may change, and that streams where it is asked to."""

    def __init__(self, idle_seconds: float = 15.0):
        self.limits = Limits(idle_seconds=idle_seconds)
        self.address = free_address()
        self.listener = Listener(
            limits=lambda: self.limits, serve=self._serve, kept_seconds=KEPT_SECONDS
        )

    async def _serve(self, caller: CallerConnection, incoming: IncomingRequest) -> None:
        if incoming.target == "/stream":
            caller.start_stream(200, [], keep_alive=True)
            caller.end_stream()
        else:
            caller.respond(200, [], b"ok", keep_alive=True)

    def change_idle_seconds(self, idle_seconds: float) -> None:
        self.limits = replace(self.limits, idle_seconds=idle_seconds)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = self.address.rpartition(":")
        return await asyncio.open_connection(host, int(port))

    async def wait_until(self, condition) -> None:
        async with asyncio.timeout(10):
            while not condition():
                await asyncio.sleep(0.01)


def _run(scenario, **options) -> None:
    async def run():
        site = _Site(**options)
        await site.listener.start(site.address)
        try:
            async with asyncio.timeout(20):
                await scenario(site)
        finally:
            site.listener.close()

    asyncio.run(run())


async def _call(reader, writer, request: bytes = REQUEST) -> bytes:
    """Send a request; return the head of its response in lower case."""
    writer.write(request)
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    await reader.readuntil(b"0\r\n\r\n" if b"chunked" in head else b"ok")
    return head


class TestCallersAreTold:
    """They took the idle time of the configuration, and sent as a connection closed."""

    @pytest.mark.parametrize(
        ("idle_seconds", "told"), [(15.0, b"2"), (2.5, b"2"), (1.5, b"1"), (1.0, None)]
    )
    @pytest.mark.parametrize("path", [b"/x", b"/stream"])
    def test_for_how_long_a_connection_stays_open(self, path, idle_seconds, told):
        async def scenario(site):
            reader, writer = await site.connect()
            head = await _call(reader, writer, REQUEST.replace(b"/x", path))
            if told is None:
                assert b"keep-alive" not in head
            else:
                assert b"keep-alive: timeout=" + told + b"\r\n" in head
            writer.close()

        _run(scenario, idle_seconds=idle_seconds)

    def test_nothing_of_it_where_the_connection_closes(self):
        async def scenario(site):
            for request in (
                REQUEST.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"),
                REQUEST.replace(b"HTTP/1.1", b"HTTP/1.0"),
            ):
                reader, writer = await site.connect()
                assert b"keep-alive" not in await _call(reader, writer, request)
                writer.close()
            site.listener.drain()
            reader, writer = await site.connect()
            head = await _call(reader, writer)
            assert b"connection: close" in head
            assert b"keep-alive" not in head
            writer.close()

        _run(scenario)


class TestTheTimeThatCallersWereTold:
    """A change of the configuration or a stop closed connections before it was over."""

    def test_outlasts_a_shorter_idle_time(self):
        async def scenario(site):
            reader, writer = await site.connect()
            await _call(reader, writer)
            answered = time.monotonic()
            site.change_idle_seconds(0.1)
            [connection] = site.listener.connections
            connection.wakeup.set()  # as if it looked at its limits again
            await site.wait_until(
                lambda: time.monotonic() >= answered + KEPT_SECONDS - 0.1
            )
            await _call(reader, writer)
            writer.close()

        _run(scenario)

    def test_is_waited_for_at_a_stop(self):
        async def scenario(site):
            reader, writer = await site.connect()
            await _call(reader, writer)
            answered = time.monotonic()
            site.listener.drain()
            assert site.listener.awaited_connections == 1
            await site.wait_until(lambda: not site.listener.awaited_connections)
            assert time.monotonic() >= answered + KEPT_SECONDS
            writer.close()

        _run(scenario)

    def test_is_not_waited_for_once_a_caller_was_told_of_the_close(self):
        async def scenario(site):
            reader, writer = await site.connect()
            await _call(reader, writer)
            site.listener.drain()
            assert b"connection: close" in await _call(reader, writer)
            assert not site.listener.awaited_connections
            writer.close()

        _run(scenario)

    def test_begins_with_the_end_of_a_stream(self):
        async def scenario(site):
            ends = asyncio.Event()

            async def stream(caller, incoming):
                caller.start_stream(200, [], keep_alive=True)
                site.listener.drain()
                await ends.wait()
                caller.end_stream()

            site.listener.serve = stream
            reader, writer = await site.connect()
            call = asyncio.create_task(_call(reader, writer))
            await site.wait_until(lambda: site.listener.draining)
            await asyncio.sleep(0.2)
            ends.set()
            assert b"keep-alive" in await call
            ended = time.monotonic()
            await site.wait_until(lambda: not site.listener.requests_in_progress)
            assert site.listener.awaited_connections == 1
            await site.wait_until(lambda: not site.listener.awaited_connections)
            assert time.monotonic() >= ended + KEPT_SECONDS
            writer.close()

        _run(scenario)


class TestNoFreeDescriptorAtAStop:
    """The stop of the entry failed, and with it the requests in progress ended."""

    def test_listener_closes(self, monkeypatch):
        async def scenario(site):
            def fail(self):
                raise OSError(errno.EMFILE, "too many open files")

            reader, writer = await site.connect()
            await _call(reader, writer)
            monkeypatch.setattr(TransportSocket, "dup", fail)
            await site.listener.accept_and_close()
            with pytest.raises(ConnectionRefusedError):
                await site.connect()
            await _call(reader, writer)
            writer.close()

        _run(scenario)
