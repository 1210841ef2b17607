"""
Orders model servers to hold the planned layers while this entry holds the lease.

The placer persists nothing: the layers that servers hold are the state. The next holder
of the lease therefore continues from wherever the last one stopped.
"""

import asyncio
import dataclasses
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass

from loguru import logger

from kumquatway_core.events import Event, LayersOrdered, LeaseChanged
from kumquatway_core.leases import Lease
from kumquatway_gateway.duties._order_crashes import OrderCrashes
from kumquatway_gateway.fleet import Fleet
from kumquatway_gateway.http1 import FetchFailed
from kumquatway_gateway.model import NO_LAYERS, Engine, LayerRange, LayerReport, Server
from kumquatway_gateway.placement import Move, Purpose, ServerSnapshot, plan_moves
from kumquatway_gateway.relay import (
    SILENCE_SECONDS,
    EngineClient,
    HealthChecker,
    ModelRouter,
    OrderOutcome,
)

PERIOD_SECONDS = 0.1  # between two checks of the fleet, and of the lease's holder
LEASE_MARGIN_SECONDS = 0.3  # remaining lease time required to send an order
HOLDER_SHARE = 1 / 6  # of the lease duration, between renewals by the holder
WAITER_SHARE = 1 / 2  # of the lease duration, between attempts by other entries
ATTEMPT_SECONDS = 2.0  # longest attempt to get the lease, of two calls of the store
RELEASE_SECONDS = 1.0  # timeout for releasing the lease
REPORT_SECONDS = 0.5  # timeout for a server's report
ORDER_TRIES = 4  # attempts to send an order that gets no response
MISFIT_SECONDS = 0.6  # after an order that did not fit, before the server's next order
PERMIT_PATIENCE_SECONDS = 0.5  # for a permit to call a server that has a limit
POLL_RATE_SHARE = 0.25  # of a server's limit, for reports while it carries out an order
POLL_SECONDS = 0.15  # between two reports of a server that is carrying out an order
LATE_SECONDS = 3.0  # beyond twice the expected load time, before an order is lost
# Servers that start together appear in the list over three seconds.
SETTLE_SECONDS = 0.9  # without a new server, before the first layout is planned
MAX_SETTLE_SECONDS = 4.0  # longest wait for more servers before the first layout
STABLE_SECONDS = 1.2  # without a fleet change, before spare layers are loaded
REBUILD_SECONDS = 5.0  # without a fleet change, before a broken chain is replaced
GAP_RESERVED_LOADS = 2  # of the parallel loads, reserved for filling gaps


@dataclass(frozen=True, kw_only=True, slots=True)
class _PendingOrder:
    """
    An order that a server has started, or may have started.

    :param sequence: number of orders that the server had started before.
    :param layers_to_load: number of layers that the server has to load.
    :param due: expected end of the load, monotonic seconds.
    :param lost_at: when the order counts as lost, monotonic seconds.
    """

    service: str
    incarnation: int
    layers: LayerRange
    sequence: int
    layers_to_load: int
    purpose: Purpose
    due: float
    lost_at: float


