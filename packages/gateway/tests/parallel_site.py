"""A model service with fake connections and callers, to order what happens to them."""

import asyncio
import time
from dataclasses import replace
from unittest.mock import MagicMock

from engines import ENGINE, layer_range, server

from kumquatway_core.memory import MemoryBudget
from kumquatway_gateway.fleet import Fleet
from kumquatway_gateway.http1 import Headers, Unreachable, UpstreamConnection
from kumquatway_gateway.model import (
    Backend,
    GenerationSize,
    Request,
    Route,
    RouteKind,
    Service,
)
from kumquatway_gateway.quarantine import Quarantine
from kumquatway_gateway.relay import Relay
from kumquatway_gateway.relay._dialect import ResponseInfo
from kumquatway_gateway.relay._job import Job
from kumquatway_gateway.relay._streams import StreamJob
from kumquatway_gateway.waiting import RetryBudget

HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)


def chunk(data):
    """Return data as a chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def event(n):
    """Return a numbered event as a chunk of a body."""
    return chunk(b"id: %d\ndata: x\n\n" % n)


class Transport:
    """The transport of a connection to a server."""

    def __init__(self, conn, pool):
        self.conn, self.pool, self.sent, self.aborted = conn, pool, b"", False

    def write(self, data):
        self.sent += data

    def get_write_buffer_size(self):
        return 0

    def is_closing(self):
        return self.aborted

    def resume_reading(self):
        pass

    def pause_reading(self):
        pass

    def abort(self):
        self.aborted = True

    close = abort


class Pool:
    """Opens connections to servers, and records them."""

    def __init__(self):
        self.opened = []  # (server, connection)
        self.refuse = set()
        self.hang = set()
        self.memory = MemoryBudget(max_bytes=float("inf"))

    async def connect(self, key, address, timeout=0.3):
        if address in self.refuse:
            raise Unreachable("refused", refused=True)
        if address in self.hang:
            await asyncio.sleep(timeout)
            raise Unreachable("slow")
        conn = UpstreamConnection(
            on_reusable=lambda c: None, memory=MemoryBudget(max_bytes=float("inf"))
        )
        conn.connection_made(Transport(conn, self))
        self.opened.append((address, conn))
        return conn


class Caller:
    """Records what a caller gets."""

    def __init__(self):
        self.log = []
        self.writing_paused = False
        self.on_flow_change = None

    def start_stream(self, status, fields, *, keep_alive):
        self.log.append(("head", status))

    def write_chunk(self, data):
        self.log.append(("data", data))

    def end_stream(self):
        self.log.append(("end",))

    def abort(self):
        self.log.append(("abort",))

    def respond(self, status, fields, body, *, keep_alive):
        self.log.append(("respond", status, body))

    async def flush(self):
        pass

    def end_if_left(self):
        return False


class Dialect:
    """Sends any request, and takes any response for a signed one."""

    def encode(self, request, attempt):
        return b"x"

    def accepts(self, request, status, headers):
        return True

    def keeps_connection(self, status, headers):
        return True

    def parse_response(self, status, headers):
        from kumquatway_gateway.model import NO_NOTICE

        return ResponseInfo(
            not_run=status == 503, faulty_address="", signed=True, notice=NO_NOTICE
        )

    def gateway_fields(self, request):
        return []


def whole(name):
    return {
        f"{name}{s}": server(f"{name}{s}", "x", "big", layer_range(s, s + 16))
        for s in range(0, 80, 16)
    }


class Site:
    """A model service whose chains are named by letters, and a relay."""

    def __init__(self, chains="ab", slack=100.0, timeout=5.0, max_attempts=2, slots=96):
        engine = replace(ENGINE, slots=slots)
        self.fleet = Fleet()
        servers = {}
        for name in chains:
            servers |= whole(name)
        self.fleet.update_servers(servers)
        self.pool = Pool()
        self.failures = []
        self.relay = Relay(
            dialect=Dialect(),
            fleet=self.fleet,
            pool=self.pool,
            health_checker=MagicMock(),
            quarantine=Quarantine(fleet=self.fleet),
            home="x",
            create_retry_budget=lambda: RetryBudget(
                ratio=0.2, slack=slack, window=10.0, entry_count=lambda: 1
            ),
            peer_loads=dict,
            emit=self.failures.append,
            metrics=MagicMock(),
        )
        self.service = Service(name="model", max_connections=100, engine=engine)
        self.router = self.relay.model_router(self.service)
        self.timeout, self.max_attempts = timeout, max_attempts
        self.number = 0

    def job(self, kind=RouteKind.STREAM):
        self.number += 1
        route = Route(
            name="stream",
            host="h",
            prefix="/",
            kind=kind,
            backends=(Backend(service="model"),),
            timeout=self.timeout,
            objective=0.5,
            max_attempts=self.max_attempts,
            resumable=True,
        )
        now = time.monotonic()
        request = Request(
            id=f"r{self.number}",
            method="POST",
            host="h",
            target="/x",
            headers=Headers([]),
            body=b"",
            arrived_at=now,
            timeout=self.timeout,
            generation_size=GenerationSize(prompt_tokens=100, max_output_tokens=50),
        )
        job = Job(
            caller=Caller(),
            request=request,
            route=route,
            service=self.service,
            account=None,
            revision=1,
            deadline=now + self.timeout,
        )
        return StreamJob(relay=self.relay, router=self.router, job=job)


async def turns(count=5):
    for _ in range(count):
        await asyncio.sleep(0)


async def until(condition, seconds=2.0):
    end = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < end, "timeout"
        await asyncio.sleep(0.005)


async def begin_two(site, stream, *, first_events=2):
    """Run a stream, let its first attempt fall silent and another one begin."""
    task = asyncio.create_task(stream.run())
    await turns()
    _, a = site.pool.opened[0]
    if first_events:
        a.data_received(HEAD + b"".join(event(n) for n in range(1, first_events + 1)))
        await turns()
    [attempt] = stream.attempts
    attempt._suspect(frozenset({attempt.chain.first_server.id}))
    await until(lambda: len(site.pool.opened) == 2)
    await turns()
    return task, a, site.pool.opened[1][1]


async def begin_and_reset(site, stream):
    """Run a stream, and reset its connection after five events."""
    task = asyncio.create_task(stream.run())
    await turns()
    _, first = site.pool.opened[0]
    first.data_received(HEAD + b"".join(event(n) for n in range(1, 6)))
    await turns()
    first.connection_lost(ConnectionResetError())
    return task


async def answer_further(site, task, answer, *, seconds=1.0):
    """Let a function answer new connections for a while, or until a task ends."""
    answered = len(site.pool.opened)
    end = time.monotonic() + seconds
    while not task.done() and time.monotonic() < end:
        await asyncio.sleep(0.002)
        for _, connection in site.pool.opened[answered:]:
            answered += 1
            answer(connection)


async def finish_beside(site, stream, interrupt):
    """Run a stream to its end, and call a function just after the end is written."""
    finish = stream.finish

    def finish_and_interrupt(attempt):
        finish(attempt)
        asyncio.get_running_loop().call_soon(interrupt)

    stream.finish = finish_and_interrupt
    task = asyncio.create_task(stream.run())
    await turns()
    connection = site.pool.opened[0][1]
    connection.data_received(HEAD + event(1))
    await turns()
    connection.data_received(b"0\r\n\r\n")
    await asyncio.wait([task])
