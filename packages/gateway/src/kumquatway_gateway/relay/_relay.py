"""
Finds the route of each caller's request and serves it, with the state that all share.
"""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable, Iterable
from typing import TypeVar

from loguru import logger

from kumquatway_core import RAN, Reason, Verdict, may_have_run, not_run
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
from kumquatway_gateway.http1 import (
    CallerConnection,
    ConnectionPool,
    Exchange,
    IncomingRequest,
    ResponseProgress,
)
from kumquatway_gateway.model import (
    Account,
    Configuration,
    DenialReason,
    Request,
    Route,
    Service,
)
from kumquatway_gateway.quarantine import Quarantine, features_of
from kumquatway_gateway.relay._chain_activity import ActivitySnapshot
from kumquatway_gateway.relay._chain_pace import ChainPace
from kumquatway_gateway.relay._dialect import Dialect, InvalidRequest
from kumquatway_gateway.relay._health import HealthChecker
from kumquatway_gateway.relay._job import Job
from kumquatway_gateway.relay._model_router import ModelRouter
from kumquatway_gateway.relay._plain import PlainJob, PlainRouter
from kumquatway_gateway.relay._streams import StreamJob
from kumquatway_gateway.relay._verdict_response import respond_with_verdict
from kumquatway_gateway.waiting import RetryBudget, shutdown_retry_after

MAX_LOGGED_PARTS = 8  # of a prompt, in its event
CHECK_INTERVAL_SECONDS = 0.01  # between checks of the active streams
# Delay of a check above which this process counts as late: health checks that failed
# meanwhile then prove nothing about the servers.
LATE_CHECK_SECONDS = 0.06
# Time without a confirmation by the store, after which unknown routes and keys are not
# rejected for good: they may be in a newer configuration.
STALE_CONFIGURATION_SECONDS = 2.5

T = TypeVar("T")


