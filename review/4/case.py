"""
An entry gets SIGTERM under its usual load, as at a rolling restart.

Clients that kept idle channels to it send their next requests while it drains.
"""

import asyncio
import itertools
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import (
    GRACE_SECONDS,
    MODEL,
    Answer,
    Channel,
    Entry,
    ModelServer,
    Record,
    Store,
    configuration,
    free_host,
    main,
    request_fields,
    route,
    wait_until,
)

SERVERS = 8
EVENTS = 73  # of an answer, as in the users' sheet
LONG_EVENTS = 177  # of the longest answers, as in the site file
LONG = 4  # of these at the entry that is stopped, from one second before
LOAD = 30  # streams at a time
KEPT = 16  # idle channels to the entry that is stopped
FIRST_SECONDS = 3.2  # from SIGTERM to the first request on one of them
STEP_SECONDS = 0.2  # between these requests
WARM_SECONDS = 6.0  # of the usual load before
RAMP_SECONDS = 3.0  # over which the load begins


class Callers:
    """Sends streams and records what becomes of them."""

    def __init__(self, record: Record):
        self.record = record
        self.numbers = itertools.count(1)

    async def stream(
        self, channel: Channel, entry: str, prompt: int = 760, events: int = EVENTS
    ) -> tuple[str, Answer]:
        """Send a request on a channel, and read the answer to its end."""
        number = next(self.numbers)
        name = f"{number:016x}"
        fields = request_fields(
            name,
            20_000,
            Kumquatway_Model="m0",
            Kumquatway_Tokens=f"{prompt},{events * 2}",
            Kumquatway_Prefix_Hash=f"a1:40,{0xC000 + number:x}:{prompt - 40}",
        )
        self.record.note(f"sent {name} to {entry}")
        answer = await channel.ask("POST", "/plan/", fields, b"{}")
        got = answer.body.count(b"\n\n")
        end = "whole" if answer.whole else "broken off"
        self.record.note(
            f"answered {name} with {answer.status or 'nothing'}, {got} events, {end}"
        )
        return name, answer

    async def keep_busy(self, entry: Entry, delay: float) -> None:
        """Send one stream after the other, after a delay."""
        await asyncio.sleep(delay)
        while True:
            try:
                channel = await Channel.open(entry.front)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            try:
                answer = None
                while answer is None or not answer.closes:
                    _, answer = await self.stream(channel, entry.name)
                    if answer.status != 200:
                        await asyncio.sleep(0.3)
            finally:
                channel.close()


async def run(record: Record, folder: Path, trouble: bool) -> int:
    """Play the case."""
    store = Store(free_host(1))
    await store.start()
    plan = route(
        "plan",
        "stream",
        "model",
        timeoutMs=20_000,
        targetLatencyMs=500,
        resumable=True,
        sticky=True,
        gapAimMs=200,
        priority=1,
    )
    store.put("op", "config", configuration([plan], [MODEL]))
    by_address: dict[str, ModelServer] = {}
    servers = [
        ModelServer(
            free_host(20 + n),
            servers=by_address,
            store=store,
            name=f"model-{n}",
            record=record,
        )
        for n in range(SERVERS)
    ]
    for server in servers:
        await server.start()
    hosts = [free_host(10), free_host(11)]
    seeds = [f"{host}:8229" for host in hosts]
    entries = [
        Entry(f"front-{n}", host, store=store.address, seeds=seeds, folder=folder)
        for n, host in enumerate(hosts)
    ]
    callers = Callers(record)
    tasks: list[asyncio.Task] = []
    channels: list[Channel] = []
    try:
        for entry in entries:
            await entry.start()
        for entry in entries:
            if not await wait_until(entry.is_ready, 10):
                record.add(f"{entry.name} is not ready")
                return 2
        held = await wait_until(lambda: holds_all(servers), 20)
        if not held:
            record.add("the layers were not placed")
            return 2
        await asyncio.sleep(1)
        stopped, other = entries
        tasks += [
            asyncio.create_task(callers.keep_busy(other, RAMP_SECONDS * n / LOAD))
            for n in range(LOAD)
        ]
        await asyncio.sleep(WARM_SECONDS)
        for _ in range(KEPT):
            channel = await Channel.open(stopped.front)
            channels.append(channel)
        warm = await asyncio.gather(
            *(callers.stream(channel, stopped.name, 100, 4) for channel in channels)
        )
        answers = [answer for _, answer in warm]
        if not all(a.status == 200 and a.whole and not a.closes for a in answers):
            record.add("the first request of a kept channel was not answered")
            return 2
        for _ in range(LONG):
            channel = await Channel.open(stopped.front)
            channels.append(channel)
            long = callers.stream(channel, stopped.name, events=LONG_EVENTS)
            tasks.append(asyncio.create_task(long))
        await asyncio.sleep(1)
        if trouble:
            stopped.terminate()
            record.add(f"{stopped.name} gets SIGTERM")
        return await use_kept(record, callers, channels[:KEPT], stopped, servers)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for channel in channels:
            channel.close()
        for entry in entries:
            await entry.stop()
        for server in servers:
            server.stop()
        store.stop()


async def holds_all(servers: list[ModelServer]) -> bool:
    """Tell whether the servers hold all layers."""
    return sum(server.layers[1] - server.layers[0] for server in servers) >= 80


async def use_kept(
    record: Record,
    callers: Callers,
    channels: list[Channel],
    entry: Entry,
    servers: list[ModelServer],
) -> int:
    """Send a request on each kept channel; return the case's exit code."""
    start = record.now()

    async def send(number: int, channel: Channel) -> bool:
        await asyncio.sleep(FIRST_SECONDS + number * STEP_SECONDS)
        sent = record.now() - start
        name, answer = await callers.stream(channel, entry.name)
        ended = record.now() - start
        passed_on = any(name == run for s in servers for _, run in s.runs)
        lost = passed_on and not answer.whole and ended < GRACE_SECONDS
        record.add(
            f"request {name} sent at {sent:.2f} s: status {answer.status}, "
            f"{'whole' if answer.whole else 'cut'} at {ended:.2f} s, "
            f"{'was' if passed_on else 'was not'} passed on to a server"
        )
        return lost

    sending = (send(number, channel) for number, channel in enumerate(channels))
    lost = sum(await asyncio.gather(*sending))
    record.add(f"{lost} requests were passed on and have no complete answer")
    return 1 if lost else 0


main(str(Path(__file__).parent), run)
