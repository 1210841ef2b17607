"""
Placer.

Orders model servers to hold the layers that the plan gives them, under the lease.

It keeps no state of its own: what servers hold is the state, so the next holder goes
on from wherever the last one stopped.
"""

import asyncio
import dataclasses
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass

from loguru import logger

from kumquatway_core.events import Event, LayersOrdered, LeaseChanged
from kumquatway_core.leases import Lease
from kumquatway_gateway.fleet import Fleet
from kumquatway_gateway.http1 import FetchFailed
from kumquatway_gateway.model import NO_LAYERS, Engine, LayerRange, LayerReport, Server
from kumquatway_gateway.placement import Move, Purpose, ServerSnapshot, plan_moves
from kumquatway_gateway.relay import (
    EngineClient,
    HealthChecker,
    ModelRouter,
    OrderOutcome,
)

PERIOD_SECONDS = 0.1  # between looks at the fleet
LEASE_MARGIN_SECONDS = 0.3  # that the lease must hold after an order is sent
HOLDER_SHARE = 1 / 6  # of the lease's duration, between looks at it
WAITER_SHARE = 1 / 2  # the same while another holds it
RELEASE_SECONDS = 1.0
ORDER_SECONDS = 0.5  # for the answer to an order
ORDER_TRIES = 4  # of an order that is not answered
MISFIT_SECONDS = 0.6  # after an order that did not fit, before the next to the server
POLL_SECONDS = 0.15  # between reports of a server that loads
LATE_SECONDS = 3.0  # beyond the expected end of a load, after which it is lost
# Servers that start together are listed over three seconds (measured on the bench).
SETTLE_SECONDS = 0.9  # without a new server, before a first layout is planned
LONGEST_SETTLE_SECONDS = 4.0
CALM_SECONDS = 1.2  # without a change of the fleet, before spare layers are loaded
REBUILD_SECONDS = 5.0  # the same, before a chain that cannot be mended is laid out anew
KEPT_LOADS = 2  # of those that run at full speed, kept for gaps


@dataclass(frozen=True, kw_only=True, slots=True)
class _Pending:
    """An order that a server has begun, or may have begun."""

    incarnation: int
    layers: LayerRange
    sequence: int
    loads: int
    aim: Purpose
    due: float
    lost_at: float


