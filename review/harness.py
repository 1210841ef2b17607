"""
Stand-ins and helpers that the scripts of the review share.

The store, the servers and the clients follow the users' pages; where these are silent,
they behave like sound ones. The entries are the project's own program, started with the
command of the deploy file. All addresses are loopback addresses.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
ENTRY_COMMAND = ("python3", "deploy/entry.py")  # of deploy/system.toml
HOST = "shop.example"
KEY = "key-of-house"
HEARTBEAT_SECONDS = 1.2
GRACE_SECONDS = 8.0
DRAIN_SECONDS = 2.0
Fields = dict[str, str]


def free_host(number: int) -> str:
    """Return a loopback address of this run, so that runs do not share ports."""
    pid = os.getpid()
    return f"127.{1 + pid // 250 % 250}.{1 + pid % 250}.{number}"


def free_port(host: str) -> int:
    """Return a port that is free on an address."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Record:
    """
    The lines of `record.txt`, each with the seconds since the start.

    :param folder: folder of the case.
    """

    def __init__(self, folder: Path):
        self.path = folder / "record.txt"
        self.started = time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started

    def note(self, line: str) -> str:
        """Add a line."""
        text = f"{self.now():8.3f} {line}"
        self.lines.append(text)
        return text

    def add(self, line: str) -> None:
        """Add a line, and show it."""
        print(self.note(line), flush=True)

    def save(self) -> None:
        """Write the file."""
        self.path.write_text("\n".join(self.lines) + "\n")


