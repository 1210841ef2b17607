"""
Agent.

The process beside one upstream: its children and how messages reach them.
"""

from collections.abc import Awaitable, Callable

import anyio
from loguru import logger

from kumquatway_agent._http import agent_app
from kumquatway_agent._metrics import AgentMetrics
from kumquatway_agent._reap import keep_reaping
from kumquatway_agent._status import StatusBoard
from kumquatway_agent._watch import watch_engine
from kumquatway_agent.orders import Orders, in_use
from kumquatway_agent.service import ServiceCaller
from kumquatway_agent.stage import StageRunner, Streams
from kumquatway_core import Reason, Supervisor, Verdict, new_incarnation
from kumquatway_core.engine import (
    ALL_STREAMS,
    EngineClient,
    EngineFailure,
    EngineState,
    StepReply,
    StepRequest,
)
from kumquatway_core.events import (
    DrainChanged,
    HybridLogicalClock,
    Journal,
    ProcessStarted,
    ProcessStopped,
)
from kumquatway_core.http import serve
from kumquatway_core.leases import PLANNER_LEASE, read_lease
from kumquatway_core.mesh import Mesh, Peer, PeerState, Sender
from kumquatway_core.platform import Channel, Table
from kumquatway_core.settings import AgentSettings
from kumquatway_core.wire import (
    Call,
    Cancel,
    Drain,
    Holding,
    Load,
    Message,
    Order,
    Splice,
    Status,
    Steps,
    Subscribe,
    VMState,
)

MIB = 1024 * 1024  # bytes
DRAIN_CHECK = 0.05  # seconds
MAX_SILENCE = 5.0  # seconds for which a shutdown waits for one that is silent
HANDOVER_SHARE = 0.25  # of the shutdown's bound, kept for handing streams over


