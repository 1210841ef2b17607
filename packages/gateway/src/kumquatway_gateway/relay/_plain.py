"""
Serves requests to plain services: picks servers, hedges and retries where allowed.
"""

import asyncio
import random
import time
from collections.abc import Callable, Collection
from dataclasses import dataclass, replace

from loguru import logger

from kumquatway_core import RAN, Reason, Verdict, may_have_run, not_run
from kumquatway_gateway.fleet import Fleet
from kumquatway_gateway.http1 import (
    Exchange,
    ResponseEnd,
    ResponseFraming,
    ResponseHead,
    Unreachable,
    UpstreamConnection,
)
from kumquatway_gateway.model import Server
from kumquatway_gateway.quarantine import MAX_SUSPICION, Progress
from kumquatway_gateway.relay._dialect import Attempt
from kumquatway_gateway.relay._durations import Durations
from kumquatway_gateway.relay._event_stream import is_body_broken_off, is_event_stream
from kumquatway_gateway.relay._job import Job
from kumquatway_gateway.relay._kept_response import KeptResponse
from kumquatway_gateway.relay._refusal import wait_for_refusal_body
from kumquatway_gateway.relay._verdict_response import respond_with_verdict
from kumquatway_gateway.waiting import retry_after

INITIAL_DURATION_SECONDS = 0.1  # of a request, before any was measured
INITIAL_LATENCY_SECONDS = 0.03  # of a server, before any latency was measured
LATENCY_WEIGHT = 0.2  # of the newest latency in the moving average
FAILURE_WEIGHT = 0.15  # of the newest outcome in the moving failure rate
FAILURE_PENALTY = 6.0  # added to the cost factor of a server that always fails
# Time without a response, before an idempotent request is sent to a second server too.
MIN_HEDGE_DELAY_SECONDS = 0.08
HEDGE_LATENCY_FACTOR = 3.0  # the same, in mean latencies of the server
CHECK_DELAY_SECONDS = 0.3  # without a response, before the server's health is checked
FULL_REQUESTS_PER_SLOT = 2  # of this entry, at which a server is full
DEFAULT_SLOTS = 6  # of a server that reports none
# Ends of a response that its server caused.
ENDS_BY_SERVER = (ResponseEnd.CLOSED, ResponseEnd.RESET)
RETRY_SECONDS = 0.5  # until a refused caller should retry, unless servers are paused
# For a permit, before another server is tried; requests for permits that get lost and
# go to the next entry take less.
PERMIT_PATIENCE_SECONDS = 0.2


