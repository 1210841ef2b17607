"""
At most once.

Calls that may not run twice, over three entries, while processes and stores fail.

Half of the requests carry an idempotency key, and all tries of one are the same
request. The others carry none, and each try is a request of its own. The services'
own records say what ran.
"""

import random
import shutil
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import httpx

from benchmarks._chaos import Chaos
from benchmarks._load import make_client
from benchmarks._stats import load_average
from benchmarks._text import make_source
from kumquatway_fakes.fleet import EntryVM, Fleet, FleetPlan, ServiceVM

SERVICE = "desk"
ENTRIES = 3
UPSTREAMS = 3
REQUESTS = 500
SEED = 1
SECONDS = 40.0  # over which the requests arrive
CALL_SECONDS = 0.05  # that the service takes
CALL_TIMEOUT = 5.0  # seconds, in the text
CALLER_TIMEOUT = 6.0  # seconds
TRIES = 8
PAUSE = (0.1, 1.0)  # seconds between tries of a caller
TWIN_SHARE = 0.1  # requests with a key that begin at two entries at once
SETTLE = CALL_TIMEOUT + 3.0  # seconds for what is still under way
VERDICT = "Kumquatway-Verdict"
RAN = "ran"
NOT_RUN = "not-run"
MAY_HAVE_RUN = "may-have-run"
NO_ANSWER = "no-answer"
NO_VERDICT = "an answer without a verdict:"


@dataclass(frozen=True, kw_only=True, slots=True)
class Try:
    """
    One try of a caller.

    :param name: the body, which the service records.
    :param verdict: as answered, or `no-answer`.
    :param own: whether an answer is that of the same request.
    """

    entry: str
    name: str
    verdict: str
    status: int = 0
    reason: str = ""
    own: bool = True


@dataclass(kw_only=True, slots=True)
class Booking:
    """
    A request of a caller, with all its tries.

    :param key: the idempotency key, or "".
    """

    number: int
    key: str
    tries: list[Try] = field(default_factory=list)

    def last(self) -> str:
        """
        Tell what the caller knows at the end.

        :return: a verdict; `ran` if any try said so.
        """
        verdicts = [found.verdict for found in self.tries]
        return RAN if RAN in verdicts else verdicts[-1]


@dataclass(kw_only=True, slots=True)
class Findings:
    """Violations, each a line that names the request."""

    doubled: list[str] = field(default_factory=list)
    lost: list[str] = field(default_factory=list)
    untrue: list[str] = field(default_factory=list)
    mixed: list[str] = field(default_factory=list)
    silent: list[str] = field(default_factory=list)

    def all(self) -> list[str]:
        """
        List all violations.

        :return: lines.
        """
        return [*self.doubled, *self.lost, *self.untrue, *self.mixed, *self.silent]


def make_plan() -> FleetPlan:
    """
    Lay out three entries and three upstreams of one service.

    :return: the plan.
    """
    source = make_source({}, (SERVICE,)) + f"timeout = {CALL_TIMEOUT}\n"
    upstreams = tuple(
        ServiceVM(name=f"{SERVICE}-{index}", service=SERVICE, seconds=CALL_SECONDS)
        for index in range(UPSTREAMS)
    )
    return FleetPlan(
        source=source,
        entries=tuple(EntryVM(name=f"entry-{index}") for index in range(ENTRIES)),
        services=upstreams,
    )


