"""
Entry.

The process before the callers: its children and how messages reach them.
"""

from collections.abc import Callable

import anyio
from loguru import logger

from kumquatway._metrics import EntryMetrics
from kumquatway.admin import AdminContext, admin_app
from kumquatway.admission import EntryAdmission
from kumquatway.api import Context, KeptConnections, Requests, caller_app
from kumquatway.calls import Calls, Dispatcher, GuardedCalls
from kumquatway.configuration import Configuration, Parser
from kumquatway.duties import ORDER_BOUND, Duty, Orders, Planner
from kumquatway.membership import Member, Members, Subset, Watcher, watch_list
from kumquatway.protect import Groups, MemoryBound, Newcomers, RetryBudget
from kumquatway.routing import choose_replacement, choose_route
from kumquatway.streams import Ask, InFlight, Routes, Session, Streams
from kumquatway_core import (
    Reason,
    Supervisor,
    Verdict,
    may_have_run,
    new_incarnation,
    not_run,
)
from kumquatway_core.claims import Claims, ClaimSweeper
from kumquatway_core.events import (
    Event,
    HybridLogicalClock,
    Journal,
    MembershipChanged,
    ProcessStarted,
    ProcessStopped,
    RouteChosen,
    StageFailed,
)
from kumquatway_core.exceptions import ProcessError
from kumquatway_core.http import serve
from kumquatway_core.leases import PLANNER_LEASE, Lease
from kumquatway_core.mesh import Mesh, Peer, PeerState, Sender
from kumquatway_core.platform import Channel, Objects, Table, VMList
from kumquatway_core.revisions import Revisions
from kumquatway_core.settings import EntrySettings
from kumquatway_core.text import Text
from kumquatway_core.wire import (
    CallReply,
    Demands,
    Grants,
    Message,
    OrderReply,
    Pieces,
    RevisionCopy,
    RevisionSeen,
    Stage,
    Status,
    Trouble,
    VMState,
)

KIB = 1024  # bytes
# The API refuses headers over their bound in its own shape; the parser ends the rest.
HEADER_SLACK = 4
DRAIN_CHECK = 0.05  # seconds
TELL_SECONDS = 2.0  # of a shutdown, kept for telling callers that wait in vain
TELL_SHARE = 0.25  # of the shutdown's bound, at most
QUEUES_INTERVAL = 1.0  # seconds
MEMORY = 512 * 1024 * KIB  # bytes of requests in progress
STOP_PLANNING = 2.0  # seconds
SWEEP = "claims-sweep"  # name of the lease
RETRY_AFTER = 1.0  # seconds
STAGE_FAULTS = frozenset((Reason.UNREACHABLE, Reason.RESET, Reason.UPSTREAM_ERROR))
NO_TEXT = Text(name="none")


