"""Tests of the stage: what runs, in which order, and what a failure costs."""

import asyncio
from collections import defaultdict

import hypothesis.strategies as st
import pytest
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from kumquatway_agent.stage import Batcher, StageRunner, Stream, Streams, Work
from kumquatway_agent.stage._pace import FLOOR, UNKNOWN_BOUND, Pace
from kumquatway_core import Reason
from kumquatway_core.engine import NO_FREE_SLOT, StepOutput, StepReply, StepRequest
from kumquatway_core.wire import (
    Cancel,
    Holding,
    Splice,
    Stage,
    StepItem,
    Steps,
    StreamSetup,
    Trouble,
)
from kumquatway_fakes import Engine, answer

PROMPT = b"pass"
MAX_TOKENS = 8
LAYERS = 6
STAGES = 3
VMS = STAGES * 2  # one and a spare for each range
ENTRY = "entry"
DRAIN_STEPS = 2000
EXPECTED = answer(prompt=PROMPT, layers=LAYERS, model="m", max_tokens=MAX_TOKENS)[0]


def make_open(route: tuple[Stage, ...], **changes) -> StreamSetup:
    fields = {"attempt": 1, "request": "r", "priority": 0} | changes
    return StreamSetup(
        route=route,
        entry=ENTRY,
        model="m",
        version="1",
        adapter="",
        prompt_tokens=len(PROMPT),
        end_position=len(PROMPT) + MAX_TOKENS,
        seed=0,
        **fields,
    )


def tokens_of(data: bytes) -> bytes:
    return b"".join(byte.to_bytes(4, "little") for byte in data)


class Vm:
    """A stage with its engine; `send` and `free` leave what they get in lists."""

    def __init__(self, *, number: int, send, retained: int = 10_000, slots: int = 9):
        self.name = f"vm-{number}"
        self.first = number % STAGES * 2
        self.incarnation = 1
        self.send = send
        self.retained = retained
        self.slots = slots
        self.start()

    def start(self) -> None:
        held = Holding(model="m", version="1", first=0, end=LAYERS)
        self.engine = Engine(holdings=(held,), slots=self.slots)
        streams = Streams(
            incarnation=self.incarnation, vm=self.name, retained_bound=self.retained
        )

        async def step(request: StepRequest, timeout: float) -> StepReply:
            return await self.engine.step(request)

        self.stage = StageRunner(
            streams=streams, step=step, send=self.send, free=self.engine.cancel
        )

    def here(self) -> Stage:
        return Stage(
            vm=self.name,
            address=self.name,
            incarnation=self.incarnation,
            first=self.first,
            end=self.first + 2,
        )

    async def step(self) -> None:
        batcher = self.stage.batcher
        group = batcher._oldest()
        if batch := batcher._take(group):
            await batcher._run_step(group, batch)