class Callers:
    """
    Callers that try again at another entry until they know the outcome.

    :param fleet: to call.
    :param seed: of their choices.
    """

    def __init__(self, *, fleet: Fleet, seed: int):
        self.random = random.Random(seed)
        self.clients = {
            entry.name: make_client(fleet.caller_url(entry.name))
            for entry in fleet.plan.entries
        }
        self.bookings: list[Booking] = []

    async def run(self, requests: int, seconds: float) -> None:
        """
        Make requests at a steady rate, and wait for the end of all.

        :param requests: how many.
        :param seconds: over which they arrive.
        """
        async with anyio.create_task_group() as group:
            for number in range(requests):
                group.start_soon(self._book, number)
                await anyio.sleep(seconds / requests)

    async def close(self) -> None:
        """Close the connections."""
        for client in self.clients.values():
            await client.aclose()

    async def _book(self, number: int) -> None:
        key = f"key-{number}" if number % 2 else ""
        booking = Booking(number=number, key=key)
        self.bookings.append(booking)
        entries = list(self.clients)
        self.random.shuffle(entries)
        twin = key and self.random.random() < TWIN_SHARE
        async with anyio.create_task_group() as group:
            if twin:
                group.start_soon(self._keep_trying, booking, entries[1:] + entries[:1])
            group.start_soon(self._keep_trying, booking, entries)

    async def _keep_trying(self, booking: Booking, entries: list[str]) -> None:
        for count in range(TRIES):
            found = await self._try(booking, entries[count % len(entries)])
            booking.tries.append(found)
            # Without a key, only what did not run may be tried again.
            again = found.verdict == NOT_RUN or booking.key
            if found.verdict == RAN or not again:
                return
            await anyio.sleep(self.random.uniform(*PAUSE))

    async def _try(self, booking: Booking, entry: str) -> Try:
        headers = {}
        name = f"booking-{booking.number}"
        if booking.key:
            headers["Idempotency-Key"] = booking.key
        else:
            name += f"-{len(booking.tries)}"
        try:
            answer = await self.clients[entry].post(
                f"/services/{SERVICE}/seats",
                content=name,
                headers=headers,
                timeout=CALLER_TIMEOUT,
            )
        except httpx.ConnectError as error:
            return Try(
                entry=entry, name=name, verdict=NOT_RUN, reason=type(error).__name__
            )
        except httpx.HTTPError as error:
            return Try(
                entry=entry, name=name, verdict=NO_ANSWER, reason=type(error).__name__
            )
        verdict = answer.headers.get(VERDICT, NO_ANSWER)
        return Try(
            entry=entry,
            name=name,
            verdict=verdict,
            status=answer.status_code,
            reason="" if verdict == RAN else _reason(answer),
            own=verdict != RAN or answer.json()["body"] == name,
        )


def _reason(answer: httpx.Response) -> str:
    if VERDICT not in answer.headers:
        return f"{NO_VERDICT} {answer.status_code} {answer.text[:80]}"
    error = answer.json()["error"]
    return f"{error['code']}: {error['message']}"


def judge(bookings: list[Booking], executions: Counter[str]) -> Findings:
    """
    Compare what callers were told with what ran.

    :param bookings: with their tries.
    :param executions: how often each name ran.
    :return: the violations.
    """
    findings = Findings()
    for booking in bookings:
        by_name: dict[str, list[Try]] = {}
        for found in booking.tries:
            by_name.setdefault(found.name, []).append(found)
        for name, tries in by_name.items():
            _judge_name(name, tries, executions[name], findings)
    return findings


def _judge_name(name: str, tries: list[Try], runs: int, findings: Findings) -> None:
    verdicts = [found.verdict for found in tries]
    line = f"{name} ran {runs} times: {tries}"
    if runs > 1:
        findings.doubled.append(line)
    if RAN in verdicts and not runs:
        findings.lost.append(line)
    if runs and set(verdicts) == {NOT_RUN}:
        findings.untrue.append(line)
    if not all(found.own for found in tries):
        findings.mixed.append(line)
    if any(found.reason.startswith(NO_VERDICT) for found in tries):
        findings.silent.append(line)


async def read_executions(fleet: Fleet) -> Counter[str]:
    """
    Read the services' own records.

    :param fleet: whose services.
    :return: how often each body ran.
    """
    found: Counter[str] = Counter()
    for vm in fleet.plan.services:
        async with httpx.AsyncClient(base_url=fleet.service_url(vm.name)) as http:
            answer = await http.get("/_executions")
        found.update(execution["body"] for execution in answer.json())
    return found


