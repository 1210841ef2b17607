"""
Bare.

What the libraries alone cost for one hop and one piece of a stream.
"""

import sys
import time
from pathlib import Path

import anyio
import httpx
import zmq
import zmq.asyncio
from loguru import logger

from kumquatway_core.http import serve
from kumquatway_fakes.fleet import Process, free_address

HOPS = 10_000
PIECES = 10_000
MESSAGE = b"x" * 150  # bytes
PIECE = b'data: {"choices":[{"index":0,"text":" kama"}]}\n\n'
TIMEOUT = 60.0  # seconds


async def hop_seconds() -> float:
    """
    Send messages one way over loopback, one at a time.

    :return: processor seconds of a message, both ends.
    """
    context = zmq.asyncio.Context()
    address = f"tcp://{free_address()}"
    inbox = context.socket(zmq.ROUTER)
    outbox = context.socket(zmq.DEALER)
    try:
        inbox.bind(address)
        outbox.connect(address)
        await _hop(outbox, inbox)
        before = time.process_time()
        for _ in range(HOPS):
            await _hop(outbox, inbox)
        return (time.process_time() - before) / HOPS
    finally:
        context.destroy(linger=0)


async def _hop(outbox, inbox) -> None:
    await outbox.send_multipart([MESSAGE])
    await inbox.recv_multipart()


async def piece_seconds(folder: Path) -> tuple[float, float]:
    """
    Stream pieces through hypercorn, in a process of its own, to one reader.

    :param folder: for the log of the process.
    :return: processor seconds of a piece, at both ends and at the server alone.
    """
    address = free_address()
    arguments = ["-m", "benchmarks._bare", address]
    process = Process(name="bare", arguments=arguments, log=folder / "bare.log")
    process.start()
    try:
        await _read(address)
        server, reader = process.cpu_seconds(), time.process_time()
        pieces = await _read(address)
        server = (process.cpu_seconds() - server) / pieces
        reader = (time.process_time() - reader) / pieces
    finally:
        process.stop()
    return server + reader, server


async def _read(address: str) -> int:
    async with httpx.AsyncClient(
        base_url=f"http://{address}", timeout=TIMEOUT, trust_env=False
    ) as http:
        return await _count(http)


async def _count(http: httpx.AsyncClient) -> int:
    """Count the pieces of one stream, once the listener is there."""
    while True:
        try:
            async with http.stream("GET", "/") as response:
                return sum([1 async for line in response.aiter_lines() if line])
        except httpx.ConnectError:
            await anyio.sleep(0.01)


async def _stream(scope, receive, send) -> None:
    if scope["type"] != "http":
        return
    headers = [(b"content-type", b"text/event-stream")]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    for _ in range(PIECES):
        # A token comes alone, so that no two share a write.
        await anyio.sleep(0)
        await send({"type": "http.response.body", "body": PIECE, "more_body": True})
    await send({"type": "http.response.body", "body": b""})


def main() -> None:
    """Stream pieces at the address that the command line names."""
    logger.remove()
    anyio.run(serve, _stream, sys.argv[1])


if __name__ == "__main__":
    main()