class Call:
    """
    One HTTP request as a stand-in received it.

    :param fields: header fields, names in lower case.
    """

    def __init__(self, *, method: str, target: str, fields: Fields, body: bytes):
        self.method = method
        self.target = target
        self.fields = fields
        self.body = body

    @property
    def id(self) -> str:
        """Return the request's ID."""
        return self.fields.get("kumquatway-request-id", "")


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Fields] | None:
    """Read a start line and header fields; None if the channel ends before."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = head.decode("latin-1").strip().split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return start, fields


def render(start: str, fields: Fields, body: bytes = b"") -> bytes:
    """Render a message."""
    lines = [start, *(f"{name}: {value}" for name, value in fields.items())]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Server:
    """An HTTP/1.1 stand-in that keeps its channels open."""

    def __init__(self, host: str, port: int = 0):
        self.host = host
        self.port = port or free_port(host)
        self.address = f"{host}:{self.port}"
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start to listen."""
        self.server = await asyncio.start_server(self._run, self.host, self.port)

    def stop(self) -> None:
        """Stop listening, and close all channels."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, call: Call, writer: asyncio.StreamWriter) -> None:
        """Answer one request."""
        raise NotImplementedError

    async def _run(self, reader, writer) -> None:
        self.writers.add(writer)
        task = asyncio.current_task()
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split(" ")
                length = int(head[1].get("content-length", "0"))
                body = await reader.readexactly(length)
                call = Call(method=method, target=target, fields=head[1], body=body)
                await self.serve_while_open(call, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve_while_open(self, call, reader, writer) -> None:
        """Answer one request; a server may drop it when its channel closes."""
        await self.serve(call, writer)
        await writer.drain()


def respond(
    writer: asyncio.StreamWriter, status: int, body: bytes = b"", **fields: str
) -> None:
    """Write a whole answer."""
    named = {name.replace("_", "-"): value for name, value in fields.items()}
    named["Content-Length"] = str(len(body))
    writer.write(render(f"HTTP/1.1 {status} Status", named, body))


class Store(Server):
    """The platform's store: rows, the change feed and transactions."""

    def __init__(self, host: str):
        super().__init__(host)
        self.rows: dict[tuple[str, str], dict] = {}
        self.changes: list[dict] = []
        self.version = 0
        self.changed = asyncio.Event()

    def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row."""
        self.version += 1
        row = {"table": table, "part": "", "key": key, "ver": self.version}
        row["value"] = base64.b64encode(value).decode()
        self.rows[table, key] = row
        self._tell(row)

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        if self.rows.pop((table, key), None) is not None:
            self.version += 1
            row = {"table": table, "part": "", "key": key, "ver": self.version}
            self._tell({**row, "tombstone": True})

    def _tell(self, row: dict) -> None:
        self.changes.append(row)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, call: Call, writer: asyncio.StreamWriter) -> None:
        """Answer a call."""
        url = urlsplit(call.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        await asyncio.sleep(0.003)
        if url.path == "/rows-get":
            self._get(writer, query)
        elif url.path == "/rows-feed":
            await self._feed(writer, query)
        elif url.path == "/rows-tx":
            self._transact(writer, json.loads(call.body))
        else:
            self._answer(writer, 404, {})

    def _answer(self, writer: asyncio.StreamWriter, status: int, body: dict) -> None:
        now = {"nowMs": int(time.monotonic() * 1000)}
        data = json.dumps({"ver": self.version, **body, **now}).encode()
        respond(writer, status, data, Content_Type="application/json")

    def _get(self, writer: asyncio.StreamWriter, query: dict) -> None:
        found = [
            row
            for (table, key), row in sorted(self.rows.items())
            if table == query["table"] and key >= query.get("from", "")
        ]
        limit = int(query.get("limit", 500))
        more = len(found) > limit
        self._answer(writer, 200, {"rows": found[:limit], "morePages": more})

    async def _feed(self, writer: asyncio.StreamWriter, query: dict) -> None:
        end = time.monotonic() + int(query["waitMs"]) / 1000
        while not (rows := self._since(query)):
            left = end - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                break
        self._answer(writer, 200, {"rows": rows})

    def _since(self, query: dict) -> list[dict]:
        after = int(query["afterRev"])
        table = query["table"]
        found = [r for r in self.changes if r["ver"] > after and r["table"] == table]
        return found[:500]

    def _transact(self, writer: asyncio.StreamWriter, body: dict) -> None:
        current = []
        fits = True
        for expected in body.get("expectRev", ()):
            row = self.rows.get((expected["table"], expected["key"]))
            current += [row] if row else []
            fits = fits and (row["ver"] if row else 0) == expected["ver"]
        if not fits:
            self._answer(writer, 412, {"rows": current})
            return
        for put in body.get("puts", ()):
            self.put(put["table"], put["key"], base64.b64decode(put["value"]))
        for gone in body.get("remove", ()):
            self.remove(gone["table"], gone["key"])
        self._answer(writer, 200, {})


class AppServer(Server):
    """
    A server of a service, which registers itself in the store.

    :param store: the store.
    :param name: ID of the server.
    :param record: where its runs are written.
    """

    service = ""

    def __init__(self, host: str, *, store: Store, name: str, record: Record):
        super().__init__(host)
        self.store = store
        self.name = name
        self.record = record
        self.state = "ready"
        self.beats = 0
        self.born = int(time.time() * 1000)
        self.draining_since = float("inf")  # when the store had accepted it
        self.runs: list[tuple[float, str]] = []  # arrival and ID of each request
        self._beating: asyncio.Task | None = None

    def registration(self) -> dict:
        """Return the value of the server's row."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "zone-a",
            "version": "1",
            "slots": 6,
            "state": self.state,
            "coldLeftMs": 0,
            "seq": self.beats,
            "born": self.born,
        }

    async def start(self) -> None:
        """Start to listen, and register."""
        await super().start()
        self._beating = asyncio.create_task(self._beat())

    def register(self) -> None:
        """Write the row."""
        self.beats += 1
        row = json.dumps(self.registration()).encode()
        self.store.put("servers", self.name, row)

    async def _beat(self) -> None:
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def serve_while_open(self, call, reader, writer) -> None:
        """Serve a request, and drop it when its channel closes."""
        serving = asyncio.create_task(self.serve(call, writer))
        while not serving.done():
            await asyncio.wait((serving,), timeout=0.05)
            if writer.is_closing() or reader.at_eof():
                serving.cancel()
                return
        await serving

    def drain(self) -> None:
        """Report that this server leaves."""
        self.state = "draining"
        self.register()
        self.draining_since = time.monotonic()
        self.record.add(f"{self.name} reports draining, and the store accepts it")

    def leave(self) -> None:
        """End in good order: the row goes first."""
        self._beating.cancel()
        self.store.remove("servers", self.name)
        self.stop()
        self.record.add(f"{self.name} has left")

    def stop(self) -> None:
        """End."""
        if self._beating is not None:
            self._beating.cancel()
        super().stop()


