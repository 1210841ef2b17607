"""
Engine.

A stand-in for a model engine that holds ranges of layers, over HTTP.
"""

import time
from collections import OrderedDict
from dataclasses import dataclass, field

import anyio
import msgspec
import numpy as np
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from kumquatway_core.engine import (
    ALL_STREAMS,
    NO_FREE_SLOT,
    EngineLoad,
    EngineOrder,
    EngineOrderReply,
    EngineState,
    KVExport,
    StepInput,
    StepOutput,
    StepReply,
    StepRequest,
)
from kumquatway_core.wire import Holding
from kumquatway_fakes import _model
from kumquatway_fakes._reports import Reports

MEDIA_TYPE = "application/msgpack"
BLOCK = 64  # tokens in a block of the prefix cache
MICROSECONDS = 1e-6  # seconds
NO_STREAM = "unknown stream"
NO_LAYERS = "layers not loaded"


@dataclass(frozen=True, kw_only=True, slots=True)
class Speed:
    """
    How long a step takes.

    :param layer_us: microseconds for a layer, whatever the batch.
    :param token_us: microseconds for a layer and a token.
    """

    layer_us: float = 0.0
    token_us: float = 0.0

    def seconds(self, layers: int, tokens: int) -> float:
        """
        Time a step.

        :param layers: that it runs.
        :param tokens: in its batch.
        :return: seconds.
        """
        return layers * (self.layer_us + self.token_us * tokens) * MICROSECONDS


@dataclass(kw_only=True, slots=True)
class Slot:
    """The KV cache of one stream: a sum for each layer."""

    first: int
    end: int
    salt: int
    model: str
    version: str
    adapter: str
    position: int = 0
    pasts: list[int] = field(default_factory=list)


@dataclass(kw_only=True, slots=True)
class EngineFaults:
    """
    What is wrong with an engine now; changed at run time or by `POST /faults`.

    :param hung: calls are taken and never answered.
    :param slow: factor on the time of a step.
    :param refusing: answers every call with status 503.
    """

    hung: bool = False
    slow: float = 1.0
    refusing: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineCounts:
    """
    What an engine did, as `GET /counts` tells it.

    :param slots: streams that it holds now.
    """

    steps: int
    tokens: int
    slots: int
    busy_seconds: float


