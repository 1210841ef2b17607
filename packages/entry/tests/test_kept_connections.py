"""Tests of connections that callers keep, and of what an entry that ends tells them."""

import hashlib
from contextlib import asynccontextmanager

import anyio
import pytest

from kumquatway._demo import Deployment, Layout
from kumquatway.api import KeptConnections
from kumquatway.api._kept import KEPT_MARGIN_SECONDS, KEPT_SECONDS
from kumquatway_core.events import ProcessStopped

KEY = "test-key"
DIGEST = hashlib.sha256(KEY.encode()).hexdigest()
SHUTDOWN = 60.0  # seconds
WAIT = 8  # seconds, less than a shutdown takes at most
TURNS = 200  # of the event loop, in which an entry that does not wait has ended
SOURCE = f"""
name = "test"
[accounts.guests]
keys = ["{DIGEST}"]
"""
CALLER = ("127.0.0.1", 40_000)

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


def make_scope(**changes) -> dict:
    scope = {"type": "http", "http_version": "1.1", "client": CALLER, "headers": []}
    return scope | changes


class Rig:
    """An entry whose kept connections go by an injected clock, and a caller."""

    def __init__(self, entry):
        # What the start of the deployment asked is over.
        self.now = entry.kept.clock() + KEPT_SECONDS + KEPT_MARGIN_SECONDS
        self.entry = entry
        entry.kept.clock = lambda: self.now
        self.stream: anyio.abc.SocketStream | None = None

    async def connect(self) -> None:
        host, _, port = self.entry.settings.caller_address.rpartition(":")
        self.stream = await anyio.connect_tcp(host, int(port))

    async def get(self) -> tuple[bytes, dict[bytes, bytes]]:
        """Ask once on the connection; return status line and fields."""
        await self.stream.send(b"GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n")
        data = b""
        with anyio.fail_after(WAIT):
            while b"\r\n\r\n" not in data:
                data += await self.stream.receive()
        status, *lines = data.partition(b"\r\n\r\n")[0].split(b"\r\n")
        return status, dict(line.lower().split(b": ", 1) for line in lines)

    async def turn(self) -> None:
        for _ in range(TURNS):
            await anyio.sleep(0)

    def has_ended(self) -> bool:
        records = self.entry.journal.records
        return any(type(record.event) is ProcessStopped for record in records)

    async def until_ended(self) -> None:
        with anyio.fail_after(WAIT):
            while not self.has_ended():
                await anyio.sleep(0.01)


@asynccontextmanager
async def running():
    layout = Layout(entries=1, pipelines=(), services={}, admin_key=DIGEST)
    deployment = Deployment(source=SOURCE, layout=layout)
    async with anyio.create_task_group() as group:
        await group.start(deployment.run)
        rig = Rig(deployment.entries[0])
        await rig.connect()
        async with rig.stream:
            yield rig
        deployment.stop()


class TestStop:
    """An entry that ended closed idle connections that callers were about to use."""

    async def test_a_request_within_the_told_time_is_answered(self):
        async with running() as rig:
            _, fields = await rig.get()
            assert fields[b"keep-alive"] == b"timeout=%d" % KEPT_SECONDS
            rig.entry.leave()
            await rig.turn()
            rig.now += KEPT_SECONDS
            status, fields = await rig.get()
            assert status.split()[1] == b"503"
            assert fields[b"connection"] == b"close"
            assert b"keep-alive" not in fields
            await rig.until_ended()

    async def test_it_ends_once_the_told_time_has_passed(self):
        async with running() as rig:
            await rig.get()
            rig.entry.leave()
            await rig.turn()
            assert not rig.has_ended()
            rig.now += KEPT_SECONDS + KEPT_MARGIN_SECONDS
            await rig.until_ended()

    async def test_a_connection_without_a_response_does_not_hold_it(self):
        async with running() as rig:
            rig.entry.leave()
            await rig.until_ended()


class TestKeptConnections:
    """What is told is kept from the end of the response on."""

    def make(self, bound: float = SHUTDOWN) -> KeptConnections:
        self.now = 0.0
        return KeptConnections(bound=bound, clock=lambda: self.now)

    def test_the_time_counts_from_the_end_of_a_long_response(self):
        kept = self.make()
        assert kept.begin(make_scope()) == [(b"keep-alive", b"timeout=2")]
        self.now += 10 * KEPT_SECONDS
        kept.end(make_scope())
        self.now += KEPT_SECONDS
        assert kept.any_open()
        self.now += KEPT_MARGIN_SECONDS
        assert not kept.any_open()

    def test_a_later_response_prolongs_it(self):
        kept = self.make()
        for _ in range(3):
            kept.begin(make_scope())
            kept.end(make_scope())
            self.now += KEPT_SECONDS
        assert kept.any_open()

    def test_one_that_was_told_to_close_is_not_waited_for(self):
        kept = self.make()
        kept.begin(make_scope())
        kept.end(make_scope())
        kept.leave()
        assert kept.begin(make_scope()) == [(b"connection", b"close")]
        kept.end(make_scope())
        assert not kept.any_open()

    def test_a_response_that_was_begun_before_the_leave_is_kept_to(self):
        kept = self.make()
        kept.begin(make_scope())
        kept.leave()
        kept.end(make_scope())
        assert kept.any_open()

    @pytest.mark.parametrize(
        "changes",
        [
            {"http_version": "2"},
            {"http_version": "1.0"},
            {"headers": [(b"connection", b"TE, Close")]},
        ],
    )
    def test_nothing_is_told_where_the_connection_has_no_such_use(self, changes):
        kept = self.make()
        assert kept.begin(make_scope(**changes)) == []
        kept.end(make_scope(**changes))
        assert not kept.any_open()

    def test_no_more_is_told_than_a_short_shutdown_keeps(self):
        kept = self.make(bound=KEPT_SECONDS)
        assert kept.begin(make_scope()) == []
        kept.end(make_scope())
        assert not kept.any_open()

    def test_connections_that_are_over_are_forgotten(self):
        kept = self.make()
        for port in range(100):
            kept.begin(make_scope(client=("127.0.0.1", port)))
            kept.end(make_scope(client=("127.0.0.1", port)))
            self.now += 1.0
        assert len(kept.until) <= KEPT_SECONDS + KEPT_MARGIN_SECONDS + 1