class PlainServer(AppServer):
    """A server of the plain service `desk`."""

    service = "desk"
    work_seconds = 0.02

    async def serve(self, call: Call, writer: asyncio.StreamWriter) -> None:
        """Run a request, or answer the health check."""
        if call.target == "/health":
            status = 200 if self.state == "ready" else 503
            respond(writer, status, Kumquatway_Instance=self.name)
            return
        expected = call.fields.get("kumquatway-expect-instance", self.name)
        echo = {"Kumquatway_Request_Id": call.id}
        if expected != self.name:
            respond(writer, 421, Kumquatway_Not_Run="1", **echo)
            return
        self.runs.append((time.monotonic(), call.id))
        self.record.note(f"run {call.id} at {self.name}")
        await asyncio.sleep(self.work_seconds)
        if self.state == "draining":
            echo["Connection"] = "close"
        stamp = f"stamp-{self.name}-{call.id}"
        respond(writer, 200, b"done", Kumquatway_Server_Stamp=stamp, **echo)
        if self.state == "draining":
            writer.close()


MODEL_LAYERS = 80
LAYER_MB = 1750.0
EVENT_TOKENS = 2  # `stride`: steps of a pass, whose tokens come in one event
LOAD_SECONDS = 14.0  # for all layers
# Values of the site file for a chain of `l4` cards.
STEP_MS = 0.85
PER_SEQ_MS = 0.00212
CONTEXT_PER_K = 0.00285
READ_PER_S = 272_000.0
CHUNK = 512
CARD = {"name": "l4", "mb": 21_600.0, "pace": 16.0, "readX": 8.2}
MODEL = {
    "name": "model",
    "maxConns": 1000,
    "healthPath": "/health",
    "engine": {
        "slots": 96,
        "kvTokens": 50_000,
        "kvTokenBytes": 328_000,
        "models": [{"name": "m0", "loadS": LOAD_SECONDS}],
        "step_ms": STEP_MS,
        "per_seq_ms": PER_SEQ_MS,
        "context_per_k": CONTEXT_PER_K,
        "read_per_s": READ_PER_S,
        "chunk": CHUNK,
        "stride": EVENT_TOKENS,
        "loads_at_once": 6,
        "usual": {"prompt": 760, "answer": 146},
        "layers": MODEL_LAYERS,
        "layerMb": LAYER_MB,
        "actBytes": 16_400,
        "pipeMbps": 7900,
        "kinds": [CARD],
    },
}


class Generation:
    """A request that a chain works on."""

    def __init__(self, *, unread: int, events: int, done: int):
        self.unread = unread  # tokens of the prompt
        self.context = 0
        self.events = events  # of the whole answer
        self.done = done  # events that were made, or that the client has
        self.ready = asyncio.Event()