class Relay:
    """
    Serves the requests of callers.

    :param dialect: decodes and encodes the header fields of requests and responses.
    :param fleet: the servers.
    :param pool: connections to servers.
    :param health_checker: checks servers that fail or stall.
    :param quarantine: requests that reach no server, since they crash it.
    :param home: this entry's data centre.
    :param create_retry_budget: makes the retry budget of a service.
    :param peer_loads: returns the load of other entries on each chain, by the ID of
        the chain's first server.
    :param emit: receives events for the log and the time line.
    :param metrics: receives durations.
    :param clock: monotonic seconds.
    """

    def __init__(
        self,
        *,
        dialect: Dialect,
        fleet: Fleet,
        pool: ConnectionPool,
        health_checker: HealthChecker,
        quarantine: Quarantine,
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
        self.quarantine = quarantine
        self.quarantine_generation = 0  # that the active streams were checked against
        self.home = home
        self.create_retry_budget = create_retry_budget
        self.peer_loads = peer_loads
        self.emit = emit
        self.metrics = metrics
        self.clock = clock
        self.configuration: Configuration | None = None
        # When the configuration was last known to be the newest, by `clock`.
        self.configuration_confirmed_at = float("-inf")
        self.model_routers: dict[str, ModelRouter] = {}
        self.plain_routers: dict[str, PlainRouter] = {}
        self.retry_budgets: dict[str, RetryBudget] = {}
        self.active_streams: set[StreamJob] = set()
        self.chain_pace = ChainPace()
        fleet.has_request_in_progress = self.has_active_stream
        # Returns whether a blocked request with these features is to be tried now.
        self.claim_trial: Callable[[frozenset[str]], Awaitable[bool]] = _no_trial
        # Time by which requests that begin now have to end, by `clock`.
        self.shutdown_at: float | None = None
        # Return in how many seconds this entry, and each peer, serves new requests.
        self.own_return: Callable[[], float] = lambda: 0.0
        self.peer_returns: Callable[[], Iterable[float]] = tuple
        self.jobs: set[Job] = set()  # in progress
        # When the requests in progress were ended, by the event loop's clock.
        self.ended_at: float | None = None

    def configure(self, configuration: Configuration) -> None:
        """
        Apply a configuration, and keep the routers of the services that remain.

        :param configuration: newer than the current one.
        """
        self.configuration = configuration
        for service in configuration.services:
            if service.engine is not None:
                router = self.model_router(service)
                router.engine = service.engine
        self.fleet.mark_changed()

    def model_router(self, service: Service) -> ModelRouter:
        """
        Return the router of a model service, created on first use.

        :param service: a service with an engine.
        :return: its router.
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
            if self.shutdown_at is not None:
                router.end_by = self.shutdown_at
            self.model_routers[service.name] = router
        return router

    def plain_router(self, service: Service) -> PlainRouter:
        """
        Return the router of a plain service, created on first use.

        :param service: a service without an engine.
        :return: its router.
        """
        router = self.plain_routers.get(service.name)
        if router is None:
            router = PlainRouter(service=service.name, fleet=self.fleet, home=self.home)
            self.plain_routers[service.name] = router
        return router

    def retry_budget(self, service: str) -> RetryBudget:
        """
        Return the retry budget of a service, created on first use.

        :param service: name of the service.
        :return: its retry budget.
        """
        budget = self.retry_budgets.get(service)
        if budget is None:
            budget = self.retry_budgets[service] = self.create_retry_budget()
        return budget

    def has_active_stream(self, server_id: str) -> bool:
        """
        Tell whether this entry has a stream on a chain that starts at a server.

        :param server_id: ID of the server.
        :return: True while a connection that carries a request is open to it.
        """
        return any(
            job.chain.first_server.id == server_id for job in self.active_streams
        )

    async def watch_streams(self) -> None:
        """Check the active streams at short intervals, until cancelled."""
        last_check = self.clock()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            now = self.clock()
            if now - last_check > CHECK_INTERVAL_SECONDS + LATE_CHECK_SECONDS:
                self.health_checker.ran_late_at = now
            last_check = now
            self.check_streams()

    def check_streams(self) -> None:
        """Check the active streams for stalls, and admit waiting requests."""
        now = self.clock()
        self.fleet.permits.check()
        self.quarantine.confirm_crashes()
        self._recall_blocked_streams()
        activities = (job.activity() for job in self.active_streams)
        snapshot = ActivitySnapshot(each for each in activities if each is not None)
        self.chain_pace.observe(snapshot, now)
        # Streams that move to the same chain are prefilled there one after the other.
        # Those with few tokens go first, so that most resume before their callers
        # notice the pause.
        for job in sorted(self.active_streams, key=_prefill_tokens):
            self._check_stream(job, now, snapshot)
        for router in self.model_routers.values():
            router.queue.admit_waiting()

    def _check_stream(
        self, job: StreamJob, now: float, snapshot: ActivitySnapshot
    ) -> None:
        """Check one stream; an error ends neither its attempt nor the other checks."""
        try:
            job.check_for_stall(now, snapshot)
        except Exception as error:
            logger.opt(exception=error).error(
                "the check of request {} failed: {}", job.job.request.id, error
            )

    def _recall_blocked_streams(self) -> None:
        """Take requests back that were sent to a server before they were blocked."""
        if self.quarantine_generation == self.quarantine.generation:
            return
        self.quarantine_generation = self.quarantine.generation
        for job in self.active_streams:
            job.recall_if_blocked()

    async def serve(self, caller: CallerConnection, incoming: IncomingRequest) -> None:
        """
        Serve one request.

        :param caller: the connection on which the request arrived.
        :param incoming: the request as received.
        """
        request = None
        try:
            request = self.dialect.decode(incoming)
            job = await self._admit(caller, request)
        except Exception as error:
            self._refuse_failed(caller, request, error)
            return
        if job is not None:
            await self._run_job(job)

    async def _admit(
        self, caller: CallerConnection, request: Request | InvalidRequest
    ) -> Job | None:
        """Return the job of a request, or respond if it must not be served."""
        if isinstance(request, InvalidRequest):
            verdict = not_run(Reason.BAD_REQUEST, request.detail)
            respond_with_verdict(caller, [], verdict)
            return None
        configuration = self.configuration
        if configuration is None:
            self._respond_unavailable(
                caller, request, "no configuration has been received yet"
            )
            return None
        route = configuration.route(request.host, request.path)
        if route is None:
            self._deny(caller, request, Reason.NOT_FOUND, DenialReason.NO_ROUTE)
            return None
        account = configuration.account(route, request.api_key)
        if account is DenialReason.NO_ACCOUNT:
            self._deny(caller, request, Reason.UNAUTHORIZED, account)
            return None
        return await self._create_job(caller, request, configuration, route, account)

    async def _create_job(
        self,
        caller: CallerConnection,
        request: Request,
        configuration: Configuration,
        route: Route,
        account: Account | None,
    ) -> Job | None:
        service = configuration.by_service.get(_choose_service(route))
        if service is None:
            self._respond_unavailable(
                caller, request, f"route {route.name} has no configured service"
            )
            return None
        job = Job(
            caller=caller,
            request=request,
            route=route,
            service=service,
            account=account,
            revision=configuration.revision,
            deadline=request.arrived_at + min(route.timeout, request.timeout),
            features=features_of(
                service.name, request, account.name if account else ""
            ),
        )
        if self.is_blocked(job):
            job.is_trial = await self._ask_for_trial(job)
            if not job.is_trial:
                self._respond_not_run(caller, request, self.blocked_verdict(job))
                return None
        return job

    async def _ask_for_trial(self, job: Job) -> bool:
        """Ask whether a blocked request may be tried; not, if this entry ends first."""
        self.jobs.add(job)
        try:
            return bool(await self.wait_for(job, self.claim_trial(job.features)))
        finally:
            self.jobs.discard(job)

    async def wait_for(self, job: Job, waiting: Awaitable[T]) -> T | None:
        """
        Wait on behalf of a request, until the requests in progress are ended.

        :param job: the request, which no server has.
        :param waiting: what it waits for; cancelled at the end.
        :return: the result, or None if it was not there in time.
        """
        try:
            async with asyncio.timeout_at(self.ended_at) as job.timeout:
                return await waiting
        except TimeoutError:
            return None
        finally:
            job.timeout = None

    async def _run_job(self, job: Job) -> None:
        """Serve an admitted request; an exception in it ends it with a response."""
        self.jobs.add(job)
        try:
            self.retry_budget(job.service.name).record_request()
            self.record_start(job)
            await self._serve_job(job)
        except asyncio.CancelledError:
            self.record_end(
                job, may_have_run(Reason.CANCELLED, "the caller disconnected")
            )
            raise
        except Exception as error:
            self._end_failed(job, error)
        finally:
            self.jobs.discard(job)

    def _refuse_failed(
        self,
        caller: CallerConnection,
        request: Request | InvalidRequest | None,
        error: Exception,
    ) -> None:
        """Refuse a request whose admission has raised an unexpected exception."""
        known = isinstance(request, Request)
        request_id = request.id if known else ""
        _log_failure(request_id, error)
        if caller.response is not ResponseProgress.NOTHING:
            return
        verdict = _not_run_after(error)
        fields = self.dialect.gateway_fields(request) if known else []
        respond_with_verdict(caller, fields, verdict)
        reason = verdict.reason.value
        self.emit(
            RefusedEvent(request=request_id, reason=reason, detail=verdict.detail)
        )

    def _end_failed(self, job: Job, error: Exception) -> None:
        """End a request that an unexpected exception has interrupted."""
        _log_failure(job.request.id, error)
        progress = job.caller.response
        verdict = _not_run_after(error)
        if progress is ResponseProgress.COMPLETE:
            verdict = Verdict(ran=RAN, detail=verdict.detail)
        elif job.sent_to:
            verdict = may_have_run(Reason.RESET, verdict.detail)
        if progress is ResponseProgress.HEAD:
            job.caller.abort()
        elif progress is ResponseProgress.NOTHING:
            fields = self.dialect.gateway_fields(job.request)
            respond_with_verdict(job.caller, fields, verdict)
        if not job.has_end:
            self.record_end(job, verdict)

    async def _serve_job(self, job: Job) -> None:
        service = job.service
        if service.engine is not None:
            router = self.model_router(service)
            await StreamJob(relay=self, router=router, job=job).run()
        else:
            plain = self.plain_router(service)
            started = self.clock()
            await PlainJob(relay=self, router=plain, job=job).run()
            await job.caller.flush()
            if job.sent_to:
                plain.durations(job.route.name).observe(self.clock() - started)

    def begin_shutdown(self, shutdown_at: float) -> None:
        """
        Accept only what ends before the exit.

        :param shutdown_at: time by which it has to end, by `clock`.
        """
        self.shutdown_at = shutdown_at
        for router in self.model_routers.values():
            router.end_by = shutdown_at

    def end_requests(self) -> None:
        """
        End the requests in progress as if their deadlines had passed.

        A caller whose answer has not begun is told that the request may have run, which
        says more than a connection that is closed.
        """
        now = self.ended_at = asyncio.get_running_loop().time()
        for job in self.jobs:
            if job.timeout is not None and _ends_after(job.timeout, now):
                job.timeout.reschedule(now)

    def shutdown_verdict(self) -> Verdict:
        """Return the verdict of a request that would end after this entry's exit."""
        return not_run(
            Reason.SHUTTING_DOWN,
            "this entry is shutting down",
            retry_after=shutdown_retry_after(self.own_return(), self.peer_returns()),
        )

    def is_blocked(self, job: Job) -> bool:
        """
        Tell whether a request must reach no server, since requests like it crash them.

        :param job: the request.
        :return: False for the first attempt of a request that tries if a block has
            outlived its cause.
        """
        if job.is_trial and not job.sent_to:
            return False
        return self.quarantine.seconds_blocked(job.features) > 0

    def blocked_verdict(self, job: Job) -> Verdict:
        """
        Return the verdict of a blocked request that was sent to no server.

        :param job: the request.
        """
        return not_run(
            Reason.QUARANTINED,
            "requests like this one crash the servers that take them"
            + _describe_features(job.features),
            retry_after=self.quarantine.seconds_blocked(job.features),
        )

    def record_end(self, job: Job, verdict: Verdict, status: int | None = None) -> None:
        """
        Emit the event of a request's end, and observe its duration.

        :param job: the request.
        :param verdict: its outcome.
        :param status: status of the server's response, or None to use the verdict's.
        """
        job.has_end = True
        self.metrics.durations.observe({"kind": job.route.kind.value}, job.age())
        self.emit(
            RequestEnded(
                request=job.request.id,
                vm=job.sent_to[-1] if job.sent_to else "",
                detail=f"{job.age() * 1000:.0f} ms, {len(job.sent_to)} attempt(s)"
                + (f": {verdict.detail}" if verdict.detail else ""),
                verdict=verdict.header_value(),
                status=verdict.status() if status is None else status,
                reason=verdict.reason.value,
            )
        )

    def record_start(self, job: Job) -> None:
        """
        Emit the event of a request that was admitted.

        :param job: the request.
        """
        self.emit(
            RequestStarted(
                request=job.request.id,
                account=job.account_name,
                target=job.service.name,
                detail=f"route {job.route.name}, revision {job.revision}"
                + _describe_features(job.features)
                + _describe_parts(job.request),
            )
        )

    def record_response(self, exchange: Exchange) -> None:
        """
        Count a server's response to a request by its framing and its end.

        :param exchange: the request that was sent, and its response.
        """
        self.metrics.observe_response(exchange.framing(), exchange.end())

    def record_route(self, job: Job, vms: tuple[str, ...], detail: str) -> None:
        """
        Emit the event of an attempt's route.

        :param job: the request.
        :param vms: IDs of the servers on the route.
        :param detail: the figures that the route was chosen by.
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
        Emit the event of a failed attempt.

        :param job: the request.
        :param vm: ID of the server at fault, or of the route's first server if unknown.
        :param reason: kind of failure.
        :param detail: the error or the figures.
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

    def _deny(
        self,
        caller: CallerConnection,
        request: Request,
        reason: Reason,
        denial: DenialReason,
    ) -> None:
        """Deny a request, or ask its caller to retry if the configuration is stale."""
        if self.clock() - self.configuration_confirmed_at > STALE_CONFIGURATION_SECONDS:
            self._respond_unavailable(
                caller, request, f"{denial.value}, but the store is unreachable"
            )
            return
        self._respond_not_run(caller, request, not_run(reason, denial.value))

    def _respond_unavailable(
        self, caller: CallerConnection, request: Request, detail: str
    ) -> None:
        verdict = not_run(Reason.NO_UPSTREAM, detail, retry_after=_retry_delay())
        self._respond_not_run(caller, request, verdict)

    def _respond_not_run(
        self, caller: CallerConnection, request: Request, verdict: Verdict
    ) -> None:
        self.emit(
            RefusedEvent(
                request=request.id, reason=verdict.reason.value, detail=verdict.detail
            )
        )
        respond_with_verdict(caller, self.dialect.gateway_fields(request), verdict)


def _ends_after(timeout: asyncio.Timeout, instant: float) -> bool:
    """Tell whether a time-out comes after an instant, or never."""
    end = timeout.when()
    return end is None or end > instant


def _retry_delay() -> float:
    return 0.5 + random.random()


def _log_failure(request_id: str, error: Exception) -> None:
    logger.opt(exception=error).error("request {} failed: {!r}", request_id, error)


def _not_run_after(error: Exception) -> Verdict:
    """Return the verdict of a request that an error ended before it was sent."""
    detail = f"an internal error ended the request: {type(error).__name__}"
    return not_run(Reason.NO_UPSTREAM, detail, retry_after=_retry_delay())


def _describe_parts(request: Request) -> str:
    """Return the parts of the prompt for the event, or "" if none is known."""
    if not request.prompt_parts:
        return ""
    return f", prompt parts {' '.join(request.prompt_parts[:MAX_LOGGED_PARTS])}"


async def _no_trial(features: frozenset[str]) -> bool:
    return False


def _describe_features(features: frozenset[str]) -> str:
    """Return what requests like this one are known by, for the event."""
    return f", known by {' '.join(sorted(features)[:MAX_LOGGED_PARTS])}"


def _prefill_tokens(job: StreamJob) -> float:
    return job.prefill_tokens()


def _choose_service(route: Route) -> str:
    """Choose one of a route's services at random, by the weights of its backends."""
    if len(route.backends) == 1:
        return route.backends[0].service
    names = [backend.service for backend in route.backends]
    weights = [max(0.0, backend.weight) for backend in route.backends]
    if not sum(weights):
        return names[0] if names else ""
    return random.choices(names, weights)[0]
