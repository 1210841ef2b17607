"""
A state machine over the real session and stages, with faults between any two steps.

No network and no time: the machine delivers each message itself, in the order of its
link, and kills, restarts and suspects VMs meanwhile.
"""

import asyncio
import time
from collections import deque

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from kumquatway.streams import Ask, Routes, Session
from kumquatway_agent.stage import StageRunner, Streams
from kumquatway_core import Reason, Verdict, not_run
from kumquatway_core.engine import StepInput, StepOutput, StepRequest
from kumquatway_core.text import Model
from kumquatway_core.wire import (
    Cancel,
    Holding,
    Pieces,
    Splice,
    Stage,
    Steps,
    Trouble,
)
from kumquatway_fakes import Engine, answer

LAYERS = 6
STAGES = 3
REPLICAS = 3
PROMPT = b"pass closed"
MAX_TOKENS = 12
ENTRY = "entry"
MODEL = Model(layers=LAYERS)
SEED = 11  # of an answer that no stop token ends
MAX_FAULTS = 5
TURNS = 12  # of the event loop until nothing moves
MAX_DELIVERIES = 5000


class Upstream:
    """A VM: its engine, and the stage of its agent."""

    def __init__(self, *, world: "World", vm: str, index: int, incarnation: int):
        size = LAYERS // STAGES
        self.world = world
        self.vm = vm
        self.incarnation = incarnation
        self.holding = Holding(
            model="m", version="1", first=index * size, end=(index + 1) * size
        )
        self.engine = Engine(holdings=(self.holding,))
        self.runner = StageRunner(
            streams=Streams(incarnation=incarnation, vm=vm),
            step=self.step,
            send=lambda address, message: world.send(vm, address, message),
            free=self.engine.cancel,
        )
        self.task = asyncio.get_running_loop().create_task(self.runner.run())

    async def step(self, request, timeout):
        reply = await self.engine.step(request)
        return self.world.change(self, reply)

    def stage(self) -> Stage:
        return Stage(
            vm=self.vm,
            address=self.vm,
            incarnation=self.incarnation,
            first=self.holding.first,
            end=self.holding.end,
        )

    def take(self, message) -> None:
        if isinstance(message, Steps):
            self.runner.take_steps(message)
        elif isinstance(message, Cancel):
            self.runner.take_cancel(message)
        elif isinstance(message, Splice):
            self.runner.take_splice(message)


