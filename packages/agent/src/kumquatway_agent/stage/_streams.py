"""
Streams.

What a stage knows of each stream, and which step it may run next.
"""

import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from kumquatway_agent.orders import covers_stage
from kumquatway_agent.stage._retained import Output, Retained
from kumquatway_core import Reason
from kumquatway_core.wire import (
    DIGEST_BYTES,
    EMPTY_DIGEST,
    TOKEN_BYTES,
    Holding,
    Stage,
    StepItem,
    StreamSetup,
    extend_digests,
)

MAX_TOMBSTONES = 20_000
MIB = 1024 * 1024
RETAINED_BOUND = 64 * MIB
MAX_STREAMS = 4096

Key = tuple[str, int]


@dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """
    A step that is not run.

    :param reason: the cause; the entry hears of it.
    :param detail: one line for people.
    """

    reason: Reason
    detail: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Work:
    """
    A step to run.

    :param stream: whose step it is.
    :param position: the first position.
    :param count: how many.
    :param replay: the stream's caller waits for the recovery that it belongs to.
    """

    stream: "Stream"
    position: int
    count: int
    data: bytes
    replay: bool = False


class Stream:
    """
    One attempt of a request on this stage.

    :param open: what the entry says of it, with the newest route.
    :param stage: index of this stage in the route.
    """

    def __init__(self, *, open: StreamSetup, stage: int, now: float):
        self.open = open
        self.stage = stage
        self.heard_epoch = open.epoch
        self.sent_to: Stage | None = None
        self.chains = bytearray()
        self.queued = 0
        self.done = 0
        self.retained = Retained()
        self.closed = False
        self.touched = now

    def key(self) -> Key:
        """
        Name the attempt.

        :return: request and attempt.
        """
        return self.open.request, self.open.attempt

    def name(self) -> str:
        """
        Name the stream to the engine.

        :return: unique among the engine's streams.
        """
        return f"{self.open.request}.{self.open.attempt}.{self.stage}"

    def here(self) -> Stage:
        """
        Find this stage in the route.

        :return: its range and address.
        """
        return self.open.route[self.stage]

    def chain_before(self, position: int) -> int:
        """
        Find the digest over the generated tokens before a position.

        :param position: at most one past the last that was queued.
        :return: `EMPTY` up to the first generated position.
        """
        index = position - self.open.prompt_tokens
        if index <= 0:
            return EMPTY_DIGEST
        found = self.chains[(index - 1) * DIGEST_BYTES : index * DIGEST_BYTES]
        return int.from_bytes(found, "little")

    def chains_of(self, position: int, count: int) -> bytes:
        """
        Find the digests of positions that were queued.

        :param position: the first.
        :param count: how many; those of the prompt have none.
        :return: one for each generated position.
        """
        first = max(position - self.open.prompt_tokens, 0)
        end = max(position + count - self.open.prompt_tokens, 0)
        return bytes(self.chains[first * DIGEST_BYTES : end * DIGEST_BYTES])

    def follow(self, item: StepItem) -> bool:
        """
        Compare the tokens that a step was made from with those run here.

        :param item: a step for this stage, not past the next position.
        :return: False if they differ; else their digests are taken in.
        """
        first = max(item.position - self.open.prompt_tokens, 0) * DIGEST_BYTES
        found = self._chains_in(item)
        known = self.chains[first : first + len(found)]
        if known != found[: len(known)]:
            return False
        self.chains += found[len(known) :]
        return True

    def _chains_in(self, item: StepItem) -> bytes:
        if item.layer:
            return item.prefix_digests
        skip = max(self.open.prompt_tokens - item.position, 0)
        before = self.chain_before(item.position + skip)
        return extend_digests(before, item.data[skip * TOKEN_BYTES :])

    def is_last(self) -> bool:
        """
        Tell whether this stage samples.

        :return: True for the last stage of the route.
        """
        return self.stage == len(self.open.route) - 1

    def next_hop(self) -> Stage:
        """
        Find where outputs go; the last stage's tokens go to the first.

        :return: the stage.
        """
        return self.open.route[(self.stage + 1) % len(self.open.route)]

    def lost_next_hop(self) -> bool:
        """
        Tell whether the next hop is another than that which has the outputs.

        :return: False before the first output.
        """
        return self.sent_to is not None and self.sent_to != self.next_hop()

    def next_index(self) -> int:
        """
        Find the index of the next hop.

        :return: index in the route.
        """
        return (self.stage + 1) % len(self.open.route)

    def next_layer(self) -> int:
        """
        Find the layer that the next hop has to run.

        :return: its index; 0 after the last stage.
        """
        return 0 if self.is_last() else self.here().end