class Entry:
    """
    One entry.

    :param settings: as read from its file.
    :param source: a text for a store that has none, TOML, or "".
    """

    def __init__(self, *, settings: EntrySettings, source: str = ""):
        self.settings = settings
        self.source = source
        self.incarnation = new_incarnation()
        self.metrics = EntryMetrics()
        self.clock = HybridLogicalClock()
        self.journal = Journal(process=settings.name, clock=self.clock)
        self.leaving = anyio.Event()
        self.requests = Requests()
        self.kept = KeptConnections(bound=settings.shutdown_s)
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
        self.in_flight = InFlight()
        self.members = Members(on_change=self._on_member, on_join=self._on_join)
        self.groups = Groups()
        self.newcomers = Newcomers()
        self.memory = MemoryBound(limit=MEMORY)
        self.subset = Subset(
            entry=settings.mesh_address,
            members=self.members,
            is_down=self.mesh.is_down,
            on_new=self._on_new,
            on_groups=self.groups.keep,
        )
        self.watcher = Watcher(
            members=self.members,
            subset=self.subset,
            send=self.mesh.send,
            address=settings.mesh_address,
        )
        self.streams = Streams(
            entry=settings.mesh_address,
            routes=Routes(
                route=self._route,
                replacement=self._replacement,
                change=self.in_flight.change,
                replay=self.in_flight.replay,
            ),
            send=self.mesh.send,
            emit=self.emit,
            on_first=self._on_first,
        )
        self.admission = EntryAdmission(
            address=settings.mesh_address,
            text=self.text,
            entries=self._entries,
            send=self.mesh.send,
        )
        table = Table(channel=Channel(addresses=settings.platform.tables))
        parser = Parser()
        self.configuration = Configuration(
            revisions=Revisions(table=table, validate=parser.check),
            parser=parser,
            address=settings.mesh_address,
            peers=self._peers,
            send=self.mesh.send,
            emit=self.emit,
        )
        self.calls = Calls(
            entry=settings.mesh_address, mesh=self.mesh, has_other=self._has_other
        )
        objects = Objects(channel=Channel(addresses=settings.platform.objects))
        self.claims = Claims(table=table, objects=objects)
        self.dispatcher = Dispatcher(
            calls=GuardedCalls(
                calls=self.calls, groups=self.groups, is_silent=self.mesh.is_silent
            ),
            claims=self.claims,
            usable=self._usable,
            background=self._background,
            budget=RetryBudget(),
        )
        self.orders = Orders(find=self._find_address, send=self.mesh.send)
        self.planner = Planner(
            duty=self._duty(self._lease(table, PLANNER_LEASE, ORDER_BOUND)),
            orders=self.orders,
            members=self.members,
            is_down=self.mesh.is_down,
            text=lambda: self.configuration.text,
        )
        lease = self._lease(table, SWEEP)
        self.sweep_duty = self._duty(lease)
        self.sweep = ClaimSweeper(table=table, objects=objects, lease=lease)
        self.vms = VMList(channel=Channel(addresses=(settings.platform.vms,)))
        self.supervisor = Supervisor(name=settings.name, on_failure=self._fail)
        self.failure: ProcessError | None = None  # of a task, for which this one ends
        self.tasks = 0
        self._group: anyio.abc.TaskGroup | None = None
        self._handlers: dict[type, Callable[[Message], object]] = {
            Pieces: self.streams.take_pieces,
            Status: self._take_status,
            CallReply: self.calls.take_reply,
            Demands: self.admission.take_demands,
            Grants: self.admission.take_grants,
            OrderReply: self.orders.take,
            RevisionSeen: self.configuration.take_seen,
            RevisionCopy: self.configuration.take_copy,
        }

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """
        Serve until told to leave or cancelled.

        :raises ProcessError: at the end, if a task of this entry failed too often.
        """
        async with anyio.create_task_group() as group:
            self._group = group
            await group.start(self.mesh.run)
            self._add_children()
            group.start_soon(self.supervisor.run)
            self.emit(ProcessStarted(incarnation=self.incarnation))
            logger.info("callers are served at {}", self.settings.caller_address)
            task_status.started()
            await self.leaving.wait()
            await self._finish()
            group.cancel_scope.cancel()
        if self.failure is not None:
            raise self.failure

    def leave(self) -> None:
        """Take no new request, and end once those in progress have ended."""
        self.kept.leave()
        self.leaving.set()

    def _fail(self, error: ProcessError) -> None:
        """Leave without a task that failed too often, and report it at the end."""
        logger.error("{}", error)
        if not self.leaving.is_set():
            self.failure = error
            self.leave()

    def emit(self, event: Event) -> None:
        """
        Write down an event and count it.

        :param event: what happened.
        """
        self.journal.emit(event)
        self.metrics.count(event)
        if isinstance(event, RouteChosen):
            for vm in event.vms:
                self.groups.start(vm)
        elif isinstance(event, StageFailed) and event.reason in STAGE_FAULTS:
            self.groups.end(event.vm, well=False)

    def refusal(self) -> Verdict | None:
        """
        Tell why no request is taken now.

        :return: None if requests are taken.
        """
        if self.leaving.is_set():
            return not_run(Reason.SHUTTING_DOWN, "the entry is leaving", RETRY_AFTER)
        if self.configuration.text is None:
            return not_run(Reason.NO_UPSTREAM, "no text is in force", RETRY_AFTER)
        return None

    def text(self) -> Text:
        """
        Read the text in force.

        :return: the text; an empty one before the first revision.
        """
        return self.configuration.text or NO_TEXT

    def in_progress(self) -> int:
        """
        Count what a shutdown has to wait for.

        :return: requests of callers, and the last writes of calls.
        """
        return len(self.requests) + self.tasks

    def _add_children(self) -> None:
        settings = self.settings
        context = Context(
            text=self.text,
            limits=settings.limits,
            streams=self.streams,
            dispatcher=self.dispatcher,
            emit=self.emit,
            refusal=self.refusal,
            admission=self.admission.admission,
            memory=self.memory,
            requests=self.requests,
            kept=self.kept,
        )
        admin = AdminContext(
            keys=frozenset(settings.admin_keys),
            members=self.members,
            configuration=self.configuration,
            journal=self.journal,
            registry=self.metrics.registry,
            send=self.mesh.send,
            refusal=self.refusal,
        )
        header_bytes = settings.limits.header_kib * KIB * HEADER_SLACK
        callers = caller_app(context)
        operators = admin_app(admin)
        self.supervisor.add(
            "callers",
            lambda: serve(
                callers, settings.caller_address, max_header_bytes=header_bytes
            ),
        )
        self.supervisor.add("admin", lambda: serve(operators, settings.admin_address))
        self.supervisor.add("streams", self.streams.watch)
        self.supervisor.add("list", self._watch_list)
        self.supervisor.add("agents", self.watcher.run)
        self.supervisor.add("admission", self.admission.admission.run)
        self.supervisor.add("split", self.admission.split.run)
        self.supervisor.add("queues", self._show_queues)
        self.supervisor.add("claims", self.claims.run)
        self.supervisor.add("sweep-lease", self.sweep_duty.run)
        self.supervisor.add("sweep", self._sweep)
        if settings.planner:
            self.supervisor.add("planner-lease", self.planner.duty.run)
            self.supervisor.add("planner", self.planner.placer.run)
        self.supervisor.add("revisions", self.configuration.watch)
        self.supervisor.add("gossip", self.configuration.gossip)
        self.supervisor.add("copies", self.configuration.take_copies)
        self.supervisor.add("doubts", self.configuration.resolve_doubts)
        if self.source:
            self.supervisor.add("bootstrap", self._bootstrap)

    def _lease(self, table: Table, name: str, order_bound: float = 0.0) -> Lease:
        holder = f"{self.settings.mesh_address}/{self.incarnation}"
        return Lease(table=table, name=name, holder=holder, order_bound=order_bound)

    def _duty(self, lease: Lease) -> Duty:
        return Duty(
            lease=lease,
            address=self.settings.mesh_address,
            entries=self._entries,
            emit=self.emit,
        )

    def _find_address(self, vm: str) -> str | None:
        member = self.members.by_vm.get(vm)
        return member.address if member else None

    async def _sweep(self) -> None:
        await self.sweep_duty.run_while_held(self.sweep.run)

    async def _bootstrap(self) -> None:
        await self.configuration.bootstrap(self.source)

    def _background(self, run: Callable, *args) -> None:
        """Run a task that a shutdown waits for."""
        self.tasks += 1
        self._group.start_soon(self._run_task, run, *args)

    async def _run_task(self, run: Callable, *args) -> None:
        try:
            await run(*args)
        except Exception as error:
            logger.opt(exception=error).error("a task failed: {}", error)
        finally:
            self.tasks -= 1

    def _peers(self) -> list[str]:
        listed = {vm.address for vm in self.members.entries.values()}
        return sorted((listed | set(self.settings.seeds)) - {self.mesh.address})

    def _entries(self) -> tuple[str, ...]:
        listed = self.members.entries.values()
        live = {vm.address for vm in listed if vm.state is VMState.LIVE}
        return tuple(sorted(live | {self.mesh.address}))

    def _on_first(self, session: Session, seconds: float) -> None:
        ask = session.ask
        for stage in session.route:
            self.groups.end(stage.vm, well=True)
        gap = self.streams.usual_gap(ask.name)
        self.admission.observe_first(ask.name, ask.prompt_tokens(), seconds, gap)

    async def _show_queues(self) -> None:
        while True:
            self.metrics.show_queues(self.admission.queued())
            await anyio.sleep(QUEUES_INTERVAL)

    async def _watch_list(self) -> None:
        await watch_list(members=self.members, read=self.vms.read)

    def _handle(self, source: Sender, message: Message) -> None:
        if isinstance(message, Trouble):
            self.streams.take_trouble(message, source.address)
            return
        handler = self._handlers.get(type(message))
        if handler is None:
            logger.warning(
                "{} from {} has no use here", type(message).__name__, source.address
            )
            return
        handler(message)

    def _take_status(self, status: Status) -> None:
        before = self.members.by_vm.get(status.vm)
        known = before.status.incarnation if before and before.status else 0
        self.members.take_status(status)
        if known and status.incarnation > known:
            self._lose(status.address, "the agent restarted")
        elif status.state is VMState.SICK:
            self.streams.lose_address(status.address, "the engine does not answer")

    def _lose(self, address: str, detail: str) -> None:
        self.streams.lose_address(address, detail, Reason.UNREACHABLE)
        self.calls.lose_address(address, detail)

    def _on_peer_state(self, peer: Peer) -> None:
        self.subset.stale = True
        if peer.state is PeerState.UP:
            self.watcher.regain(peer.address)
        if peer.state is PeerState.DOWN:
            self.watcher.lose(peer.address)
            reason = Reason.UNREACHABLE if peer.refused else Reason.SILENCE
            self.streams.lose_address(peer.address, "the agent does not answer", reason)
            self.calls.lose_peer(peer.address)

    def _on_lost(self, peer: Peer, lost: list[Message]) -> None:
        self.calls.lose(lost)
        restarted = "the agent restarted"
        self.streams.lose_address(peer.address, restarted, Reason.UNREACHABLE)
        self.watcher.renew(peer.address)

    def _on_join(self, member: Member) -> None:
        self.watcher.join(member)

    def _on_new(self, member: Member) -> None:
        self.newcomers.see(member.vm, member.incarnation())
        self.watcher.subscribe(member)

    def _on_member(self, member: Member) -> None:
        incarnation = member.status.incarnation if member.status else 0
        gone = member.vm not in self.members.by_vm
        state = "gone" if gone else member.state().value
        if gone:
            self.newcomers.forget(member.vm)
        elif member.state() is VMState.LIVE:
            self.newcomers.see(member.vm, incarnation)
        event = MembershipChanged(vm=member.vm, state=state, incarnation=incarnation)
        self.emit(event)

    def _usable(self) -> list[Member]:
        self.watcher.count_request()
        usable = self.subset.usable()
        out = self.groups.out()
        return [member for member in usable if member.vm not in out]

    def _has_other(self, service: str, address: str) -> bool:
        return any(
            member.status.service == service and member.address != address
            for member in self.subset.usable()
        )

    def _route(self, ask: Ask, avoid: frozenset[str]) -> tuple[Stage, ...] | Verdict:
        return choose_route(
            members=self._usable(),
            name=ask.name,
            model=ask.model,
            adapter=ask.adapter,
            avoid=avoid,
            in_flight=self.in_flight.count,
            weight=self.newcomers.weight,
        )

    def _replacement(
        self, ask: Ask, stage: Stage, avoid: frozenset[str]
    ) -> Stage | None:
        return choose_replacement(
            members=self._usable(),
            name=ask.name,
            version=ask.model.version,
            adapter=ask.adapter,
            stage=stage,
            avoid=avoid,
            in_flight=self.in_flight.load,
            weight=self.newcomers.weight,
        )

    async def _finish(self) -> None:
        bound = self.settings.shutdown_s
        ends = anyio.current_time() + bound
        tell = min(TELL_SECONDS, bound * TELL_SHARE)
        await self._wait_until_idle(bound - tell)
        self.streams.give_up(may_have_run(Reason.SHUTTING_DOWN, "the entry ended"))
        await self._wait_until_idle(tell / 2)
        self.requests.end()
        await self._wait_until_idle(tell / 2)
        await self._wait_for_kept(ends - anyio.current_time())
        await self.planner.stop(STOP_PLANNING)
        self.emit(ProcessStopped())
        logger.info("the entry ends; {} left in progress", self.in_progress())

    async def _wait_until_idle(self, timeout: float) -> None:
        with anyio.move_on_after(timeout):
            while self.in_progress():
                await anyio.sleep(DRAIN_CHECK)

    async def _wait_for_kept(self, timeout: float) -> None:
        """Go on refusing callers that were told that they may ask again."""
        with anyio.move_on_after(timeout):
            while self.kept.any_open() or self.in_progress():
                await anyio.sleep(DRAIN_CHECK)
