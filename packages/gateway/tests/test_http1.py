"""Tests of HTTP/1.1 towards callers and servers, over real connections."""

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable
from types import SimpleNamespace

import pytest
from loguru import logger
from virtual_time import virtual_time

from kumquatway_fakes import free_address, reset_on_close
from kumquatway_gateway.http1 import (
    CallerConnection,
    ConnectionPool,
    Exchange,
    Fetcher,
    FetchFailed,
    IncomingRequest,
    Listener,
    RequestBodies,
    ResponseEnd,
    ResponseFraming,
    Unreachable,
    render_request,
)
from kumquatway_gateway.http1._request_bodies import SMALL_BODY_BYTES
from kumquatway_gateway.model import Limits

SMALL = Limits(header_bytes=512, body_bytes=64, header_seconds=0.2, idle_seconds=0.3)


class _EchoListener:
    """A listener that records its requests and echoes their bodies."""

    def __init__(self, limits: Limits = SMALL, bodies: RequestBodies | None = None):
        self.requests: list[IncomingRequest] = []
        self.cancelled = False
        self.may_respond: asyncio.Event | None = None
        self.address = free_address()
        self.listener = Listener(
            limits=lambda: limits, serve=self._serve, bodies=bodies
        )

    async def _serve(self, caller: CallerConnection, incoming: IncomingRequest) -> None:
        self.requests.append(incoming)
        try:
            if self.may_respond is not None:
                await self.may_respond.wait()
        except asyncio.CancelledError:
            self.cancelled = True
            raise
        caller.respond(200, [], b"ok:" + incoming.body, keep_alive=True)

    async def send(self, data: bytes, *, more: bytes = b"") -> bytes:
        """Send bytes on a new connection; return what is received until it closes."""
        host, _, port = self.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        await writer.drain()
        if more:
            await asyncio.sleep(0.02)
            writer.write(more)
        async with asyncio.timeout(5):
            received = await reader.read()
        writer.close()
        return received


def run_scenario(
    scenario: Callable[[_EchoListener], Awaitable[None]],
    limits: Limits = SMALL,
    bodies: RequestBodies | None = None,
) -> None:
    async def run():
        echo = _EchoListener(limits, bodies)
        await echo.listener.start(echo.address)
        try:
            await scenario(echo)
        finally:
            echo.listener.close()

    asyncio.run(run())


def _post(body: bytes, *fields: bytes) -> bytes:
    head = b"POST /x HTTP/1.1\r\nHost: a\r\n"
    for line in fields:
        head += line + b"\r\n"
    return head + b"\r\n" + body


class TestHead:
    """The response to HEAD had a body, which the caller took for the next response."""

    def _head(self, echo: _EchoListener):
        head = b"HEAD /x HTTP/1.1\r\nHost: a\r\n\r\n"
        last = _post(b"z", b"Content-Length: 1", b"Connection: close")
        return echo.send(head + last)

    def test_has_no_body(self):
        async def scenario(echo):
            first, second, rest = (await self._head(echo)).split(b"\r\n\r\n")
            assert b"Content-Length: 3" in first
            assert second.startswith(b"HTTP/1.1 200")
            assert rest == b"ok:z"

        run_scenario(scenario)

    def test_has_no_streamed_body(self):
        async def scenario(echo):
            respond = echo.listener.serve

            async def stream(caller, incoming):
                if incoming.method != "HEAD":
                    await respond(caller, incoming)
                    return
                caller.start_stream(200, [], keep_alive=True)
                caller.write_chunk(b"abc")
                caller.end_stream()

            echo.listener.serve = stream
            _, second, rest = (await self._head(echo)).split(b"\r\n\r\n")
            assert second.startswith(b"HTTP/1.1 200")
            assert rest == b"ok:z"

        run_scenario(scenario)


UPGRADE = (
    b"Connection: Upgrade, HTTP2-Settings",
    b"Upgrade: h2c",
    b"HTTP2-Settings: AAMAAABkAARAAAAAAAIAAAAA",
)