class ModelServer(AppServer):
    """
    A model server that holds a range of layers; times are those of PROTOCOL.md.

    The first server of a chain plays the passes of the whole chain.

    :param servers: all model servers, by address.
    """

    service = "model"

    def __init__(self, host: str, *, servers: dict[str, "ModelServer"], **others):
        super().__init__(host, **others)
        self.servers = servers
        self.layers = (0, 0)
        self.orders = 0
        self.fence = 0
        self.busy = False
        self.is_used = False  # loads are short before the first request
        self.batch: list[Generation] = []
        self.passes: asyncio.Task | None = None
        servers[self.address] = self

    def registration(self) -> dict:
        """Return the value of the server's row."""
        return {**super().registration(), "slots": 96, **self._held()}

    def _held(self) -> dict:
        first, last = self.layers
        return {
            "stage": "combined",
            "models": [{"name": "m0", "version": 1, "adapters": []}],
            "kind": CARD["name"],
            "layers": {"from": first, "to": last, "version": 1},
            "born": self.born,
        }

    async def serve(self, call: Call, writer: asyncio.StreamWriter) -> None:
        """Answer one request."""
        if call.target == "/health":
            status = 200 if self.state == "ready" else 503
            respond(writer, status, Kumquatway_Instance=self.name)
        elif call.target == "/report":
            report = {
                "busy": self.busy,
                "seq": self.orders,
                "waiting": sum(each.unread > 0 for each in self.batch),
                "running": len(self.batch),
                "kvUsed": 0,
                "kvTotal": 50_000 * MODEL_LAYERS,
                "handles": 0,
                "pace": 1.0,
                "stalled": [],
            }
            self._json(writer, 200, {**report, **self._held()})
        elif call.target == "/order":
            self._order(writer, json.loads(call.body))
        else:
            await self._generate(call, writer)

    def _json(self, writer: asyncio.StreamWriter, status: int, body: dict) -> None:
        data = json.dumps(body).encode()
        respond(writer, status, data, Content_Type="application/json")

    def _order(self, writer: asyncio.StreamWriter, order: dict) -> None:
        if order.get("fence", 0) < self.fence:
            self._json(writer, 412, {})
        elif self.busy or order.get("expectRev", self.orders) != self.orders:
            self._json(writer, 409, {})
        else:
            self.fence = order.get("fence", 0)
            self.orders += 1
            self.busy = True
            asyncio.create_task(self._load(order["from"], order["to"]))
            self._json(writer, 202, {})

    async def _load(self, first: int, last: int) -> None:
        held = range(*self.layers)
        new = sum(layer not in held for layer in range(first, last))
        share = 1.0 if any(one.is_used for one in self.servers.values()) else 0.1
        await asyncio.sleep(share * LOAD_SECONDS * new / MODEL_LAYERS)
        self.layers = (first, last)
        self.busy = False
        self.register()

    def _faulty_part(self, hops: str) -> str:
        """Return the address of the first server that lacks its part, or ""."""
        for hop in hops.split(","):
            address, _, span = hop.partition("=")
            first, _, last = span.partition("-")
            server = self.servers[address]
            if not server.layers[0] <= int(first) < int(last) <= server.layers[1]:
                return address
        return ""

    async def _generate(self, call: Call, writer: asyncio.StreamWriter) -> None:
        echo = {"Kumquatway-Request-Id": call.id}
        faulty = self._faulty_part(call.fields["kumquatway-hops"])
        if faulty:
            named = {"Kumquatway_Not_Run": "1", "At_Server": faulty}
            respond(writer, 421, **named, Kumquatway_Request_Id=call.id)
            return
        for server in self.servers.values():
            server.is_used = True
        self.runs.append((time.monotonic(), call.id))
        self.record.note(f"run {call.id} at {self.name}")
        prompt, _, output = call.fields["kumquatway-tokens"].partition(",")
        done = int(call.fields.get("last-event-id", "0"))
        generation = Generation(
            unread=int(prompt) + done * EVENT_TOKENS,
            events=int(output) // EVENT_TOKENS,
            done=done,
        )
        self.batch.append(generation)
        if self.passes is None or self.passes.done():
            self.passes = asyncio.create_task(self._run_passes())
        head = {
            "Content-Type": "text/event-stream",
            "Kumquatway-Server-Stamp": f"stamp-{self.name}-{call.id}",
            "Transfer-Encoding": "chunked",
            **echo,
        }
        sent = done
        try:
            while sent < generation.events:
                await generation.ready.wait()
                generation.ready.clear()
                if sent == done:
                    writer.write(render("HTTP/1.1 200 OK", head))
                while sent < generation.done:
                    sent += 1
                    event = b"id: %d\ndata: piece %d\n\n" % (sent, sent)
                    writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            writer.write(b"0\r\n\r\n")
            self.record.note(f"{self.name} has made the whole answer to {call.id}")
        finally:
            if generation in self.batch:
                self.batch.remove(generation)

    async def _run_passes(self) -> None:
        at = time.monotonic()
        while self.batch:
            at += sum(self._step() for _ in range(EVENT_TOKENS)) / 1000
            await asyncio.sleep(max(0.0, at - time.monotonic()))
            for each in list(self.batch):
                if not each.unread and each.done < each.events:
                    each.done += 1
                    each.ready.set()

    def _step(self) -> float:
        """Return the milliseconds of a step, and read prompts in it."""
        writing = [each for each in self.batch if not each.unread]
        context = sum(each.context for each in writing) / 1000
        cost = 0.0
        if writing:
            work = STEP_MS + PER_SEQ_MS * len(writing) + CONTEXT_PER_K * context
            cost = work * CARD["pace"]
        left = CHUNK
        for each in self.batch:
            part = min(left, each.unread)
            each.unread -= part
            each.context += part
            left -= part
        for each in writing:
            each.context += 1
        return cost + (CHUNK - left) / READ_PER_S * 1000 * CARD["readX"]


