"""
Gateway.

The supervisor tree of an entry for engines that run whole chains.
"""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from kumquatway_core import Supervisor, new_incarnation
from kumquatway_core.events import Event, ProcessStarted, ProcessStopped
from kumquatway_core.leases import PLANNER, Lease
from kumquatway_gateway._follow import (
    ConfigurationFollower,
    ServerFollower,
    follow_entries,
)
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
)
from kumquatway_gateway.model import Limits, Server
from kumquatway_gateway.peers import (
    CopyClient,
    CopyServer,
    Freshness,
    Gossip,
    GossipMessage,
)
from kumquatway_gateway.relay import (
    Dialect,
    EngineClient,
    HealthChecker,
    ModelRouter,
    Relay,
)
from kumquatway_gateway.waiting import RetryBudget

LEASE_SECONDS = 3.0  # after which another entry takes over the placement
SWEEP_SECONDS = 1.0  # between looks at idle connections
OUT_OF_ROTATION_SECONDS = 2.8  # two missed questions of the balancer, and some
LAST_SECONDS = 0.7  # of the grace, kept for the end of the process
READY_PATH = "/ready"
METRICS_PATH = "/metrics"
HEALTH_PATH = "/health"  # of servers whose service is not known yet
NEVER_SECONDS = 1e6  # shown for what never happened
HOLDER_MARK = "#"  # between an entry's name and its life


