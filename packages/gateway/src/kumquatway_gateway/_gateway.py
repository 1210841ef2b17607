"""
Assembles an entry of the gateway and runs its tasks under a supervisor.

An entry serves engines that run a whole chain of servers behind one request.
"""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from kumquatway_core import Supervisor, new_incarnation
from kumquatway_core.decoding import parse_count
from kumquatway_core.events import Event, ProcessStarted, ProcessStopped
from kumquatway_core.exceptions import ProcessError
from kumquatway_core.leases import PLANNER_LEASE, Lease
from kumquatway_gateway._follow import (
    ConfigurationFollower,
    ServerFollower,
    follow_entries,
)
from kumquatway_gateway._memory import machine_memory
from kumquatway_gateway._metrics import GatewayMetrics
from kumquatway_gateway._sources import ConfigurationSource, EntrySource, ServerSource
from kumquatway_gateway.duties import Placer
from kumquatway_gateway.fleet import Fleet
from kumquatway_gateway.http1 import (
    CallerConnection,
    ConnectionPool,
    Fetcher,
    IncomingRequest,
    Listener,
    RequestBodies,
    RequestHandler,
)
from kumquatway_gateway.limits import Permits
from kumquatway_gateway.model import Limits, Server
from kumquatway_gateway.peers import (
    CopyClient,
    CopyServer,
    Freshness,
    Gossip,
    GossipMessage,
    encode_gap,
)
from kumquatway_gateway.quarantine import BlockKeeper, BlockSource, Quarantine
from kumquatway_gateway.relay import (
    Dialect,
    EngineClient,
    HealthChecker,
    ModelRouter,
    Relay,
)
from kumquatway_gateway.waiting import RetryBudget

LEASE_SECONDS = 3.0  # without a renewal, before another entry takes over placement
SWEEP_SECONDS = 1.0  # between sweeps of idle connections
# A little more than two failed readiness checks of the load balancer.
OUT_OF_ROTATION_SECONDS = 2.8
# Parts of the shutdown grace at its end: in the first, accepted requests are to end,
# and in the second only those that take longer than expected.
MARGIN_SECONDS = 0.7
SILENCE_SECONDS = 1.0  # for which a sound server may pause in the middle of an answer
EXIT_SECONDS = 0.3  # for the process to end
DRAIN_CHECK_SECONDS = 0.05  # between checks for requests in progress
LAST_CONNECTION_SECONDS = 0.5  # from the last connections to the last requests
LAST_REQUEST_SECONDS = 0.1  # for connections that were accepted last
# For which callers may use an idle connection. With the margin that the connection then
# stays open for, about as long as an entry stays after SIGTERM.
KEPT_SECONDS = 2
LAST_RESPONSE_SECONDS = 0.05  # for the last responses to leave
RESTART_SECONDS = 1.0  # from the exit until the next process serves
BLOCKS_PATIENCE_SECONDS = 2.0  # at the start, until ready without the store's blocks
# Of the VM's memory. A body is there up to three times while it is sent to a server.
REQUEST_BODIES_SHARE = 1 / 8
READY_PATH = "/ready"
METRICS_PATH = "/metrics"
HEALTH_PATH = "/health"  # for servers whose service is not known yet
NEVER_SECONDS = 1e6  # age shown for an event that never happened
HOLDER_SEPARATOR = "#"  # between an entry's name and its incarnation


@dataclass(frozen=True, kw_only=True, slots=True)
class GatewaySettings:
    """
    Settings of one entry.

    :param name: name of the VM, for logs, events and the lease.
    :param data_centre: data centre of this entry.
    :param caller_address: listening address for callers, `host:port`.
    :param readiness_address: listening address for the load balancer's checks.
    :param peer_address: listening address for other entries, TCP and UDP.
    :param metrics_address: listening address for metrics, or "" for none.
    :param seed_peers: addresses of entries that are known at the start.
    :param retry_ratio: retries per request that a service may receive.
    :param retry_slack: further retries per service, over all entries.
    :param retry_window: time over which retries are counted, seconds.
    :param min_entries: lowest number of entries to assume.
    :param shutdown_grace: time from SIGTERM to the exit, seconds.
    :param fenced: whether servers refuse orders with old fencing numbers.
    :param memory_bytes: memory that this process may use, or None for the VM's.
    """

    name: str
    data_centre: str
    caller_address: str
    readiness_address: str
    peer_address: str
    metrics_address: str = ""
    seed_peers: frozenset[str] = frozenset()
    retry_ratio: float = 0.2
    retry_slack: float = 100.0
    retry_window: float = 10.0
    min_entries: int = 3
    shutdown_grace: float = 8.0
    fenced: bool = False
    memory_bytes: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Sources:
    """
    What a platform adapter provides to a gateway.

    :param configuration: source of the configuration.
    :param servers: source of the list of servers.
    :param entries: source of the list of entries.
    :param dialect: how requests of callers and to servers are encoded.
    :param engines: client that sends orders to servers and reads their reports.
    :param leases: table of the leases.
    :param blocks: the requests that reach no server, as the store keeps them.
    """

    configuration: ConfigurationSource
    servers: ServerSource
    entries: EntrySource
    dialect: Dialect
    engines: EngineClient
    leases: object
    blocks: BlockSource


