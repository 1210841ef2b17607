"""
Configuration.

Time from the acceptance of a text to its being in force on every entry.
"""

import hashlib
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import anyio
import httpx

from benchmarks._stats import load_average, percentile
from benchmarks._text import make_source
from kumquatway_fakes.fleet import EntryVM, Fleet, FleetPlan, ServiceVM

ENTRIES = 3
SERVICE = "desk"
ADMIN_KEY = "fleet-admin-key"
POLL = 0.02  # seconds
TIMEOUT = 30.0  # seconds
TARGET = 3.0  # seconds
REST = 0.3  # seconds between edits, so that they meet the polls at any phase


@dataclass(frozen=True, kw_only=True, slots=True)
class Case:
    """
    Edits of one kind.

    :param accounts: in the text.
    :param down: whether the table service fails right after each acceptance.
    """

    name: str
    accounts: int
    rounds: int
    down: bool = False


CASES = (
    Case(name="store up", accounts=10, rounds=20),
    Case(name="store down right after acceptance", accounts=10, rounds=20, down=True),
    Case(name="store up", accounts=1_000, rounds=8),
    Case(name="store down right after acceptance", accounts=1_000, rounds=8, down=True),
    Case(name="store up", accounts=5_000, rounds=3),
)


def make_text(accounts: int, number: int) -> str:
    """
    Write a text that differs with the number.

    :param accounts: beside the benchmarks' own.
    :param number: of the edit.
    :return: TOML.
    """
    lines = [make_source({}, (SERVICE,)), f"timeout = {number + 1}.0"]
    for index in range(accounts):
        digest = hashlib.sha256(str(index).encode()).hexdigest()
        lines += [f"[accounts.account-{index}]", f'keys = ["{digest}"]']
        lines += ["requests_per_second = 10.0", "tokens_per_second = 1000.0"]
        lines += ["max_concurrent = 10"]
    return "\n".join(lines) + "\n"


class Operator:
    """
    Edits texts of one fleet.

    :param fleet: to edit.
    """

    def __init__(self, *, fleet: Fleet):
        self.fleet = fleet
        headers = {"Authorization": f"Bearer {ADMIN_KEY}"}
        self.clients = {
            entry.name: httpx.AsyncClient(
                base_url=fleet.admin_url(entry.name), headers=headers, timeout=TIMEOUT
            )
            for entry in fleet.plan.entries
        }
        self.number = 0

    async def close(self) -> None:
        """Close the connections."""
        for client in self.clients.values():
            await client.aclose()

    async def measure(self, case: Case) -> list[float]:
        """
        Make the edits of a case, each at another entry than the last.

        :param case: what to do.
        :return: seconds from each acceptance to the last entry in force.
        """
        seconds = []
        for index in range(case.rounds):
            name = list(self.clients)[index % len(self.clients)]
            seconds.append(await self._edit(name, case))
            await anyio.sleep(REST)
        return seconds

    async def _edit(self, name: str, case: Case) -> float:
        self.number += 1
        client = self.clients[name]
        tag = (await client.get("/admin/text")).headers["ETag"]
        answer = await client.put(
            "/admin/text",
            content=make_text(case.accounts, self.number),
            headers={"If-Match": tag},
        )
        accepted = time.monotonic()
        answer.raise_for_status()
        revision = answer.json()["found"]
        if case.down:
            await self._set_store({"down": True})
        async with anyio.create_task_group() as group:
            for other in self.clients.values():
                group.start_soon(self._wait_for, other, revision)
        seconds = time.monotonic() - accepted
        if case.down:
            await self._set_store({})
        return seconds

    async def _wait_for(self, client: httpx.AsyncClient, revision: int) -> None:
        with anyio.fail_after(TIMEOUT):
            while True:
                answer = await client.get("/admin/status")
                if answer.json()["revision"] >= revision:
                    return
                await anyio.sleep(POLL)

    async def _set_store(self, faults: dict[str, bool]) -> None:
        async with httpx.AsyncClient(
            base_url=self.fleet.platform_url("tables")
        ) as http:
            await http.post("/faults", json=faults)


def make_plan() -> FleetPlan:
    """
    Lay out the entries and one upstream.

    :return: the plan.
    """
    return FleetPlan(
        source=make_text(0, 0),
        entries=tuple(EntryVM(name=f"entry-{index}") for index in range(ENTRIES)),
        services=(ServiceVM(name="desk-0", service=SERVICE),),
        log_level="error",
    )


async def run() -> None:
    """Measure each case and print the table."""
    print(f"{ENTRIES} entries; target {TARGET} s. {load_average()}\n")
    print("| | accounts | edits | p50 s | most s |")
    print("| --- | --- | --- | --- | --- |")
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(plan=make_plan(), folder=Path(folder))
        operator = Operator(fleet=fleet)
        try:
            await fleet.start()
            for case in CASES:
                found = await operator.measure(case)
                print(
                    f"| {case.name} | {case.accounts} | {len(found)} | "
                    f"{percentile(found, 0.5):.2f} | {max(found):.2f} |",
                    flush=True,
                )
        finally:
            await operator.close()
            fleet.stop()


def main() -> None:
    """Run the benchmark."""
    anyio.run(run)


if __name__ == "__main__":
    main()