class TestUpgradeOffer:
    """A request that offered another protocol ran with an empty body (review/1)."""

    @pytest.mark.parametrize(
        ("framing", "body"),
        [
            (b"Content-Length: 3", b"abc"),
            (b"Transfer-Encoding: chunked", b"3\r\nabc\r\n0\r\n\r\n"),
        ],
    )
    @pytest.mark.parametrize("split", [0, 1, 60, 140, 150])
    def test_is_ignored(self, framing, body, split):
        async def scenario(echo):
            data = _post(body, *UPGRADE, framing)
            last = _post(b"z", b"Content-Length: 1", b"Connection: close")
            received = await echo.send(data[:split], more=data[split:] + last)
            assert received.count(b"HTTP/1.1 200") == 2
            assert [request.body for request in echo.requests] == [b"abc", b"z"]
            names = {name.lower() for name, _ in echo.requests[0].headers.fields}
            assert not names & {b"upgrade", b"http2-settings", b"connection"}

        run_scenario(scenario, Limits())

    def test_is_ignored_in_many_pipelined_requests(self):
        """The connection was closed, with all requests on it unanswered."""
        caller = CallerConnection(
            limits=Limits,
            serve=None,
            bodies=RequestBodies(),
            on_opened=None,
            on_closed=None,
        )
        caller.transport = SimpleNamespace(pause_reading=lambda: None)
        caller.data_received(_post(b"a", *UPGRADE, b"Content-Length: 1") * 2000)
        assert [request.body for request in caller.pending] == [b"a"] * 2000

    def test_other_options_of_the_connection_hold(self):
        async def scenario(echo):
            fields = (b"Connection: Upgrade, close", b"Upgrade: x")
            received = await echo.send(_post(b"abc", *fields, b"Content-Length: 3"))
            assert b"ok:abc" in received
            assert not echo.requests[0].keep_alive

        run_scenario(scenario)

    @pytest.mark.parametrize(
        "start",
        [
            b"CONNECT a:80 HTTP/1.1",
            b"GET / HTTP/1.0\r\nConnection: upgrade\r\nUpgrade: x",
        ],
    )
    def test_what_cannot_be_ignored_is_rejected(self, start):
        async def scenario(echo):
            received = await echo.send(start + b"\r\nHost: a\r\n\r\n")
            assert received.startswith(b"HTTP/1.1 400")
            assert not echo.requests

        run_scenario(scenario)