class Engine:
    """
    The state of one engine.

    :param holdings: what it holds at start.
    :param speed: of its accelerator.
    :param slots: streams it can hold.
    :param memory_mib: for weights.
    :param layer_mib: weights of one layer.
    :param load_seconds: to load one layer.
    :param checks_fencing: refuses an order with an older number.
    :param cache_blocks: blocks in its prefix cache.
    :param reports: what it tells of its cache and load, and how late.
    """

    def __init__(
        self,
        *,
        holdings: tuple[Holding, ...] = (),
        speed: Speed | None = None,
        slots: int = 256,
        memory_mib: int = 80_000,
        layer_mib: int = 512,
        load_seconds: float = 0.0,
        checks_fencing: bool = False,
        cache_blocks: int = 4096,
        reports: Reports | None = None,
    ):
        self.holdings = list(holdings)
        self.speed = speed or Speed()
        self.max_slots = slots
        self.memory_mib = memory_mib
        self.layer_mib = layer_mib
        self.load_seconds = load_seconds
        self.checks_fencing = checks_fencing
        self.cache_blocks = cache_blocks
        self.reports = reports or Reports()
        self.faults = EngineFaults()
        self.slots: dict[str, Slot] = {}
        self.blocks: OrderedDict[tuple, None] = OrderedDict()
        self.fence = 0
        self.orders: list[EngineOrder] = []
        self.steps = 0
        self.tokens = 0
        self.busy_seconds = 0.0
        self.step_seconds = 0.0
        self._turn = anyio.Lock()

    async def step(self, request: StepRequest) -> StepReply:
        """
        Run one step; steps wait for each other.

        :param request: the streams and their data.
        :return: the results.
        """
        async with self._turn:
            before = time.monotonic()
            tokens = sum(item.count for item in request.items)
            cached = self._cached(request)
            items = tuple(self._run(request, item) for item in request.items)
            seconds = self.speed.seconds(request.end - request.first, tokens - cached)
            seconds *= self.faults.slow
            await anyio.sleep(max(seconds - (time.monotonic() - before), 0))
            self.steps += 1
            self.tokens += tokens
            self.busy_seconds += seconds
            self.step_seconds = seconds
            return StepReply(items=items, seconds=seconds, cached_tokens=cached)

    def state(self) -> EngineState:
        """
        Tell what it holds.

        :return: the state.
        """
        load = EngineLoad(
            streams=len(self.slots),
            free_slots=self.max_slots - len(self.slots),
            step_seconds=self.step_seconds,
            age=0.0,
        )
        return EngineState(
            holdings=tuple(self.holdings),
            load=self.reports.load(load),
            memory_mib=self.memory_mib,
            highest_fencing_number=self.fence if self.checks_fencing else 0,
        )

    async def order(self, order: EngineOrder) -> EngineOrderReply:
        """
        Load or unload layers.

        :param order: what to do.
        :return: whether it was done.
        """
        if self.checks_fencing and order.fencing_number < self.fence:
            return EngineOrderReply(done=False, detail="an older fencing number")
        self.fence = max(self.fence, order.fencing_number)
        if order.load and order.holding not in self.holdings:
            return await self._load(order)
        if not order.load and order.holding in self.holdings:
            self.holdings.remove(order.holding)
        self.orders.append(order)
        return EngineOrderReply(done=True)

    async def _load(self, order: EngineOrder) -> EngineOrderReply:
        layers = order.holding.end - order.holding.first
        used = sum(held.end - held.first for held in self.holdings)
        if (used + layers) * self.layer_mib > self.memory_mib:
            return EngineOrderReply(done=False, detail="not enough memory")
        await anyio.sleep(layers * self.load_seconds)
        if order.holding not in self.holdings:
            self.holdings.append(order.holding)
        self.orders.append(order)
        return EngineOrderReply(done=True)

    def cancel(self, streams: tuple[str, ...]) -> None:
        """
        Free slots.

        :param streams: names of streams, known or not.
        """
        if ALL_STREAMS in streams:
            self.slots.clear()
        for stream in streams:
            self.slots.pop(stream, None)

    def export(self, stream: str) -> KVExport | None:
        """
        Read a KV cache.

        :param stream: its name.
        :return: the cache, or None if there is none.
        """
        slot = self.slots.get(stream)
        if slot is None:
            return None
        return KVExport(
            stream=stream,
            model=slot.model,
            version=slot.version,
            adapter=slot.adapter,
            first=slot.first,
            end=slot.end,
            position=slot.position,
            data=np.array(slot.pasts, dtype="<u8").tobytes(),
        )

    def take_in(self, cache: KVExport) -> None:
        """
        Write a KV cache.

        :param cache: as exported by another engine.
        """
        self.slots[cache.stream] = Slot(
            first=cache.first,
            end=cache.end,
            salt=_model.salt_of(cache.model, cache.version, cache.adapter),
            model=cache.model,
            version=cache.version,
            adapter=cache.adapter,
            position=cache.position,
            pasts=[int(past) for past in np.frombuffer(cache.data, dtype="<u8")],
        )

    def _run(self, request: StepRequest, item: StepInput) -> StepOutput:
        if not self._holds(request):
            return StepOutput(stream=item.stream, error=NO_LAYERS)
        slot = self._slot(request, item)
        if slot is None:
            error = NO_FREE_SLOT if item.position == 0 else NO_STREAM
            return StepOutput(stream=item.stream, error=error)
        states = self._enter(request, item, slot)
        for index, layer in enumerate(range(request.first, request.end)):
            past = slot.pasts[index]
            states, slot.pasts[index] = _model.run_layer(states, layer, past)
        slot.position += item.count
        if not item.sample:
            return StepOutput(stream=item.stream, data=states.astype("<u8").tobytes())
        token, text, stop = _model.sample(int(states[-1]), item.seed)
        return StepOutput(stream=item.stream, token=token, text=text, stop=stop)

    def _enter(self, request: StepRequest, item: StepInput, slot: Slot) -> np.ndarray:
        if request.first == 0:
            tokens = np.frombuffer(item.data, dtype="<u4")
            return _model.embed(tokens, item.position, slot.salt)
        return np.frombuffer(item.data, dtype="<u8")

    def _holds(self, request: StepRequest) -> bool:
        return any(
            held.model == request.model
            and held.version == request.version
            and held.first <= request.first
            and request.end <= held.end
            for held in self.holdings
        )

    def _slot(self, request: StepRequest, item: StepInput) -> Slot | None:
        if item.position != 0:
            return self.slots.get(item.stream)
        if item.stream not in self.slots and len(self.slots) >= self.max_slots:
            return None
        slot = Slot(
            first=request.first,
            end=request.end,
            salt=_model.salt_of(request.model, request.version, item.adapter),
            model=request.model,
            version=request.version,
            adapter=item.adapter,
            pasts=[0] * (request.end - request.first),
        )
        self.slots[item.stream] = slot
        return slot

    def _cached(self, request: StepRequest) -> int:
        """Count the tokens of whole blocks that it has seen with the same past."""
        return sum(self._cached_item(request, item) for item in request.items)

    def _cached_item(self, request: StepRequest, item: StepInput) -> int:
        width = len(item.data) // max(item.count, 1)
        if item.position != 0 or item.count < BLOCK:
            return 0
        cached = 0
        hit = True
        past = 0
        for start in range(0, item.count - BLOCK + 1, BLOCK):
            block = item.data[start * width : (start + BLOCK) * width]
            past = hash((past, block))
            key = (request.model, request.version, item.adapter, request.first, past)
            hit = hit and key in self.blocks
            cached += BLOCK if hit else 0
            self._remember(key)
        return cached

    def _remember(self, key: tuple) -> None:
        if key not in self.blocks:
            self.reports.add_event(hash(key), stored=True)
        self.blocks[key] = None
        self.blocks.move_to_end(key)
        while len(self.blocks) > self.cache_blocks:
            gone, _ = self.blocks.popitem(last=False)
            self.reports.add_event(hash(gone), stored=False)


