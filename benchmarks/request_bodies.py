"""
What large request bodies cost: an entry's peak memory by the number of callers.

One entry as a process over the stand-ins of the adapter's tests, which ends when it
exceeds the memory of its VM on the users' platform (not here). Each caller sends one
request of 4,000,000 bytes after the other, on new connections, and comes back as told;
one more caller sends small requests.
"""

import asyncio
import os
import socket
import statistics
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).parent.parent
STAND_INS = ROOT / "platform/tests/kumquatway_platform_tests"
SECONDS = 10.0  # of a round
CALLERS = (1, 40, 400)
MEMORY_MB = 200  # of the VM, in its settings
BODY = memoryview(bytes(4_000_000))
SMALL_BODY = memoryview(bytes(800))
SMALL_PAUSE_SECONDS = 0.02  # between requests of the caller with small ones
TIMEOUT_SECONDS = 20.0
MAX_PAUSE_SECONDS = 1.0  # of a caller that was refused


@dataclass(kw_only=True, slots=True)
class Outcomes:
    """
    How requests ended.

    :param statuses: number of responses by status, 0 for a connection that closed.
    :param latencies: of successes, in ms.
    """

    statuses: dict[int, int] = field(default_factory=dict)
    latencies: list[float] = field(default_factory=list)

    def record(self, status: int, seconds: float) -> None:
        """Count a request that has ended."""
        self.statuses[status] = self.statuses.get(status, 0) + 1
        if status == 200:
            self.latencies.append(seconds * 1000)

    def row(self) -> str:
        """Write its part of a row of the table."""
        refused = self.statuses.get(503, 0)
        served = self.statuses.get(200, 0)
        others = sum(self.statuses.values()) - served - refused
        if served < 2:
            return f"{served} | {refused} | {others} | - | -"
        cuts = statistics.quantiles(self.latencies, n=100)
        return f"{served} | {refused} | {others} | {cuts[49]:.0f} | {cuts[98]:.0f}"


@dataclass(frozen=True, kw_only=True, slots=True)
class _Response:
    """Status of a response, and the time after which the caller may come back."""

    status: int
    retry_after: float = 0.0


async def _read_head(connection: socket.socket) -> _Response:
    loop = asyncio.get_running_loop()
    head = b""
    while b"\r\n\r\n" not in head:
        data = await loop.sock_recv(connection, 4096)
        if not data:
            return _Response(status=0)
        head += data
    value = head.lower().partition(b"retry-after:")[2].split(b"\r\n")[0]
    return _Response(status=int(head.split()[1]), retry_after=float(value or 0))


async def _send(connection: socket.socket, head: bytes, body: memoryview) -> None:
    loop = asyncio.get_running_loop()
    await loop.sock_sendall(connection, head)
    await loop.sock_sendall(connection, body)


async def _ask(address: str, head: bytes, body: memoryview) -> _Response:
    host, _, port = address.rpartition(":")
    with socket.socket() as connection:
        connection.setblocking(False)
        await asyncio.get_running_loop().sock_connect(connection, (host, int(port)))
        sending = asyncio.create_task(_send(connection, head, body))
        try:
            async with asyncio.timeout(TIMEOUT_SECONDS):
                return await _read_head(connection)
        except (OSError, TimeoutError):
            return _Response(status=0)
        finally:
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)


async def _call_until(site, address: str, body: memoryview, end: float) -> Outcomes:
    outcomes = Outcomes()
    length = {"Content_Length": str(len(body)), "Kumquatway_Deadline_Ms": "20000"}
    while time.monotonic() < end:
        _, head = site.build_request("/look/x", **length)
        started = time.monotonic()
        response = await _ask(address, head, body)
        outcomes.record(response.status, time.monotonic() - started)
        pause = SMALL_PAUSE_SECONDS if body is SMALL_BODY else 0.0
        await asyncio.sleep(max(pause, min(response.retry_after, MAX_PAUSE_SECONDS)))
    return outcomes


def _settings(store: str, front: str, ready: str, control: str) -> str:
    return f"""
node = "entry-0"
zone = "zone-a"
[listen]
front = "{front}"
ready = "{ready}"
control = "{control}"
[limits]
memoryMb = {MEMORY_MB}
[platform]
address = "{store}"
"""


def _memory_mb(pid: int, name: str) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(f"{name}:"):
            return int(line.split()[1]) / 1024
    raise ValueError(f"process {pid} has no {name}")


async def _is_ready(site, address: str) -> bool:
    from kumquatway_gateway.http1 import FetchFailed

    try:
        return (await site.client.fetch(address, "GET", "/ready")).status == 200
    except FetchFailed:
        return False


async def _play(count: int, folder: Path) -> None:
    from deployment import Deployment, configuration  # found through STAND_INS
    from platform_fakes import FakePlainServer, free_address

    from kumquatway_platform._settings import SETTINGS_FILE_VARIABLE

    class Server(FakePlainServer):
        async def serve(self, caller, incoming) -> None:
            try:
                await super().serve(caller, incoming)
            finally:
                self.runs.clear()  # they hold the bodies

    site = Deployment(entries=0, models=0)
    site.plains = [Server(f"p{number}") for number in range(8)]
    for server in site.plains:
        server.fault = "events"  # it does not send the body back
    path = folder / "node.toml"
    front, ready, control = free_address(), free_address(), free_address()
    path.write_text(_settings(site.store.address, front, ready, control))
    environment = {**os.environ, SETTINGS_FILE_VARIABLE: str(path)}
    async with site:
        site.store.put("op", "config", configuration())
        entry = await asyncio.create_subprocess_exec(
            *(sys.executable, str(ROOT / "deploy/entry.py")),
            env=environment,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.DEVNULL,
        )
        try:
            while not await _is_ready(site, ready):
                await asyncio.sleep(0.05)
            idle = _memory_mb(entry.pid, "VmRSS")
            end = time.monotonic() + SECONDS
            calls = [_call_until(site, front, BODY, end) for _ in range(count)]
            small, *large = await asyncio.gather(
                _call_until(site, front, SMALL_BODY, end), *calls
            )
            peak = _memory_mb(entry.pid, "VmHWM")
            after = _memory_mb(entry.pid, "VmRSS")
        finally:
            entry.kill()
            await entry.wait()
    print(
        f"| {count} | {idle:.0f} | {peak:.0f} | {after:.0f} | {_merge(large).row()} "
        f"| {small.row()} |",
        flush=True,
    )


def _merge(all_outcomes: list[Outcomes]) -> Outcomes:
    merged = Outcomes()
    for outcomes in all_outcomes:
        merged.latencies += outcomes.latencies
        for status, number in outcomes.statuses.items():
            merged.statuses[status] = merged.statuses.get(status, 0) + number
    return merged


def main() -> None:
    """Print the table."""
    sys.path.insert(0, str(STAND_INS))
    kinds = "served | refused | others | p50 ms | p99"
    print(
        f"| callers | idle MB | peak MB | after MB | large: {kinds} | small: {kinds} |"
    )
    print("| --- " * 14 + "|")
    with tempfile.TemporaryDirectory() as folder:
        for count in CALLERS:
            asyncio.run(_play(count, Path(folder)))


if __name__ == "__main__":
    main()