class TestRequests:
    """Requests of callers."""

    def test_pipelined_requests_are_answered_in_order(self):
        async def scenario(echo):
            first = _post(b"1", b"Content-Length: 1")
            second = _post(b"2", b"Content-Length: 1", b"Connection: close")
            received = await echo.send(first + second)
            assert received.index(b"ok:1") < received.index(b"ok:2")

        run_scenario(scenario)

    def test_chunked_body_is_joined(self):
        async def scenario(echo):
            data = _post(
                b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
                b"Transfer-Encoding: chunked",
                b"Connection: close",
            )
            assert b"ok:abc" in await echo.send(data)

        run_scenario(scenario)

    def test_body_in_several_packets(self):
        async def scenario(echo):
            data = _post(b"a", b"Content-Length: 3", b"Connection: close")
            assert b"ok:abc" in await echo.send(data, more=b"bc")

        run_scenario(scenario)

    def test_expect_continue(self):
        async def scenario(echo):
            data = _post(
                b"", b"Content-Length: 1", b"Expect: 100-continue", b"Connection: close"
            )
            received = await echo.send(data, more=b"x")
            assert received.startswith(b"HTTP/1.1 100 ")
            assert b"ok:x" in received

        run_scenario(scenario)

    def test_expect_continue_waits_for_the_response_before(self):
        """An interim response was written into the body of another response."""

        async def scenario(echo):
            respond = echo.listener.serve

            async def stream(caller, incoming):
                if incoming.body:
                    await respond(caller, incoming)
                    return
                caller.start_stream(200, [], keep_alive=True)
                caller.write_chunk(b"a")
                async with asyncio.timeout(5):
                    while not caller._reading_body:
                        await asyncio.sleep(0.01)
                caller.write_chunk(b"b")
                caller.end_stream()

            echo.listener.serve = stream
            second = _post(b"", b"Content-Length: 1", b"Expect: 100-continue")
            host, _, port = echo.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(_post(b"", b"Content-Length: 0"))
            async with asyncio.timeout(5):
                await reader.readuntil(b"1\r\na\r\n")
                writer.write(second)
                assert await reader.readuntil(b"0\r\n\r\n") == b"1\r\nb\r\n0\r\n\r\n"
                assert (await reader.readline()).startswith(b"HTTP/1.1 100 ")
                writer.write(b"x")
                assert (await reader.readuntil(b"ok:x")).count(b"HTTP/1.1 ") == 1
            writer.close()

        run_scenario(scenario)

    @pytest.mark.parametrize(
        ("data", "status"),
        [
            (
                _post(
                    b"0\r\n\r\nGET /y HTTP/1.1\r\n\r\n",
                    b"Content-Length: 4",
                    b"Transfer-Encoding: chunked",
                ),
                b"400",
            ),
            (_post(b"ab", b"Content-Length: 1", b"Content-Length: 2"), b"400"),
            (_post(b"", b"Content-Length: +1"), b"400"),
            (_post(b"", b"Transfer-Encoding: chunked, identity"), b"400"),
            (_post(b"", b"Bad Field: x"), b"400"),
            (b"nonsense\r\n\r\n", b"400"),
            (_post(b"", b"Long: " + b"x" * 600), b"431"),
            (_post(b"", b"Content-Length: 100"), b"413"),
            (
                _post(
                    b"60\r\n" + b"x" * 96 + b"\r\n0\r\n\r\n",
                    b"Transfer-Encoding: chunked",
                ),
                b"413",
            ),
        ],
    )
    def test_invalid_request_is_not_served(self, data, status):
        async def scenario(echo):
            received = await echo.send(data)
            assert received.startswith(b"HTTP/1.1 " + status), received
            assert not echo.requests

        run_scenario(scenario)

    def test_incomplete_head_times_out(self):
        async def scenario(echo):
            received = await echo.send(b"GET /x HTTP/1.1\r\nHost:")
            assert received.startswith(b"HTTP/1.1 408")

        run_scenario(scenario)

    def test_idle_connection_is_closed_without_a_response(self):
        async def scenario(echo):
            assert await echo.send(b"") == b""

        run_scenario(scenario)

    def test_request_is_cancelled_when_the_caller_disconnects(self):
        async def scenario(echo):
            echo.may_respond = asyncio.Event()
            host, _, port = echo.address.rpartition(":")
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(_post(b"", b"Content-Length: 0"))
            async with asyncio.timeout(5):
                while not echo.requests:
                    await asyncio.sleep(0.01)
                writer.close()
                while not echo.cancelled:
                    await asyncio.sleep(0.01)

        run_scenario(scenario)

    def test_request_is_cancelled_when_a_slow_caller_disconnects(self):
        """Load pattern: callers on a congested link disconnect during a response."""

        async def scenario(echo):
            async def stream(caller, incoming):
                caller.start_stream(200, [], keep_alive=True)
                while not caller.writing_paused:
                    caller.write_chunk(bytes(65536))
                echo.requests.append(incoming)
                try:
                    await asyncio.sleep(3600)
                except asyncio.CancelledError:
                    echo.cancelled = True
                    raise

            echo.listener.serve = stream
            host, _, port = echo.address.rpartition(":")
            with socket.create_connection((host, int(port))) as caller:
                caller.sendall(_post(b"", b"Content-Length: 0"))
                async with asyncio.timeout(5):
                    while not echo.requests:
                        await asyncio.sleep(0.01)
                    caller.shutdown(socket.SHUT_WR)
                    while not echo.cancelled:
                        await asyncio.sleep(0.01)

        run_scenario(scenario)

    def test_http_1_0_response_is_not_chunked(self):
        async def scenario(echo):
            async def stream(caller, incoming):
                caller.start_stream(200, [], keep_alive=True)
                caller.write_chunk(b"a piece")
                caller.end_stream()

            echo.listener.serve = stream
            received = await echo.send(b"GET /x HTTP/1.0\r\n\r\n")
            assert received.endswith(b"\r\n\r\na piece")
            assert b"chunked" not in received

        run_scenario(scenario)

    def test_broken_off_http_1_0_response_does_not_look_complete(self):
        async def scenario(echo):
            async def break_off(caller, incoming):
                caller.start_stream(200, [], keep_alive=True)
                caller.write_chunk(b"half")
                await asyncio.sleep(0.02)
                caller.abort()

            echo.listener.serve = break_off
            with pytest.raises(ConnectionResetError):
                await echo.send(b"GET /x HTTP/1.0\r\n\r\n")

        run_scenario(scenario)

    def test_pipelined_requests_are_answered_during_drain(self):
        async def scenario(echo: _EchoListener) -> None:
            echo.listener.drain()
            first = _post(b"one", b"Content-Length: 3")
            last = _post(b"three", b"Content-Length: 5")
            received = await echo.send(2 * first + last[:-3], more=last[-3:])
            assert received.count(b"200 OK") == 3
            assert received.count(b"Connection: close") == 1
            assert received.endswith(b"ok:three")

        run_scenario(scenario)

    def test_pipelined_requests_are_answered_once_the_connection_is_to_close(self):
        async def scenario(echo: _EchoListener) -> None:
            echo.may_respond = asyncio.Event()
            data = _post(b"one", b"Content-Length: 3")
            sent = asyncio.create_task(echo.send(2 * data))
            while not echo.requests:
                await asyncio.sleep(0.01)
            echo.listener.close_when_idle()
            echo.may_respond.set()
            assert (await sent).count(b"200 OK") == 2

        run_scenario(scenario)

    def test_response_during_drain_closes_the_connection(self):
        async def scenario(echo):
            echo.listener.drain()
            received = await echo.send(_post(b"", b"Content-Length: 0"))
            assert b"Connection: close" in received

        run_scenario(scenario)


