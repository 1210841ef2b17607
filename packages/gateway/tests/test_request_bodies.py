"""Tests of the bound on all request bodies together."""

import asyncio
import gc
from dataclasses import replace
from random import Random

import pytest
from test_http1 import SMALL, _EchoListener, _post

from kumquatway_gateway._memory import machine_memory
from kumquatway_gateway.http1 import IncomingRequest, RequestBodies
from kumquatway_gateway.http1._request_bodies import SMALL_BODY_BYTES, BodyShare

MB = 1024 * 1024


class _Bodies(RequestBodies):
    """Records which bodies that had to wait were admitted, in order."""

    def __init__(self, max_bytes: float):
        super().__init__(max_bytes=max_bytes)
        self.later: list[BodyShare] = []

    def start(self, size: int) -> BodyShare:
        shares: list[BodyShare] = []
        share = self.begin(size, lambda: self.later.extend(shares))
        shares.append(share)
        return share


class TestDecision:
    """Which bodies are read, which wait and which are refused."""

    def test_those_that_fit_are_read_and_as_many_wait(self):
        bodies = _Bodies(10 * MB)
        shares = [bodies.start(2 * MB) for _ in range(12)]
        assert [share.admitted for share in shares] == [True] * 3 + [False] * 9
        assert [share.refused for share in shares] == [False] * 8 + [True] * 4
        assert bodies.held == 6 * MB

    def test_they_are_admitted_in_the_order_of_their_arrival(self):
        bodies = _Bodies(10 * MB)
        first, *waiting = [bodies.start(6 * MB) for _ in range(2)] + [bodies.start(MB)]
        assert not any(share.admitted for share in waiting)
        bodies.discard(first)
        bodies.discard(first)
        assert bodies.later == waiting
        assert bodies.held == 7 * MB

    def test_a_small_one_does_not_queue_behind_large_ones(self):
        bodies = _Bodies(10 * MB)
        for _ in range(8):
            bodies.start(2 * MB)
        small = [bodies.start(SMALL_BODY_BYTES) for _ in range(30)]
        assert all(share.admitted for share in small)

    @pytest.mark.parametrize("size", [0, 1, 4 * MB, 400 * MB])
    def test_one_goes_on_whatever_its_size(self, size):
        bodies = _Bodies(1.0)
        first, second = bodies.start(size), bodies.start(0)
        assert first.admitted
        assert bodies.complete(first)
        bodies.discard(second)
        assert bodies.start(size).refused or size == 0
        bodies.discard(first)
        assert bodies.start(size).admitted

    def test_bodies_of_unknown_size_that_grow_past_the_bound_go_on_in_turn(self):
        bodies = _Bodies(4 * MB)
        shares = [bodies.start(0) for _ in range(3)]
        ended = []
        while shares:
            going_on = [share for share in shares if share.admitted]
            assert going_on
            for share in going_on:
                bodies.receive(share, MB // 4)
                if share.received >= 4 * MB:
                    assert bodies.complete(share)
                    bodies.discard(share)
                    shares.remove(share)
                    ended.append(share)
            assert bodies.held <= 8 * MB
        assert len(ended) == 3
        assert bodies.held == 0

    def test_a_body_that_waits_and_is_there_already_is_served_if_it_fits(self):
        bodies = _Bodies(10 * MB)
        for _ in range(3):
            bodies.start(2 * MB)
        share = bodies.start(2 * MB)
        bodies.receive(share, 2 * MB)
        assert not bodies.complete(share)
        bodies.discard(share)
        assert bodies.held == 6 * MB

    @pytest.mark.parametrize("seed", range(50))
    def test_it_is_bounded_and_something_always_goes_on(self, seed):
        random = Random(seed)
        bodies = _Bodies(8 * MB)
        most, chunk = 4 * MB, 256 * 1024
        reading: dict[BodyShare, int] = {}
        served: list[BodyShare] = []
        for _ in range(2000):
            if random.random() < 0.5:
                size = random.choice([100, chunk, MB, most])
                share = bodies.start(random.choice([0, size]))
                if not share.refused:
                    reading[share] = size
                    # What the first read holds arrives in any case.
                    bodies.receive(share, min(size, chunk))
            for share in random.sample(list(reading), min(3, len(reading))):
                left = reading[share] - share.received
                if share.admitted and left:
                    bodies.receive(share, min(left, chunk))
                if reading[share] == share.received:
                    del reading[share]
                    if bodies.complete(share):
                        served.append(share)
                    else:
                        bodies.discard(share)
            if served and random.random() < 0.3:
                bodies.discard(served.pop(random.randrange(len(served))))
            assert bodies.admitted or not bodies.waiting
            assert sum(share.received for share in reading) <= bodies.held
            assert bodies.held <= 2 * 8 * MB + most + chunk
        for share in [*served, *reading]:
            bodies.discard(share)
        assert (bodies.held, bodies.waiting, bodies.admitted) == (0, [], set())


async def _with_echo(scenario, max_bytes: float, body_bytes: int = 64) -> None:
    limits = replace(SMALL, body_bytes=body_bytes)
    echo = _EchoListener(limits, bodies=RequestBodies(max_bytes=max_bytes))
    await echo.listener.start(echo.address)
    try:
        await scenario(echo)
    finally:
        echo.listener.close()


def _run(scenario, max_bytes: float, body_bytes: int = 64) -> None:
    asyncio.run(_with_echo(scenario, max_bytes, body_bytes))


async def _until(condition) -> None:
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.005)