class Placer:
    """
    Keeps every model service placed while this entry holds the lease.

    :param lease: of the duty; its number fences the orders.
    :param engines: takes the orders.
    :param fleet: the servers.
    :param doctor: takes the reports.
    :param routers: gives the routers of the model services.
    :param fenced: whether servers refuse orders under old numbers.
    :param emit: takes events.
    :param spread: called when something that peers should know has changed.
    :param is_held_elsewhere: tells whether a peer surely holds the lease, so that the
        store need not be asked.
    """

    def __init__(
        self,
        *,
        lease: Lease,
        engines: EngineClient,
        fleet: Fleet,
        health_checker: HealthChecker,
        routers: Callable[[], list[ModelRouter]],
        notify_peers: Callable[[], None],
        is_held_elsewhere: Callable[[], bool],
        fenced: bool,
        emit: Callable[[Event], None],
        clock: Callable[[], float] = time.monotonic,
    ):
        self.lease = lease
        self.engines = engines
        self.fleet = fleet
        self.health_checker = health_checker
        self.routers = routers
        self.notify_peers = notify_peers
        self.is_held_elsewhere = is_held_elsewhere
        self.fenced = fenced
        self.emit = emit
        self.clock = clock
        self.pending: dict[str, _Pending] = {}
        self.planned_moves: dict[str, Move] = {}  # planned, but not yet ordered
        self.tasks: set[asyncio.Task] = set()
        self.awaited: set[str] = set()  # busy with orders of an earlier holder
        self.holds_lease = False
        self.released = False
        self.known: set[str] = set()
        self.up: set[str] = set()
        self.last_change = float("-inf")
        self.first_join = float("-inf")
        self.last_join = float("-inf")
        self.refused_numbers: set[int] = set()

    async def maintain_lease(self) -> None:
        """Acquire and renew the lease until told to let it go."""
        while not self.released:
            held = await self.lease.hold()
            if self.released:
                return
            if held != self.holds_lease:
                self.holds_lease = held
                self.emit(
                    LeaseChanged(
                        lease=self.lease.name,
                        state="taken" if held else "lost",
                        fencing=self.lease.number,
                    )
                )
                if held:
                    self.notify_peers()
                    await self._look_at_all()
            await self._pause()

    async def _pause(self) -> None:
        """Wait for the next look at the lease, or until its holder is gone."""
        share = HOLDER_SHARE if self.holds_lease else WAITER_SHARE
        end = self.clock() + self.lease.duration * share
        elsewhere = False
        while elsewhere or self.clock() < end:
            await asyncio.sleep(PERIOD_SECONDS)
            if self.holds_lease:
                continue
            ended = elsewhere and not self.is_held_elsewhere()
            if ended or self.lease.is_gone(self.lease.other):
                return
            elsewhere = self.is_held_elsewhere()

    async def release(self) -> None:
        """Order no more, and let another entry take the duty."""
        self.released = True
        if not self.holds_lease:
            return
        self.holds_lease = False
        try:
            async with asyncio.timeout(RELEASE_SECONDS):
                await self.lease.release()
        except TimeoutError:
            logger.info("lease {} was not released in time", self.lease.name)

    async def run(self) -> None:
        """Plan and order, for ever."""
        while True:
            await asyncio.sleep(PERIOD_SECONDS)
            if self._number() is None:
                continue
            self._note_joins()
            for router in self.routers():
                if router.chains() or self._settled():
                    self._place(router)

    def _number(self) -> int | None:
        """
        Give the fencing number to order under, read just before each order.

        Where servers refuse old numbers the last holder goes on while the store is
        away: an outage of the store must not keep a broken chain from being mended.
        """
        if self.released:
            return None
        number = self.lease.number_to_act(LEASE_MARGIN_SECONDS)
        if number is None and self.fenced:
            number = self.lease.unopposed_number()
        return None if number in self.refused_numbers else number

    def _note_joins(self) -> None:
        now = self.clock()
        up = {s.id for s in self.fleet.servers.values() if self.fleet.is_up(s)}
        if up != self.up:
            self.up = up
            self.last_change = now
        names = set(self.fleet.servers)
        if names - self.known:
            if now - self.last_join > LONGEST_SETTLE_SECONDS:
                self.first_join = now
            self.last_join = now
        self.known = names

    def _settled(self) -> bool:
        """Tell whether a first layout would be planned for all servers there are."""
        now = self.clock()
        quiet = now - self.last_join > SETTLE_SECONDS
        return quiet or now - self.first_join > LONGEST_SETTLE_SECONDS

    async def _look_at_all(self) -> None:
        """Ask what the last holder has ordered that the list does not tell yet."""
        names = {router.service for router in self.routers()}
        servers = [s for s in self.fleet.servers.values() if s.service in names]
        await asyncio.gather(*(self._ask(server) for server in servers))

    async def _ask(self, server: Server) -> LayerReport | None:
        try:
            report = await self.engines.report(server, ORDER_SECONDS)
        except FetchFailed:
            self.health_checker.check_server(server)
            return None
        pending = self.pending.get(server.id)
        loaded = 0
        if pending is not None and report.busy and report.sequence > pending.sequence:
            # It may still tell of layers that it gives up.
            loaded = _hull(report.layers, pending.layers)
            common = _common(report.layers, pending.layers)
            report = dataclasses.replace(report, layers=common)
        self.health_checker.record_report(server, report, loaded=loaded)
        return self.fleet.layer_reports.get(server.id)

    def _place(self, router: ModelRouter) -> None:
        engine = router.engine
        self._forget_lost()
        # Most servers that go are back within seconds, with or without their layers.
        patient = self.clock() - self.last_change < REBUILD_SECONDS
        may_rebuild = not patient or not router.chains()
        moves = plan_moves(engine, self._slots(router), may_rebuild=may_rebuild)
        # Gaps are filled as planned once; what waits behind them is planned anew.
        for move in moves:
            if move.purpose is Purpose.GAP:
                self.planned_moves[move.server.id] = move
        gaps = [
            m for m in self.planned_moves.values() if m.server.service == router.service
        ]
        rest = [move for move in moves if move.purpose is not Purpose.GAP]
        if gaps or not self._is_calm():
            rest = []
        busy = sum(1 for name in self.pending if self._is_of(name, router.service))
        for move in [*gaps, *rest]:
            spare = 0 if move.purpose is Purpose.GAP else KEPT_LOADS
            if busy >= max(1, engine.parallel_loads - spare):
                return
            if move.server.id in self.pending:
                continue
            self.planned_moves.pop(move.server.id, None)
            self._order(engine, move)
            busy += 1

    def _is_calm(self) -> bool:
        """Tell whether no server came or went lately: those that come may be needed."""
        return self.clock() - self.last_change > CALM_SECONDS

    def _is_of(self, name: str, service: str) -> bool:
        server = self.fleet.servers.get(name)
        return server is not None and server.service == service

    def _slots(self, router: ModelRouter) -> list[ServerSnapshot]:
        used = router.servers_in_use()
        tokens = router.tokens_by_server()
        slots = []
        for server in self.fleet.servers.values():
            if server.service != router.service or not self.fleet.is_up(server):
                continue
            coming = self.planned_moves.get(server.id) or self.pending.get(server.id)
            layers = coming.layers if coming else self.fleet.layers(server)
            held = self.fleet.layer_reports.get(server.id)
            busy = coming is None and held is not None and held.busy
            if busy:
                self._await_idle(server)
            slots.append(
                ServerSnapshot(
                    server=server,
                    layers=layers,
                    in_use=server.id in used,
                    busy=busy,
                    slow=self.fleet.is_slow(server),
                    used_tokens=tokens.get(server.id, 0.0),
                )
            )
        return slots

    def _forget_lost(self) -> None:
        now = self.clock()
        for name, pending in list(self.pending.items()):
            server = self.fleet.servers.get(name)
            if (
                server is None
                or server.incarnation != pending.incarnation
                or now > pending.lost_at
            ):
                del self.pending[name]
        for name, move in list(self.planned_moves.items()):
            server = self.fleet.servers.get(name)
            same = server is not None and server.incarnation == move.server.incarnation
            if not same or not self.fleet.is_up(server):
                del self.planned_moves[name]

    def _order(self, engine: Engine, move: Move) -> None:
        server = move.server
        now = self.clock()
        seconds = engine.load_seconds * move.layers_to_load / engine.layers
        waves = max(1.0, (len(self.pending) + 1) / engine.parallel_loads)
        self.pending[server.id] = _Pending(
            incarnation=server.incarnation,
            layers=move.layers,
            sequence=self.fleet.sequence(server),
            loads=move.layers_to_load,
            aim=move.purpose,
            due=now + seconds * waves,
            lost_at=now + seconds * waves * 2 + LATE_SECONDS,
        )
        self._spawn(self._carry_out(server))

    def _spawn(self, work: Coroutine) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _await_idle(self, server: Server) -> None:
        """Follow an order that this entry does not wait for, or no longer."""
        if server.id not in self.awaited:
            self.awaited.add(server.id)
            self._spawn(self._ask_until_idle(server))

    async def _ask_until_idle(self, server: Server) -> None:
        try:
            while self.fleet.is_up(server) and server.id not in self.pending:
                await asyncio.sleep(POLL_SECONDS)
                held = await self._ask(server)
                if self._number() is None or held is None or not held.busy:
                    break
        finally:
            self.awaited.discard(server.id)
        self.notify_peers()

    async def _carry_out(self, server: Server) -> None:
        pending = self.pending[server.id]
        number = self._number()
        if number is None:
            self.pending.pop(server.id, None)
            return
        outcome = await self._send(server, pending, number)
        self.emit(
            LayersOrdered(
                vm=server.id,
                start=pending.layers.start,
                stop=pending.layers.stop,
                loads=pending.loads,
                fencing=number,
                outcome=outcome.value,
                detail=f"{server.address}, {pending.aim.name.lower()}, "
                f"after {pending.sequence} orders",
            )
        )
        if outcome is OrderOutcome.FENCED:
            self.refused_numbers.add(number)
            self.pending.pop(server.id, None)
            return
        if outcome is OrderOutcome.BEGUN:
            self._keep_off(server, pending)
        if outcome in (OrderOutcome.MISFIT, OrderOutcome.OTHER):
            await self._ask(server)
            await asyncio.sleep(MISFIT_SECONDS)
            self.pending.pop(server.id, None)
            return
        if outcome is not OrderOutcome.HOLDS:
            await asyncio.sleep(max(0.0, pending.due - self.clock()))
        await self._await_load(server, pending)

    def _keep_off(self, server: Server, pending: _Pending) -> None:
        """Keep new work off layers that are given up, and off memory in use."""
        before = self.fleet.layers(server)
        kept = _common(before, pending.layers)
        held = LayerReport(
            incarnation=pending.incarnation,
            layers=kept,
            sequence=pending.sequence + 1,
            busy=True,
            reported_at=self.clock(),
            loaded=_hull(before, pending.layers),
        )
        self.fleet.update_layers(server.id, held)
        self.notify_peers()

    async def _send(
        self, server: Server, pending: _Pending, number: int
    ) -> OrderOutcome:
        """
        Give an order, again if it was not answered.

        A copy that is carried out late names a count of orders that has passed by
        then, so that the server refuses it.
        """
        for _ in range(ORDER_TRIES):
            outcome = await self.engines.order_layers(
                server, pending.layers, fence=number, sequence=pending.sequence
            )
            if outcome is not OrderOutcome.UNKNOWN or not self.fleet.is_up(server):
                return outcome
            held = await self._ask(server)
            if held is None or held.sequence > pending.sequence:
                return outcome
        return outcome

    async def _await_load(self, server: Server, pending: _Pending) -> None:
        """Ask until the layers are there, so that routing uses them at once."""
        while self.pending.get(server.id) is pending:
            held = await self._ask(server)
            if held is not None and held.layers == pending.layers and not held.busy:
                self.pending.pop(server.id, None)
                self.notify_peers()
                return
            idle = held is not None and not held.busy
            if idle and held.sequence > pending.sequence + 1:
                self.pending.pop(server.id, None)
                return
            if not self.fleet.is_up(server):
                self.pending.pop(server.id, None)
                return
            await asyncio.sleep(POLL_SECONDS)


def _common(one: LayerRange, other: LayerRange) -> LayerRange:
    """Give the layers in both ranges."""
    start = max(one.start, other.start)
    stop = min(one.stop, other.stop)
    return LayerRange(start=start, stop=stop) if start < stop else NO_LAYERS


def _hull(one: LayerRange, other: LayerRange) -> int:
    """Count the layers in either of two ranges, and between them."""
    if not len(one) or not len(other):
        return len(one) + len(other)
    return max(one.stop, other.stop) - min(one.start, other.start)