def _half_close(caller: socket.socket) -> None:
    caller.shutdown(socket.SHUT_WR)


def _reset(caller: socket.socket) -> None:
    reset_on_close(caller)
    caller.close()


async def _opened(echo: _EchoListener) -> list[CallerConnection]:
    """Wait until a connection is open, and return all that are."""
    async with asyncio.timeout(5):
        while not echo.listener.connections:
            await asyncio.sleep(0.001)
    return list(echo.listener.connections)


async def _served(echo: _EchoListener) -> list[IncomingRequest]:
    """Wait until a request was served and its connection is idle, and return all."""
    async with asyncio.timeout(5):
        while not echo.requests or echo.listener.unfinished_requests:
            await asyncio.sleep(0.001)
    return echo.requests


class TestRequestOfACallerThatHasLeft:
    """
    Requests were sent on to servers long after their callers had left (GONE).

    Load pattern: this process is late to read a request, and the caller leaves before.
    """

    @pytest.mark.parametrize("leave", [socket.socket.close, _half_close, _reset])
    @pytest.mark.parametrize("kept", [False, True])
    def test_is_not_served(self, leave, kept):
        async def scenario(echo):
            host, _, port = echo.address.rpartition(":")
            caller = socket.create_connection((host, int(port)))
            [connection] = await _opened(echo)
            served = 0
            if kept:
                caller.sendall(_post(b"", b"Content-Length: 0"))
                served = len(await _served(echo))
            # Nothing runs in between, so both wait to be read by the next iteration.
            caller.sendall(_post(b"", b"Content-Length: 0"))
            leave(caller)
            async with asyncio.timeout(5):
                await connection.task
            caller.close()
            assert len(echo.requests) == served

        run_scenario(scenario, Limits())


@pytest.mark.parametrize("leave", [socket.socket.close, _half_close, _reset])
class TestCallerThatLeavesWhileNothingIsRead:
    """
    Its request went on, and so did those that it had sent after it.

    Load pattern: reading is paused, as many requests wait behind the one in progress or
    the body of the next one has to wait for memory.
    """

    def _leave(self, leave, requests: bytes, bodies: RequestBodies | None = None):
        """Send requests, and leave while the first one is in progress."""

        async def scenario(echo):
            echo.may_respond = asyncio.Event()
            host, _, port = echo.address.rpartition(":")
            caller = socket.create_connection((host, int(port)))
            [connection] = await _opened(echo)
            caller.sendall(requests)
            async with asyncio.timeout(5):
                while not echo.requests or connection.transport.is_reading():
                    await asyncio.sleep(0.001)
            leave(caller)
            async with asyncio.timeout(0.5):
                await asyncio.wait([connection.task])
            caller.close()
            assert echo.cancelled
            assert len(echo.requests) == 1

        with virtual_time():
            run_scenario(scenario, Limits(), bodies)

    def test_behind_many_requests(self, leave):
        self._leave(leave, _post(b"", b"Content-Length: 0") * 8)

    def test_behind_a_body_that_waits_for_memory(self, leave):
        size = SMALL_BODY_BYTES
        length = b"Content-Length: %d" % size
        first = _post(b"x" * size, length)
        bodies = RequestBodies(max_bytes=1.5 * size)
        self._leave(leave, first + _post(b"y" * 8, length), bodies)