class Gateway:
    """
    One entry: a gateway process.

    :param settings: settings of the entry.
    :param sources: what the platform adapter provides.
    :param pool: connection pool, shared with the adapter.
    :param emit: called with each event.
    :param clock: monotonic seconds.
    """

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        sources: Sources,
        pool: ConnectionPool,
        emit: Callable[[Event], None],
        clock: Callable[[], float] = time.monotonic,
    ):
        self.settings = settings
        self.sources = sources
        self.pool = pool
        self.metrics = GatewayMetrics()
        self.log = emit
        emit = self.emit
        self.clock = clock
        self.started_at = clock()
        self.incarnation = new_incarnation()
        self.stopping = asyncio.Event()
        self.exit_by = float("inf")  # by `clock`, while it drains
        self.failure: ProcessError | None = None  # of a task, for which this one stops
        # While it drains, once only requests keep it from its exit.
        self.is_out_of_rotation = False
        self.fleet = Fleet(emit=emit, clock=clock)
        self.health_checker = HealthChecker(
            fleet=self.fleet,
            engines=sources.engines,
            pool=pool,
            is_model_server=self._is_model_server,
            health_path=self._health_path,
            entry_count=self._entry_count,
            clock=clock,
        )
        self.quarantine = Quarantine(
            fleet=self.fleet, entry_count=self._entry_count, clock=clock
        )
        self.block_keeper = BlockKeeper(
            source=sources.blocks,
            quarantine=self.quarantine,
            entry_count=self._entry_count,
            clock=clock,
        )
        self.relay = Relay(
            dialect=sources.dialect,
            fleet=self.fleet,
            pool=pool,
            health_checker=self.health_checker,
            quarantine=self.quarantine,
            home=settings.data_centre,
            create_retry_budget=self._create_retry_budget,
            peer_loads=self._peer_loads,
            emit=emit,
            metrics=self.metrics,
            clock=clock,
        )
        self.relay.claim_trial = self.block_keeper.claim_trial
        copies = CopyClient(fetcher=Fetcher(pool=pool))
        self.configuration = ConfigurationFollower(
            source=sources.configuration,
            relay=self.relay,
            copies=copies,
            emit=emit,
            clock=clock,
        )
        self.servers = ServerFollower(
            source=sources.servers, fleet=self.fleet, copies=copies, clock=clock
        )
        self.gossip = Gossip(
            address=settings.peer_address,
            incarnation=self.incarnation,
            fleet=self.fleet,
            quarantine=self.quarantine,
            own_loads=self._own_loads,
            revision=self.configuration.revision,
            freshness=self._freshness,
            on_message=self._receive,
            clock=clock,
        )
        self.gossip.set_addresses(set(settings.seed_peers))
        self.fleet.permits = Permits(
            limits=self.fleet.limits,
            find_server=self.fleet.find_server,
            learn=self.fleet.update_limit,
            address=settings.peer_address,
            addresses=lambda: self.gossip.addresses,
            send=self.gossip.send_to,
            on_issued=self._admit_waiting,
            on_outcome=self.metrics.observe_permit,
            clock=clock,
        )
        self.configuration.peers = self._peers
        self.configuration.on_change = self.gossip.send_soon
        self.servers.on_change = self.gossip.send_soon
        self.fleet.on_change = self._admit_waiting
        self.fleet.on_local_change = self.gossip.send_soon
        self.quarantine.check_server = self.health_checker.check_server
        self.quarantine.on_local_change = self._report_crash
        self.quarantine.on_outcome = self.metrics.observe_broken_off
        sources.engines.on_notice = self.fleet.record_notice
        self.placer = Placer(
            lease=Lease(
                table=sources.leases,
                name=PLANNER_LEASE,
                holder=f"{settings.name}{HOLDER_SEPARATOR}{self.incarnation}",
                duration=LEASE_SECONDS,
                is_holder_gone=self._is_holder_gone if settings.fenced else _never,
                fenced=settings.fenced,
            ),
            engines=sources.engines,
            fleet=self.fleet,
            health_checker=self.health_checker,
            routers=self._routers,
            notify_peers=self.gossip.send_soon,
            is_held_by_peer=self.gossip.is_lease_held_by_peer,
            fenced=settings.fenced,
            emit=emit,
            clock=clock,
        )
        self.gossip.has_duty = self.placer.has_duty
        self.gossip.back_in = self.relay.own_return = self._back_in
        self.relay.peer_returns = self.gossip.peer_returns
        self.gossip.reissued_in = lambda: self.configuration.reissued_in
        self.configuration.reads_store = self.servers.reads_store = self._reads_store
        self.copy_server = CopyServer(
            revision=self.configuration.revision,
            document=lambda: self.configuration.document.data,
            membership=self.servers.membership,
            read_at=lambda: self.servers.read_at,
            read_in=lambda: self.configuration.document.read_in,
            reissued_in=lambda: self.configuration.reissued_in,
            clock=clock,
        )
        memory = settings.memory_bytes
        self.bodies = RequestBodies(
            max_bytes=REQUEST_BODIES_SHARE
            * (machine_memory() if memory is None else memory)
        )
        self.caller_listener = Listener(
            limits=self._limits,
            serve=self.relay.serve,
            bodies=self.bodies,
            kept_seconds=KEPT_SECONDS,
            memory=pool.memory,
        )
        self.readiness_listener = self._listener(self._serve_readiness)
        self.metrics_listener = self._listener(self._serve_metrics)
        self.peer_listener = self._listener(self._serve_peer)
        self._add_gauges()

    def _listener(self, serve: RequestHandler) -> Listener:
        return Listener(
            limits=Limits, serve=serve, bodies=self.bodies, memory=self.pool.memory
        )

    def emit(self, event: Event) -> None:
        """
        Update the metrics with an event and log it.

        :param event: any event.
        """
        self.metrics.observe(event)
        self.log(event)

    async def run(self) -> None:
        """
        Serve until `stop` is called, then drain.

        Draining ends when the requests in progress are done or the grace has passed.

        :raises ProcessError: after draining, if a task of this entry failed too often.
        """
        started = self.clock()
        await self.readiness_listener.start(self.settings.readiness_address)
        await self.peer_listener.start(self.settings.peer_address)
        await self.caller_listener.start(self.settings.caller_address)
        if self.settings.metrics_address:
            await self.metrics_listener.start(self.settings.metrics_address)
        self.emit(ProcessStarted(vm=self.settings.name, incarnation=self.incarnation))
        supervisor = asyncio.create_task(self._supervisor().run())
        stopping = asyncio.create_task(self.stopping.wait())
        try:
            await asyncio.wait(
                (supervisor, stopping), return_when=asyncio.FIRST_COMPLETED
            )
            failed = supervisor.done()
            if failed:
                self.stop()
            # The tasks go on: requests in progress are watched until they end.
            await self._drain()
            if failed:
                supervisor.result()
        finally:
            supervisor.cancel()
            stopping.cancel()
        if self.failure is not None:
            raise self.failure
        self.emit(
            ProcessStopped(
                vm=self.settings.name,
                detail=f"after {self.clock() - started:.1f} s, "
                f"{self.caller_listener.requests_in_progress} requests left",
            )
        )

    def stop(self) -> None:
        """Start the graceful shutdown."""
        logger.info(
            "{} is shutting down with {} requests in progress",
            self.settings.name,
            self.caller_listener.requests_in_progress,
        )
        self.stopping.set()

    def _fail(self, error: ProcessError) -> None:
        """Drain without a task that failed too often, and report it at the end."""
        logger.error("{}", error)
        if not self.stopping.is_set():
            self.failure = error
            self.stop()

    def is_ready(self) -> bool:
        """
        Tell whether the load balancer should send callers to this entry.

        :return: True if a configuration and servers are known, and the blocked requests
            if the store can be read, until `stop` is called.
        """
        initialised = self.relay.configuration is not None and bool(self.fleet.servers)
        knows_blocks = (
            self.block_keeper.has_read
            or self.clock() - self.started_at > BLOCKS_PATIENCE_SECONDS
        )
        return initialised and knows_blocks and not self.stopping.is_set()

    def _supervisor(self) -> Supervisor:
        supervisor = Supervisor(name=self.settings.name, on_failure=self._fail)
        supervisor.add("configuration", self.configuration.run)
        supervisor.add("servers", self.servers.run)
        supervisor.add("entries", self._follow_entries)
        supervisor.add("gossip", self.gossip.run)
        supervisor.add("watch", self.relay.watch_streams)
        supervisor.add("recheck", self.health_checker.run_rechecks)
        supervisor.add("lease", self.placer.maintain_lease)
        supervisor.add("placer", self.placer.run)
        supervisor.add("blocks", self.block_keeper.run)
        supervisor.add("sweep", self._sweep)
        return supervisor

    async def _drain(self) -> None:
        """
        Finish the requests in progress within the shutdown grace.

        This entry accepts callers until it exits, and refuses what it cannot finish.

        Load pattern: a rolling restart. Once most entries of a data centre are out of
        rotation, the load balancer sends callers to all of them, ready or not. A caller
        whose stream began before may use its connection for seconds after the stream;
        meanwhile, others are answered too.
        """
        started = self.clock()
        end = self.exit_by = started + self.settings.shutdown_grace
        self.gossip.send_soon()
        shutdown_at = end - MARGIN_SECONDS - SILENCE_SECONDS
        self.relay.begin_shutdown(shutdown_at)
        deadline = end - EXIT_SECONDS - LAST_RESPONSE_SECONDS
        self.caller_listener.drain(deadline - started)
        await self.placer.release()
        leaves_at = min(started + OUT_OF_ROTATION_SECONDS, deadline)
        await asyncio.sleep(max(0.0, leaves_at - self.clock()))
        self.is_out_of_rotation = True
        listener = self.caller_listener
        last_connection_at = deadline - LAST_CONNECTION_SECONDS
        await self._finish_requests(last_connection_at)
        # New requests are to end before those that are still awaited would.
        self.exit_by = min(end, self.clock() + listener.kept_seconds_left)
        self.relay.begin_shutdown(min(shutdown_at, self.exit_by))
        self.gossip.send_soon()
        await self._finish_requests(
            last_connection_at, lambda: listener.kept_connections
        )
        await listener.accept_and_close()
        # A connection that was accepted just before has yet to be counted.
        await asyncio.sleep(LAST_REQUEST_SECONDS)
        await self._finish_requests(deadline, lambda: listener.awaited_connections)
        self.relay.end_requests()
        self.caller_listener.close_when_idle()
        await asyncio.sleep(LAST_RESPONSE_SECONDS)

    async def _finish_requests(
        self, deadline: float, count_awaited: Callable[[], int] = lambda: 0
    ) -> None:
        """Wait until no request is being read or in progress, nor one is awaited."""
        listener = self.caller_listener
        while self.clock() < deadline and (
            listener.unfinished_requests or count_awaited()
        ):
            await asyncio.sleep(DRAIN_CHECK_SECONDS)

    async def _follow_entries(self) -> None:
        source = self.sources.entries
        await follow_entries(source, self.gossip, self.settings.peer_address)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            self.pool.close_expired()

    async def _serve_readiness(
        self, caller: CallerConnection, incoming: IncomingRequest
    ) -> None:
        ready = incoming.target == READY_PATH and self.is_ready()
        caller.respond(200 if ready else 503, [], b"", keep_alive=True)

    async def _serve_metrics(
        self, caller: CallerConnection, incoming: IncomingRequest
    ) -> None:
        if incoming.target != METRICS_PATH:
            caller.respond(404, [], b"", keep_alive=False)
            return
        body, fields = self.metrics.render()
        headers = [(name.encode(), value.encode()) for name, value in fields]
        caller.respond(200, headers, body, keep_alive=True)

    def _add_gauges(self) -> None:
        """Add gauges of this entry's current state to the metrics."""
        add_gauge = self.metrics.add_gauge
        add_gauge(
            "kumquatway_revision",
            "Revision of the configuration in force.",
            lambda: float(self.configuration.revision()),
        )
        add_gauge(
            "kumquatway_confirmed_seconds",
            "Since the configuration was last known to be the newest.",
            lambda: min(
                NEVER_SECONDS, self.clock() - self.relay.configuration_confirmed_at
            ),
        )
        add_gauge(
            "kumquatway_chains",
            "Chains that can serve.",
            lambda: float(sum(len(r.chains()) for r in self._routers())),
        )
        add_gauge(
            "kumquatway_waiting",
            "Requests that wait for room.",
            lambda: float(sum(len(r.queue.waiting) for r in self._routers())),
        )
        add_gauge(
            "kumquatway_in_progress",
            "Requests in progress.",
            lambda: float(self.caller_listener.requests_in_progress),
        )
        add_gauge(
            "kumquatway_repeats_left",
            "Repeats that this entry may send now, over all services.",
            lambda: sum(
                budget.remaining() for budget in self.relay.retry_budgets.values()
            ),
        )
        add_gauge(
            "kumquatway_response_bytes",
            "Held of responses that are being read or sent, bytes.",
            lambda: float(self.pool.memory.held),
        )
        add_gauge(
            "kumquatway_blocks",
            "Sets of request features that reach no server, as they crash servers.",
            lambda: float(len(self.quarantine.blocks.active())),
        )
        add_gauge(
            "kumquatway_limited_servers",
            "Servers that name the request rate that they take.",
            lambda: float(self.fleet.limits.in_force()),
        )
        add_gauge(
            "kumquatway_peers",
            "Peers heard lately.",
            lambda: float(len(self.gossip.live_peers())),
        )
        add_gauge(
            "kumquatway_peer_bytes_sent",
            "Told to peers since the start, bytes.",
            lambda: float(self.gossip.sent_bytes),
        )

    async def _serve_peer(
        self, caller: CallerConnection, incoming: IncomingRequest
    ) -> None:
        if self.copy_server.handles(incoming):
            self.copy_server.handle(caller, incoming)
        else:
            caller.respond(404, [], b"", keep_alive=False)

    def _limits(self) -> Limits:
        configuration = self.relay.configuration
        return configuration.limits if configuration else Limits()

    def _is_model_server(self, server: Server) -> bool:
        return server.service in self.relay.model_routers

    def _health_path(self, server: Server) -> str:
        configuration = self.relay.configuration
        service = configuration and configuration.by_service.get(server.service)
        return service.health_path if service else HEALTH_PATH

    def _routers(self) -> list[ModelRouter]:
        return list(self.relay.model_routers.values())

    def _own_loads(self):
        loads = {}
        for router in self.relay.model_routers.values():
            loads.update(router.own_loads)
        return loads

    def _peer_loads(self):
        return self.gossip.peer_loads()

    def _is_holder_gone(self, holder: str) -> bool:
        name, _, incarnation = holder.rpartition(HOLDER_SEPARATOR)
        if name == self.settings.name:
            return True  # an earlier incarnation of this entry
        number = parse_count(incarnation.encode())
        return number is not None and self.gossip.is_gone(number)

    def _reads_store(self) -> bool:
        """Tell whether this entry reads the store without relying on peers."""
        return self.placer.holds_lease or not self.gossip.live_peers()

    def _back_in(self) -> float:
        """Return the time until this entry serves new requests, or 0 if it does."""
        if not self.stopping.is_set():
            return 0.0
        left = min(self.settings.shutdown_grace, self.exit_by - self.clock())
        return max(0.0, left) + RESTART_SECONDS

    def _freshness(self) -> Freshness:
        listed = self.servers.membership.newest
        generation, configured_at = self.configuration.confirmed
        return Freshness(
            configuration_age=self.clock() - self.relay.configuration_confirmed_at,
            servers_digest=self.servers.digest(),
            servers_age=self.servers.age(),
            grace=self.servers.grace_left(),
            document_bytes=len(self.configuration.document.data),
            listed_at=listed.listed_at if listed else 0.0,
            generation=listed.generation if listed else 0,
            gap=encode_gap(self.servers.membership),
            followed_since=max(0.0, self.servers.membership.gaps.followed_since),
            configuration_at=configured_at,
            configuration_generation=generation,
        )

    def _receive(self, message: GossipMessage) -> None:
        self.configuration.receive(message)
        self.servers.receive(message)

    def _peers(self) -> list[str]:
        return self.gossip.live_peers() or list(self.gossip.addresses)

    def _entry_count(self) -> int:
        return max(self.settings.min_entries, self.gossip.count_entries())

    def _create_retry_budget(self) -> RetryBudget:
        return RetryBudget(
            ratio=self.settings.retry_ratio,
            slack=self.settings.retry_slack,
            window=self.settings.retry_window,
            entry_count=self._entry_count,
            clock=self.clock,
        )

    def _report_crash(self) -> None:
        self.gossip.send_soon()
        self.block_keeper.request_read()

    def _admit_waiting(self) -> None:
        for router in self.relay.model_routers.values():
            router.queue.admit_waiting()


def _never(holder: str) -> bool:
    return False