class PipelineMachine(RuleBasedStateMachine):
    """One request over three stages, with faults; the tokens show what was run."""

    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner()
        self.mail = defaultdict(list)
        self.past: list[tuple[str, object]] = []
        self.vms = [Vm(number=n, send=self.sender(f"vm-{n}")) for n in range(VMS)]
        self.tokens: list[int] = []
        self.texts: list[str] = []
        self.attempt = 0
        self.chain: list[Vm] = []
        self.begin()

    def teardown(self):
        for _ in range(DRAIN_STEPS):
            if len(self.texts) == len(EXPECTED):
                break
            if not self.work_once():
                self.begin()
        self.cancel()
        while self.work_once():
            pass
        self.runner.close()
        assert tuple(self.texts) == EXPECTED
        assert not any(vm.stage.streams.streams for vm in self.vms)

    def sender(self, name: str):
        def send(address: str, message) -> None:
            self.mail[(name, address)].append(message)

        return send

    def begin(self) -> None:
        """Prefill on a new route, as after a failure."""
        self.cancel()
        self.failed = False
        self.attempt += 1
        self.epoch = 1
        half = self.attempt % 2 * STAGES
        self.chain = [self.vms[half + n] for n in range(STAGES)]
        self.feed()

    def cancel(self) -> None:
        for vm in self.chain:
            cancel = Cancel(items=(("r", self.attempt),))
            self.mail[(ENTRY, vm.name)].append(cancel)

    def open(self) -> StreamSetup:
        known = b"".join(token.to_bytes(4, "little") for token in self.tokens)
        route = tuple(vm.here() for vm in self.chain)
        return make_open(
            route, attempt=self.attempt, epoch=self.epoch, known_tokens=known
        )

    def feed(self) -> None:
        open = self.open()
        data = tokens_of(PROMPT) + open.known_tokens
        item = StepItem(
            request="r",
            attempt=self.attempt,
            stage=0,
            layer=0,
            position=0,
            count=len(data) // 4,
            data=data,
            epoch=self.epoch,
            setup=open,
        )
        self.mail[(ENTRY, self.chain[0].name)].append(Steps(items=(item,)))

    def work_once(self, choice: int = 0) -> bool:
        pairs = [pair for pair, queue in self.mail.items() if queue]
        busy = [vm for vm in self.vms if vm.stage.batcher.waiting]
        if not pairs and not busy:
            return False
        chosen = choice % (len(pairs) + len(busy))
        if chosen < len(pairs):
            self.deliver_first(pairs[chosen])
        else:
            self.runner.run(busy[chosen - len(pairs)].step())
        return True

    def deliver_first(self, pair: tuple[str, str]) -> None:
        message = self.mail[pair].pop(0)
        self.past.append((pair[1], message))
        self.take(pair[1], message)

    def take(self, address: str, message) -> None:
        if address == ENTRY:
            self.take_at_entry(message)
            return
        stage = next(vm for vm in self.vms if vm.name == address).stage
        if isinstance(message, Steps):
            stage.take_steps(message)
        elif isinstance(message, Splice):
            stage.take_splice(message)
        else:
            stage.take_cancel(message)

    def take_at_entry(self, message) -> None:
        if isinstance(message, Trouble):
            chain = [vm.name for vm in self.chain]
            if message.attempt == self.attempt and message.vm in chain:
                self.failed = True
            return
        for piece in message.items:
            expected = len(PROMPT) + len(self.tokens)
            if piece.attempt == self.attempt and piece.position == expected:
                self.tokens.append(piece.token)
                self.texts.append(piece.text)

    @rule(choices=st.lists(st.integers(0, 9), min_size=5, max_size=30))
    def work(self, choices):
        """Messages of different senders overtake each other, and so do steps."""
        for choice in choices:
            self.work_once(choice)

    @precondition(lambda self: self.past)
    @rule(data=st.data())
    def deliver_again(self, data):
        """An old message comes once more, of whatever attempt, epoch or life."""
        age = data.draw(st.integers(1, len(self.past)))
        self.take(*self.past[-age])

    @precondition(lambda self: not self.failed)
    @rule(index=st.integers(0, STAGES - 1), restart=st.booleans())
    def replace(self, index, restart):
        """A stage fails; its spare takes over, the live ones keep their cache."""
        old = self.chain[index]
        spare = self.vms[(self.vms.index(old) + STAGES) % VMS]
        if restart:
            old.incarnation += 1
            old.start()
        self.mail[(ENTRY, old.name)].append(Cancel(items=(("r", self.attempt),)))
        self.chain[index] = spare
        self.epoch += 1
        before = (index - 1) % STAGES
        splice = Splice(stage=before, setup=self.open())
        self.mail[(ENTRY, self.chain[before].name)].append(splice)
        if index == 0:
            self.feed()

    @precondition(lambda self: self.failed)
    @rule()
    def start_again(self):
        self.begin()

    @rule(number=st.integers(0, VMS - 1))
    def evict(self, number):
        streams = self.vms[number].stage.streams
        for stream in streams.streams.values():
            streams.retained_bytes -= stream.retained.evict()

    @invariant()
    def the_answer_is_the_one_computed_alone(self):
        assert tuple(self.texts) == EXPECTED[: len(self.texts)]

    @invariant()
    def retained_memory_is_counted(self):
        for vm in self.vms:
            streams = vm.stage.streams
            kept = sum(stream.retained.bytes for stream in streams.streams.values())
            assert streams.retained_bytes == kept


