"""
Replays random interleavings of attempts that run beside each other.

One to four requests on one to four chains; servers answer, refuse, fail, fall silent
and reset connections, and callers leave. Virtual time and seeded random numbers.
"""

import asyncio
import random
import time
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from unittest.mock import Mock

from parallel_site import HEAD, Dialect, Pool, Site, chunk, event
from virtual_time import run_in_virtual_time

from kumquatway_gateway.http1 import UpstreamConnection
from kumquatway_gateway.relay._streams import StreamJob

EVENTS = 8  # of a whole answer
ANSWER = [b"id: %d\ndata: x\n\n" % n for n in range(1, EVENTS + 1)]
END = b"0\r\n\r\n"
REFUSAL = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"
ERROR = b"HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n"
ENDS = ("end", "abort", "respond")
PLAY_SECONDS = 2.5  # after which servers and callers do no more
CHECK_SECONDS = 0.01
PAUSES = [0, 0, 0, 0.002, 0.01, 0.05]  # between what happens


class _Dialect(Dialect):
    """Tells the fake server the request, the last event and its own ID."""

    def encode(self, request, attempt):
        last_event_id = attempt.last_event_id or 0
        return f"{request.id} {last_event_id} {attempt.server.id}".encode()


class _Pool(Pool):
    """Takes a moment to connect."""

    def __init__(self, random: random.Random):
        super().__init__()
        self.random = random

    async def connect(self, key, address, timeout=0.3):
        for _ in range(self.random.choice([0, 0, 1, 3])):
            await asyncio.sleep(0)
        if self.random.random() < 0.2:
            await asyncio.sleep(0.005)
        return await super().connect(key, address, timeout)


@dataclass(eq=False)
class _Sending:
    """A request that a server got, and how far its answer is."""

    connection: UpstreamConnection
    server: str
    next_event: int
    state: str = "sent"

    def is_open(self) -> bool:
        connection = self.connection
        return not connection.transport.aborted and connection.exchange is not None

    def take_events(self, count: int) -> bytes:
        """Return the next events of the answer."""
        numbers = range(self.next_event, min(self.next_event + count, EVENTS + 1))
        self.next_event += len(numbers)
        return b"".join(event(n) for n in numbers)


@dataclass(eq=False)
class _Call:
    """A request of a caller."""

    stream: StreamJob
    resumable: bool
    task: asyncio.Task[None]
    has_left: bool = False
    sendings: list[_Sending] = field(default_factory=list)