class Agent:
    """
    One agent.

    :param settings: as read from its file.
    """

    def __init__(self, *, settings: AgentSettings):
        self.settings = settings
        self.incarnation = new_incarnation()
        self.metrics = AgentMetrics()
        self.clock = HybridLogicalClock()
        self.journal = Journal(process=settings.vm, clock=self.clock)
        self.mesh = Mesh(
            address=settings.mesh_address,
            bind=settings.mesh_bind,
            incarnation=self.incarnation,
            handle=self._handle,
            on_state=self._on_peer_state,
            on_lost=self._on_lost,
            hlc=self.clock.tick,
            merge_hlc=self.clock.merge,
        )
        self.engine = self._engine()
        self.stage = self._stage()
        self.caller = self._caller()
        self.board = StatusBoard(
            status=self._first_status(), load=self._load, send=self.mesh.send
        )
        self.orders = self._orders()
        self.supervisor = Supervisor(name=settings.vm)
        self.leaving = anyio.Event()
        self._freed: list[str] = []
        self._free_wake = anyio.Event()
        self._cleared = False  # of the streams of earlier lives of the agent
        self._group: anyio.abc.TaskGroup | None = None
        self._routes: dict[type, Callable[[Message], None]] = self._handlers()

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Serve until the VM has left or the task is cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            await group.start(self.mesh.run)
            self._add_children()
            group.start_soon(self.supervisor.run)
            self.journal.emit(
                ProcessStarted(vm=self.settings.vm, incarnation=self.incarnation)
            )
            logger.info("{} listens at {}", self.settings.vm, self.mesh.address)
            task_status.started()
            await self.leaving.wait()
            await self._finish()
            group.cancel_scope.cancel()
        self._group = None

    def leave(self) -> None:
        """Take no new work, and end once what is in progress has ended."""
        self.drain(True)
        self.leaving.set()

    def drain(self, leave: bool) -> None:
        """
        Stop or resume taking new work.

        :param leave: whether the VM leaves.
        """
        state = VMState.LEAVING if leave else VMState.LIVE
        if self.stage is not None:
            self.stage.streams.accepting = not leave
        if self.caller is not None:
            self.caller.accepting = not leave
        if self.orders is not None:
            self.orders.accepting = not leave
        self.board.change(state=state)
        self.journal.emit(DrainChanged(vm=self.settings.vm, state=state))

    def in_progress(self) -> int:
        """
        Count what a shutdown has to wait for.

        :return: streams, calls and orders.
        """
        streams = len(self.stage.streams.streams) if self.stage else 0
        calls = len(self.caller.running) if self.caller else 0
        orders = self.orders.waiting if self.orders else 0
        return streams + calls + orders

    def _engine(self) -> EngineClient | None:
        found = self.settings.engine
        return EngineClient(url=found.url) if found else None

    def _stage(self) -> StageRunner | None:
        if self.engine is None:
            return None
        streams = Streams(
            incarnation=self.incarnation,
            vm=self.settings.vm,
            retained_bound=self.settings.retained_mib * MIB,
        )
        return StageRunner(
            streams=streams,
            step=self._step,
            send=self._send,
            free=self._free,
            on_sick=self._on_sick,
        )

    def _orders(self) -> Orders | None:
        if self.engine is None:
            return None
        table = Table(channel=Channel(addresses=self.settings.platform.tables))
        return Orders(
            vm=self.settings.vm,
            give=self.engine.order,
            read=lambda: read_lease(table, PLANNER_LEASE),
            in_use=self._in_use,
            closing=self.stage.streams.closing,
            refresh=self._refresh,
        )

    def _caller(self) -> ServiceCaller | None:
        found = self.settings.service
        if found is None:
            return None
        return ServiceCaller(
            name=found.name,
            url=found.url,
            incarnation=self.incarnation,
            send=self.mesh.send,
        )

    def _first_status(self) -> Status:
        settings = self.settings
        return Status(
            vm=settings.vm,
            address=settings.mesh_address,
            incarnation=self.incarnation,
            data_centre=settings.data_centre,
            accelerator=settings.accelerator,
            rack=settings.rack,
            state=VMState.LIVE,
            version=1,
            service=settings.service.name if settings.service else "",
            http_address=settings.http_address,
        )

    def _load(self) -> Load:
        if self.stage is not None:
            return self.stage.load()
        return Load(waiting=len(self.caller.running) if self.caller else 0)

    def _add_children(self) -> None:
        if self.stage is not None:
            self.supervisor.add("stage", self.stage.run)
            self.supervisor.add("free", self._keep_freeing)
            self.supervisor.add("watch", self._watch)
            self.supervisor.add(
                "reap",
                lambda: keep_reaping(stage=self.stage, inbox=self.mesh.inbox),
            )
        app = agent_app(
            journal=self.journal, ready=self._ready, registry=self.metrics.registry
        )
        self.supervisor.add("http", lambda: serve(app, self.settings.http_address))

    def _handlers(self) -> dict[type, Callable[[Message], None]]:
        handlers = {
            Subscribe: lambda message: self.board.subscribe(message.address),
            Drain: self._take_drain,
        }
        if self.stage is not None:
            handlers[Steps] = self.stage.take_steps
            handlers[Cancel] = self.stage.take_cancel
            handlers[Splice] = self.stage.take_splice
        if self.caller is not None:
            handlers[Call] = self._take_call
        return handlers

    def _handle(self, source: Sender, message: Message) -> None:
        if isinstance(message, Order) and self.orders is not None:
            self._start(self._carry_out, source.address, message)
            return
        handler = self._routes.get(type(message))
        if handler is None:
            logger.warning(
                "{} from {} has no use here", type(message).__name__, source.address
            )
            return
        handler(message)

    def _on_peer_state(self, peer: Peer) -> None:
        if self.stage is not None and peer.state is PeerState.DOWN:
            reason = Reason.UNREACHABLE if peer.refused else Reason.SILENCE
            self.stage.lose_next_hop(peer.address, reason)

    def _on_lost(self, peer: Peer, lost: list[Message]) -> None:
        if self.stage is not None:
            self.stage.lose_next_hop(peer.address, Reason.UNREACHABLE)

    def _send(self, address: str, message: Message) -> object:
        """Send a message; a route of one stage passes its tokens on in memory."""
        if address == self.mesh.address and isinstance(message, Steps):
            return self.stage.take_steps(message)
        return self.mesh.send(address, message)

    def _take_call(self, call: Call) -> None:
        self.metrics.calls.inc({})
        self._start(self.caller.take, call)

    def _start(self, run: Callable[..., Awaitable[None]], *args) -> None:
        """Start a task whose failure does not end the agent."""
        self._group.start_soon(self._guard, run, *args)

    async def _guard(self, run: Callable[..., Awaitable[None]], *args) -> None:
        try:
            await run(*args)
        except Exception as error:
            logger.opt(exception=error).error("a task failed: {}", error)

    async def _carry_out(self, address: str, order: Order) -> None:
        self.mesh.send(address, await self.orders.take(order))

    def _in_use(self, holding: Holding) -> bool:
        streams = self.stage.streams.streams.values()
        stages = [(stream.open, stream.here()) for stream in streams]
        others = tuple(o for o in self.board.status.holdings if o != holding)
        return in_use(holding, stages, others)

    async def _refresh(self) -> None:
        state = await self.engine.state()
        if isinstance(state, EngineState):
            self._on_state(state)

    def _take_drain(self, drain: Drain) -> None:
        if drain.vm == self.settings.vm:
            self.drain(drain.leave)

    async def _step(
        self, request: StepRequest, timeout: float
    ) -> StepReply | EngineFailure:
        self.metrics.steps.inc({})
        self.metrics.tokens.add({}, sum(item.count for item in request.items))
        reply = await self.engine.step(request, timeout)
        if isinstance(reply, EngineFailure):
            # Other pooled connections may be as silent as this one.
            await self.engine.reconnect()
        return reply

    def _free(self, names: tuple[str, ...]) -> None:
        self._freed.extend(names)
        self._free_wake.set()

    async def _keep_freeing(self) -> None:
        """Free engine slots, many in one call."""
        if not self._cleared:
            self._cleared = True
            await self.engine.cancel((ALL_STREAMS,))
        while True:
            await self._free_wake.wait()
            self._free_wake = anyio.Event()
            names, self._freed = self._freed, []
            failure = await self.engine.cancel(tuple(names))
            if failure is not None:
                logger.warning("slots were not freed: {}", failure.verdict.detail)
                self._freed.extend(names)
                await anyio.sleep(1)
                self._free_wake.set()

    async def _watch(self) -> None:
        await watch_engine(
            engine=self.engine,
            on_state=self._on_state,
            on_failure=lambda failure: self._on_sick(failure.verdict),
            is_sick=lambda: self.board.state() is VMState.SICK,
        )

    def _on_state(self, state: EngineState) -> None:
        hidden = self.orders.hidden
        shown = tuple(held for held in state.holdings if held not in hidden)
        changes = {"holdings": shown}
        if self.board.state() is VMState.SICK:
            changes["state"] = VMState.LIVE
        self.board.change(**changes)

    def _on_sick(self, verdict: Verdict) -> None:
        if self.board.state() is VMState.LIVE:
            logger.error("the engine is sick: {}", verdict.detail)
            self.board.change(state=VMState.SICK)

    def _ready(self) -> bool:
        return self.board.state() is VMState.LIVE

    async def _finish(self) -> None:
        bound = self.settings.shutdown_s
        with anyio.move_on_after(bound * (1 - HANDOVER_SHARE)):
            await self._wait_until_idle()
        if self.stage is not None:
            self.stage.hand_over()
        with anyio.move_on_after(bound * HANDOVER_SHARE):
            await self._wait_until_idle()
        self.journal.emit(ProcessStopped())
        left = self.in_progress()
        logger.info("agent of {} ends; {} left in progress", self.settings.vm, left)

    async def _wait_until_idle(self) -> None:
        while self.in_progress() or self._has_unsent():
            await anyio.sleep(DRAIN_CHECK)

    def _has_unsent(self) -> bool:
        """Tell whether a reply may be lost by an end now."""
        return any(
            peer.backlog()
            for peer in self.mesh.peers.values()
            if peer.state is not PeerState.DOWN or peer.silence() < MAX_SILENCE
        )
