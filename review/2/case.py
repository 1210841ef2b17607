"""
A row of another writer, with bytes that can't be read, stands in `servers`.

Then a server leaves in good order. Requests must stop to reach it.
"""

import asyncio
import itertools
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import (
    DESK,
    DRAIN_SECONDS,
    Channel,
    Entry,
    PlainServer,
    Record,
    Store,
    configuration,
    free_host,
    main,
    request_fields,
    route,
    wait_until,
)

FOREIGN_ROW = b"[" * 4000  # bytes that are no JSON text
SETTLE_SECONDS = 4.0  # longer than `stabilityWindowMs`
LINGER_SECONDS = 4.0  # from the end of `drainMs` until the server exits
CLIENTS = 4  # of each entry
PAUSE_SECONDS = 0.1  # between two requests of a client
WATCH_SECONDS = 70.0  # for processes that end by themselves


class Clients:
    """Clients that send `unsafe` and `safe` requests, each on a kept channel."""

    def __init__(self, entries: list[Entry], record: Record):
        self.record = record
        self.statuses: dict[int, int] = {}
        self.numbers = itertools.count(1)
        self.tasks = [
            asyncio.create_task(self._run(entry))
            for entry in entries
            for _ in range(CLIENTS)
        ]

    async def _run(self, entry: Entry) -> None:
        while True:
            try:
                channel = await Channel.open(entry.front)
            except OSError:
                await asyncio.sleep(PAUSE_SECONDS)
                continue
            try:
                await self._use(channel, entry)
            finally:
                channel.close()

    async def _use(self, channel: Channel, entry: Entry) -> None:
        """Send requests until the channel ends."""
        closes = False
        while not closes:
            await asyncio.sleep(PAUSE_SECONDS)
            number = next(self.numbers)
            name = f"{number:016x}"
            method, path = ("POST", "/book/") if number % 2 else ("GET", "/look/")
            self.record.note(f"sent {name} {method} {path} to {entry.name}")
            answer = await channel.ask(method, path, request_fields(name, 1500))
            self.record.note(f"answered {name} with {answer.status or 'nothing'}")
            self.statuses[answer.status] = self.statuses.get(answer.status, 0) + 1
            closes = answer.closes

    def stop(self) -> None:
        """Stop all clients."""
        for task in self.tasks:
            task.cancel()


async def run(record: Record, folder: Path, trouble: bool) -> int:
    """Play the case."""
    store = Store(free_host(1))
    await store.start()
    routes = [route("book", "unsafe", "desk"), route("look", "safe", "desk")]
    store.put("op", "config", configuration(routes, [DESK]))
    servers = [
        PlainServer(free_host(20 + n), store=store, name=f"desk-{n}", record=record)
        for n in range(3)
    ]
    for server in servers:
        await server.start()
    hosts = [free_host(10), free_host(11)]
    seeds = [f"{host}:8229" for host in hosts]
    entries = [
        Entry(f"front-{n}", host, store=store.address, seeds=seeds, folder=folder)
        for n, host in enumerate(hosts)
    ]
    clients = None
    try:
        for entry in entries:
            await entry.start()
        for entry in entries:
            if not await wait_until(entry.is_ready, 10):
                record.add(f"{entry.name} is not ready")
                return 2
        record.add("all entries are ready")
        clients = Clients(entries, record)
        await asyncio.sleep(3)
        if trouble:
            store.put("servers", "of-another-writer", FOREIGN_ROW)
            record.add(f"another writer's row of {len(FOREIGN_ROW)} bytes is stored")
        await asyncio.sleep(SETTLE_SECONDS)
        leaving = servers[0]
        leaving.drain()
        await asyncio.sleep(DRAIN_SECONDS + LINGER_SECONDS)
        late = [
            (at - leaving.draining_since, name)
            for at, name in leaving.runs
            if at - leaving.draining_since > DRAIN_SECONDS
        ]
        before = len(leaving.runs) - len(late)
        record.add(f"{leaving.name} had run {before} requests until `drainMs` was over")
        for seconds, name in late:
            record.note(f"request {name} reached it {seconds:.3f} s after draining")
        leaving.leave()
        if trouble:
            await watch_ends(record, entries)
        record.add(f"answers by status: {dict(sorted(clients.statuses.items()))}")
        record.add(f"{len(late)} requests reached a draining server too late")
        return 1 if late else 0
    finally:
        if clients is not None:
            clients.stop()
        for entry in entries:
            await entry.stop()
        for server in servers:
            server.stop()
        store.stop()


async def watch_ends(record: Record, entries: list[Entry]) -> None:
    """Tell which processes end by themselves."""
    end = time.monotonic() + WATCH_SECONDS

    async def all_ended() -> bool:
        return all(entry.process.returncode is not None for entry in entries)

    await wait_until(all_ended, end - time.monotonic())
    for entry in entries:
        code = entry.process.returncode
        record.add(
            f"{entry.name} still runs"
            if code is None
            else f"{entry.name} has ended by itself with exit code {code}"
        )


main(str(Path(__file__).parent), run)