@dataclass(frozen=True, kw_only=True, slots=True)
class GatewaySettings:
    """
    Settings of one entry.

    :param name: of the VM, for the log.
    :param callers: address for callers, `host:port`.
    :param readiness: address for the balancer's question.
    :param peers: address for other entries, TCP and UDP.
    :param metrics: address for metrics, or "" for none.
    :param known_peers: addresses of entries to begin with.
    :param repeat_ratio: repeats that a service may get for each request.
    :param repeat_slack: repeats beside, over all entries.
    :param repeat_window: over which repeats are counted, seconds.
    :param least_entries: entries that there are at least.
    :param fenced: whether servers refuse orders under old fencing numbers.
    :param grace: from SIGTERM to the end, seconds.
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


@dataclass(frozen=True, kw_only=True, slots=True)
class Sources:
    """What an adapter gives a gateway."""

    configuration: ConfigurationSource
    servers: ServerSource
    entries: EntrySource
    dialect: Dialect
    engines: EngineClient
    leases: object


class Gateway:
    """
    One entry.

    :param settings: of the entry.
    :param sources: what the adapter gives.
    :param pool: connections, shared with the adapter.
    :param emit: takes events.
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
        self.incarnation = new_incarnation()
        self.stopping = asyncio.Event()
        self.fleet = Fleet(emit=emit, clock=clock)
        self.health_checker = HealthChecker(
            fleet=self.fleet,
            engines=sources.engines,
            pool=pool,
            is_model_server=self._is_model,
            health_path=self._health_path,
            entry_count=self._entries,
            clock=clock,
        )
        self.relay = Relay(
            dialect=sources.dialect,
            fleet=self.fleet,
            pool=pool,
            health_checker=self.health_checker,
            home=settings.data_centre,
            create_retry_budget=self._open_budget,
            peer_loads=self._elsewhere,
            emit=emit,
            metrics=self.metrics,
            clock=clock,
        )
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
            own_loads=self._own_loads,
            revision=self.configuration.revision,
            freshness=self._fresh,
            on_message=self._heard,
            clock=clock,
        )
        self.gossip.set_addresses(set(settings.seed_peers))
        self.configuration.peers = self._peers
        self.configuration.on_change = self.gossip.send_soon
        self.servers.on_change = self.gossip.send_soon
        self.fleet.on_change = self._fleet_changed
        self.fleet.on_local_change = self.gossip.send_soon
        self.placer = Placer(
            lease=Lease(
                table=sources.leases,
                name=PLANNER,
                holder=f"{settings.name}{HOLDER_MARK}{self.incarnation}",
                duration=LEASE_SECONDS,
                is_gone=self._is_holder_gone if settings.fenced else _never,
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
        self.gossip.has_duty = lambda: self.placer.holds_lease
        self.configuration.reads_store = self.servers.reads_store = self._leads
        self.copy_server = CopyServer(
            revision=self.configuration.revision,
            document=lambda: self.configuration.document.data,
            servers=lambda: self.fleet.servers,
            read_at=lambda: self.servers.read_at,
            grace=self.servers.membership.grace_left,
            clock=clock,
        )
        self.caller_listener = Listener(limits=self._bounds, serve=self.relay.serve)
        self.readiness_listener = Listener(limits=Limits, serve=self._answer_readiness)
        self.metrics_listener = Listener(limits=Limits, serve=self._answer_metrics)
        self._watch_figures()
        self.peer_listener = Listener(limits=Limits, serve=self._answer_peer)

    def emit(self, event: Event) -> None:
        """
        Count an event and write it down.

        :param event: any event.
        """
        self.metrics.observe(event)
        self.log(event)

    async def run(self) -> None:
        """Serve until `stop` was called and the requests in progress are done."""
        started = self.clock()
        await self.readiness_listener.start(self.settings.readiness_address)
        await self.peer_listener.start(self.settings.peer_address)
        await self.caller_listener.start(self.settings.caller_address)
        if self.settings.metrics_address:
            await self.metrics_listener.start(self.settings.metrics_address)
        self.emit(ProcessStarted(vm=self.settings.name, incarnation=self.incarnation))
        supervisor = asyncio.create_task(self._supervisor().run())
        stopping = asyncio.create_task(self.stopping.wait())
        await asyncio.wait((supervisor, stopping), return_when=asyncio.FIRST_COMPLETED)
        if supervisor.done():
            supervisor.result()
        await self._drain()
        supervisor.cancel()
        self.emit(
            ProcessStopped(
                vm=self.settings.name,
                detail=f"after {self.clock() - started:.1f} s, "
                f"{self.caller_listener.requests_in_progress} requests left",
            )
        )

    def stop(self) -> None:
        """Begin the graceful end."""
        logger.info(
            "{} ends: {} requests in progress",
            self.settings.name,
            self.caller_listener.requests_in_progress,
        )
        self.stopping.set()

    def is_ready(self) -> bool:
        """
        Tell whether the balancer should send callers here.

        :return: True while requests can be judged and no end was asked for.
        """
        known = self.relay.configuration is not None and bool(self.fleet.servers)
        return known and not self.stopping.is_set()

    def _supervisor(self) -> Supervisor:
        supervisor = Supervisor(name=self.settings.name)
        supervisor.add("configuration", self.configuration.run)
        supervisor.add("servers", self.servers.run)
        supervisor.add("entries", self._follow_entries)
        supervisor.add("gossip", self.gossip.run)
        supervisor.add("watch", self.relay.watch_streams)
        supervisor.add("recheck", self.health_checker.run_rechecks)
        supervisor.add("lease", self.placer.maintain_lease)
        supervisor.add("placer", self.placer.run)
        supervisor.add("sweep", self._sweep)
        return supervisor

    async def _drain(self) -> None:
        begun = self.clock()
        end = begun + self.settings.shutdown_grace - LAST_SECONDS
        self.caller_listener.drain()
        await self.placer.release()
        await asyncio.sleep(max(0.0, begun + OUT_OF_ROTATION_SECONDS - self.clock()))
        self.relay.shutdown_at = end
        self.caller_listener.close()
        while self.caller_listener.requests_in_progress and self.clock() < end:
            await asyncio.sleep(0.05)
        self.caller_listener.close_when_idle()
        await asyncio.sleep(0.05)

    async def _follow_entries(self) -> None:
        source = self.sources.entries
        await follow_entries(source, self.gossip, self.settings.peer_address)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            self.pool.close_expired()

    async def _answer_readiness(
        self, caller: CallerConnection, incoming: IncomingRequest
    ) -> None:
        ready = incoming.target == READY_PATH and self.is_ready()
        caller.respond(200 if ready else 503, [], b"", keep_alive=True)

    async def _answer_metrics(
        self, caller: CallerConnection, incoming: IncomingRequest
    ) -> None:
        if incoming.target != METRICS_PATH:
            caller.respond(404, [], b"", keep_alive=False)
            return
        body, fields = self.metrics.render()
        own = [(name.encode(), value.encode()) for name, value in fields]
        caller.respond(200, own, body, keep_alive=True)

    def _watch_figures(self) -> None:
        """Let the metrics tell what this entry believes now."""
        watch = self.metrics.add_gauge
        watch(
            "kumquatway_revision",
            "Revision of the configuration in force.",
            lambda: float(self.configuration.revision()),
        )
        watch(
            "kumquatway_confirmed_seconds",
            "Since the configuration was last known to be the newest.",
            lambda: min(
                NEVER_SECONDS, self.clock() - self.relay.configuration_confirmed_at
            ),
        )
        watch(
            "kumquatway_chains",
            "Chains that can serve.",
            lambda: float(sum(len(r.chains()) for r in self._routers())),
        )
        watch(
            "kumquatway_waiting",
            "Requests that wait for room.",
            lambda: float(sum(len(r.queue.waiting) for r in self._routers())),
        )
        watch(
            "kumquatway_in_progress",
            "Requests in progress.",
            lambda: float(self.caller_listener.requests_in_progress),
        )
        watch(
            "kumquatway_repeats_left",
            "Repeats that this entry may send now, over all services.",
            lambda: sum(
                budget.remaining() for budget in self.relay.retry_budgets.values()
            ),
        )
        watch(
            "kumquatway_peers",
            "Peers heard lately.",
            lambda: float(len(self.gossip.live_peers())),
        )
        watch(
            "kumquatway_peer_bytes_sent",
            "Told to peers since the start, bytes.",
            lambda: float(self.gossip.sent_bytes),
        )

    async def _answer_peer(
        self, caller: CallerConnection, incoming: IncomingRequest
    ) -> None:
        if self.copy_server.handles(incoming):
            self.copy_server.handle(caller, incoming)
        else:
            caller.respond(404, [], b"", keep_alive=False)

    def _bounds(self) -> Limits:
        configuration = self.relay.configuration
        return configuration.limits if configuration else Limits()

    def _is_model(self, server: Server) -> bool:
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

    def _elsewhere(self):
        return self.gossip.peer_loads()

    def _is_holder_gone(self, holder: str) -> bool:
        name, _, life = holder.rpartition(HOLDER_MARK)
        if name == self.settings.name:
            return True  # an earlier life of this VM
        return life.isdigit() and self.gossip.is_gone(int(life))

    def _leads(self) -> bool:
        return self.placer.holds_lease or not self.gossip.live_peers()

    def _fresh(self) -> Freshness:
        return Freshness(
            configuration_age=self.clock() - self.relay.configuration_confirmed_at,
            servers_digest=self.servers.digest(),
            servers_age=self.clock() - self.servers.read_at,
            grace=self.servers.membership.grace_left(),
            document_bytes=len(self.configuration.document.data),
        )

    def _heard(self, word: GossipMessage) -> None:
        self.configuration.receive(word)
        self.servers.receive(word)

    def _peers(self) -> list[str]:
        return self.gossip.live_peers() or list(self.gossip.addresses)

    def _entries(self) -> int:
        return max(self.settings.min_entries, len(self.gossip.live_peers()) + 1)

    def _open_budget(self) -> RetryBudget:
        return RetryBudget(
            ratio=self.settings.retry_ratio,
            slack=self.settings.retry_slack,
            window=self.settings.retry_window,
            entry_count=self._entries,
            clock=self.clock,
        )

    def _fleet_changed(self) -> None:
        for router in self.relay.model_routers.values():
            router.queue.admit_waiting()


def _never(holder: str) -> bool:
    return False