class TestParserCallbackThatFails:
    """An error of this program was taken for one of the other side."""

    def test_the_request_is_refused_as_not_run(self, monkeypatch):
        def fail(connection):
            raise ZeroDivisionError

        async def scenario(echo):
            monkeypatch.setattr(CallerConnection, "on_message_complete", fail)
            received = await echo.send(_post(b"", b"Content-Length: 0"))
            assert received.startswith(b"HTTP/1.1 503")

        run_scenario(scenario)

    def test_an_error_in_the_sink_of_a_response_is_logged(self):
        def fail(data):
            raise ZeroDivisionError("in the sink")

        async def scenario():
            lines = []
            handler = logger.add(lines.append, format="{message} {exception}")
            response = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"
            async with _Server(response) as server:
                connection = await ConnectionPool().connect("s", server.address)
                exchange = Exchange()
                exchange.relay_to(fail, max_bytes=0)
                connection.send(exchange, render_request("GET", "/", [(b"Host", b"a")]))
                async with asyncio.timeout(5):
                    assert await exchange.ended is ResponseEnd.GARBLED
            logger.remove(handler)
            assert any("in the sink" in line for line in lines)

        asyncio.run(scenario())


class TestHandlerThatFails:
    """A request whose handler raised an exception ended without an answer."""

    def test_is_answered_and_so_is_the_next_request(self):
        async def scenario(echo):
            respond = echo.listener.serve

            async def fail(caller, incoming):
                if incoming.body == b"1":
                    raise ZeroDivisionError
                await respond(caller, incoming)

            echo.listener.serve = fail
            first = _post(b"1", b"Content-Length: 1")
            second = _post(b"2", b"Content-Length: 1", b"Connection: close")
            received = await echo.send(first + second)
            assert received.startswith(b"HTTP/1.1 500")
            assert received.endswith(b"ok:2")

        run_scenario(scenario)

    def test_aborts_a_response_that_has_begun(self):
        async def scenario(echo):
            async def fail(caller, incoming):
                caller.start_stream(200, [], keep_alive=True)
                caller.write_chunk(b"half")
                raise ZeroDivisionError

            echo.listener.serve = fail
            received = await echo.send(_post(b"", b"Content-Length: 0"))
            assert received.startswith(b"HTTP/1.1 200")
            assert not received.endswith(b"0\r\n\r\n")

        run_scenario(scenario)

    def test_keeps_a_response_that_is_complete(self):
        async def scenario(echo):
            respond = echo.listener.serve

            async def fail(caller, incoming):
                await respond(caller, incoming)
                raise ZeroDivisionError

            echo.listener.serve = fail
            first = _post(b"1", b"Content-Length: 1")
            second = _post(b"2", b"Content-Length: 1", b"Connection: close")
            received = await echo.send(first + second)
            assert b"ok:1" in received
            assert b"ok:2" in received

        run_scenario(scenario)


class TestRequestsThatWereReadBeforeTheConnectionCloses:
    """They were dropped after the response to the request before them."""

    def _send(self, echo: _EchoListener, after: bytes = b""):
        first = _post(b"1", b"Content-Length: 1")
        second = _post(b"2", b"Content-Length: 1")
        return asyncio.create_task(echo.send(first + second + after))

    async def _wait_until_read(self, echo: _EchoListener) -> None:
        async with asyncio.timeout(5):
            while not any(one.pending for one in echo.listener.connections):
                await asyncio.sleep(0.01)

    @pytest.mark.parametrize("how", ["drain", "close_when_idle"])
    def test_are_answered_at_the_shutdown(self, how):
        async def scenario(echo):
            echo.may_respond = asyncio.Event()
            call = self._send(echo)
            await self._wait_until_read(echo)
            getattr(echo.listener, how)()
            echo.may_respond.set()
            first, second = (await call).split(b"ok:1")
            assert b"Connection: close" not in first
            assert b"Connection: close" in second
            assert second.endswith(b"ok:2")

        run_scenario(scenario)

    def test_are_answered_after_a_stream_that_begins_in_the_drain(self):
        async def scenario(echo):
            respond = echo.listener.serve

            async def stream(caller, incoming):
                if incoming.body != b"1":
                    await respond(caller, incoming)
                    return
                await self._wait_until_read(echo)
                echo.listener.drain()
                caller.start_stream(200, [], keep_alive=True)
                caller.write_chunk(b"a piece")
                caller.end_stream()

            echo.listener.serve = stream
            assert (await self._send(echo)).endswith(b"ok:2")

        run_scenario(scenario)

    def test_are_answered_before_a_request_that_is_rejected(self):
        async def scenario(echo):
            received = await self._send(echo, after=b"nonsense\r\n\r\n")
            assert received.index(b"ok:1") < received.index(b"ok:2")
            assert b"HTTP/1.1 400" in received.partition(b"ok:2")[2]

        run_scenario(scenario)

    def test_are_not_served_after_a_response_that_is_broken_off(self):
        async def scenario(echo):
            bodies = []

            async def break_off(caller, incoming):
                bodies.append(incoming.body)
                caller.start_stream(200, [], keep_alive=True)
                await self._wait_until_read(echo)
                caller.abort()

            echo.listener.serve = break_off
            await self._send(echo)
            assert bodies == [b"1"]

        run_scenario(scenario)

    def test_are_not_served_after_one_that_asks_to_close(self):
        async def scenario(echo):
            first = _post(b"1", b"Content-Length: 1", b"Connection: close")
            second = _post(b"2", b"Content-Length: 1")
            assert (await echo.send(first + second)).endswith(b"ok:1")
            assert len(echo.requests) == 1

        run_scenario(scenario)


