"""Many streams move to other chains at once, as the chain that they are on is lost."""

import asyncio
import time
from collections import Counter, deque
from dataclasses import dataclass, replace

from engines import layer_range, server
from parallel_site import HEAD, Dialect, Site, event, turns, whole
from virtual_time import run_in_virtual_time

from kumquatway_core.events import StageFailed, StreamRecovered
from kumquatway_gateway.http1 import UpstreamConnection
from kumquatway_gateway.model import GenerationSize

STREAMS = 40
EVENTS = 30  # of a whole answer
EVENTS_BEFORE = 5  # that a stream has when its chain is lost
PROMPT_TOKENS = 900
EVENT_SECONDS = 0.02  # between events of a stream
TURN_SECONDS = 0.001
PLAY_SECONDS = 15.0
END = b"0\r\n\r\n"


class _Dialect(Dialect):
    """Tells the fake servers the request and the last event."""

    def encode(self, request, attempt):
        return f"{request.id} {attempt.last_event_id or 0}".encode()


@dataclass(eq=False)
class _Stream:
    """A stream at a chain: its prompt crosses the link, and then each token."""

    connection: UpstreamConnection
    next_event: int
    next_at: float
    tokens: int  # that cross the link before the next event
    has_head: bool = False

    def is_open(self):
        connection = self.connection
        return not connection.transport.aborted and connection.exchange is not None

    def write_next(self):
        """Write the next event, or the end."""
        if not self.has_head:
            self.has_head = True
            self.connection.data_received(HEAD)
        self.connection.data_received(event(self.next_event))
        self.next_event += 1
        if self.next_event > EVENTS:
            self.connection.data_received(END)


class _Link:
    """
    Carries the tokens of all chains that cross data centres, one after another.

    :param seconds: for which each token occupies it.
    """

    def __init__(self, seconds):
        self.seconds = seconds
        self.transfers = deque()  # that cannot be taken back: the end, and the stream
        self.free_at = 0.0

    def send(self, stream):
        """Put the tokens before the next event of a stream behind all others."""
        self.free_at = max(self.free_at, time.monotonic())
        self.free_at += stream.tokens * self.seconds
        self.transfers.append((self.free_at, stream))

    def arrived(self):
        """Return the streams whose tokens are through."""
        now = time.monotonic()
        while self.transfers and self.transfers[0][0] <= now:
            yield self.transfers.popleft()[1]


class _Play:
    """Streams on chain a, which is lost, and two chains that share a link."""

    def __init__(self):
        self.site = site = Site(chains="a", timeout=20.0, slack=198.0)
        self.others = {}
        for name in "bc":
            self.others |= whole(name)
            last = f"{name}64"
            self.others[last] = server(last, "y", "big", layer_range(64, 80))
        site.relay.dialect = _Dialect()
        engine = site.service.engine
        self.link = _Link(engine.activation_bytes / engine.inter_dc_bytes_per_second)
        self.sent = Counter()  # of each request, to the chains that are left
        self.read_tokens = 0
        self.resting = []  # streams between an event and the next token
        self.seen = 0

    def call(self):
        stream = self.site.job()
        size = GenerationSize(prompt_tokens=PROMPT_TOKENS, max_output_tokens=EVENTS)
        stream.job.request = replace(stream.job.request, generation_size=size)
        return stream

    async def run(self):
        calls = [self.call() for _ in range(STREAMS)]
        tasks = [asyncio.create_task(call.run()) for call in calls]
        await self.play_first_chain(calls)
        lost_at = time.monotonic()
        while not all(task.done() for task in tasks):
            self.step()
            await asyncio.sleep(TURN_SECONDS)
            if time.monotonic() > lost_at + PLAY_SECONDS:
                break
        for task in tasks:
            task.cancel()
        return calls

    async def play_first_chain(self, calls):
        """Let all streams begin on the local chain, and break them off together."""
        opened = self.site.pool.opened
        for _ in range(2000):
            await asyncio.sleep(TURN_SECONDS)
            for _, connection in opened[self.seen :]:
                self.seen += 1
                first = range(1, EVENTS_BEFORE + 1)
                connection.data_received(HEAD + b"".join(event(n) for n in first))
            if self.seen == len(calls):
                break
        assert self.seen == len(calls)
        await turns()
        [chain] = self.site.router.chains()
        fleet = self.site.fleet
        fleet.update_servers(fleet.servers | self.others)
        for stage in chain.stages:
            fleet.set_health(stage.server, down=True, ended=True, reason="test")
        assert [chain.crossings for chain in self.site.router.chains()] == [1, 1]
        for _, connection in opened[: self.seen]:
            connection.connection_lost(ConnectionResetError())

    def step(self):
        """Let the chains take what was sent, read, and write."""
        opened = self.site.pool.opened
        for _, connection in opened[self.seen :]:
            if not connection.transport.sent:
                break
            self.seen += 1
            name, last = connection.transport.sent.decode().split()
            self.sent[name] += 1
            tokens = PROMPT_TOKENS + int(last)
            self.read_tokens += tokens
            self.resting.append(
                _Stream(connection, int(last) + 1, time.monotonic(), tokens)
            )
        self.carry()
        self.site.relay.check_streams()

    def carry(self):
        """Let the link carry what is due."""
        now = time.monotonic()
        for stream in [each for each in self.resting if each.next_at <= now]:
            self.resting.remove(stream)
            if stream.is_open():
                self.link.send(stream)
        for stream in self.link.arrived():
            if stream.is_open():
                stream.write_next()
                stream.tokens, stream.next_at = 1, now + EVENT_SECONDS
                self.resting.append(stream)


def test_prompts_of_moved_streams_are_read_once():
    """All were sent at once, left the full link for each other, and read again."""

    async def scenario():
        play = _Play()
        calls = await play.run()
        assert Counter(call.job.caller.log[-1][0] for call in calls) == {"end": STREAMS}
        assert {name: n for name, n in play.sent.items() if n > 1} == {}
        assert play.read_tokens == STREAMS * (PROMPT_TOKENS + EVENTS_BEFORE)
        failures = [
            each for each in play.site.failures if isinstance(each, StageFailed)
        ]
        assert {each.reason for each in failures} == {"cut"}
        pauses = [each.seconds for each in play.site.failures if has_resumed(each)]
        assert max(pauses) < play.read_tokens * play.link.seconds + 0.1

    run_in_virtual_time(scenario)


def has_resumed(occurrence):
    return isinstance(occurrence, StreamRecovered)
