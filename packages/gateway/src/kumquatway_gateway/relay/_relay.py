"""
Relay.

Takes each caller's request to its route, and what all requests share.
"""

import asyncio
import random
import time
from collections.abc import Callable

from kumquatway_core import Reason, Verdict, may_have_run, not_run
from kumquatway_core.events import (
    Event,
    Refused as RefusedEvent,
    RequestEnded,
    RequestStarted,
    RouteChosen,
    StageFailed,
)
from kumquatway_gateway._metrics import GatewayMetrics
from kumquatway_gateway.chains import ChainLoad
from kumquatway_gateway.fleet import Fleet
from kumquatway_gateway.http1 import CallerConnection, ConnectionPool, IncomingRequest
from kumquatway_gateway.model import (
    Account,
    Configuration,
    DenialReason,
    Request,
    Route,
    Service,
)
from kumquatway_gateway.relay._chain_activity import ActivitySnapshot
from kumquatway_gateway.relay._dialect import Dialect, InvalidRequest
from kumquatway_gateway.relay._health import HealthChecker
from kumquatway_gateway.relay._job import Job
from kumquatway_gateway.relay._model_router import ModelRouter
from kumquatway_gateway.relay._plain import PlainJob, PlainRouter
from kumquatway_gateway.relay._streams import StreamJob
from kumquatway_gateway.relay._verdict_response import respond_with_verdict
from kumquatway_gateway.waiting import RetryBudget

PLAIN_REQUEST_SECONDS = 0.5  # a plain request takes, at five times its objective
WATCH_SECONDS = 0.01  # between looks at the streams in progress
STALL_SECONDS = 0.06  # that a look is late by, above which probes prove nothing
STALE_SECONDS = 2.5  # without a word of the store, unknown routes are in doubt