class TestCloseOfTheListener:
    """Connections that callers had opened and no one had accepted were reset."""

    @pytest.mark.parametrize("count", [1, 50])
    def test_requests_on_them_are_answered(self, count):
        async def scenario(echo):
            host, _, port = echo.address.rpartition(":")
            data = _post(b"a", b"Content-Length: 1", b"Connection: close")
            callers = []
            for _ in range(count):  # the loop does not run meanwhile
                caller = socket.create_connection((host, int(port)))
                caller.sendall(data)
                callers.append(caller)
            await echo.listener.accept_and_close()
            for caller in callers:
                reader, writer = await asyncio.open_connection(sock=caller)
                async with asyncio.timeout(5):
                    assert (await reader.read()).endswith(b"ok:a")
                writer.close()

        run_scenario(scenario)

    def test_none_is_accepted_later(self):
        async def scenario(echo):
            await echo.listener.accept_and_close()
            await echo.listener.accept_and_close()
            with pytest.raises(ConnectionRefusedError):
                await echo.send(b"")

        run_scenario(scenario)


class TestCloseAfterTheLastResponse:
    """A close with unread bytes of the caller reset the connection."""

    @pytest.mark.parametrize("told", ["caller", "drain"])
    def test_the_response_arrives_beside_what_the_caller_still_sends(self, told):
        size = 500_000  # in the buffers of the kernel when the connection closes

        async def scenario(echo):
            served = []

            async def serve(caller, incoming):
                served.append(caller)
                caller.respond(200, [], bytes(size), keep_alive=True)

            echo.listener.serve = serve
            fields = [b"Connection: close"] if told == "caller" else []
            if told == "drain":
                echo.listener.drain()
            host, _, port = echo.address.rpartition(":")
            with socket.socket() as caller:
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
                caller.connect((host, int(port)))
                caller.sendall(_post(b"a", b"Content-Length: 1", *fields))
                async with asyncio.timeout(5):
                    while not served or served[0].is_unfinished:
                        await asyncio.sleep(0.01)
                caller.sendall(_post(b"b", b"Content-Length: 1"))
                await asyncio.sleep(0.05)  # a reset would arrive
                caller.setblocking(False)
                loop = asyncio.get_running_loop()
                received = b""
                async with asyncio.timeout(5):
                    while data := await loop.sock_recv(caller, 65536):
                        received += data
            assert received.startswith(b"HTTP/1.1 200")
            assert len(received.partition(b"\r\n\r\n")[2]) == size

        run_scenario(scenario)


