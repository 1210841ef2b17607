"""
Chaos.

Breaks processes and the platform's store at random, and mends them.
"""

import random
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio
import httpx

from kumquatway_fakes.fleet import Fleet

GAP = (0.2, 1.0)  # seconds between faults
AWAY = (0.2, 1.5)  # seconds until a killed process starts anew
PAUSE = (0.2, 4.0)  # seconds
OUTAGE = (0.2, 3.0)  # seconds
SLOW = 0.3  # seconds before each effect of a slow store
LOST = 0.5  # share of answers
STORES = ("tables", "objects")
HEALTHY: dict[str, object] = {}


@dataclass(frozen=True, kw_only=True, slots=True)
class Fault:
    """
    A kind of fault.

    :param weight: how often it is drawn, against the others.
    :param run: breaks and mends.
    """

    name: str
    weight: float
    run: Callable[[], Awaitable[None]]


class Chaos:
    """
    Faults of one fleet, several at a time.

    :param fleet: whose processes to break.
    :param seed: of the schedule.
    """

    def __init__(self, *, fleet: Fleet, seed: int):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.counts: Counter[str] = Counter()
        self.broken: set[str] = set()
        self.faults = (
            Fault(name="entry killed", weight=1, run=self._kill_entry),
            Fault(name="agent killed", weight=2, run=self._kill_agent),
            Fault(name="entry paused", weight=1, run=self._pause_entry),
            Fault(name="agent paused", weight=2, run=self._pause_agent),
            Fault(name="store down", weight=1, run=self._store_down),
            Fault(name="store slow", weight=1, run=self._store_slow),
            Fault(name="answers lost", weight=2, run=self._lose_answers),
            Fault(name="answers silent", weight=1, run=self._silence_answers),
        )

    async def run(self) -> None:
        """Break and mend until cancelled; what is broken then is mended."""
        weights = [fault.weight for fault in self.faults]
        async with anyio.create_task_group() as group:
            while True:
                await anyio.sleep(self.random.uniform(*GAP))
                fault = self.random.choices(self.faults, weights)[0]
                group.start_soon(self._run, fault)

    async def _run(self, fault: Fault) -> None:
        with anyio.CancelScope(shield=True):
            await fault.run()

    async def _kill_entry(self) -> None:
        await self._kill("entry killed", self._entries())

    async def _kill_agent(self) -> None:
        await self._kill("agent killed", self._agents())

    async def _pause_entry(self) -> None:
        await self._pause("entry paused", self._entries())

    async def _pause_agent(self) -> None:
        await self._pause("agent paused", self._agents())

    async def _kill(self, fault: str, names: list[str]) -> None:
        name = self._take(names)
        if name is None:
            return
        self.counts[fault] += 1
        self.fleet.kill(name)
        await anyio.sleep(self.random.uniform(*AWAY))
        self.fleet.processes[name].start()
        self.broken.discard(name)

    async def _pause(self, fault: str, names: list[str]) -> None:
        name = self._take(names)
        if name is None:
            return
        self.counts[fault] += 1
        self.fleet.freeze(name)
        await anyio.sleep(self.random.uniform(*PAUSE))
        self.fleet.thaw(name)
        self.broken.discard(name)

    async def _store_down(self) -> None:
        await self._break_store("store down", {"down": True})

    async def _store_slow(self) -> None:
        await self._break_store("store slow", {"slow": SLOW})

    async def _lose_answers(self) -> None:
        await self._break_store("answers lost", {"lose_share": LOST})

    async def _silence_answers(self) -> None:
        faults = {"lose_share": LOST, "silent": True}
        await self._break_store("answers silent", faults)

    async def _break_store(self, fault: str, faults: dict[str, object]) -> None:
        store = self._take(list(STORES))
        if store is None:
            return
        self.counts[fault] += 1
        await self._set(store, faults)
        await anyio.sleep(self.random.uniform(*OUTAGE))
        await self._set(store, HEALTHY)
        self.broken.discard(store)

    async def _set(self, store: str, faults: dict[str, object]) -> None:
        async with httpx.AsyncClient(base_url=self.fleet.platform_url(store)) as http:
            await http.post("/faults", json=faults)

    def _take(self, names: list[str]) -> str | None:
        """Draw one that is whole, and leave one of its kind whole."""
        whole = [name for name in names if name not in self.broken]
        if len(whole) < min(2, len(names)):
            return None
        name = self.random.choice(whole)
        self.broken.add(name)
        return name

    def _entries(self) -> list[str]:
        return [entry.name for entry in self.fleet.plan.entries]

    def _agents(self) -> list[str]:
        return [vm.name for vm in self.fleet.plan.services]
