"""
Batcher.

Gathers the steps that wait into one engine step at a time.
"""

import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio

from kumquatway_agent.stage._pace import Pace
from kumquatway_agent.stage._queue import Queue
from kumquatway_agent.stage._streams import Work
from kumquatway_core import Reason, Verdict, may_have_run
from kumquatway_core.engine import (
    EngineFailure,
    StepInput,
    StepOutput,
    StepReply,
    StepRequest,
)
from kumquatway_core.wire import Load

TOKEN_BUDGET = 2048  # tokens in one engine step
MIXED_BUDGET = 1024  # tokens in one while streams decode, whose next token waits
DECODE_MEMORY = 1.0  # seconds since a decode for which streams count as decoding
SMOOTHING = 0.2

Step = Callable[[StepRequest, float], Awaitable[StepReply | EngineFailure]]


@dataclass(frozen=True, kw_only=True, slots=True)
class Group:
    """Steps that one engine step can run: the same layers of the same weights."""

    model: str
    version: str
    first: int
    end: int


class Batcher:
    """
    The queue before one engine.

    :param step: runs an engine step, with a bound in seconds.
    :param on_output: called with the work and output of each item.
    :param on_batch_done: called after the outputs of one step.
    :param on_failure: called with the works that an engine step failed with.
    """

    def __init__(
        self,
        *,
        step: Step,
        on_output: Callable[[Work, StepOutput], None],
        on_batch_done: Callable[[], None],
        on_failure: Callable[[list[Work], Verdict], None],
        token_budget: int = TOKEN_BUDGET,
        mixed_budget: int = MIXED_BUDGET,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.step = step
        self.on_output = on_output
        self.on_batch_done = on_batch_done
        self.on_failure = on_failure
        self.token_budget = token_budget
        self.mixed_budget = mixed_budget
        self.clock = clock
        self.pace = Pace()
        self.queues: dict[Group, Queue] = {}
        self.waiting = 0
        self.step_seconds = 0.0
        self.tokens_per_second = 0.0
        self._last_decode = float("-inf")
        self._wake = anyio.Event()

    def add(self, work: Work) -> None:
        """
        Queue a step.

        :param work: to run.
        """
        here = work.stream.here()
        open = work.stream.open
        group = Group(
            model=open.model, version=open.version, first=here.first, end=here.end
        )
        self.queues.setdefault(group, Queue()).add(work)
        self.waiting += 1
        self._wake.set()

    def load(self, streams: int) -> Load:
        """
        Report how busy the engine is.

        :param streams: that the stage holds.
        :return: the load.
        """
        return Load(
            waiting=self.waiting,
            streams=streams,
            step_seconds=self.step_seconds,
            tokens_per_second=self.tokens_per_second,
        )

    async def run(self) -> None:
        """Run engine steps until cancelled."""
        while True:
            if not self.waiting:
                self._wake = anyio.Event()
                await self._wake.wait()
            group = self._oldest()
            batch = self._take(group)
            if batch:
                await self._run_step(group, batch)

    def _oldest(self) -> Group:
        """Choose the group whose first step is most urgent, then oldest."""
        return min(self.queues, key=lambda group: self.queues[group].rank())

    def _take(self, group: Group) -> list[Work]:
        """
        Take decodes, which cost little, and fill up with replays, then prompts.

        The callers of replays wait already, so they may fill the whole budget.
        """
        queue = self.queues[group]
        batch = self._fill(queue.pop_decode, self.token_budget)
        if batch:
            self._last_decode = self.clock()
        replays = self._fill(queue.pop_replay, self.token_budget - len(batch))
        batch += replays
        if not replays:
            room = self._prefill_budget() - len(batch)
            batch += self._fill(queue.pop_prefill, room)
        if queue.is_empty():
            del self.queues[group]
        return batch

    def _fill(self, pop: Callable[[], Work | None], budget: int) -> list[Work]:
        batch: list[Work] = []
        tokens = 0
        while tokens < budget and (work := pop()) is not None:
            self.waiting -= 1
            if not work.stream.closed:
                batch.append(work)
                tokens += work.count
        return batch

    def _prefill_budget(self) -> int:
        decoding = self.clock() - self._last_decode < DECODE_MEMORY
        return self.mixed_budget if decoding else self.token_budget

    async def _run_step(self, group: Group, batch: list[Work]) -> None:
        tokens = sum(work.count for work in batch)
        request = StepRequest(
            model=group.model,
            version=group.version,
            first=group.first,
            end=group.end,
            items=tuple(_input(work) for work in batch),
        )
        before = self.clock()
        reply = await self.step(request, self.pace.bound(tokens))
        seconds = self.clock() - before
        if isinstance(reply, EngineFailure):
            self.on_failure(batch, reply.verdict)
            return
        if len(reply.items) != len(batch):
            detail = f"the engine answered {len(reply.items)} of {len(batch)} items"
            self.on_failure(batch, may_have_run(Reason.UPSTREAM_ERROR, detail))
            return
        self._learn(tokens, seconds)
        for work, output in zip(batch, reply.items, strict=True):
            self.on_output(work, output)
        self.on_batch_done()

    def _learn(self, tokens: int, seconds: float) -> None:
        self.pace.add(tokens, seconds)
        rate = tokens / max(seconds, 1e-6)
        self.step_seconds += SMOOTHING * (seconds - self.step_seconds)
        self.tokens_per_second += SMOOTHING * (rate - self.tokens_per_second)


def _input(work: Work) -> StepInput:
    open = work.stream.open
    return StepInput(
        stream=work.stream.name(),
        position=work.position,
        count=work.count,
        data=work.data,
        sample=work.stream.is_last(),
        seed=open.seed,
        adapter=open.adapter,
        priority=open.priority,
    )