class Entry:
    """
    One process of the system, started with the command of the deploy file.

    :param name: name of its machine.
    :param host: address of its machine.
    :param store: address of the store.
    :param seeds: addresses of the first entries.
    :param folder: for its settings and its log.
    """

    def __init__(
        self, name: str, host: str, *, store: str, seeds: list[str], folder: Path
    ):
        self.name = name
        self.host = host
        self.front = f"{host}:8227"
        self.ready = f"{host}:8220"
        self.settings = folder / f"{name}.toml"
        self.log = folder / f"{name}.log"
        self.settings.write_text(settings(name, host, store=store, seeds=seeds))
        self.process: asyncio.subprocess.Process | None = None
        self.ends: list[int] = []  # exit codes of runs that ended by themselves

    async def start(self) -> None:
        """Start the process."""
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["KUMQUATWAY_NODE_FILE"] = str(self.settings)
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *ENTRY_COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def terminate(self) -> None:
        """Send SIGTERM."""
        self.process.send_signal(signal.SIGTERM)

    async def stop(self) -> None:
        """End the process for certain."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def is_ready(self) -> bool:
        """Ask like the platform's balancer."""
        try:
            caller = await Channel.open(self.ready)
        except OSError:
            return False
        answer = await caller.ask("GET", "/ready", {})
        caller.close()
        return answer.status == 200


def settings(name: str, host: str, *, store: str, seeds: list[str]) -> str:
    """Return the settings file of an entry in a small deployment."""
    return f"""
node = "{name}"
role = "entry"
class = "front"
serves = ["front", "control"]
ip = "{host}"
zone = "zone-a"
region = "region"
portRange = [7340, 7355]
seeds = {json.dumps(seeds)}
bootstrap = true
inTolerance = false
discovery = "platform"
entry = "vip"
heartbeatMs = {int(HEARTBEAT_SECONDS * 1000)}
[zones]
zone-a = "region"
[listen]
front = "{host}:8227"
ready = "{host}:8220"
control = "{host}:8229"
[limits]
cpuShare = 0.817
cores = 1
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
stabilityWindowMs = 3000
drainMs = {int(DRAIN_SECONDS * 1000)}
graceS = {int(GRACE_SECONDS)}
lossSlackMs = 200
configMs = 2000
retryRatio = 0.2
retryWindowS = 10
retrySlack = 198
recoverS = 12
fenceChecked = true
[platform]
address = "{store}"
form = "table"
writesPerS = 400
readsPerS = 2000
txMs = 3.0
"""


class Answer:
    """
    What a client received.

    :param status: 0 if the channel ended without a head.
    :param whole: whether the body is complete.
    """

    def __init__(self, status: int, fields: Fields, body: bytes, *, whole: bool):
        self.status = status
        self.fields = fields
        self.body = body
        self.whole = whole

    @property
    def closes(self) -> bool:
        """Whether the channel ends with this answer."""
        return not self.whole or self.fields.get("connection", "") == "close"