class TestTimeouts:
    """The time-out of an idle connection also ended requests that were being read."""

    def _read_deadline(self, data: bytes, idle_since: float) -> float:
        """Return when a connection that was idle is closed after it got some bytes."""
        caller = CallerConnection(
            limits=lambda: SMALL,
            serve=None,
            bodies=RequestBodies(),
            on_opened=None,
            on_closed=None,
        )
        caller.transport = SimpleNamespace(resume_reading=lambda: None)
        caller.data_received(data)
        return caller._read_deadline(idle_since)

    def test_of_a_body_begins_with_the_request(self):
        before = time.monotonic()
        deadline = self._read_deadline(
            _post(b"ab", b"Content-Length: 9"), before - SMALL.idle_seconds
        )
        assert before + SMALL.idle_seconds <= deadline
        assert deadline <= time.monotonic() + SMALL.idle_seconds

    def test_of_a_head_begins_with_its_first_byte(self):
        before = time.monotonic()
        deadline = self._read_deadline(b"POST /x", before - SMALL.idle_seconds)
        assert before + SMALL.header_seconds <= deadline
        assert deadline <= time.monotonic() + SMALL.header_seconds

    def test_of_an_idle_connection_ends_no_body(self):
        limits = Limits(idle_seconds=1.0)

        async def scenario(echo):
            host, _, port = echo.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            opened = time.monotonic()
            await asyncio.sleep(0.8 * limits.idle_seconds)
            writer.write(_post(b"a", b"Content-Length: 2", b"Connection: close"))
            while time.monotonic() <= opened + limits.idle_seconds + 0.1:
                await asyncio.sleep(0.01)
            writer.write(b"b")
            async with asyncio.timeout(5):
                assert (await reader.read()).endswith(b"ok:ab")
            writer.close()

        with virtual_time():
            run_scenario(scenario, limits)

    def test_of_an_idle_connection_follows_the_configuration(self):
        """A change of the configuration lets callers keep connections for longer."""

        async def scenario(echo):
            long = Limits(idle_seconds=3600.0)
            given = []

            def limits():
                given.append(None)
                return SMALL if len(given) == 1 else long

            echo.listener.limits = limits
            host, _, port = echo.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            async with asyncio.timeout(5):
                while len(given) < 2:  # the shorter time has passed
                    await asyncio.sleep(0.01)
            writer.write(_post(b"1", b"Content-Length: 1", b"Connection: close"))
            async with asyncio.timeout(5):
                assert (await reader.read()).endswith(b"ok:1")
            writer.close()

        run_scenario(scenario)


class _Server:
    """A server that sends the same responses on each connection."""

    def __init__(self, *responses: bytes, reset: bool = False, close: bool = False):
        self.responses = list(responses)
        self.reset = reset
        self.close = close
        self.connections = 0
        self.writers: list[asyncio.StreamWriter] = []
        self.address = free_address()

    async def __aenter__(self):
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self._serve, host, int(port))
        return self

    async def __aexit__(self, *_):
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.connections += 1
        self.writers.append(writer)
        for response in self.responses:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(response)
            await writer.drain()
        if self.reset:
            await asyncio.sleep(0.02)
            reset_on_close(writer.get_extra_info("socket"))
            writer.transport.abort()
        elif self.close:
            writer.close()
        else:
            await reader.read()


async def _request(
    pool: ConnectionPool, server: _Server, **fields
) -> tuple[Exchange, ResponseEnd]:
    connection = await pool.connect("s", server.address)
    exchange = Exchange(**fields)
    connection.send(exchange, render_request("GET", "/", [(b"Host", b"a")]))
    async with asyncio.timeout(5):
        return exchange, await exchange.ended