TestPipeline = PipelineMachine.TestCase
TestPipeline.settings = settings(
    derandomize=True, max_examples=100, stateful_step_count=25, deadline=None
)


class TestRefusals:
    """A step runs only if it is the next one of a route that this stage is on."""

    def setup_method(self):
        self.sent: list[tuple[str, object]] = []
        self.vm = Vm(number=1, send=lambda *sent: self.sent.append(sent))
        first, last = (Vm(number=n, send=None).here() for n in (0, 2))
        self.route = (first, self.vm.here(), last)
        self.streams = self.vm.stage.streams

    def item(self, position: int, opened: bool = False, **changes) -> StepItem:
        fields = {"attempt": 1, "epoch": 1, "stage": 1, "layer": 2, "data": b"x" * 8}
        fields |= changes
        open = make_open(self.route, attempt=fields["attempt"], epoch=fields["epoch"])
        return StepItem(
            request="r",
            position=position,
            count=1,
            setup=open if opened else None,
            **fields,
        )

    @pytest.mark.parametrize(
        "changes",
        [
            {"position": 5},
            {"position": 1, "layer": 3},
            {"position": 1, "stage": 2},
            {"position": 1, "data": b""},
        ],
    )
    def test_what_is_not_the_next_step_is_refused(self, changes):
        assert isinstance(self.streams.take(self.item(0, opened=True)), Work)
        refusal = self.streams.take(self.item(**changes))
        assert refusal.reason is Reason.REFUSED
        assert isinstance(self.streams.take(self.item(1)), Work)

    def test_a_step_of_an_older_route_is_dropped(self):
        self.streams.take(self.item(0, opened=True, epoch=2))
        assert self.streams.take(self.item(1)) is None
        assert isinstance(self.streams.take(self.item(1, epoch=2)), Work)

    def test_a_route_for_another_life_of_the_agent_is_refused(self):
        self.streams.incarnation = 2
        assert self.streams.take(self.item(0, opened=True)).reason is Reason.REFUSED

    def test_a_route_that_doubles_a_layer_is_refused(self):
        self.route = (self.route[0], *self.route)
        item = self.item(0, opened=True, stage=2)
        assert self.streams.take(item).reason is Reason.REFUSED

    def test_layers_that_are_being_unloaded_take_no_stream(self):
        held = Holding(model="m", version="1", first=0, end=LAYERS)
        self.streams.closing.add(held)
        assert self.streams.take(self.item(0, opened=True)).reason is Reason.REFUSED

    def test_an_older_splice_changes_nothing(self):
        self.streams.take(self.item(0, opened=True, epoch=3))
        (stream,) = self.streams.streams.values()
        older = make_open(self.route[:2], epoch=2)
        self.vm.stage.take_splice(Splice(stage=1, setup=older))
        assert stream.open.epoch == 3

    def test_the_last_stage_gives_the_token_that_the_caller_has(self):
        route = (Stage(vm="vm-1", address="a", incarnation=1, first=0, end=6),)
        known = tokens_of(b"\x07")
        work = Work(
            stream=Stream(open=make_open(route, known_tokens=known), stage=0, now=0.0),
            position=0,
            count=len(PROMPT),
            data=tokens_of(PROMPT),
        )
        self.vm.stage._on_output(work, StepOutput(stream="s", token=99))
        self.vm.stage.outgoing.flush()
        ((address, steps),) = self.sent
        assert (address, steps.items[0].data) == ("a", known)

    def test_a_full_engine_is_no_failed_stage(self):
        work = self.streams.take(self.item(0, opened=True))
        self.vm.stage._on_output(work, StepOutput(stream="s", error=NO_FREE_SLOT))
        ((address, trouble),) = self.sent
        assert (address, trouble.reason) == (ENTRY, Reason.OVERLOADED)
        self.vm.stage._on_output(work, StepOutput(stream="s", data=b"late"))
        assert len(self.sent) == 1

    @pytest.mark.parametrize("reason", [Reason.SILENCE, Reason.UNREACHABLE])
    def test_a_silent_next_stage_is_told_from_one_that_ended(self, reason):
        work = self.streams.take(self.item(0, opened=True))
        self.vm.stage._on_output(work, StepOutput(stream="s", data=b"x"))
        self.vm.stage.lose_next_hop(self.route[2].address, reason)
        ((_, trouble),) = self.sent
        assert (trouble.vm, trouble.reason) == (self.route[2].vm, reason)