class AttemptReplay:
    """
    One replay.

    :param seed: decides what happens.
    """

    def __init__(self, seed: int):
        self.random = random.Random(seed)
        self.calls: dict[str, _Call] = {}
        self.sendings: list[_Sending] = []

    def run(self) -> list[str]:
        """Run the replay, and return the faults that it has found."""
        random.seed(self.random.random())  # of the gateway's own choices
        return run_in_virtual_time(self._run)

    async def _run(self) -> list[str]:
        self._make_site()
        for _ in range(self.random.choice([1, 2, 4])):
            self._call()
        end = time.monotonic() + PLAY_SECONDS
        while self._unended() and time.monotonic() < end:
            self._take_sendings()
            self._step()
            await asyncio.sleep(self.random.choice(PAUSES))
        end = time.monotonic() + self.site.timeout + 1.0
        while self._unended() and time.monotonic() < end:
            self.site.relay.check_streams()
            await asyncio.sleep(CHECK_SECONDS)
        self._take_sendings()
        faults = [
            f"{call.stream.job.request.id} never ends" for call in self._unended()
        ]
        for call in self._unended():
            call.task.cancel()
        await asyncio.sleep(CHECK_SECONDS)
        return faults + [*self._find_faults_of_calls(), *self._find_leftovers()]

    def _make_site(self) -> None:
        choose = self.random.choice
        self.site = site = Site(
            chains="abcd"[: choose([1, 2, 3, 4])],
            slack=choose([3, 50, 50]),
            timeout=choose([0.5, 2.0, 4.0]),
            max_attempts=choose([1, 2, 3, 4]),
            slots=choose([1, 2, 96, 96]),
        )
        site.relay.dialect = _Dialect()
        site.pool = site.relay.pool = _Pool(self.random)
        quarantine = site.relay.quarantine
        for name in ("record_start", "record_end"):
            record = Mock(wraps=getattr(quarantine, name))
            setattr(quarantine, name, record)

    def _call(self) -> None:
        stream = self.site.job()
        resumable = self.random.random() < 0.8
        stream.job.route = replace(stream.job.route, resumable=resumable)
        task = asyncio.create_task(stream.run())
        call = _Call(stream=stream, resumable=resumable, task=task)
        self.calls[stream.job.request.id] = call

    def _unended(self) -> list[_Call]:
        return [call for call in self.calls.values() if not call.task.done()]

    def _take_sendings(self) -> None:
        """Note the requests that servers have got since the last time."""
        for _, connection in self.site.pool.opened[len(self.sendings) :]:
            request, last_event, server = connection.transport.sent.decode().split()
            sending = _Sending(connection, server, int(last_event) + 1)
            self.sendings.append(sending)
            self.calls[request].sendings.append(sending)

    # what happens

    def _step(self) -> None:
        for _ in range(self.random.choice([0, 0, 1, 2])):
            if self.sendings:
                self._answer(self.random.choice(self.sendings[-8:]))
        call = self.random.choice(list(self.calls.values()))
        if self.random.random() < 0.2:  # several servers answer it at once
            for sending in self.random.sample(call.sendings, len(call.sendings)):
                self._answer(sending)
        if self.random.random() < 0.4:
            self._suspect(call.stream)
        if self.random.random() < 0.05:
            self._change_reachability()
        if self.random.random() < 0.005 and not call.task.done():
            call.has_left = True
            call.task.cancel()
        if self.random.random() < 0.1:
            self.site.relay.check_streams()

    def _suspect(self, stream: StreamJob) -> None:
        """Take the servers of a stream for silent."""
        for attempt in list(stream.attempts):
            if attempt in self.site.relay.active_streams:
                servers = [stage.server.id for stage in attempt.chain.stages]
                count = len(servers) if self.random.random() < 0.3 else 1
                attempt._suspect(frozenset(servers[:count]))

    def _change_reachability(self) -> None:
        pool = self.site.pool
        addresses = self.random.choice([pool.refuse, pool.hang])
        addresses ^= {f"{self.random.choice('abcd')}0:80"}

    def _answer(self, sending: _Sending) -> None:
        """Let a server go on with its answer, or fail."""
        if not sending.is_open():
            return
        chance = self.random.random()
        if sending.state == "sent":
            self._begin_answer(sending, chance)
        elif sending.state == "answering":
            self._go_on(sending, chance)

    def _begin_answer(self, sending: _Sending, chance: float) -> None:
        if chance < 0.2:
            sending.state = "refused"
            sending.connection.data_received(REFUSAL)
        elif chance < 0.27:
            sending.state = "failed"
            sending.connection.data_received(ERROR)
        elif chance < 0.4:
            self._reset(sending)
        else:
            sending.state = "answering"
            count = self.random.choice([0, 0, 1, 1, 1])
            sending.connection.data_received(HEAD + sending.take_events(count))

    def _go_on(self, sending: _Sending, chance: float) -> None:
        if chance < 0.12:
            self._reset(sending)
        elif sending.next_event > EVENTS:
            sending.state = "ended"
            sending.connection.data_received(END)
        elif chance < 0.25:
            self._send_in_halves(sending)
        else:
            data = sending.take_events(self.random.choice([1, 1, 3]))
            if sending.next_event > EVENTS and chance < 0.5:
                sending.state = "ended"
                data += END
            sending.connection.data_received(data)

    def _reset(self, sending: _Sending) -> None:
        sending.state = "reset"
        sending.connection.connection_lost(ConnectionResetError())

    def _send_in_halves(self, sending: _Sending) -> None:
        """Send the halves of an event in two chunks, with or without a whole one."""
        data = sending.take_events(self.random.choice([0, 1]))
        if sending.next_event <= EVENTS:
            whole = ANSWER[sending.next_event - 1]
            sending.connection.data_received(data + chunk(whole[:8]))
            data = chunk(whole[8:])
            sending.next_event += 1
        sending.connection.data_received(data)

    # what must hold

    def _find_faults_of_calls(self) -> Iterator[str]:
        for request, call in self.calls.items():
            for fault in self._find_faults(call):
                yield f"{request}: {fault}, servers {_describe(call.sendings)}"

    def _find_faults(self, call: _Call) -> Iterator[str]:
        log = call.stream.job.caller.log
        kinds = [kind for kind, *_ in log]
        events = [data for kind, *rest in log if kind == "data" for data in rest]
        body = b"".join(events)
        prefixes = [b"".join(ANSWER[:n]) for n in range(EVENTS + 1)]
        if body not in prefixes:
            yield f"events missing, twice, cut or out of order: {body!r}"
        if [kind for kind in kinds[:-1] if kind in ENDS]:
            yield f"something after the end: {kinds}"
        if not call.has_left and not (kinds and kinds[-1] in ENDS):
            yield f"neither an end nor a verdict: {kinds}"
        if kinds and kinds[-1] == "end" and body != prefixes[-1]:
            yield f"the end of an answer that is not whole: {body!r}"
        if call.task.done() and not call.task.cancelled() and call.task.exception():
            yield f"an error: {call.task.exception()!r}"
        possibly_run = [each for each in call.sendings if each.state != "refused"]
        if not call.resumable and len(possibly_run) > 1:
            yield "it may have run twice"
        statuses = [rest[0] for kind, *rest in log if kind == "respond"]
        if possibly_run and {503, 429} & set(statuses):
            yield f"{statuses}, though it may have run"
        servers = {each.server for each in possibly_run}
        if len(servers) > call.stream.job.route.max_attempts:
            yield f"more than {call.stream.job.route.max_attempts} attempts"

    def _find_leftovers(self) -> Iterator[str]:
        router, relay = self.site.router, self.site.relay
        if router.claims or router.own_loads:
            yield f"claims left: {len(router.claims)}, {router.own_loads}"
        if relay.active_streams:
            yield f"active streams left: {len(relay.active_streams)}"
        queue = router.queue
        if queue.waiting or queue.in_service or abs(queue.queued_tokens) > 1e-6:
            tokens = f"{queue.queued_tokens} tokens, in service {queue.in_service}"
            yield f"in the queue left: {len(queue.waiting)}, {tokens}"
        quarantine = relay.quarantine
        started = quarantine.record_start.call_count
        ended = quarantine.record_end.call_count
        if started != ended:
            yield f"the quarantine knows {started} begins and {ended} ends"
        still_open = [each for each in self.sendings if each.is_open()]
        if still_open:
            yield f"connections left: {_describe(still_open)}"
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        if tasks:
            yield f"tasks left: {tasks}"


def _describe(sendings: list[_Sending]) -> str:
    return ", ".join(f"{each.server} {each.state}" for each in sendings) or "none"