OK_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class TestResponses:
    """Responses of servers."""

    def _receive(
        self, server: _Server, **fields
    ) -> tuple[bytes, ResponseEnd, ConnectionPool]:
        async def run():
            pool = ConnectionPool()
            async with server:
                exchange, end = await _request(pool, server, **fields)
                await asyncio.sleep(0.02)
                return bytes(exchange.body), end, pool

        return asyncio.run(run())

    def test_connection_is_kept_after_a_complete_response(self):
        body, end, pool = self._receive(_Server(OK_RESPONSE))
        assert (body, end) == (b"ok", ResponseEnd.COMPLETE)
        assert len(pool.idle["s"]) == 1

    def test_idle_connection_is_reused(self):
        async def run():
            pool = ConnectionPool()
            async with _Server(OK_RESPONSE, OK_RESPONSE) as server:
                await _request(pool, server)
                await _request(pool, server)
                assert server.connections == 1

        asyncio.run(run())

    def test_response_without_length_ends_when_the_connection_closes(self):
        unframed = b"HTTP/1.1 200 OK\r\n\r\nwhole"
        body, end, _ = self._receive(_Server(unframed, close=True))
        assert (body, end) == (b"whole", ResponseEnd.COMPLETE)

    def test_response_without_length_is_incomplete_after_a_reset(self):
        unframed = b"HTTP/1.1 200 OK\r\n\r\nhalf"
        _, end, _ = self._receive(_Server(unframed, reset=True))
        assert end is not ResponseEnd.COMPLETE

    def test_truncated_body_is_incomplete(self):
        short = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"
        _, end, _ = self._receive(_Server(short, close=True))
        assert end is ResponseEnd.CLOSED

    def test_response_that_is_not_http(self):
        _, end, _ = self._receive(_Server(b"\x00\x01 not http\r\n\r\n"))
        assert end is ResponseEnd.GARBLED

    def test_connection_is_not_reused_after_surplus_bytes(self):
        body, end, pool = self._receive(_Server(OK_RESPONSE + b"HTTP/1.1 200 OK\r\n"))
        assert (body, end) == (b"ok", ResponseEnd.COMPLETE)
        assert not any(c.reusable and not c.closed for c in pool.idle.get("s", ()))

    def test_response_to_another_request_is_skipped(self):
        other = b"HTTP/1.1 200 OK\r\nOf: other\r\nContent-Length: 3\r\n\r\nbad"
        body, end, pool = self._receive(
            _Server(other + OK_RESPONSE),
            accepts=lambda status, headers: headers.get(b"of") is None,
        )
        assert (body, end) == (b"ok", ResponseEnd.COMPLETE)
        assert not pool.idle.get("s")

    def test_connection_is_not_kept_after_connection_close(self):
        closing = OK_RESPONSE.replace(b"OK\r\n", b"OK\r\nConnection: close\r\n")
        _, _, pool = self._receive(_Server(closing))
        assert not pool.idle.get("s")

    def test_response_to_a_head_request_has_no_body(self):
        body, end, pool = self._receive(
            _Server(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"), bodyless=True
        )
        assert (body, end) == (b"", ResponseEnd.COMPLETE)
        assert not pool.idle.get("s")

    def test_response_to_a_head_request_is_framed_as_without_body(self):
        async def run():
            async with _Server(b"HTTP/1.1 200 OK\r\n\r\n", close=True) as server:
                exchange, _ = await _request(ConnectionPool(), server, bodyless=True)
                assert exchange.head.result().framing is ResponseFraming.NO_BODY

        asyncio.run(run())

    def test_interim_response_is_skipped(self):
        body, end, _ = self._receive(
            _Server(b"HTTP/1.1 100 Continue\r\n\r\n" + OK_RESPONSE)
        )
        assert (body, end) == (b"ok", ResponseEnd.COMPLETE)

    def test_closed_port_is_unreachable(self):
        async def run():
            with pytest.raises(Unreachable):
                await ConnectionPool().connect("s", free_address())

        asyncio.run(run())


class TestPool:
    """Idle connections in the pool."""

    def test_expired_connection_is_not_reused(self):
        async def run():
            now = [100.0]
            pool = ConnectionPool(clock=lambda: now[0])
            async with _Server(OK_RESPONSE) as server:
                await _request(pool, server)
                now[0] += 60
                await _request(pool, server)
                assert server.connections == 2

        asyncio.run(run())

    def test_keep_alive_timeout_of_the_server_is_respected(self):
        async def run():
            now = [100.0]
            pool = ConnectionPool(clock=lambda: now[0])
            response = OK_RESPONSE.replace(
                b"OK\r\n", b"OK\r\nKeep-Alive: timeout=2\r\n"
            )
            async with _Server(response) as server:
                await _request(pool, server)
                now[0] += 1.1
                pool.close_expired()
                assert not pool.idle

        asyncio.run(run())


class TestFetch:
    """Requests made with Fetcher."""

    def test_missing_response_times_out(self):
        async def run():
            async with _Server() as server:
                fetcher = Fetcher(pool=ConnectionPool())
                with pytest.raises(FetchFailed) as failure:
                    await fetcher.fetch(server.address, "GET", "/", timeout=0.05)
                assert failure.value.sent

        asyncio.run(run())

    def test_closed_port_reports_that_nothing_was_sent(self):
        async def run():
            with pytest.raises(FetchFailed) as failure:
                await Fetcher(pool=ConnectionPool()).fetch(free_address(), "GET", "/")
            assert not failure.value.sent

        asyncio.run(run())


class TestDescription:
    """What the log tells of a response."""

    @pytest.mark.parametrize(
        ("response", "options", "description"),
        [
            (OK_RESPONSE, {}, "framing length, complete"),
            (
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
                {"close": True},
                "framing chunked, closed early",
            ),
            (b"HTTP/1.1 200 OK\r\n\r\nok", {"close": True}, "framing close, complete"),
            (b"HTTP/1.1 200 OK\r\n\r\nok", {"reset": True}, "framing close, reset"),
            (b"HTTP/1.1 204 No Content\r\n\r\n", {}, "framing no body, complete"),
            (b"", {"close": True}, "framing unknown, closed early"),
        ],
    )
    def test_names_framing_and_end(self, response, options, description):
        async def run():
            async with _Server(response, **options) as server:
                exchange, _ = await _request(ConnectionPool(), server)
                assert exchange.describe() == description

        asyncio.run(run())