class TestBatcher:
    """Decodes go first, and prompts fill up the step within a budget."""

    def setup_method(self):
        self.now = 0.0
        self.failed: list[Work] = []
        self.batcher = Batcher(
            step=self.step,
            on_output=lambda work, output: None,
            on_batch_done=lambda: None,
            on_failure=lambda works, verdict: self.failed.extend(works),
            token_budget=40,
            mixed_budget=10,
            clock=lambda: self.now,
        )

    async def step(self, request: StepRequest, timeout: float) -> StepReply:
        return StepReply(items=(), seconds=0.0)

    def add(self, count: int, priority: int = 0) -> Stream:
        route = (Stage(vm="v", address="a", incarnation=1, first=0, end=LAYERS),)
        open = make_open(route, priority=priority)
        stream = Stream(open=open, stage=0, now=0.0)
        self.batcher.add(Work(stream=stream, position=0, count=count, data=b"x"))
        return stream

    def take(self) -> list[tuple[int, int]]:
        batch = self.batcher._take(self.batcher._oldest())
        return [(work.stream.open.priority, work.count) for work in batch]

    def test_a_replay_passes_prompts_and_fills_the_whole_step(self):
        self.add(1)
        self.add(9)
        stream = self.add(1)
        self.take()
        replay = Work(stream=stream, position=1, count=30, data=b"x", replay=True)
        self.batcher.add(replay)
        self.add(1)
        batch = self.batcher._take(self.batcher._oldest())
        assert [work.count for work in batch] == [1, 30]

    def test_a_decode_waits_for_the_replay_of_its_own_stream(self):
        stream = self.add(30)
        late = Work(stream=stream, position=30, count=1, data=b"x")
        self.batcher.add(late)
        other = self.add(1)
        first = self.batcher._take(self.batcher._oldest())
        assert [work.stream for work in first] == [other, stream]
        second = self.batcher._take(self.batcher._oldest())
        assert second == [late]

    def test_a_decode_does_not_wait_for_a_prompt_before_it(self):
        for _ in range(5):
            self.add(8)
        self.add(1, priority=3)
        assert self.take() == [(3, 1), (0, 8), (0, 8)]

    def test_prompts_have_the_whole_budget_once_nobody_decodes(self):
        self.add(1)
        self.take()
        for _ in range(9):
            self.add(8)
        assert len(self.take()) == 2
        self.now = 10.0
        assert len(self.take()) == 5

    def test_the_more_urgent_goes_first(self):
        for priority in (2, 0, 1):
            self.add(8, priority)
        assert self.take() == [(0, 8), (1, 8), (2, 8)]
        assert self.batcher.waiting == 0

    def test_a_stream_that_ended_costs_no_step(self):
        self.add(8).closed = True
        self.add(8)
        assert self.take() == [(0, 8)]

    def test_an_engine_that_answers_too_little_fails_the_batch(self):
        stream = self.add(8)
        group = self.batcher._oldest()
        asyncio.run(self.batcher._run_step(group, self.batcher._take(group)))
        assert [work.stream for work in self.failed] == [stream]

    def test_the_bound_of_a_step_follows_what_steps_of_its_size_take(self):
        pace = Pace()
        assert pace.bound(8) == UNKNOWN_BOUND
        pace.add(8, 1.0)
        assert pace.bound(8) == FLOOR + 4.0
        assert pace.bound(16) == FLOOR + 8.0
        assert pace.bound(1) == FLOOR + 4.0