class Placer:
    """
    Places the layers of all model services while this entry holds the lease.

    :param lease: lease of this duty; its number is the fencing number of the orders.
    :param engines: client that sends orders to servers and reads their reports.
    :param fleet: the servers.
    :param health_checker: records the reports, and checks servers that send none.
    :param routers: returns the routers of the model services.
    :param notify_peers: called when a change should be sent to peers.
    :param is_held_by_peer: tells whether a peer certainly holds the lease, so that the
        store need not be asked.
    :param fenced: whether servers refuse orders with old fencing numbers.
    :param emit: called with each event.
    :param clock: monotonic seconds.
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
        is_held_by_peer: Callable[[], bool],
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
        self.is_held_by_peer = is_held_by_peer
        self.fenced = fenced
        self.emit = emit
        self.clock = clock
        self.pending: dict[str, _PendingOrder] = {}
        self.planned_moves: dict[str, Move] = {}  # planned, but not yet ordered
        self.tasks: set[asyncio.Task] = set()
        # Servers polled because of an order that this entry does not track.
        self.polled_servers: set[str] = set()
        self.holds_lease = False
        self.asked_at = float("-inf")  # the store, for the lease
        self.released = False
        self.known_ids: set[str] = set()
        self.up_ids: set[str] = set()
        # When servers that may only be silent were first seen down, by ID.
        self.silent_since: dict[str, float] = {}
        self.last_change_at = float("-inf")
        self.first_join_at = float("-inf")
        self.last_join_at = float("-inf")
        self.rejected_numbers: set[int] = set()
        self.order_crashes = OrderCrashes(clock=clock)

    async def maintain_lease(self) -> None:
        """Acquire and renew the lease until `release` is called."""
        while not self.released:
            held = await self.lease.acquire_or_renew()
            self.asked_at = self.clock()
            if self.released:
                return
            if held != self.holds_lease:
                self.holds_lease = held
                self.emit(
                    LeaseChanged(
                        lease=self.lease.name,
                        state="taken" if held else "lost",
                        fencing=self.lease.fencing_number,
                    )
                )
                if held:
                    self.notify_peers()
                    await self._fetch_all_reports()
            await self._wait_for_next_attempt()

    async def _wait_for_next_attempt(self) -> None:
        """
        Wait until the lease is to be acquired or renewed.

        While a peer certainly holds the lease, the wait continues. It ends early when
        the holder is gone.
        """
        share = HOLDER_SHARE if self.holds_lease else WAITER_SHARE
        end = self.clock() + self.lease.duration * share
        held_by_peer = False
        while held_by_peer or self.clock() < end:
            await asyncio.sleep(PERIOD_SECONDS)
            if self.holds_lease:
                continue
            ended = held_by_peer and not self.is_held_by_peer()
            if ended or self.lease.is_holder_gone(self.lease.other_holder):
                return
            held_by_peer = self.is_held_by_peer()

    async def release(self) -> None:
        """Stop sending orders and release the lease, so that another entry takes it."""
        self.released = True
        if not self.holds_lease:
            return
        self.holds_lease = False
        try:
            async with asyncio.timeout(RELEASE_SECONDS):
                await self.lease.release()
        except TimeoutError:
            logger.info(
                "lease {} was not released within {} s",
                self.lease.name,
                RELEASE_SECONDS,
            )
        except Exception as error:
            # The shutdown goes on: the lease expires by itself.
            logger.opt(exception=error).error(
                "lease {} was not released: {!r}", self.lease.name, error
            )

    async def run(self) -> None:
        """Plan and send orders periodically while this entry holds the lease."""
        while True:
            await asyncio.sleep(PERIOD_SECONDS)
            if self._fencing_number() is None:
                continue
            self._record_fleet_changes()
            for router in self.routers():
                if router.chains() or self._is_settled():
                    self._place(router)

    def _fencing_number(self) -> int | None:
        """
        Return the fencing number for an order; called just before each order.

        If servers refuse old numbers, the last holder continues during an outage of the
        store, so that broken chains are still repaired.

        :return: the number, or None if this entry must not send orders.
        """
        if self.released:
            return None
        number = self.lease.fencing_number_if_held(LEASE_MARGIN_SECONDS)
        if number is None and self._may_hold_expired_lease():
            number = self.lease.uncontested_fencing_number()
        return None if number in self.rejected_numbers else number

    def _may_hold_expired_lease(self) -> bool:
        """
        Tell whether the last holder may go on, as no other entry can have the lease.

        Load pattern: only this entry loses the store, or it gets no processor for
        seconds. A peer then takes the lease over, and this entry does not read so.
        """
        if not self.fenced or self.is_held_by_peer():
            return False
        longest = self.lease.duration * WAITER_SHARE + ATTEMPT_SECONDS
        return self.clock() - self.asked_at < longest

    def has_duty(self) -> bool:
        """Tell peers whether this entry holds the lease, by its own clock."""
        return self.holds_lease and self.lease.is_held()

    def _record_fleet_changes(self) -> None:
        now = self.clock()
        up_ids = {s.id for s in self.fleet.servers.values() if self.fleet.is_up(s)}
        if up_ids != self.up_ids:
            self.up_ids = up_ids
            self.last_change_at = now
        self.silent_since = {
            name: self.silent_since.get(name, now)
            for name, status in self.fleet.health.items()
            if status.down and not (status.ended or status.refuses_work)
        }
        ids = set(self.fleet.servers)
        if ids - self.known_ids:
            if now - self.last_join_at > MAX_SETTLE_SECONDS:
                self.first_join_at = now
            self.last_join_at = now
        self.known_ids = ids

    def _is_settled(self) -> bool:
        """Tell whether the servers that start together have probably all joined."""
        now = self.clock()
        no_recent_join = now - self.last_join_at > SETTLE_SECONDS
        return no_recent_join or now - self.first_join_at > MAX_SETTLE_SECONDS

    async def _fetch_all_reports(self) -> None:
        """Fetch reports of all servers: orders of the last holder may not be listed."""
        services = {router.service for router in self.routers()}
        servers = [s for s in self.fleet.servers.values() if s.service in services]
        await asyncio.gather(*(self._fetch_report(server) for server in servers))

    async def _fetch_report(self, server: Server) -> LayerReport | None:
        """
        Fetch and record a server's report.

        :param server: the server.
        :return: its newest report, or None if the server did not respond.
        """
        if self.fleet.pauses.is_paused(server):
            return self.fleet.layer_reports.get(server.id)
        if not await self.fleet.permits.take(server, PERMIT_PATIENCE_SECONDS):
            return self.fleet.layer_reports.get(server.id)
        try:
            report = await self.engines.report(server, REPORT_SECONDS)
        except FetchFailed:
            self.health_checker.check_server(server)
            return None
        pending = self.pending.get(server.id)
        loaded = 0
        if pending is not None and report.busy and report.sequence > pending.sequence:
            # The report may still contain layers that the server is giving up.
            loaded = _spanned_layers(report.layers, pending.layers)
            common = _intersection(report.layers, pending.layers)
            report = dataclasses.replace(report, layers=common)
        self.health_checker.record_report(server, report, loaded=loaded)
        return self.fleet.layer_reports.get(server.id)

    def _place(self, router: ModelRouter) -> None:
        """Plan the moves of a model service, and send as many orders as may run."""
        engine = router.engine
        self._drop_lost()
        may_rebuild = self._may_rebuild(router)
        moves = plan_moves(engine, self._snapshots(router), may_rebuild=may_rebuild)
        # Moves that fill gaps stay as first planned until they are ordered. All other
        # moves are planned again each time.
        for move in moves:
            if move.purpose is Purpose.GAP:
                self.planned_moves[move.server.id] = move
        gaps = [
            m for m in self.planned_moves.values() if m.server.service == router.service
        ]
        others = [move for move in moves if move.purpose is not Purpose.GAP]
        if gaps or not self._is_stable():
            others = []
        busy = sum(1 for name in self.pending if self._belongs_to(name, router.service))
        for move in [*gaps, *others]:
            reserved = 0 if move.purpose is Purpose.GAP else GAP_RESERVED_LOADS
            if busy >= max(1, engine.parallel_loads - reserved):
                return
            if move.server.id in self.pending:
                continue
            if self.fleet.pauses.is_paused(move.server):
                continue
            pending = (
                order.layers
                for order in self.pending.values()
                if order.service == router.service
            )
            if not self.order_crashes.may_order(router.service, move.layers, pending):
                continue
            self.planned_moves.pop(move.server.id, None)
            self._start_order(engine, move)
            busy += 1

    def _may_rebuild(self, router: ModelRouter) -> bool:
        """
        Tell whether layers may be taken from servers of chains in use.

        Most servers that leave return within seconds, with or without their layers.
        Without any chain this entry does not wait for them, except for one that may
        only be silent: the requests on its chain go on, and a rebuild lasts longer.
        """
        if self.clock() - self.last_change_at >= REBUILD_SECONDS:
            return True
        return not router.chains() and not any(
            self._belongs_to(name, router.service) for name in self._silent_servers()
        )

    def _silent_servers(self) -> set[str]:
        """Return the servers that fell silent so lately that they may go on."""
        cutoff = self.clock() - SILENCE_SECONDS
        return {name for name, since in self.silent_since.items() if since > cutoff}

    def _is_stable(self) -> bool:
        """
        Tell whether no server recently went up or down.

        While servers are returning, they may be needed to fill gaps.
        """
        return self.clock() - self.last_change_at > STABLE_SECONDS

    def _belongs_to(self, server_id: str, service: str) -> bool:
        server = self.fleet.servers.get(server_id)
        return server is not None and server.service == service

    def _snapshots(self, router: ModelRouter) -> list[ServerSnapshot]:
        in_use = router.servers_in_use()
        tokens = router.tokens_by_server(self._silent_servers())
        snapshots = []
        for server in self.fleet.servers.values():
            if server.service != router.service or not self.fleet.is_up(server):
                continue
            order = self.planned_moves.get(server.id) or self.pending.get(server.id)
            layers = order.layers if order else self.fleet.layers(server)
            report = self.fleet.layer_reports.get(server.id)
            busy = order is None and report is not None and report.busy
            if busy:
                self._poll_until_idle(server)
            snapshots.append(
                ServerSnapshot(
                    server=server,
                    layers=layers,
                    in_use=server.id in in_use,
                    busy=busy,
                    slow=self.fleet.is_slow(server)
                    or self.fleet.permits.is_short(server),
                    used_tokens=tokens.get(server.id, 0.0),
                )
            )
        return snapshots

    def _drop_lost(self) -> None:
        """Drop orders and planned moves whose server restarted or is gone or late."""
        now = self.clock()
        for name, pending in list(self.pending.items()):
            server = self.fleet.servers.get(name)
            if (
                server is None
                or server.incarnation != pending.incarnation
                or now > pending.lost_at
            ):
                self._record_end(name, pending)
                del self.pending[name]
        for name, move in list(self.planned_moves.items()):
            server = self.fleet.servers.get(name)
            same = server is not None and server.incarnation == move.server.incarnation
            if not same or not self.fleet.is_up(server):
                del self.planned_moves[name]

    def _record_end(self, server_id: str, pending: _PendingOrder) -> None:
        """Record a crash if a server has ended while it carried out an order."""
        server = self.fleet.servers.get(server_id)
        if server is not None and self.fleet.is_leaving(server):
            return
        restarted = server is not None and server.incarnation != pending.incarnation
        if restarted or self.fleet.has_ended(server_id):
            self.order_crashes.record_crash(pending.service, pending.layers)

    def _start_order(self, engine: Engine, move: Move) -> None:
        server = move.server
        now = self.clock()
        seconds = engine.load_seconds * move.layers_to_load / engine.layers
        # Loads beyond `parallel_loads` slow each other down.
        contention = max(1.0, (len(self.pending) + 1) / engine.parallel_loads)
        self.pending[server.id] = _PendingOrder(
            service=server.service,
            incarnation=server.incarnation,
            layers=move.layers,
            sequence=self.fleet.sequence(server),
            layers_to_load=move.layers_to_load,
            purpose=move.purpose,
            due=now + seconds * contention,
            lost_at=now + seconds * contention * 2 + LATE_SECONDS,
        )
        self._spawn(self._carry_out(server))

    def _spawn(self, coroutine: Coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _poll_until_idle(self, server: Server) -> None:
        """Poll a server that carries out an order that this entry does not track."""
        if server.id not in self.polled_servers:
            self.polled_servers.add(server.id)
            self._spawn(self._poll_reports(server))

    async def _poll_reports(self, server: Server) -> None:
        try:
            while self.fleet.is_up(server) and server.id not in self.pending:
                await asyncio.sleep(self._poll_seconds(server))
                report = await self._fetch_report(server)
                if self._fencing_number() is None or report is None or not report.busy:
                    break
        finally:
            self.polled_servers.discard(server.id)
        self.notify_peers()

    async def _carry_out(self, server: Server) -> None:
        """Send a server's pending order and wait until it has been carried out."""
        pending = self.pending[server.id]
        number = self._fencing_number()
        if number is None:
            self.pending.pop(server.id, None)
            return
        outcome = await self._send(server, pending, number)
        self.emit(
            LayersOrdered(
                vm=server.id,
                start=pending.layers.start,
                stop=pending.layers.stop,
                loads=pending.layers_to_load,
                fencing=number,
                outcome=outcome.value,
                detail=f"{server.address}, {pending.purpose.name.lower()}, "
                f"after {pending.sequence} orders",
            )
        )
        if outcome is OrderOutcome.FENCED:
            self.rejected_numbers.add(number)
            self.pending.pop(server.id, None)
            return
        if outcome is OrderOutcome.WITHDRAWN:
            if self.pending.get(server.id) is pending:
                del self.pending[server.id]
            return
        if outcome is OrderOutcome.BEGUN:
            self._record_started(server, pending)
        if outcome in (OrderOutcome.MISFIT, OrderOutcome.OTHER):
            await self._fetch_report(server)
            await asyncio.sleep(MISFIT_SECONDS)
            self.pending.pop(server.id, None)
            return
        if outcome is not OrderOutcome.HOLDS:
            await asyncio.sleep(max(0.0, pending.due - self.clock()))
        await self._wait_for_load(server, pending)

    def _record_started(self, server: Server, pending: _PendingOrder) -> None:
        """
        Record that a server has started an order, before its next report.

        Routing then stops using the layers that the server gives up, and counts the
        memory that the order occupies.
        """
        before = self.fleet.layers(server)
        kept = _intersection(before, pending.layers)
        report = LayerReport(
            incarnation=pending.incarnation,
            layers=kept,
            sequence=pending.sequence + 1,
            busy=True,
            reported_at=self.clock(),
            loaded=_spanned_layers(before, pending.layers),
        )
        self.fleet.update_layers(server.id, report)
        self.notify_peers()

    async def _send(
        self, server: Server, pending: _PendingOrder, number: int
    ) -> OrderOutcome:
        """
        Send an order, and send it again if the server did not respond.

        Each copy names the number of orders before it. If one copy was carried out, the
        server has counted it, and therefore refuses any copy that arrives later.
        """
        for _ in range(ORDER_TRIES):
            if not await self._wait_for_permit(server, pending):
                return OrderOutcome.WITHDRAWN
            outcome = await self.engines.order_layers(
                server,
                pending.layers,
                fence=number,
                sequence=pending.sequence,
                is_permitted=lambda: self._fencing_number() == number,
            )
            if outcome is not OrderOutcome.UNKNOWN or not self.fleet.is_up(server):
                return outcome
            report = await self._fetch_report(server)
            if report is None or report.sequence > pending.sequence:
                return outcome
        return outcome

    async def _wait_for_load(self, server: Server, pending: _PendingOrder) -> None:
        """Poll a server until its layers are loaded, so routing uses them at once."""
        while self.pending.get(server.id) is pending:
            report = await self._fetch_report(server)
            if (
                report is not None
                and report.layers == pending.layers
                and not report.busy
            ):
                self.pending.pop(server.id, None)
                self.order_crashes.record_done(pending.service, pending.layers)
                self.notify_peers()
                return
            idle = report is not None and not report.busy
            if idle and report.sequence > pending.sequence + 1:
                self.pending.pop(server.id, None)
                return
            if not self.fleet.is_up(server):
                self._record_end(server.id, pending)
                self.pending.pop(server.id, None)
                return
            await asyncio.sleep(self._poll_seconds(server))

    async def _wait_for_permit(self, server: Server, pending: _PendingOrder) -> bool:
        """Wait for a permit for an order, for as long as the order is pending."""
        permits = self.fleet.permits
        while self.pending.get(server.id) is pending:
            if await permits.take(server, PERMIT_PATIENCE_SECONDS):
                return True
            wait = max(POLL_SECONDS, permits.seconds_exhausted(server))
            await asyncio.sleep(min(wait, PERMIT_PATIENCE_SECONDS))
        return False

    def _poll_seconds(self, server: Server) -> float:
        """Return the time between two reports, which use a small part of a limit."""
        limit = self.fleet.limits.rate(server)
        if not limit:
            return POLL_SECONDS
        return max(POLL_SECONDS, 1 / (POLL_RATE_SHARE * limit))


def _intersection(one: LayerRange, other: LayerRange) -> LayerRange:
    """Return the layers that both ranges contain."""
    start = max(one.start, other.start)
    stop = min(one.stop, other.stop)
    return LayerRange(start=start, stop=stop) if start < stop else NO_LAYERS


def _spanned_layers(one: LayerRange, other: LayerRange) -> int:
    """Count the layers in either of two ranges and those between them."""
    if not len(one) or not len(other):
        return len(one) + len(other)
    return max(one.stop, other.stop) - min(one.start, other.start)
