"""
Bare.

What the libraries alone cost for one hop and one piece of a stream.
"""

import time

import anyio
import httpx
import zmq
import zmq.asyncio

from kumquatway_core.http import serve
from kumquatway_fakes.fleet import free_address

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


async def piece_seconds() -> tuple[float, float]:
    """
    Stream pieces through hypercorn to one reader, in a thread of its own.

    :return: processor seconds of a piece, at both ends and at the server alone.
    """
    address = free_address()
    async with anyio.create_task_group() as group:
        group.start_soon(serve, _stream, address)
        await anyio.to_thread.run_sync(anyio.run, _read, address)
        both, server = time.process_time(), time.thread_time()
        pieces = await anyio.to_thread.run_sync(anyio.run, _read, address)
        both = (time.process_time() - both) / pieces
        server = (time.thread_time() - server) / pieces
        group.cancel_scope.cancel()
    return both, server


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