class Streams:
    """
    Every stream on this stage.

    :param incarnation: of this agent.
    :param vm: name of its VM.
    :param retained_bound: bytes of activations kept over all streams.
    """

    def __init__(
        self,
        *,
        incarnation: int,
        vm: str,
        retained_bound: int = RETAINED_BOUND,
        max_streams: int = MAX_STREAMS,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.incarnation = incarnation
        self.vm = vm
        self.retained_bound = retained_bound
        self.max_streams = max_streams
        self.clock = clock
        self.streams: OrderedDict[Key, Stream] = OrderedDict()
        self.tombstones: OrderedDict[Key, None] = OrderedDict()
        self.newest: dict[str, int] = {}
        self.retained_bytes = 0
        self.dropped = 0
        self.accepting = True
        self.closing: set[Holding] = set()

    def take(self, item: StepItem) -> Work | Output | Refusal | None:
        """
        Check a step against what this stage expects.

        :param item: as received.
        :return: the work to run; the latest output, to be passed on again, for a
            repeat of it; a refusal; or None for what is late or of an old route.
        """
        key = (item.request, item.attempt)
        if key in self.tombstones or item.attempt < self.newest.get(item.request, 0):
            self.dropped += 1
            return None
        stream = self.streams.get(key)
        if stream is None:
            stream = self._open(item)
            if not isinstance(stream, Stream):
                return stream
        return self._check(stream, item)

    def add_output(self, stream: Stream, output: Output) -> None:
        """
        Keep what a stream passed on.

        :param stream: whose output it is.
        :param output: the activations.
        """
        before = stream.retained.bytes
        stream.retained.add(output)
        self.retained_bytes += stream.retained.bytes - before
        if self.retained_bytes > self.retained_bound:
            self._evict()

    def close(self, key: Key) -> Stream | None:
        """
        Forget a stream, and refuse its later steps.

        :param key: request and attempt.
        :return: the stream, or None if it was not here.
        """
        self.tombstones[key] = None
        if len(self.tombstones) > MAX_TOMBSTONES:
            self.tombstones.popitem(last=False)
        stream = self.streams.pop(key, None)
        if stream is None:
            return None
        stream.closed = True
        self.retained_bytes -= stream.retained.bytes
        if self.newest.get(key[0]) == key[1]:
            del self.newest[key[0]]
        return stream

    def older(self, key: Key) -> list[Key]:
        """
        Find earlier attempts of a request.

        :param key: request and attempt.
        :return: their keys.
        """
        request, attempt = key
        found = range(1, attempt)
        return [(request, old) for old in found if (request, old) in self.streams]

    def _open(self, item: StepItem) -> Stream | Refusal | None:
        if item.setup is None:
            self.dropped += 1
            return None
        refusal = self._refuse(item, item.setup)
        if refusal is not None:
            return refusal
        stream = Stream(open=item.setup, stage=item.stage, now=self.clock())
        self.streams[stream.key()] = stream
        self.newest[item.request] = item.attempt
        return stream

    def _refuse(self, item: StepItem, open: StreamSetup) -> Refusal | None:
        if (open.request, open.attempt) != (item.request, item.attempt):
            return Refusal(reason=Reason.REFUSED, detail="another stream's opening")
        if not 0 <= item.stage < len(open.route):
            return Refusal(reason=Reason.REFUSED, detail="no such stage")
        here = open.route[item.stage]
        if here.incarnation != self.incarnation or here.vm != self.vm:
            return Refusal(reason=Reason.REFUSED, detail="another incarnation")
        if not covers(open.route):
            return Refusal(reason=Reason.REFUSED, detail="layers missing or doubled")
        if not self.accepting:
            return Refusal(reason=Reason.SHUTTING_DOWN, detail="leaving")
        if any(covers_stage(held, open, here) for held in self.closing):
            return Refusal(reason=Reason.REFUSED, detail="the layers are unloaded")
        if len(self.streams) >= self.max_streams:
            return Refusal(reason=Reason.OVERLOADED, detail="too many streams")
        return None

    def _check(self, stream: Stream, item: StepItem) -> Work | Output | Refusal | None:
        if item.epoch < stream.heard_epoch:
            self.dropped += 1
            return None
        stream.heard_epoch = item.epoch
        if item.setup is not None and item.setup.epoch > stream.open.epoch:
            stream.open = item.setup
        if item.stage != stream.stage or item.layer != stream.here().first:
            return Refusal(reason=Reason.REFUSED, detail="not the next layer")
        stream.touched = self.clock()
        end = item.position + item.count
        if item.position > stream.queued:
            return Refusal(reason=Reason.REFUSED, detail="not the next position")
        if not _is_whole(stream, item):
            return Refusal(reason=Reason.REFUSED, detail="data of a wrong size")
        if not stream.follow(item):
            return Refusal(reason=Reason.DIVERGED, detail="made from other tokens")
        if end <= stream.queued:
            return self._repeat(stream, end)
        return self._accept(stream, item)

    def _repeat(self, stream: Stream, end: int) -> Output | None:
        """Pass on again what follows from a repeat, if that has been run."""
        self.dropped += 1
        if end > stream.done:
            return None
        # Tokens of the last stage stand one position after what they follow from.
        first = end if stream.is_last() else end - 1
        return stream.retained.since(first)

    def _accept(self, stream: Stream, item: StepItem) -> Work:
        skip = stream.queued - item.position
        width = len(item.data) // item.count
        work = Work(
            stream=stream,
            position=stream.queued,
            count=item.count - skip,
            data=item.data[skip * width :],
            replay=item.replay,
        )
        stream.queued = item.position + item.count
        return work

    def _evict(self) -> None:
        """Give up the replay of the streams that cost most."""
        by_size = sorted(
            self.streams.values(), key=lambda stream: -stream.retained.bytes
        )
        for stream in by_size:
            if self.retained_bytes <= self.retained_bound:
                return
            self.retained_bytes -= stream.retained.evict()


def _is_whole(stream: Stream, item: StepItem) -> bool:
    """Check that there are data for each position, and digests where they belong."""
    if item.count < 1 or not item.data or len(item.data) % item.count:
        return False
    if not item.layer:
        return len(item.data) == item.count * TOKEN_BYTES
    generated = item.position + item.count - stream.open.prompt_tokens
    expected = min(max(generated, 0), item.count)
    return len(item.prefix_digests) == expected * DIGEST_BYTES


def covers(route: tuple[Stage, ...]) -> bool:
    """
    Check that a route runs each layer once, in order.

    :param route: its stages.
    :return: False if a layer is missing, doubled or out of order.
    """
    layer = 0
    for stage in route:
        if stage.first != layer or stage.end <= stage.first:
            return False
        layer = stage.end
    return bool(route)