class PlainRouter:
    """
    Picks servers of one plain service by their load, latency and failure rate.

    :param service: name of the service.
    :param fleet: the servers of all services.
    :param home: this entry's data centre.
    :param draw: returns a random number from 0 to 1, which adds up to 2 % to a cost.
    """

    def __init__(
        self,
        *,
        service: str,
        fleet: Fleet,
        home: str,
        draw: Callable[[], float] = random.random,
    ):
        self.service = service
        self.fleet = fleet
        self.home = home
        self.draw = draw
        self.outstanding: dict[str, int] = {}
        self.latencies: dict[str, float] = {}
        self.failure_rates: dict[str, float] = {}
        self._durations: dict[str, Durations] = {}

    def durations(self, route: str) -> Durations:
        """
        Return what is known of how long requests of a route take, with their retries.

        :param route: name of the route.
        :return: in seconds, from the start of a request to the last byte to its caller.
        """
        known = self._durations.get(route)
        if known is None:
            known = self._durations[route] = Durations(
                mean=INITIAL_DURATION_SECONDS, deviation=INITIAL_DURATION_SECONDS
            )
        return known

    def pick(self, avoid: Collection[str] = ()) -> Server | None:
        """
        Choose the server with the lowest cost.

        :param avoid: IDs of servers that were already tried.
        :return: the server, or None if all others are down, full, paused or at their
            limit.
        """
        best = None
        best_cost = float("inf")
        for server in self.fleet.servers.values():
            if server.service != self.service or server.id in avoid:
                continue
            if not self.fleet.is_up(server) or self._is_full(server):
                continue
            if self._seconds_blocked(server):
                continue
            cost = self._cost(server)
            if cost < best_cost:
                best, best_cost = server, cost
        return best

    def seconds_blocked(self) -> float:
        """
        Return for how long every server that is up asked to get no request.

        :return: seconds until the first one takes requests again, after a pause or at
            its limit; 0 if one takes some now, or if none is up.
        """
        waits = [
            self._seconds_blocked(server)
            for server in self.fleet.servers.values()
            if server.service == self.service and self.fleet.is_up(server)
        ]
        return min(waits, default=0.0)

    def _seconds_blocked(self, server: Server) -> float:
        """Return for how long a server asked to get no request, 0 if it takes some."""
        pauses = self.fleet.pauses
        return max(
            pauses.end(server) - pauses.clock(),
            self.fleet.permits.seconds_exhausted(server),
        )

    def record_start(self, server: Server) -> None:
        """Count a request that is sent to a server."""
        self.outstanding[server.id] = self.outstanding.get(server.id, 0) + 1

    def record_end(self, server: Server, seconds: float, *, failed: bool) -> None:
        """
        Count a request that has ended, and update the server's moving averages.

        :param server: server that it was sent to.
        :param seconds: time since it was sent.
        :param failed: whether it got no successful response.
        """
        remaining = self.outstanding.get(server.id, 1) - 1
        if remaining > 0:
            self.outstanding[server.id] = remaining
        else:
            self.outstanding.pop(server.id, None)
        previous = self.latencies.get(server.id, INITIAL_LATENCY_SECONDS)
        self.latencies[server.id] = previous + LATENCY_WEIGHT * (seconds - previous)
        rate = self.failure_rates.get(server.id, 0.0)
        self.failure_rates[server.id] = rate + FAILURE_WEIGHT * (failed - rate)

    def mean_latency(self, server: Server) -> float:
        """Return the moving average of a server's latency, seconds."""
        return self.latencies.get(server.id, INITIAL_LATENCY_SECONDS)

    def _is_full(self, server: Server) -> bool:
        slots = server.slots or DEFAULT_SLOTS
        return self.outstanding.get(server.id, 0) >= slots * FULL_REQUESTS_PER_SLOT

    def _cost(self, server: Server) -> float:
        busy = 1 + self.outstanding.get(server.id, 0)
        failing = 1 + FAILURE_PENALTY * self.failure_rates.get(server.id, 0.0)
        avoided = 20.0 if self.fleet.is_avoided(server) else 1.0
        distance = 1.0 if server.data_centre == self.home else 1.15
        noise = 1 + 0.02 * self.draw()
        return self.mean_latency(server) * busy * failing * avoided * distance * noise


@dataclass(frozen=True, kw_only=True, slots=True)
class _Outcome:
    """
    Result of one attempt.

    :param server: server that the request was sent to.
    :param head: head of the response, or None if there is no complete, valid one.
    :param body: body of the response.
    :param not_run: whether the server certainly did not run the request.
    :param reached: whether a connection to the server was opened.
    :param denied: whether there was no permit to send it to the server.
    :param detail: how the response was framed and ended, for the event.
    :param broken_off: whether the server ended the connection before the response.
    """

    server: Server
    head: ResponseHead | None
    body: bytes | bytearray
    not_run: bool
    reached: bool = True
    denied: bool = False
    detail: str = ""
    broken_off: bool = False

    @property
    def succeeded(self) -> bool:
        """Whether the response is a success."""
        return self.head is not None and 200 <= self.head.status < 300

    @property
    def is_deliverable(self) -> bool:
        """Whether the response may be relayed to the caller."""
        return self.head is not None and not self.not_run


def _invalid(server: Server, detail: str, *, broken_off: bool = False) -> _Outcome:
    """Return the outcome of an attempt without a complete, valid response."""
    return _Outcome(
        server=server,
        head=None,
        body=b"",
        not_run=False,
        detail=detail,
        broken_off=broken_off,
    )


def _not_sent(server: Server, *, denied: bool = False) -> _Outcome:
    """Return the outcome of an attempt whose request was not sent."""
    return _Outcome(
        server=server, head=None, body=b"", not_run=True, reached=False, denied=denied
    )