async def read_writes(fleet: Fleet, store: str) -> int:
    """
    Read how many writes a store took.

    :param store: `tables` or `objects`.
    :return: the number.
    """
    async with httpx.AsyncClient(base_url=fleet.platform_url(store)) as http:
        answer = await http.get("/counts")
    return answer.json()["writes"]


async def run(
    requests: int = REQUESTS, seed: int = SEED, seconds: float = SECONDS
) -> Findings:
    """
    Run the requests and print what became of them.

    :param requests: how many.
    :param seed: of faults and callers.
    :param seconds: over which the requests arrive.
    :return: the violations.
    """
    folder = Path(tempfile.mkdtemp())
    fleet = Fleet(plan=make_plan(), folder=folder)
    callers = Callers(fleet=fleet, seed=seed)
    chaos = Chaos(fleet=fleet, seed=seed)
    try:
        await fleet.start()
        before = await read_writes(fleet, "tables")
        async with anyio.create_task_group() as group:
            group.start_soon(chaos.run)
            await callers.run(requests, seconds)
            group.cancel_scope.cancel()
        await anyio.sleep(SETTLE)
        executions = await read_executions(fleet)
        writes = await read_writes(fleet, "tables") - before
    finally:
        await callers.close()
        fleet.stop()
    findings = judge(callers.bookings, executions)
    _print(seed, callers.bookings, executions, findings, writes, chaos)
    if findings.all():
        print(f"\nLogs are in {folder}")
    else:
        shutil.rmtree(folder)
    return findings


def _print(seed, bookings, executions, findings, writes, chaos) -> None:
    count = len(bookings)
    last = Counter(booking.last() for booking in bookings)
    tries = Counter(found.verdict for booking in bookings for found in booking.tries)
    rows = {
        "requests": count,
        "tries": sum(tries.values()),
        **{f"tries answered {verdict}": tries[verdict] for verdict in sorted(tries)},
        "executions": sum(executions.values()),
        "executed twice": len(findings.doubled),
        "`ran` without an execution": len(findings.lost),
        "`not-run` with an execution": len(findings.untrue),
        "answers of another request": len(findings.mixed),
        "requests with an answer without a verdict": len(findings.silent),
        "share refused at the end": f"{last[NOT_RUN] / count:.1%}",
        "share in doubt at the end": (
            f"{(last[MAY_HAVE_RUN] + last[NO_ANSWER]) / count:.1%}"
        ),
        "table transactions a request": f"{writes / count:.2f}",
        **chaos.counts,
    }
    print(f"Seed {seed}. {load_average()}\n")
    print("| | |\n| --- | --- |")
    for name, value in rows.items():
        print(f"| {name} | {value} |")
    _print_reasons(bookings)
    for line in findings.all():
        print(f"\nVIOLATION {line}")


def _print_reasons(bookings: list[Booking]) -> None:
    reasons = Counter(
        (found.verdict, found.reason.split(": ")[0])
        for booking in bookings
        for found in booking.tries
        if found.reason
    )
    print("\n| verdict | reason | tries |\n| --- | --- | --- |")
    for (verdict, reason), count in reasons.most_common():
        print(f"| {verdict} | {reason} | {count} |")


def main() -> None:
    """Run: `[REQUESTS [SEED [SECONDS]]]`; exit code 1 for a violation."""
    numbers = [float(value) for value in sys.argv[1:]]
    requests = int(numbers[0]) if numbers else REQUESTS
    seed = int(numbers[1]) if len(numbers) > 1 else SEED
    seconds = numbers[2] if len(numbers) > 2 else SECONDS
    findings = anyio.run(run, requests, seed, seconds)
    if findings.all():
        sys.exit(1)


if __name__ == "__main__":
    main()