class World:
    """VMs, links and one session."""

    def __init__(self, *, moody: bool):
        self.moody = moody
        self.links: dict[tuple[str, str], deque] = {}
        self.upstreams: dict[str, Upstream] = {}
        self.life = 0
        self.turn = 0
        self.events: list = []
        self.tokens: list[int] = []
        self.end: object = None
        for index in range(STAGES):
            for replica in range(REPLICAS):
                self.start(f"vm-{index}-{replica}", index)
        self.session = Session(
            ask=Ask(
                request="r",
                name="m",
                model=MODEL,
                adapter="",
                prompt=b"".join(byte.to_bytes(4, "little") for byte in PROMPT),
                max_tokens=MAX_TOKENS,
                seed=SEED,
                priority=1,
                deadline=time.monotonic() + 1000,
            ),
            entry=ENTRY,
            routes=Routes(
                route=self.route, replacement=self.replace, change=lambda old, new: None
            ),
            send=lambda address, message: self.send(ENTRY, address, message),
            emit=self.events.append,
            sleep=lambda seconds: asyncio.sleep(0),
        )
        self.task = asyncio.get_running_loop().create_task(self.consume())

    def start(self, vm: str, index: int) -> None:
        self.life += 1
        self.upstreams[vm] = Upstream(
            world=self, vm=vm, index=index, incarnation=self.life
        )

    def send(self, source: str, target: str, message) -> None:
        self.links.setdefault((source, target), deque()).append(message)

    def change(self, upstream: Upstream, reply):
        """Let each VM sample its own way, if the machine is moody."""
        if not self.moody or upstream.holding.end != LAYERS:
            return reply
        shift = int(upstream.vm[-1])
        items = tuple(
            StepOutput(stream=item.stream, token=item.token + shift, text=item.text)
            for item in reply.items
        )
        return type(reply)(items=items, seconds=0.0)

    def route(self, ask: Ask, avoid) -> tuple[Stage, ...] | Verdict:
        self.turn += 1
        stages = [self.pick(index, avoid) for index in range(STAGES)]
        if None in stages:
            return not_run(Reason.NO_UPSTREAM)
        return tuple(stages)

    def replace(self, ask: Ask, stage: Stage, avoid) -> Stage | None:
        return self.pick(stage.first * STAGES // LAYERS, avoid)

    def pick(self, index: int, avoid) -> Stage | None:
        names = [f"vm-{index}-{replica}" for replica in range(REPLICAS)]
        usable = [name for name in names if name not in avoid]
        if not usable:
            return None
        return self.upstreams[usable[self.turn % len(usable)]].stage()

    async def consume(self) -> None:
        async for piece in self.session.run():
            if isinstance(piece, Verdict):
                self.end = piece
                return
            self.tokens.append(piece.token)
            self.end = piece.finish or None
        self.session.close()

    def deliver(self, link: tuple[str, str]) -> None:
        message = self.links[link].popleft()
        if link[1] == ENTRY:
            self.deliver_to_entry(message)
        else:
            self.upstreams[link[1]].take(message)

    def deliver_to_entry(self, message) -> None:
        if isinstance(message, Pieces):
            for piece in message.items:
                self.session.take_piece(piece)
        elif isinstance(message, Trouble):
            self.session.take_trouble(message)

    def waiting(self) -> list[tuple[str, str]]:
        return sorted(link for link, queue in self.links.items() if queue)

    def kill(self, vm: str) -> None:
        """Lose a VM with all that was under way to it; it starts again empty."""
        old = self.upstreams[vm]
        old.task.cancel()
        for link in self.links:
            if link[1] == vm:
                self.links[link].clear()
        self.start(vm, int(vm.split("-")[1]))

    def close(self) -> None:
        self.task.cancel()
        for upstream in self.upstreams.values():
            upstream.task.cancel()


class StreamMachine(RuleBasedStateMachine):
    """Any order of deliveries and faults gives the answer computed alone."""

    moody = False

    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner()
        self.faults = 0
        self.unnoticed: set[str] = set()
        self.world = self.runner.run(self.make())
        self.settle()

    async def make(self) -> World:
        return World(moody=self.moody)

    def settle(self) -> None:
        async def turns() -> None:
            for _ in range(TURNS):
                await asyncio.sleep(0)

        self.runner.run(turns())

    def do(self, act, *args) -> None:
        async def inside() -> None:
            act(*args)

        self.runner.run(inside())
        self.settle()

    @rule(choice=st.integers(0, 1000), count=st.integers(1, 8))
    def deliver(self, choice, count):
        for _ in range(count):
            links = self.world.waiting()
            if links:
                self.do(self.world.deliver, links[choice % len(links)])

    @precondition(lambda self: self.faults < MAX_FAULTS and self.world.session.route)
    @rule(stage=st.integers(0, STAGES - 1), lost=st.booleans())
    def kill(self, stage, lost):
        """Kill a VM of the route; what it had sent may be lost with it."""
        vm = self.world.session.route[stage].vm
        self.faults += 1
        self.do(self.world.kill, vm)
        if lost:
            for link in self.world.links:
                if link[0] == vm:
                    self.world.links[link].clear()
        self.unnoticed.add(vm)

    @precondition(lambda self: self.unnoticed)
    @rule()
    def notice(self):
        vm = min(self.unnoticed)
        self.unnoticed.discard(vm)
        self.do(self.world.session.lose_address, vm, "it restarted")

    @precondition(lambda self: self.faults < MAX_FAULTS and self.world.session.route)
    @rule(stage=st.integers(0, STAGES - 1))
    def suspect(self, stage):
        """Take a VM that lives for dead; it goes on with the old route."""
        vm = self.world.session.route[stage].vm
        self.faults += 1
        self.do(self.world.session.lose_address, vm, "a false alarm")

    @precondition(lambda self: self.faults < MAX_FAULTS and self.world.session.route)
    @rule(kept=st.integers(0, STAGES - 1))
    def suspect_others(self, kept):
        """Take all VMs of the route but one for dead at once."""
        vms = [stage.vm for stage in self.world.session.route]
        self.faults += 1
        self.do(self.lose_all, [vm for vm in vms if vm != vms[kept]])

    def lose_all(self, vms) -> None:
        for vm in vms:
            self.world.session.lose_address(vm, "a false alarm")

    def finish(self) -> None:
        while self.unnoticed:
            self.notice()
        for _ in range(MAX_DELIVERIES):
            links = self.world.waiting()
            if not links or self.world.end is not None:
                return
            self.do(self.world.deliver, links[0])

    def teardown(self):
        try:
            self.finish()
            self.check()
        finally:
            self.do(self.world.close)
            self.runner.close()

    def check(self) -> None:
        texts, finish = answer(
            prompt=PROMPT, layers=LAYERS, model="m", seed=SEED, max_tokens=MAX_TOKENS
        )
        assert self.world.end == finish, self.world.events
        assert len(self.world.tokens) == len(texts)


class TestStreams(StreamMachine.TestCase):
    """The machine with engines that sample alike."""

    settings = settings(
        derandomize=True, max_examples=60, stateful_step_count=40, deadline=None
    )


class MoodyMachine(StreamMachine):
    """The machine with engines that sample each in its own way."""

    moody = True

    def check(self) -> None:
        """Each token has to follow from those that the caller has before it."""
        assert self.world.end in ("stop", "length"), self.world.events
        assert len(self.world.tokens) == MAX_TOKENS
        for count, token in enumerate(self.world.tokens):
            base = sample_after(self.world.tokens[:count])
            assert token - base in range(REPLICAS), (count, self.world.tokens)


def sample_after(tokens: list[int]) -> int:
    """Compute the next token alone, as an engine without a mood samples it."""
    engine = Engine(holdings=(Holding(model="m", version="1", first=0, end=LAYERS),))
    data = b"".join(token.to_bytes(4, "little") for token in (*PROMPT, *tokens))
    item = StepInput(
        stream="s",
        position=0,
        count=len(data) // 4,
        data=data,
        sample=True,
        seed=SEED,
        adapter="",
        priority=0,
    )
    request = StepRequest(model="m", version="1", first=0, end=LAYERS, items=(item,))
    return asyncio.run(engine.step(request)).items[0].token


class TestMoodyStreams(MoodyMachine.TestCase):
    """The machine with engines that sample differently."""

    settings = settings(
        derandomize=True, max_examples=60, stateful_step_count=40, deadline=None
    )