class Channel:
    """A client's channel to an entry, kept open for many requests."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, address: str) -> "Channel":
        """Open a channel; OSError if nobody listens."""
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    def close(self) -> None:
        """Close the channel."""
        self.writer.close()

    async def ask(
        self, method: str, target: str, fields: Fields, body: bytes = b""
    ) -> Answer:
        """Send a request, and read the answer to its end."""
        head = {"Host": HOST, **fields}
        if body or method == "POST":
            head["Content-Length"] = str(len(body))
        try:
            self.writer.write(render(f"{method} {target} HTTP/1.1", head, body))
            found = await read_head(self.reader)
            if found is None:
                return Answer(0, {}, b"", whole=False)
            start, got = found
            body, whole = await self._read_body(got)
        except ConnectionError:
            return Answer(0, {}, b"", whole=False)
        return Answer(int(start.split(" ")[1]), got, body, whole=whole)

    async def _read_body(self, fields: Fields) -> tuple[bytes, bool]:
        parts = []
        try:
            if fields.get("transfer-encoding") != "chunked":
                left = int(fields.get("content-length", "0"))
                while left and (part := await self.reader.read(left)):
                    parts.append(part)
                    left -= len(part)
                return b"".join(parts), not left
            while True:
                size = int(await self.reader.readuntil(b"\r\n"), 16)
                part = await self.reader.readexactly(size + 2)
                if not size:
                    return b"".join(parts), True
                parts.append(part[:-2])
        except (asyncio.IncompleteReadError, ConnectionError):
            return b"".join(parts), False


def route(name: str, kind: str, service: str, **others) -> dict:
    """Return a route of the configuration, with the prefix `/NAME/`."""
    found = {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeoutMs": 1500,
        "targetLatencyMs": 125,
        "priority": 2,
        "attempts": 1 if kind == "unsafe" else 2,
    }
    return {**found, **others}


def configuration(routes: list[dict], services: list[dict], version: int = 1) -> bytes:
    """Return the value of `op/config`."""
    document = {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1048576,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "house", "apiKeys": [KEY]}],
    }
    return json.dumps(document).encode()


DESK = {"name": "desk", "maxConns": 100, "healthPath": "/health"}


def request_fields(request_id: str, deadline_ms: int, **others: str) -> Fields:
    """Return the header fields of a client's request."""
    named = {name.replace("_", "-"): value for name, value in others.items()}
    return {
        "Kumquatway-Request-Id": request_id,
        "Kumquatway-Deadline-Ms": str(deadline_ms),
        "X-Api-Key": KEY,
        **named,
    }


async def wait_until(condition: Callable[[], Awaitable[bool]], seconds: float) -> bool:
    """Wait until a condition holds; False if it does not in time."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if await condition():
            return True
        await asyncio.sleep(0.1)
    return False


Case = Callable[[Record, Path, bool], Awaitable[int]]


def main(folder: str, case: Case) -> None:
    """
    Run a case, write its record, and exit with its code.

    :param folder: folder of the case.
    :param case: takes the record, a temporary folder and whether to make trouble;
        returns 1 if the rule was broken, 0 if it held, 2 if the case could not run.
    """
    # An end from outside still ends the processes that the case has started.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    record = Record(Path(folder))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add(f"trouble: {'yes' if trouble else 'no'}")
    code = 2
    with tempfile.TemporaryDirectory() as temporary:
        try:
            code = asyncio.run(case(record, Path(temporary), trouble))
        except (OSError, TimeoutError) as error:
            record.add(f"could not run: {error!r}")
        for log in sorted(Path(temporary).glob("*.log")):
            last = log.read_text(errors="replace").splitlines()[-9:]
            kept = [line for line in last if str(ROOT) not in line and "/" not in line]
            record.lines += [f"{log.name}: {line[:300]}" for line in kept]
    result = {0: "the rule held", 1: "the rule was broken", 2: "could not run"}
    record.add(result[code])
    record.save()
    sys.exit(code)
