"""
What a faulty service costs its agent: memory, and the longest hold of the event loop.

The agent's caller of a service runs in a process of its own and calls a server that
sends bytes without end. One more client makes small calls, which the server answers.
"""

import asyncio
import functools
import gzip
import os
import resource
import sys
import time
from collections.abc import AsyncIterator, Callable
from pathlib import Path

COUNTS = (20, 100, 400)  # calls at once
SECONDS = 5.0  # of a round, the time limit of the calls
REST_SECONDS = 1.0  # between the end of the calls and the last figure
PROBE_SECONDS = 0.01  # between two looks at the event loop
SMALL_PAUSE_SECONDS = 0.02  # between two small calls
BLOCK = bytes(64 * 1024)
MAX_BYTES = 2 * 1024**3  # of the agent's address space
HEAD = b"HTTP/1.1 200 OK\r\n"
SMALL = HEAD + b"Content-Length: 1000\r\n\r\n" + bytes(1000)
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"

Body = Callable[[], AsyncIterator[bytes]]


async def sound() -> AsyncIterator[bytes]:
    """Send what the service should, for comparison."""
    yield SMALL


async def to_the_close() -> AsyncIterator[bytes]:
    """Send a body without a length."""
    yield HEAD + b"\r\n"
    while True:
        yield BLOCK


async def chunks() -> AsyncIterator[bytes]:
    """Send chunks of one byte."""
    yield CHUNKED
    while True:
        yield b"1\r\nx\r\n" * 10_000


async def eight_megabytes_and_silence() -> AsyncIterator[bytes]:
    """Send a part of a body, and leave the connection open."""
    yield HEAD + b"\r\n"
    for _ in range(128):
        yield BLOCK
    await asyncio.sleep(2 * SECONDS)


async def fields() -> AsyncIterator[bytes]:
    """Send fields of a head."""
    yield HEAD
    while True:
        yield b"a: b\r\n" * 10_000


async def a_long_head_and_silence() -> AsyncIterator[bytes]:
    """Send a head of many short fields that ends, and no body."""
    yield HEAD + b"a: b\r\n" * 16_000 + b"\r\n"
    await asyncio.sleep(2 * SECONDS)


@functools.cache
def _compressed_zeros() -> bytes:
    return gzip.compress(bytes(256 * 1024 * 1024))


async def compressed() -> AsyncIterator[bytes]:
    """Send a compressed body that ends, of 256 MB."""
    body = _compressed_zeros()
    yield HEAD + b"Content-Encoding: gzip\r\n"
    yield b"Content-Length: %d\r\n\r\n" % len(body) + body


BODIES: tuple[Body, ...] = (
    sound,
    to_the_close,
    chunks,
    eight_megabytes_and_silence,
    fields,
    a_long_head_and_silence,
    compressed,
)


def _memory_mb(name: str) -> float:
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith(f"{name}:"):
            return int(line.split()[1]) / 1024
    raise ValueError(f"the process has no {name}")


async def _serve(body: Body, reader, writer) -> None:
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            if b" /small " in head:
                writer.write(SMALL)
                await writer.drain()
                continue
            async for part in body():
                writer.write(part)
                await writer.drain()
    except (OSError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def _play(body: Body, count: int) -> None:
    server = await asyncio.start_server(
        lambda reader, writer: _serve(body, reader, writer), "127.0.0.1", 0
    )
    port = server.sockets[0].getsockname()[1]
    agent = await asyncio.create_subprocess_exec(
        *(sys.executable, __file__, f"http://127.0.0.1:{port}", str(count)),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL,
    )
    output, _ = await agent.communicate()
    server.close()
    name = body.__name__.replace("_", " ")
    row = output.decode().strip() or f"ended with {agent.returncode}"
    print(f"| {name} | {count} | {row} |", flush=True)


async def _probe(holds: list[float]) -> None:
    while True:
        started = time.monotonic()
        await asyncio.sleep(PROBE_SECONDS)
        holds.append(time.monotonic() - started - PROBE_SECONDS)


async def _agent(url: str, count: int) -> None:
    from kumquatway_agent.service import ServiceCaller
    from kumquatway_core.memory import return_large_blocks
    from kumquatway_core.wire import Call

    return_large_blocks()
    verdicts: dict[str, str] = {}

    def call(name: str, path: str) -> Call:
        return Call(
            call=name,
            request=name,
            entry="e:1",
            service="s",
            incarnation=1,
            method="GET",
            path=path,
            headers=(),
            body=b"",
            timeout=SECONDS,
            idempotent=True,
        )

    caller = ServiceCaller(
        name="s",
        url=url,
        incarnation=1,
        send=lambda entry, reply: verdicts.update({reply.call: reply.verdict}),
    )
    await caller.take(call("first", "/small"))
    idle = _memory_mb("VmRSS")
    holds: list[float] = []
    probe = asyncio.create_task(_probe(holds))
    calls = [
        asyncio.create_task(caller.take(call(f"call-{number}", "/endless")))
        for number in range(count)
    ]
    small = 0
    while not all(task.done() for task in calls):
        await caller.take(call(f"small-{small}", "/small"))
        small += 1
        await asyncio.sleep(SMALL_PAUSE_SECONDS)
    peak = _memory_mb("VmHWM")
    calls.clear()
    await asyncio.sleep(REST_SECONDS)
    probe.cancel()
    ran = sum(verdicts[f"small-{number}"] == "ran" for number in range(small))
    rest = _memory_mb("VmRSS")
    print(
        f"{peak - idle:.0f} | {rest - idle:.0f} | {max(holds):.3f} | {ran} of {small}"
    )
    await caller.close()


def main() -> None:
    """Print the table, or one row's figures as the agent."""
    if len(sys.argv) == 3:
        resource.setrlimit(resource.RLIMIT_AS, (MAX_BYTES, MAX_BYTES))
        asyncio.run(_agent(sys.argv[1], int(sys.argv[2])))
        return
    print("| bytes | calls | peak MB | after MB | longest hold s | small calls |")
    print("| --- " * 6 + "|")
    names = os.environ.get("BODIES", "").split()
    for body in BODIES:
        for count in COUNTS:
            if not names or body.__name__ in names:
                asyncio.run(_play(body, count))


if __name__ == "__main__":
    main()