def _sized(body: bytes) -> bytes:
    return _post(body, b"Content-Length: %d" % len(body), b"Connection: close")


def _chunked(body: bytes) -> bytes:
    chunks = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    return _post(chunks, b"Transfer-Encoding: chunked", b"Connection: close")


LARGE = b"x" * (4 * SMALL_BODY_BYTES)


class TestConnections:
    """Callers whose bodies wait, are refused or are given up."""

    @pytest.mark.parametrize("encode", [_sized, _chunked])
    def test_a_body_waits_until_another_is_answered(self, encode):
        async def scenario(echo: _EchoListener) -> None:
            echo.may_respond = asyncio.Event()
            data = encode(LARGE)
            first = asyncio.create_task(echo.send(data))
            await _until(lambda: echo.requests)
            second = asyncio.create_task(echo.send(data[:-9], more=data[-9:]))
            await _until(lambda: echo.listener.bodies.waiting)
            echo.may_respond.set()
            for received in await asyncio.gather(first, second):
                assert received.endswith(b"ok:" + LARGE)
            assert echo.listener.bodies.held == 0

        _run(scenario, 1.2 * len(LARGE), len(LARGE))

    @pytest.mark.parametrize("encode", [_sized, _chunked])
    def test_one_that_would_wait_for_too_long_is_refused_as_not_run(self, encode):
        async def scenario(echo: _EchoListener) -> None:
            echo.may_respond = asyncio.Event()
            data = encode(LARGE)
            first = asyncio.create_task(echo.send(data))
            await _until(lambda: echo.requests)
            # The rest is sent although nobody reads it.
            received = await echo.send(data[:-9], more=data[-9:])
            assert received.startswith(b"HTTP/1.1 503 ")
            assert b"Kumquatway-Verdict: not-run" in received
            assert b"Retry-After: " in received
            echo.may_respond.set()
            assert (await first).endswith(b"ok:" + LARGE)
            assert len(echo.requests) == 1
            await _until(lambda: not echo.listener.bodies.held)

        _run(scenario, 1.2 * len(LARGE), len(LARGE))

    @pytest.mark.parametrize("count", [1, 30])
    def test_many_callers_are_all_answered(self, count):
        async def scenario(echo: _EchoListener) -> None:
            calls = (echo.send(_sized(LARGE)) for _ in range(count))
            found = [data.split(b" ")[1] for data in await asyncio.gather(*calls)]
            assert set(found) <= {b"200", b"503"}
            assert found.count(b"200") == len(echo.requests) >= 1
            assert echo.listener.bodies.held == 0

        _run(scenario, 2.5 * len(LARGE), len(LARGE))

    def test_a_caller_that_leaves_frees_its_body(self):
        async def scenario(echo: _EchoListener) -> None:
            echo.may_respond = asyncio.Event()
            host, _, port = echo.address.rpartition(":")
            data = _sized(LARGE)
            for part in (data[:-9], 3 * _post(b"one", b"Content-Length: 3"), data):
                _, writer = await asyncio.open_connection(host, int(port))
                writer.write(part)
                await _until(lambda: echo.listener.bodies.held)
                await asyncio.sleep(0.02)
                writer.transport.abort()
                await _until(lambda: not echo.listener.bodies.held)

        _run(scenario, 1.2 * len(LARGE), len(LARGE))

    def test_a_caller_that_asks_is_told_to_go_on_once_there_is_memory(self):
        async def scenario(echo: _EchoListener) -> None:
            echo.may_respond = asyncio.Event()
            first = asyncio.create_task(echo.send(_sized(LARGE)))
            await _until(lambda: echo.requests)
            host, _, port = echo.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            head = _sized(LARGE).partition(b"\r\n\r\n")[0]
            writer.write(head + b"\r\nExpect: 100-continue\r\n\r\n")
            await _until(lambda: echo.listener.bodies.waiting)
            reading = asyncio.create_task(reader.readuntil(b"\r\n\r\n"))
            await asyncio.sleep(0.02)
            assert not reading.done()
            echo.may_respond.set()
            await first
            assert (await reading).startswith(b"HTTP/1.1 100 ")
            writer.write(LARGE)
            assert (await reader.read()).endswith(b"ok:" + LARGE)
            writer.close()

        _run(scenario, 1.2 * len(LARGE), len(LARGE))

    def test_a_kept_connection_holds_no_body_after_the_answer(self):
        async def scenario(echo: _EchoListener) -> None:
            host, _, port = echo.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(_post(b"one", b"Content-Length: 3"))
            await reader.readuntil(b"ok:one")
            await asyncio.sleep(0.02)
            echo.requests.clear()
            gc.collect()
            held = [one for one in gc.get_objects() if type(one) is IncomingRequest]
            assert not held
            assert echo.listener.bodies.held == 0
            writer.close()

        _run(scenario, float("inf"))


class TestMachineMemory:
    """The bound comes from the memory of the VM."""

    @pytest.mark.parametrize(
        ("text", "size"),
        [
            ("MemTotal:       2048 kB\nMemFree: 5 kB\n", 2 * MB),
            ("MemFree: 5 kB\n", float("inf")),
            ("MemTotal:\n", float("inf")),
            ("MemTotal: x kB\n", float("inf")),
        ],
    )
    def test_is_read(self, tmp_path, text, size):
        path = tmp_path / "meminfo"
        path.write_text(text)
        assert machine_memory(path) == size

    def test_is_unknown_without_the_file(self, tmp_path):
        assert machine_memory(tmp_path / "none") == float("inf")