def engine_app(engine: Engine) -> Starlette:
    """
    Serve an engine.

    :param engine: its state.
    :return: an ASGI application.
    """

    async def body(request: Request, kind):
        if engine.faults.hung:
            await anyio.sleep_forever()
        return msgspec.msgpack.decode(await request.body(), type=kind)

    def reply(value, status: int = 200) -> Response:
        if engine.faults.refusing:
            return Response(status_code=503)
        data = msgspec.msgpack.encode(value)
        return Response(data, status_code=status, media_type=MEDIA_TYPE)

    async def step(request: Request) -> Response:
        return reply(await engine.step(await body(request, StepRequest)))

    async def orders(request: Request) -> Response:
        return reply(await engine.order(await body(request, EngineOrder)))

    async def cancel(request: Request) -> Response:
        engine.cancel(await body(request, tuple[str, ...]))
        return reply(True)

    async def state(request: Request) -> Response:
        if engine.faults.hung:
            await anyio.sleep_forever()
        return reply(engine.state())

    async def export(request: Request) -> Response:
        (stream,) = await body(request, tuple[str])
        cache = engine.export(stream)
        return reply(cache) if cache else reply(NO_STREAM, 404)

    async def take_in(request: Request) -> Response:
        engine.take_in(await body(request, KVExport))
        return reply(True)

    async def faults(request: Request) -> Response:
        data = await request.body()
        engine.faults = msgspec.json.decode(data, type=EngineFaults)
        return Response(status_code=204)

    async def cache_events(request: Request) -> Response:
        since = int(request.query_params.get("since", 0))
        found = msgspec.json.encode(engine.reports.events_since(since))
        return Response(found, media_type="application/json")

    async def counts(request: Request) -> Response:
        found = EngineCounts(
            steps=engine.steps,
            tokens=engine.tokens,
            slots=len(engine.slots),
            busy_seconds=engine.busy_seconds,
        )
        return Response(msgspec.json.encode(found), media_type="application/json")

    return Starlette(
        routes=[
            Route("/faults", faults, methods=["POST"]),
            Route("/cache/events", cache_events, methods=["GET"]),
            Route("/counts", counts, methods=["GET"]),
            Route("/step", step, methods=["POST"]),
            Route("/orders", orders, methods=["POST"]),
            Route("/cancel", cancel, methods=["POST"]),
            Route("/state", state, methods=["GET"]),
            Route("/kv/export", export, methods=["POST"]),
            Route("/kv/import", take_in, methods=["POST"]),
        ]
    )