class PlainJob:
    """
    Serves one request to a plain service.

    :param relay: state that all requests share.
    :param router: picks servers of the service.
    :param job: the request.
    """

    def __init__(self, *, relay, router: PlainRouter, job: Job):
        self.relay = relay
        self.router = router
        self.job = job
        self.tried: set[str] = set()
        self.may_have_run = False
        self.failed = KeptResponse[_Outcome](memory=relay.pool.memory)
        self.running: dict[asyncio.Task, Server] = {}
        self.suspicion = 0  # of having crashed the servers that took the request

    async def run(self) -> None:
        """Serve the request until its caller has a response."""
        job = self.job
        loop = asyncio.get_running_loop()
        deadline = loop.time() + job.seconds_left()
        try:
            async with asyncio.timeout_at(deadline) as job.timeout:
                await self._serve()
        except TimeoutError:
            self.may_have_run = self.may_have_run or self._is_at_a_server()
            self._give_up(Reason.DEADLINE, "the deadline of the request has passed")
        finally:
            job.timeout = None
            for task in self.running:
                task.cancel()
            self.failed.drop()

    def _is_at_a_server(self) -> bool:
        """Tell whether a server that has not answered got the request."""
        return any(server.id in self.job.sent_to for server in self.running.values())

    async def _serve(self) -> None:
        while True:
            if not self.running and self._is_too_late():
                self._give_up(Reason.SHUTTING_DOWN, "this entry is shutting down")
                return
            if not self.running and not self._start_attempt():
                self._give_up(
                    Reason.OVERLOADED,
                    "every server is down, full, paused, at its limit or already tried",
                )
                return
            done = await self._wait_for_outcomes()
            if not done:
                self._start_hedge()
                continue
            if self._settle(done):
                return
            if self.running:
                continue
            if not self._may_retry():
                self._give_up(
                    Reason.UNREACHABLE, "all attempts failed, and no retry is allowed"
                )
                return

    def _settle(self, done: list[_Outcome]) -> bool:
        """Deliver a success among outcomes, or record them; return whether one was."""
        for outcome in done:
            if outcome.succeeded:
                self._deliver(outcome)
                return True
            self._record_failure(outcome)
        done.clear()  # so that a body is free once it is not kept
        return False

    def _is_too_late(self) -> bool:
        """Tell whether an attempt would be the first to run, and end after the exit."""
        shutdown_at = self.relay.shutdown_at
        if shutdown_at is None or self.may_have_run:
            return False
        # At its deadline a request has an answer, whatever the server does.
        longest = self.router.durations(self.job.route.name).upper_bound()
        seconds = min(longest, self.job.seconds_left())
        return self.relay.clock() + seconds >= shutdown_at

    def _start_attempt(self) -> bool:
        server = self.router.pick(self.tried)
        if server is None:
            return False
        self.tried.add(server.id)
        task = asyncio.get_running_loop().create_task(self._send(server))
        self.running[task] = server
        return True

    async def _wait_for_outcomes(self) -> list[_Outcome]:
        hedge_delay = None
        if self.job.route.idempotent and len(self.running) == 1:
            server = next(iter(self.running.values()))
            hedge_delay = max(
                MIN_HEDGE_DELAY_SECONDS,
                HEDGE_LATENCY_FACTOR * self.router.mean_latency(server),
            )
        done, _ = await asyncio.wait(
            self.running, timeout=hedge_delay, return_when=asyncio.FIRST_COMPLETED
        )
        outcomes = []
        for task in done:
            server = self.running.pop(task)
            error = task.exception()
            outcomes.append(
                task.result() if error is None else self._failed_attempt(server, error)
            )
        return outcomes

    def _failed_attempt(self, server: Server, error: BaseException) -> _Outcome:
        """Return the outcome of an attempt that an unexpected exception has ended."""
        job = self.job
        detail = f"an internal error ended the attempt: {error!r}"
        logger.opt(exception=error).error(
            "request {} at {}: {}", job.request.id, server.id, detail
        )
        if server.id in job.sent_to:
            return _invalid(server, detail)
        self.relay.record_failure(job, server.id, "internal", detail)
        return _not_sent(server, denied=True)

    def _start_hedge(self) -> None:
        """Check the slow server, and send the request to a second one if allowed."""
        for server in self.running.values():
            self.relay.health_checker.check_server(server)
        if self.relay.is_blocked(self.job):
            return
        if len(self.tried) < self.job.route.max_attempts and self._withdraw_retry():
            self._start_attempt()

    def _withdraw_retry(self) -> bool:
        return self.relay.retry_budget(self.job.service.name).try_withdraw()

    def _may_retry(self) -> bool:
        """Tell whether to try again; draws on the budget if the server was reached."""
        if self.suspicion >= MAX_SUSPICION or self.relay.is_blocked(self.job):
            return False
        if not self.last_failure.reached:
            return True
        if self.last_failure.not_run or self.job.route.idempotent:
            if len(self.job.sent_to) >= max(
                self.job.route.max_attempts, 2 * self.last_failure.not_run
            ):
                return False
            return self._withdraw_retry()
        return False

    def _record_failure(self, outcome: _Outcome) -> None:
        self.last_failure = replace(outcome, body=b"")
        if outcome.denied:
            return
        if not outcome.reached:
            self.relay.health_checker.check_server(outcome.server)
            return
        if outcome.not_run:
            self.relay.fleet.avoid(outcome.server)
            return
        self.may_have_run = True
        if outcome.broken_off:
            self._record_suspicion(outcome.server)
        if outcome.head is None:
            detail = f"no valid response: {outcome.detail}"
            self.relay.record_failure(self.job, outcome.server.id, "reset", detail)
        if outcome.is_deliverable:
            self.failed.keep(outcome, outcome.server.address)

    def _record_suspicion(self, server: Server) -> None:
        """Record that a server broke off its response to the request."""
        self.suspicion += Progress.BEGINNING
        self.relay.health_checker.check_server(server)

    async def _send(self, server: Server) -> _Outcome:
        job = self.job
        permits = self.relay.fleet.permits
        if not await permits.take(server, PERMIT_PATIENCE_SECONDS):
            return _not_sent(server, denied=True)
        if self.relay.is_blocked(job):
            permits.give_back(server)
            return _not_sent(server, denied=True)
        try:
            connection = await self._connect(server)
        except Unreachable as error:
            permits.give_back(server)
            self.relay.record_failure(job, server.id, "unreachable", str(error))
            return _not_sent(server)
        if not job.is_awaited():
            connection.abandon()
            permits.give_back(server)
            return _not_sent(server, denied=True)
        started = time.monotonic()
        self.router.record_start(server)
        failed = True
        health_check = asyncio.get_running_loop().call_later(
            CHECK_DELAY_SECONDS, self.relay.health_checker.check_server, server
        )
        try:
            outcome = await self._exchange(server, connection)
            failed = not outcome.succeeded
            return outcome
        finally:
            health_check.cancel()
            self.router.record_end(server, time.monotonic() - started, failed=failed)

    async def _connect(self, server: Server) -> UpstreamConnection:
        # A server may close an idle connection just when a request is sent on it, and
        # the request may have run. Only idempotent requests reuse connections.
        key = server.id if self.job.route.idempotent else ""
        pool = self.relay.pool
        return await pool.connect(key, server.address)

    async def _exchange(
        self, server: Server, connection: UpstreamConnection
    ) -> _Outcome:
        job = self.job
        dialect = self.relay.dialect
        exchange = Exchange(
            accepts=lambda status, headers: dialect.accepts(
                job.request, status, headers
            ),
            keeps_connection=dialect.keeps_connection,
            bodyless=job.request.method == "HEAD",
        )
        attempt = Attempt(
            server=server,
            account=job.account_name,
            seconds_left=job.seconds_left(),
            last_event_id=job.request.last_event_id,
        )
        try:
            data = dialect.encode(job.request, attempt)
        except Exception:
            connection.abandon()
            raise
        job.sent_to.append(server.id)
        self.relay.record_route(job, (server.id,), self._describe(server))
        sent_at = time.monotonic()
        self.relay.quarantine.record_start(job.features, server.id)
        connection.send(exchange, data)
        outcome = None
        try:
            outcome = await self._read_response(server, exchange, sent_at)
            return outcome
        finally:
            if connection.exchange is exchange:
                connection.abandon()
            self.relay.record_response(exchange)
            self.relay.quarantine.record_end(job.features, server.id)
            if outcome is None or not outcome.not_run:
                self._record_survival(server, exchange, sent_at)

    def _record_survival(
        self, server: Server, exchange: Exchange, sent_at: float
    ) -> None:
        """
        Record whether the server lived through the request, as far as it shows.

        A body that ends with its connection may be complete or not.
        """
        quarantine = self.relay.quarantine
        end = exchange.how_ended()
        framed = exchange.framing() != ResponseFraming.CLOSE.value
        if end is ResponseEnd.COMPLETE and framed:
            quarantine.record_survival(self.job.features, sent_at)
            return
        broken_off = end is ResponseEnd.COMPLETE or end in ENDS_BY_SERVER
        quarantine.record_unanswered(
            (server,),
            self.job.features,
            sent_at,
            broken_off=broken_off,
            attempt=self.job.request.id,
        )

    async def _read_response(
        self, server: Server, exchange: Exchange, sent_at: float
    ) -> _Outcome:
        head = await exchange.head
        if isinstance(head, ResponseEnd):
            return _invalid(
                server, exchange.describe(), broken_off=head in ENDS_BY_SERVER
            )
        info = self.relay.dialect.parse_response(head.status, head.headers)
        self.relay.fleet.record_notice(server, info.notice, sent_at)
        self.relay.quarantine.record_answer(server)
        if info.not_run:
            await wait_for_refusal_body(exchange)
            return _Outcome(server=server, head=head, body=b"", not_run=True)
        end = await exchange.ended
        detail = exchange.describe()
        if end is not ResponseEnd.COMPLETE:
            return _invalid(server, detail, broken_off=end in ENDS_BY_SERVER)
        body = exchange.body
        if 200 <= head.status < 300:
            if not info.signed:
                return _invalid(server, f"{detail}, not signed")
            if self._is_broken_off(head, body):
                return _invalid(server, f"{detail}, but the stream is broken off")
        return _Outcome(
            server=server, head=head, body=body, not_run=False, detail=detail
        )

    def _is_broken_off(self, head: ResponseHead, body: bytes) -> bool:
        """Tell whether a stream ended too early, although its framing is complete."""
        return is_event_stream(self.job.route, head) and is_body_broken_off(
            head.framing, body
        )

    def _describe(self, server: Server) -> str:
        """Return the figures that the server was picked by, for the event."""
        limit = self.relay.fleet.limits.rate(server)
        return (
            f"{self.router.outstanding.get(server.id, 0)} in progress, mean latency "
            f"{self.router.mean_latency(server) * 1000:.0f} ms"
            + (f", limit {limit:g} requests/s" if limit is not None else "")
        )

    def _deliver(self, outcome: _Outcome) -> None:
        fields = outcome.head.headers.forwardable()
        status = outcome.head.status
        self.job.caller.respond(status, fields, outcome.body, keep_alive=True)
        reason = Reason.NONE if outcome.succeeded else Reason.UPSTREAM_ERROR
        verdict = Verdict(ran=RAN, reason=reason, detail=outcome.detail)
        self.relay.record_end(self.job, verdict, status)

    def _give_up(self, reason: Reason, detail: str) -> None:
        """Relay the last failed response, or send a verdict if there is none."""
        if self.failed.response is not None:
            self._deliver(self.failed.response)
            return
        verdict = self._verdict(reason, detail)
        self.relay.record_end(self.job, verdict)
        fields = self.relay.dialect.gateway_fields(self.job.request)
        respond_with_verdict(self.job.caller, fields, verdict)

    def _verdict(self, reason: Reason, detail: str) -> Verdict:
        if self.may_have_run:
            cause = reason if reason is Reason.DEADLINE else Reason.RESET
            return may_have_run(cause, detail)
        if self.relay.is_blocked(self.job):
            return self.relay.blocked_verdict(self.job)
        if reason is Reason.SHUTTING_DOWN:
            return self.relay.shutdown_verdict()
        delay = retry_after(RETRY_SECONDS, earliest=self.router.seconds_blocked())
        return not_run(Reason.OVERLOADED, detail, retry_after=delay)
