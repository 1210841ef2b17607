"""
Sessions.

Records a session with a deployment in a form that is the same on each run.
"""

import hashlib
import re
from collections.abc import Callable
from pathlib import Path

import anyio
import httpx

from kumquatway._demo import Deployment, Layout, Pipeline
from kumquatway.timeline import merge
from kumquatway.timeline._words import show_event
from kumquatway_core.events import (
    Event,
    LeaseChanged,
    MembershipChanged,
    ProcessStarted,
    RouteChosen,
    kind_of,
)
from kumquatway_core.text import parse
from kumquatway_fakes import Speed

EXAMPLES = Path(__file__).parents[1] / "examples"
ADMIN_KEY = "operator-key"
WAIT = 30  # seconds
SHOWN = ("content-type", "etag", "kumquatway-verdict", "retry-after", "x-request-id")
MASKS = (
    (re.compile(r'"created":\d+'), '"created":TIME'),
    (re.compile(r"\b1\d{9}\.\d+\b"), "TIME"),
    (re.compile(r"\b[0-9a-f]{32}\b"), "PROPOSAL"),
    (re.compile(r"seconds=[0-9.e-]+"), "seconds=TIME"),
    # How far the stream was, who saw the fault first, and whether the store's poll
    # beat the edit's own answer depend on the moment.
    (re.compile(r"position=\d+"), "position=ANY"),
    (re.compile(r"incarnation=\d+"), "incarnation=ANY"),
    # Routes that cost the same are chosen by chance: REPLICA stands for its number.
    (re.compile(r"(bulletin|booking-assistant)-\d+-(\d+)"), r"\1-REPLICA-\2"),
    (re.compile(r"reason=(silence|unreachable|upstream_error)\b.*"), "reason=ANY"),
    (re.compile(r"source=(admin|store)"), "source=ANY"),
)
REQUEST = re.compile(r"\b[0-9a-f]{16}\b")


async def eventually(holds: Callable[[], bool]) -> None:
    """Wait for a condition."""
    with anyio.fail_after(WAIT):
        while not holds():
            await anyio.sleep(0.01)


class Recorder:
    """Sends requests and writes down what comes back."""

    def __init__(self, *, deployment: Deployment, account: str):
        self.deployment = deployment
        self.entry = deployment.entries[0]
        self.lines: list[str] = []
        settings = self.entry.settings
        self.callers = make_client(settings.caller_address, f"demo-key-{account}")
        self.operators = make_client(settings.admin_address, ADMIN_KEY)

    async def call(self, title: str, method: str, path: str, **options):
        """Send a caller's request and record its answer."""
        return await self._record(self.callers, title, method, path, options)

    async def operate(self, title: str, method: str, path: str, **options):
        """Send an operator's request and record its answer."""
        return await self._record(self.operators, title, method, path, options)

    async def stream(self, title: str, path: str, body: dict, amid=None) -> str:
        """Read a streamed answer; `amid` runs once some of it is there."""
        self._title(title, "POST", path)
        received = b""
        async with self.callers.stream("POST", path, json=body) as response:
            async for data in response.aiter_raw():
                received += data
                if amid is not None and received.count(b"data:") > 3:
                    amid()
                    amid = None
        text = received.decode()
        self._answer(response, text)
        return text

    async def settle(self) -> None:
        """Wait until nothing is in progress and each end is written down."""
        await eventually(lambda: not self.entry.in_progress())

    def route(self) -> tuple[str, ...]:
        """Name the VMs of the last route."""
        return self.events(RouteChosen)[-1].vms

    def events(self, kind: type) -> list[Event]:
        """List the events of a kind at the entry."""
        records = self.entry.journal.records
        return [record.event for record in records if type(record.event) is kind]

    def transcript(self) -> str:
        """Write the session with its time line, times and ids normalised."""
        text = "\n".join([*self.lines, *self._time_line()]) + "\n"
        for pattern, mask in MASKS:
            text = pattern.sub(mask, text)
        return self._rename(text)

    async def close(self) -> None:
        """Close the clients."""
        await self.callers.aclose()
        await self.operators.aclose()

    async def _record(self, client, title, method, path, options):
        self._title(title, method, path)
        response = await client.request(method, path, **options)
        self._answer(response, response.text)
        await self.settle()
        return response

    def _title(self, title: str, method: str, path: str) -> None:
        self.lines.append(f"# {title}\n{method} {path}")

    def _answer(self, response: httpx.Response, body: str) -> None:
        self.lines.append(str(response.status_code))
        for name in SHOWN:
            if name in response.headers:
                self.lines.append(f"{name}: {response.headers[name]}")
        self.lines.append(f"\n{body.rstrip()}\n")

    def _time_line(self) -> list[str]:
        journals = [self.entry.journal.records]
        journals += [agent.journal.records for agent in self.deployment.agents.values()]
        found: dict[str, list[str]] = {}
        for record in merge(journals):
            if is_told(record.event):
                found.setdefault(record.process, []).append(show(record.event))
        own = found.pop(self.entry.settings.name)
        lines = ["# time line of the entry", *own]
        for process, shown in sorted(found.items()):
            lines += [f"# time line of {process}", *shown]
        return lines

    def _rename(self, text: str) -> str:
        """Number requests in the order of their first mention."""
        names: dict[str, str] = {}
        for name in REQUEST.findall(text):
            names.setdefault(name, f"request-{len(names) + 1}")
        return REQUEST.sub(lambda found: names[found[0]], text)


def make_client(address: str, key: str) -> httpx.AsyncClient:
    """Open a client with a key."""
    headers = {"Authorization": f"Bearer {key}"}
    return httpx.AsyncClient(
        base_url=f"http://{address}", headers=headers, timeout=WAIT
    )


def is_told(event: Event) -> bool:
    """Leave out what only tells of the deployment's start."""
    if isinstance(event, MembershipChanged):
        return event.state == "leaving"
    if kind_of(event) == "configuration_changed":
        return event.revision > 1
    return not isinstance(event, ProcessStarted | LeaseChanged)


def show(event: Event) -> str:
    """Write an event as one line."""
    named = [name for name in (event.request, event.vm) if name]
    return " ".join([kind_of(event), *named, show_event(event)])


async def record(example: str, account: str, play) -> str:
    """Play a session over a fresh deployment of an example."""
    source = (EXAMPLES / f"{example}.toml").read_text()
    text = parse(source, example)
    layout = Layout(
        entries=1,
        pipelines=tuple(
            Pipeline(model=name, stages=3, replicas=2, speed=Speed(layer_us=100))
            for name in text.models
        ),
        services=dict.fromkeys(text.services, 1),
        admin_key=hashlib.sha256(ADMIN_KEY.encode()).hexdigest(),
    )
    deployment = Deployment(source=source, layout=layout)
    async with anyio.create_task_group() as group:
        await group.start(deployment.run)
        recorder = Recorder(deployment=deployment, account=account)
        await play(recorder, source)
        await recorder.close()
        deployment.stop()
    return recorder.transcript()