class Relay:
    """
    Serves callers.

    :param dialect: how callers and servers spell requests.
    :param fleet: the servers.
    :param pool: connections to servers.
    :param doctor: examines servers.
    :param home: this entry's data centre.
    :param open_budget: makes the repeat budget of a service.
    :param elsewhere: gives what other entries have in progress.
    :param emit: takes events for the log and the time line.
    :param metrics: takes durations.
    """

    def __init__(
        self,
        *,
        dialect: Dialect,
        fleet: Fleet,
        pool: ConnectionPool,
        health_checker: HealthChecker,
        home: str,
        create_retry_budget: Callable[[], RetryBudget],
        peer_loads: Callable[[], dict[str, ChainLoad]],
        emit: Callable[[Event], None],
        metrics: GatewayMetrics,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.dialect = dialect
        self.fleet = fleet
        self.pool = pool
        self.health_checker = health_checker
        self.home = home
        self.create_retry_budget = create_retry_budget
        self.peer_loads = peer_loads
        self.emit = emit
        self.metrics = metrics
        self.clock = clock
        self.configuration: Configuration | None = None
        self.configuration_confirmed_at = float(
            "-inf"
        )  # when the configuration was last known newest
        self.model_routers: dict[str, ModelRouter] = {}
        self.plain_routers: dict[str, PlainRouter] = {}
        self.retry_budgets: dict[str, RetryBudget] = {}
        self.active_streams: set[StreamJob] = set()
        fleet.has_request_in_progress = self.has_active_stream
        self.shutdown_at: float | None = None  # when this entry ends, by `clock`

    def configure(self, configuration: Configuration) -> None:
        """
        Take a configuration; routers of services that stay are kept.

        :param configuration: newer than the one before.
        """
        self.configuration = configuration
        for service in configuration.services:
            if service.engine is not None:
                router = self.model_router(service)
                router.engine = service.engine
        self.fleet.mark_changed()

    def model_router(self, service: Service) -> ModelRouter:
        """
        Give the router of a model service.

        :param service: with an engine.
        :return: the router.
        """
        router = self.model_routers.get(service.name)
        if router is None:
            router = ModelRouter(
                service=service.name,
                engine=service.engine,
                fleet=self.fleet,
                home=self.home,
                peer_loads=self.peer_loads,
                emit=self.emit,
                clock=self.clock,
            )
            self.model_routers[service.name] = router
        return router

    def plain_router(self, service: Service) -> PlainRouter:
        """
        Give the router of a plain service.

        :param service: without an engine.
        :return: the router.
        """
        router = self.plain_routers.get(service.name)
        if router is None:
            router = PlainRouter(service=service.name, fleet=self.fleet, home=self.home)
            self.plain_routers[service.name] = router
        return router

    def retry_budget(self, service: str) -> RetryBudget:
        """
        Give the repeat budget of a service.

        :param service: its name.
        :return: the budget.
        """
        found = self.retry_budgets.get(service)
        if found is None:
            found = self.retry_budgets[service] = self.create_retry_budget()
        return found

    def has_active_stream(self, server_id: str) -> bool:
        """
        Tell whether a model server has a request of this entry.

        :param server_id: of the server.
        :return: True while a connection with a request is open to it.
        """
        return any(
            job.chain.first_server.id == server_id for job in self.active_streams
        )

    async def watch_streams(self) -> None:
        """Look for streams that fell silent, and for room, for ever."""
        last = self.clock()
        while True:
            await asyncio.sleep(WATCH_SECONDS)
            now = self.clock()
            if now - last > WATCH_SECONDS + STALL_SECONDS:
                self.health_checker.ran_late_at = now
            last = now
            self.check_streams()

    def check_streams(self) -> None:
        """Look once at all streams in progress, and for room."""
        now = self.clock()
        flows = (job.activity() for job in self.active_streams)
        pulses = ActivitySnapshot(flow for flow in flows if flow is not None)
        # Streams that move together are read one after the other: first those that are
        # read soon, so that most go on before their pause is noticed.
        for job in sorted(self.active_streams, key=_reading):
            job.check_for_stall(now, pulses)
        for router in self.model_routers.values():
            router.queue.admit_waiting()

    async def serve(self, caller: CallerConnection, incoming: IncomingRequest) -> None:
        """
        Answer one request.

        :param caller: the connection that it came on.
        :param incoming: the request.
        """
        request = self.dialect.decode(incoming)
        if isinstance(request, InvalidRequest):
            verdict = not_run(Reason.BAD_REQUEST, request.detail)
            respond_with_verdict(caller, [], verdict)
            return
        configuration = self.configuration
        if configuration is None:
            self._refuse(caller, request, "no configuration is known yet")
            return
        route = configuration.route(request.host, request.path)
        if route is None:
            self._not_allowed(caller, request, Reason.NOT_FOUND, DenialReason.NO_ROUTE)
            return
        account = configuration.account(route, request.api_key)
        if account is DenialReason.NO_ACCOUNT:
            self._not_allowed(caller, request, Reason.UNAUTHORIZED, account)
            return
        await self._dispatch(caller, request, configuration, route, account)

    async def _dispatch(
        self,
        caller: CallerConnection,
        request: Request,
        configuration: Configuration,
        route: Route,
        account: Account | None,
    ) -> None:
        service = configuration.by_service.get(_draw_service(route))
        if service is None:
            self._refuse(caller, request, f"route {route.name} has no service")
            return
        job = Job(
            caller=caller,
            request=request,
            route=route,
            service=service,
            account=account,
            revision=configuration.revision,
            deadline=request.arrived_at + min(route.timeout, request.timeout),
        )
        if not self._has_time(service, request):
            verdict = not_run(Reason.SHUTTING_DOWN, "this entry ends", retry_after=0.3)
            self._answer(caller, request, verdict)
            return
        self.retry_budget(service.name).record_request()
        self.record_start(job)
        try:
            await self._serve_job(job)
        except asyncio.CancelledError:
            self.record_end(job, may_have_run(Reason.CANCELLED, "its caller left"))
            raise

    async def _serve_job(self, job: Job) -> None:
        service = job.service
        if service.engine is not None:
            router = self.model_router(service)
            await StreamJob(relay=self, router=router, job=job).run()
        else:
            plain = self.plain_router(service)
            await PlainJob(relay=self, router=plain, job=job).run()

    def _has_time(self, service: Service, request: Request) -> bool:
        """Tell whether a request that begins now is served before this entry ends."""
        if self.shutdown_at is None:
            return True
        if service.engine is None:
            return self.clock() + PLAIN_REQUEST_SECONDS < self.shutdown_at
        answer = (
            request.generation_size.max_output_tokens
            if request.generation_size
            else None
        )
        need = self.model_router(service).max_duration(answer)
        return self.clock() + need < self.shutdown_at

    def record_end(self, job: Job, verdict: Verdict, status: int | None = None) -> None:
        """
        Tell how a request ended.

        :param job: the request.
        :param verdict: what became of it.
        :param status: of a server's answer, or None for the verdict's own.
        """
        self.metrics.durations.observe({"kind": job.route.kind.value}, job.age())
        self.emit(
            RequestEnded(
                request=job.request.id,
                vm=job.sent_to[-1] if job.sent_to else "",
                detail=f"{job.age() * 1000:.0f} ms, {len(job.sent_to)} sent"
                + (f": {verdict.detail}" if verdict.detail else ""),
                verdict=verdict.header(),
                status=verdict.status() if status is None else status,
                reason=verdict.reason.value,
            )
        )

    def record_start(self, job: Job) -> None:
        """
        Tell that a request was allowed.

        :param job: the request.
        """
        self.emit(
            RequestStarted(
                request=job.request.id,
                account=job.account_name,
                target=job.service.name,
                detail=f"route {job.route.name}, revision {job.revision}",
            )
        )

    def record_route(self, job: Job, vms: tuple[str, ...], detail: str) -> None:
        """
        Tell where an attempt is sent.

        :param job: the request.
        :param vms: ids of the servers that take part.
        :param detail: what decided it.
        """
        self.emit(
            RouteChosen(
                request=job.request.id,
                attempt=len(job.sent_to),
                vms=vms,
                detail=detail,
            )
        )

    def record_failure(self, job: Job, vm: str, reason: str, detail: str) -> None:
        """
        Tell that an attempt failed.

        :param job: the request.
        :param vm: id of the server at fault, or of the first.
        :param reason: what was seen.
        :param detail: the figures.
        """
        self.emit(
            StageFailed(
                request=job.request.id,
                vm=vm,
                attempt=len(job.sent_to),
                stage=0,
                reason=reason,
                detail=detail,
            )
        )

    def _not_allowed(
        self,
        caller: CallerConnection,
        request: Request,
        reason: Reason,
        why: DenialReason,
    ) -> None:
        if self.clock() - self.configuration_confirmed_at > STALE_SECONDS:
            self._refuse(caller, request, f"{why.value}, but the store is away")
            return
        self._answer(caller, request, not_run(reason, why.value))

    def _refuse(self, caller: CallerConnection, request: Request, detail: str) -> None:
        wait = 0.5 + random.random()
        verdict = not_run(Reason.NO_UPSTREAM, detail, retry_after=wait)
        self._answer(caller, request, verdict)

    def _answer(
        self, caller: CallerConnection, request: Request, verdict: Verdict
    ) -> None:
        self.emit(
            RefusedEvent(
                request=request.id, reason=verdict.reason.value, detail=verdict.detail
            )
        )
        respond_with_verdict(caller, self.dialect.gateway_fields(request), verdict)


def _reading(job: StreamJob) -> float:
    return job.prefill_tokens()


def _draw_service(route: Route) -> str:
    if len(route.backends) == 1:
        return route.backends[0].service
    names = [backend.service for backend in route.backends]
    weights = [max(0.0, backend.weight) for backend in route.backends]
    if not sum(weights):
        return names[0] if names else ""
    return random.choices(names, weights)[0]
