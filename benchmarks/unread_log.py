"""
What a log that nobody reads costs callers: their latency with and without a reader.

One entry over the stand-ins of the adapter's tests, all in this process; callers that
ask again as soon as they are answered, ten seconds a round. In every second round the
pipe on standard output is not read.
"""

import asyncio
import os
import statistics
import sys
import threading
import time
from dataclasses import dataclass
from pathlib import Path

from kumquatway_core.events import LogLineBuffer
from kumquatway_gateway import open_log

STAND_INS = Path(__file__).parent.parent / "platform/tests/kumquatway_platform_tests"
SECONDS = 10.0  # of a round
ROUNDS = 6
CALLERS = 4  # for each route
PATHS = ("/look/x", "/gen/x")  # a plain service; a stream of 12 events, 10 ms apart
PROMPT = {"Kumquatway_Tokens": "20,24"}
READ_BYTES = 65_536


@dataclass(frozen=True, kw_only=True, slots=True)
class Kind:
    """
    Calls of one route.

    :param path: on which they were made.
    :param latencies: in ms.
    :param failed: calls without a success.
    """

    path: str
    latencies: tuple[float, ...]
    failed: int

    def row(self) -> str:
        """Write its part of a row of the table."""
        cuts = statistics.quantiles(self.latencies, n=100)
        return (
            f"{self.path} | {len(self.latencies)} | {self.failed} | "
            f"{cuts[49]:.1f} | {cuts[98]:.1f} | {max(self.latencies):.1f}"
        )


def _read_all(descriptor: int) -> None:
    while os.read(descriptor, READ_BYTES):
        pass


async def _call_on(site, path: str, end: float) -> Kind:
    failed = 0
    latencies = []
    while time.monotonic() < end:
        started = time.monotonic()
        answer = await site.call(path, b"x", **PROMPT)
        latencies.append((time.monotonic() - started) * 1000)
        failed += answer.status != 200
    return Kind(path=path, latencies=tuple(latencies), failed=failed)


async def _play(*, is_read: bool) -> None:
    from deployment import Deployment  # found through STAND_INS

    reader, writer = os.pipe()
    lines = LogLineBuffer(descriptor=writer)
    if is_read:
        threading.Thread(target=_read_all, args=(reader,), daemon=True).start()
    async with Deployment(placed=True) as site:
        site.entries[0].gateway.log = open_log("entry-0", lines)
        writing = asyncio.create_task(lines.run())
        end = time.monotonic() + SECONDS
        calls = [_call_on(site, path, end) for path in PATHS * CALLERS]
        kinds = await asyncio.gather(*calls)
        writing.cancel()
    os.close(writer)
    if not is_read:
        os.close(reader)
    for path in PATHS:
        row = _merge([kind for kind in kinds if kind.path == path]).row()
        shown = "yes" if is_read else "no"
        print(f"| {shown} | {row} | {lines.dropped} |", flush=True)


def _merge(kinds: list[Kind]) -> Kind:
    return Kind(
        path=kinds[0].path,
        latencies=tuple(ms for kind in kinds for ms in kind.latencies),
        failed=sum(kind.failed for kind in kinds),
    )


def main() -> None:
    """Print the table."""
    sys.path.insert(0, str(STAND_INS))
    print("| log is read | route | calls | failed | p50 ms | p99 | most | dropped |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for number in range(ROUNDS):
        asyncio.run(_play(is_read=number % 2 == 0))


if __name__ == "__main__":
    main()
