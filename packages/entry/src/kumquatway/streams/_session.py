"""
Session.

One request to a model: its route, what the caller has, and its recovery.
"""

import time
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass

import anyio
from loguru import logger

from kumquatway.protect import backoff
from kumquatway_core import Reason, Verdict, may_have_run
from kumquatway_core.events import Event, RouteChosen, StageFailed, StreamRecovered
from kumquatway_core.text import Model
from kumquatway_core.wire import (
    EMPTY_DIGEST,
    TOKEN_BYTES,
    Cancel,
    GeneratedToken,
    Message,
    Splice,
    Stage,
    StepItem,
    Steps,
    StreamSetup,
    Trouble,
    extend_digest,
)

MAX_RECOVERIES = 16  # without a token between them
MAX_LOSSES = 3  # among them, of which it is certain that something ended
NO_ROUTE_WAIT = 0.1  # seconds between looks for a route
FIRST_PIECE_BOUND = 30.0  # seconds of silence before the first token
SILENCE_FLOOR = 10.0  # seconds; agents notice what fails long before
SILENCE_FACTOR = 20  # of the usual time between tokens
SMOOTHING = 0.2
MAX_REFUSAL_WAIT = 1.0  # seconds
LOSSES = frozenset((Reason.UNREACHABLE, Reason.RESET, Reason.UPSTREAM_ERROR))
# Reasons of a stage that stands, but does not take the stream now.
REFUSALS = frozenset(
    (Reason.NO_UPSTREAM, Reason.OVERLOADED, Reason.REFUSED, Reason.SHUTTING_DOWN)
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Ask:
    """
    What a caller wants of a model.

    :param request: the request's id.
    :param name: of the model.
    :param model: as the text describes it.
    :param adapter: name or "".
    :param prompt: tokens, little-endian u32.
    :param max_tokens: of the answer.
    :param seed: of sampling.
    :param priority: 0 is served first.
    :param deadline: monotonic seconds.
    """

    request: str
    name: str
    model: Model
    adapter: str
    prompt: bytes
    max_tokens: int
    seed: int
    priority: int
    deadline: float

    def prompt_tokens(self) -> int:
        """
        Count the prompt.

        :return: tokens.
        """
        return len(self.prompt) // TOKEN_BYTES


@dataclass(frozen=True, kw_only=True, slots=True)
class Routes:
    """
    How a session gets its upstreams.

    :param route: chooses a chain that avoids some VMs.
    :param replacement: chooses another VM for a stage's layers.
    :param change: learns of the route before and the route now.
    :param replay: learns that a replay to a VM begins (1) or ends (-1).
    """

    route: Callable[[Ask, frozenset[str]], tuple[Stage, ...] | Verdict]
    replacement: Callable[[Ask, Stage, frozenset[str]], Stage | None]
    change: Callable[[tuple[Stage, ...], tuple[Stage, ...]], None]
    replay: Callable[[str, int], None] = lambda vm, change: None


def ignore_first(session: "Session", seconds: float) -> None:
    """
    Stand in for who wants to know of first tokens.

    :param session: of the stream.
    :param seconds: from sending the prompt.
    """


class Session:
    """
    One request in flight.

    :param ask: what the caller wants.
    :param entry: address of this entry.
    :param routes: chooses upstreams.
    :param send: sends a message to an address.
    :param emit: writes down an event.
    :param on_first: told the seconds to the first token, if nothing failed before.
    :param clock: monotonic seconds.
    :param sleep: waits some seconds.
    """

    def __init__(
        self,
        *,
        ask: Ask,
        entry: str,
        routes: Routes,
        send: Callable[[str, Message], object],
        emit: Callable[[Event], object],
        on_first: Callable[["Session", float], None] = ignore_first,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
    ):
        self.ask = ask
        self.entry = entry
        self.routes = routes
        self.send = send
        self.emit = emit
        self.on_first = on_first
        self.clock = clock
        self.sleep = sleep
        self.attempt = 0
        self.epoch = 0
        self.chain = EMPTY_DIGEST
        self.route: tuple[Stage, ...] = ()
        self.tokens: list[int] = []
        self.recoveries = 0
        self.losses = 0
        self.refusals = 0
        self.dropped = 0
        self.usual_gap = 0.0
        self._last_piece = clock()
        self._left: set[str] = set()
        self._replays: set[str] = set()
        self._failed: dict[str, Verdict] = {}
        self._failed_at = 0.0
        self._means = ""
        self._end: Verdict | None = None
        self._pieces: deque[GeneratedToken] = deque()
        self._wake = anyio.Event()

    def next_position(self) -> int:
        """
        Find the position that the caller waits for.

        :return: absolute position.
        """
        return self.ask.prompt_tokens() + len(self.tokens)

    def take_piece(self, piece: GeneratedToken) -> None:
        """
        Take in a token; repeats and those of older attempts are dropped.

        :param piece: as received.
        """
        if piece.attempt != self.attempt or piece.position < self._expected():
            self.dropped += 1
            return
        if piece.position > self._expected():
            self._fail_all(f"position {self._expected()} was lost")
            return
        if piece.prefix_digest != self.chain:
            self._fail_all(f"position {piece.position} follows from other tokens")
            return
        self.chain = extend_digest(self.chain, piece.token)
        self._pieces.append(piece)
        self._wake.set()

    def take_trouble(self, trouble: Trouble, reporter: str = "") -> None:
        """
        Take in a failure of a stage.

        :param trouble: as received; one about or of a replaced stage is ignored.
        :param reporter: address of the agent that says so, "" if not known.
        """
        if trouble.attempt != self.attempt:
            return
        if not 0 <= trouble.stage < len(self.route):
            return
        if self.route[trouble.stage].vm != trouble.vm:
            return
        if reporter and all(stage.address != reporter for stage in self.route):
            return
        reason = Reason(trouble.reason)
        if reason is Reason.DIVERGED:
            # No stage is broken, but their KV caches hold other tokens.
            self._fail_all(trouble.detail)
            return
        self._fail(trouble.vm, may_have_run(reason, trouble.detail))

    def lose_address(
        self, address: str, detail: str, reason: Reason = Reason.SILENCE
    ) -> None:
        """
        Take in that an agent does not answer.

        :param address: of the agent.
        :param detail: one line for people.
        :param reason: `SILENCE`, or `UNREACHABLE` if its process has ended.
        """
        for stage in self.route:
            if stage.address == address:
                self._fail(stage.vm, may_have_run(reason, detail))

    def give_up(self, verdict: Verdict) -> None:
        """
        End the request early.

        :param verdict: that its caller is told.
        """
        self._end = verdict
        self._wake.set()

    async def run(self) -> AsyncIterator[GeneratedToken | Verdict]:
        """
        Generate the answer.

        :return: each token once and in order; a verdict, if any, is the last.
        """
        verdict = await self._start(frozenset())
        if verdict is not None:
            yield verdict
            return
        while True:
            verdict = await self._wait()
            if verdict is not None:
                yield verdict
                return
            while self._pieces:
                piece = self._pieces.popleft()
                self._count(piece)
                yield piece
                if piece.finish:
                    return

    def close(self) -> None:
        """Free every stage of the route."""
        self._note_replays(set())
        self._cancel({stage.address for stage in self.route})
        self._change_route(())

    def _expected(self) -> int:
        return self.next_position() + len(self._pieces)

    def _count(self, piece: GeneratedToken) -> None:
        now = self.clock()
        gap = now - self._last_piece
        if self.tokens:
            self.usual_gap += SMOOTHING * (gap - self.usual_gap)
        elif not (self.recoveries or self.refusals):
            self.on_first(self, gap)
        self._last_piece = now
        self.recoveries = 0
        self.losses = 0
        self.refusals = 0
        self._note_replays(set())
        self.tokens.append(piece.token)
        if self._means:
            self._recovered(now)

    def _recovered(self, now: float) -> None:
        event = StreamRecovered(
            request=self.ask.request,
            attempt=self.attempt,
            means=self._means,
            position=self.next_position() - 1,
            seconds=round(now - self._failed_at, 6),
        )
        self._means = ""
        self.emit(event)

    async def _wait(self) -> Verdict | None:
        """Wait for tokens, and recover from failures meanwhile."""
        while self._end is None and not self._pieces:
            if self._failed:
                verdict = await self._count_failure() or await self._recover()
                if verdict is not None:
                    return verdict
                continue
            self._wake = anyio.Event()
            if self.clock() >= self.ask.deadline:
                return may_have_run(Reason.DEADLINE, "the deadline passed")
            await self._wake.wait()
        return self._end

    def look(self, now: float) -> None:
        """
        Notice that the deadline passed or that no token came for too long.

        One look at all sessions now and then costs less than a timer a token.

        :param now: monotonic seconds.
        """
        if now >= self.ask.deadline:
            self._wake.set()
        elif self.route and now - self._last_piece > self._silence_bound():
            self._last_piece = now
            self._fail_all("no token within the bound")

    def _silence_bound(self) -> float:
        if not self.tokens:
            return FIRST_PIECE_BOUND
        return SILENCE_FLOOR + SILENCE_FACTOR * self.usual_gap

    def _fail(self, vm: str, verdict: Verdict) -> None:
        if vm in self._failed:
            return
        if not self._failed and not self._means:
            self._failed_at = self.clock()
        self._failed[vm] = verdict
        index = next(i for i, stage in enumerate(self.route) if stage.vm == vm)
        self.emit(
            StageFailed(
                request=self.ask.request,
                vm=vm,
                attempt=self.attempt,
                stage=index,
                reason=verdict.reason,
                detail=verdict.detail,
            )
        )
        self._wake.set()

    def _fail_all(self, detail: str) -> None:
        for stage in self.route:
            self._fail(stage.vm, may_have_run(Reason.SILENCE, detail))

    async def _count_failure(self) -> Verdict | None:
        """Bound the losses in a row, and space out the refusals in a row."""
        verdicts = tuple(self._failed.values())
        last = verdicts[0]
        if not all(verdict.reason in REFUSALS for verdict in verdicts):
            self.recoveries += 1
            self.losses += any(verdict.reason in LOSSES for verdict in verdicts)
            over = self.recoveries > MAX_RECOVERIES or self.losses > MAX_LOSSES
            return last if over else None
        wait = backoff(self.refusals, cap=MAX_REFUSAL_WAIT) if self.refusals else 0.0
        self.refusals += 1
        if self.clock() + wait >= self.ask.deadline:
            return may_have_run(last.reason, last.detail)
        if wait:
            await self.sleep(wait)
        return self._end

    async def _recover(self) -> Verdict | None:
        failed = self._failed
        self._failed = {}
        logger.info("{} recovers from {}", self.ask.request, sorted(failed))
        avoid = frozenset(failed)
        if len(failed) < len(self.route) and self._splice(avoid):
            self._means = "replay"
            return None
        if len(failed) == len(self.route):
            avoid = frozenset()
        self.close()
        self._means = "prefill"
        return await self._start(avoid)

    def _splice(self, failed: frozenset[str]) -> bool:
        """Replace the failed stages; those that live keep their KV cache."""
        route = []
        for stage in self.route:
            if stage.vm not in failed:
                route.append(stage)
                continue
            found = self.routes.replacement(self.ask, stage, self._avoid(failed))
            if found is None:
                return False
            route.append(found)
        self._cancel({stage.address for stage in self.route if stage.vm in failed})
        self._left |= failed
        self._note_replays({stage.vm for stage in route if stage not in self.route})
        old = self._change_route(tuple(route))
        self.epoch += 1
        self._announce(old)
        return True

    def _note_replays(self, vms: set[str]) -> None:
        for vm in self._replays:
            self.routes.replay(vm, -1)
        for vm in vms:
            self.routes.replay(vm, 1)
        self._replays = vms

    def _avoid(self, failed: frozenset[str]) -> frozenset[str]:
        # A VM that this attempt left refuses its later steps as cancelled.
        return failed | self._left | {stage.vm for stage in self.route}

    def _cancel(self, addresses: set[str]) -> None:
        cancel = Cancel(items=((self.ask.request, self.attempt),))
        for address in addresses:
            self.send(address, cancel)

    def _announce(self, old: tuple[Stage, ...]) -> None:
        """Tell the live stages whose next hop changed; feed a new first stage."""
        open = self._open()
        for index, stage in enumerate(self.route):
            following = (index + 1) % len(self.route)
            lives = stage == old[index]
            changed = self.route[following] != old[following]
            if lives and changed:
                self.send(stage.address, Splice(stage=index, setup=open))
        if self.route[0] != old[0]:
            self._feed(open)

    async def _start(self, avoid: frozenset[str]) -> Verdict | None:
        """Begin an attempt on a new route."""
        while True:
            route = self.routes.route(self.ask, avoid)
            if not isinstance(route, Verdict):
                break
            verdict = await self._pause(route)
            if verdict is not None:
                return verdict
            avoid = frozenset()
        self.attempt += 1
        self._left = set()
        self.epoch = 1
        self._change_route(route)
        self._last_piece = self.clock()
        self.emit(
            RouteChosen(
                request=self.ask.request,
                attempt=self.attempt,
                vms=tuple(stage.vm for stage in route),
            )
        )
        self._feed(self._open())
        return None

    async def _pause(self, verdict: Verdict) -> Verdict | None:
        """Refuse a request that did not begin; let one in progress wait."""
        if not self.attempt:
            return verdict
        if self.clock() + NO_ROUTE_WAIT >= self.ask.deadline:
            return may_have_run(verdict.reason, verdict.detail)
        await self.sleep(NO_ROUTE_WAIT)
        return self._end

    def _change_route(self, route: tuple[Stage, ...]) -> tuple[Stage, ...]:
        old, self.route = self.route, route
        self.routes.change(old, route)
        return old

    def _feed(self, open: StreamSetup) -> None:
        """Send the prompt, and what was generated, to the first stage."""
        data = self.ask.prompt + open.known_tokens
        item = StepItem(
            request=open.request,
            attempt=open.attempt,
            stage=0,
            layer=0,
            position=0,
            count=len(data) // TOKEN_BYTES,
            data=data,
            epoch=open.epoch,
            setup=open,
            replay=open.epoch > 1,
        )
        result = self.send(self.route[0].address, Steps(items=(item,)))
        if isinstance(result, Verdict):
            self._fail(self.route[0].vm, result)

    def _open(self) -> StreamSetup:
        waiting = (piece.token for piece in self._pieces)
        known = b"".join(
            token.to_bytes(TOKEN_BYTES, "little") for token in (*self.tokens, *waiting)
        )
        return StreamSetup(
            request=self.ask.request,
            attempt=self.attempt,
            route=self.route,
            entry=self.entry,
            model=self.ask.name,
            version=self.ask.model.version,
            adapter=self.ask.adapter,
            prompt_tokens=self.ask.prompt_tokens(),
            end_position=self.ask.prompt_tokens() + self.ask.max_tokens,
            seed=self.ask.seed,
            priority=self.ask.priority,
            epoch=self.epoch,
            known_tokens=known,
        )
