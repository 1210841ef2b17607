"""Tests of HTTP/1.1 with callers and servers, over real connections."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable

import pytest

from kumquatway_fakes import free_address
from kumquatway_gateway.http1 import (
    CallerConnection,
    ConnectionPool,
    Exchange,
    Fetcher,
    FetchFailed,
    IncomingRequest,
    Listener,
    ResponseEnd,
    Unreachable,
    render_request,
)
from kumquatway_gateway.model import Limits

SMALL = Limits(header_bytes=512, body_bytes=64, header_seconds=0.2, idle_seconds=0.3)


class _Callers:
    """A listener that notes what it was asked."""

    def __init__(self, limits: Limits = SMALL):
        self.seen: list[IncomingRequest] = []
        self.cancelled = False
        self.hold: asyncio.Event | None = None
        self.address = free_address()
        self.listener = Listener(limits=lambda: limits, serve=self._serve)

    async def _serve(self, caller: CallerConnection, incoming: IncomingRequest) -> None:
        self.seen.append(incoming)
        try:
            if self.hold is not None:
                await self.hold.wait()
        except asyncio.CancelledError:
            self.cancelled = True
            raise
        caller.respond(200, [], b"ok:" + incoming.body, keep_alive=True)

    async def talk(self, data: bytes, *, more: bytes = b"") -> bytes:
        """Send bytes and read until the connection ends."""
        host, _, port = self.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        await writer.drain()
        if more:
            await asyncio.sleep(0.02)
            writer.write(more)
        async with asyncio.timeout(5):
            got = await reader.read()
        writer.close()
        return got


def play(story: Callable[[_Callers], Awaitable[None]], limits: Limits = SMALL) -> None:
    async def run():
        callers = _Callers(limits)
        await callers.listener.start(callers.address)
        try:
            await story(callers)
        finally:
            callers.listener.close()

    asyncio.run(run())


def _post(body: bytes, *fields: bytes) -> bytes:
    head = b"POST /x HTTP/1.1\r\nHost: a\r\n"
    for line in fields:
        head += line + b"\r\n"
    return head + b"\r\n" + body


class TestRequests:
    """What callers send."""

    def test_pipelined_requests_are_answered_in_order(self):
        async def story(callers):
            one = _post(b"1", b"Content-Length: 1")
            two = _post(b"2", b"Content-Length: 1", b"Connection: close")
            got = await callers.talk(one + two)
            assert got.index(b"ok:1") < got.index(b"ok:2")

        play(story)

    def test_a_chunked_body_is_whole(self):
        async def story(callers):
            data = _post(
                b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
                b"Transfer-Encoding: chunked",
                b"Connection: close",
            )
            assert b"ok:abc" in await callers.talk(data)

        play(story)

    def test_a_body_in_pieces(self):
        async def story(callers):
            data = _post(b"a", b"Content-Length: 3", b"Connection: close")
            assert b"ok:abc" in await callers.talk(data, more=b"bc")

        play(story)

    def test_expect_continue(self):
        async def story(callers):
            data = _post(
                b"", b"Content-Length: 1", b"Expect: 100-continue", b"Connection: close"
            )
            got = await callers.talk(data, more=b"x")
            assert got.startswith(b"HTTP/1.1 100 ")
            assert b"ok:x" in got

        play(story)

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
    def test_what_is_refused_runs_nothing(self, data, status):
        async def story(callers):
            got = await callers.talk(data)
            assert got.startswith(b"HTTP/1.1 " + status), got
            assert not callers.seen

        play(story)

    def test_a_head_that_never_ends(self):
        async def story(callers):
            got = await callers.talk(b"GET /x HTTP/1.1\r\nHost:")
            assert got.startswith(b"HTTP/1.1 408")

        play(story)

    def test_an_idle_connection_is_closed_without_a_word(self):
        async def story(callers):
            assert await callers.talk(b"") == b""

        play(story)

    def test_a_caller_that_leaves_stops_the_work(self):
        async def story(callers):
            callers.hold = asyncio.Event()
            host, _, port = callers.address.rpartition(":")
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(_post(b"", b"Content-Length: 0"))
            async with asyncio.timeout(5):
                while not callers.seen:
                    await asyncio.sleep(0.01)
                writer.close()
                while not callers.cancelled:
                    await asyncio.sleep(0.01)

        play(story)

    def test_so_does_one_that_leaves_what_was_sent_unread(self):
        """Load pattern: callers behind a full link leave midway."""

        async def story(callers):
            async def stream(caller, incoming):
                caller.start_stream(200, [], keep_alive=True)
                while not caller.writing_paused:
                    caller.write_chunk(bytes(65536))
                callers.seen.append(incoming)
                try:
                    await asyncio.sleep(3600)
                except asyncio.CancelledError:
                    callers.cancelled = True
                    raise

            callers.listener.serve = stream
            host, _, port = callers.address.rpartition(":")
            with socket.create_connection((host, int(port))) as caller:
                caller.sendall(_post(b"", b"Content-Length: 0"))
                async with asyncio.timeout(5):
                    while not callers.seen:
                        await asyncio.sleep(0.01)
                    caller.shutdown(socket.SHUT_WR)
                    while not callers.cancelled:
                        await asyncio.sleep(0.01)

        play(story)

    def test_a_caller_of_http_1_0_gets_no_chunks(self):
        async def story(callers):
            async def stream(caller, incoming):
                caller.start_stream(200, [], keep_alive=True)
                caller.write_chunk(b"a piece")
                caller.end_stream()

            callers.listener.serve = stream
            got = await callers.talk(b"GET /x HTTP/1.0\r\n\r\n")
            assert got.endswith(b"\r\n\r\na piece")
            assert b"chunked" not in got

        play(story)

    def test_the_last_response_of_a_drain_says_so(self):
        async def story(callers):
            callers.listener.drain()
            got = await callers.talk(_post(b"", b"Content-Length: 0"))
            assert b"Connection: close" in got

        play(story)


class _Server:
    """Answers each connection with the same bytes."""

    def __init__(self, *answers: bytes, reset: bool = False, close: bool = False):
        self.answers = list(answers)
        self.reset = reset
        self.close = close
        self.connections = 0
        self.address = free_address()

    async def __aenter__(self):
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self._serve, host, int(port))
        return self

    async def __aexit__(self, *_):
        self.server.close()

    async def _serve(self, reader, writer):
        self.connections += 1
        for answer in self.answers:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            await writer.drain()
        if self.reset:
            await asyncio.sleep(0.02)
            linger = struct.pack("ii", 1, 0)
            plain = writer.get_extra_info("socket")
            plain.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        elif self.close:
            writer.close()
        else:
            await reader.read()


async def _ask(
    pool: ConnectionPool, server: _Server, **fields
) -> tuple[Exchange, ResponseEnd]:
    connection = await pool.connect("s", server.address)
    exchange = Exchange(**fields)
    connection.send(exchange, render_request("GET", "/", [(b"Host", b"a")]))
    async with asyncio.timeout(5):
        return exchange, await exchange.ended


WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class TestResponses:
    """What servers answer."""

    def _end(
        self, server: _Server, **fields
    ) -> tuple[bytes, ResponseEnd, ConnectionPool]:
        async def run():
            pool = ConnectionPool()
            async with server:
                exchange, end = await _ask(pool, server, **fields)
                await asyncio.sleep(0.02)
                return b"".join(exchange.body), end, pool

        return asyncio.run(run())

    def test_a_whole_answer_keeps_the_connection(self):
        body, end, pool = self._end(_Server(WHOLE))
        assert (body, end) == (b"ok", ResponseEnd.COMPLETE)
        assert len(pool.idle["s"]) == 1

    def test_a_kept_connection_is_used_again(self):
        async def run():
            pool = ConnectionPool()
            async with _Server(WHOLE, WHOLE) as server:
                await _ask(pool, server)
                await _ask(pool, server)
                assert server.connections == 1

        asyncio.run(run())

    def test_an_answer_without_a_length_ends_with_its_connection(self):
        unframed = b"HTTP/1.1 200 OK\r\n\r\nwhole"
        body, end, _ = self._end(_Server(unframed, close=True))
        assert (body, end) == (b"whole", ResponseEnd.COMPLETE)

    def test_a_reset_answer_without_a_length_is_not_whole(self):
        unframed = b"HTTP/1.1 200 OK\r\n\r\nhalf"
        _, end, _ = self._end(_Server(unframed, reset=True))
        assert end is not ResponseEnd.COMPLETE

    def test_a_short_body_is_not_whole(self):
        short = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"
        _, end, _ = self._end(_Server(short, close=True))
        assert end is ResponseEnd.CLOSED

    def test_bytes_that_are_no_answer(self):
        _, end, _ = self._end(_Server(b"\x00\x01 not http\r\n\r\n"))
        assert end is ResponseEnd.GARBLED

    def test_bytes_after_an_answer_end_the_connection(self):
        body, end, pool = self._end(_Server(WHOLE + b"HTTP/1.1 200 OK\r\n"))
        assert (body, end) == (b"ok", ResponseEnd.COMPLETE)
        assert not any(c.reusable and not c.closed for c in pool.idle.get("s", ()))

    def test_another_requests_answer_is_skipped(self):
        other = b"HTTP/1.1 200 OK\r\nOf: other\r\nContent-Length: 3\r\n\r\nbad"
        body, end, pool = self._end(
            _Server(other + WHOLE),
            accepts=lambda status, headers: headers.get(b"of") is None,
        )
        assert (body, end) == (b"ok", ResponseEnd.COMPLETE)
        assert not pool.idle.get("s")

    def test_a_leaving_server_keeps_no_connection(self):
        leaving = WHOLE.replace(b"OK\r\n", b"OK\r\nConnection: close\r\n")
        _, _, pool = self._end(_Server(leaving))
        assert not pool.idle.get("s")

    def test_the_answer_to_a_head_request_ends_with_its_head(self):
        body, end, pool = self._end(
            _Server(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"), bodyless=True
        )
        assert (body, end) == (b"", ResponseEnd.COMPLETE)
        assert not pool.idle.get("s")

    def test_an_interim_answer_is_not_the_answer(self):
        body, end, _ = self._end(_Server(b"HTTP/1.1 100 Continue\r\n\r\n" + WHOLE))
        assert (body, end) == (b"ok", ResponseEnd.COMPLETE)

    def test_a_closed_port_is_no_request(self):
        async def run():
            with pytest.raises(Unreachable):
                await ConnectionPool().connect("s", free_address())

        asyncio.run(run())


class TestPool:
    """Kept connections."""

    def test_an_old_connection_is_not_used(self):
        async def run():
            now = [100.0]
            pool = ConnectionPool(clock=lambda: now[0])
            async with _Server(WHOLE) as server:
                await _ask(pool, server)
                now[0] += 60
                await _ask(pool, server)
                assert server.connections == 2

        asyncio.run(run())

    def test_the_servers_own_timeout_counts(self):
        async def run():
            now = [100.0]
            pool = ConnectionPool(clock=lambda: now[0])
            told = WHOLE.replace(b"OK\r\n", b"OK\r\nKeep-Alive: timeout=2\r\n")
            async with _Server(told) as server:
                await _ask(pool, server)
                now[0] += 1.1
                pool.close_expired()
                assert not pool.idle

        asyncio.run(run())


class TestFetch:
    """Whole calls."""

    def test_silence_ends_with_the_deadline(self):
        async def run():
            async with _Server() as server:
                fetcher = Fetcher(pool=ConnectionPool())
                with pytest.raises(FetchFailed) as failure:
                    await fetcher.fetch(server.address, "GET", "/", timeout=0.05)
                assert failure.value.sent

        asyncio.run(run())

    def test_a_closed_port_says_that_nothing_was_sent(self):
        async def run():
            with pytest.raises(FetchFailed) as failure:
                await Fetcher(pool=ConnectionPool()).fetch(free_address(), "GET", "/")
            assert not failure.value.sent

        asyncio.run(run())
