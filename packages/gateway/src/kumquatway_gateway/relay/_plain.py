"""
Plain.

Requests to plain services: the server with the least to do, and repeats only where
that is allowed.
"""

import asyncio
import random
import time
from collections.abc import Callable, Collection
from dataclasses import dataclass

from kumquatway_core import RAN, Reason, Verdict, may_have_run, not_run
from kumquatway_gateway.fleet import Fleet
from kumquatway_gateway.http1 import (
    Exchange,
    ResponseEnd,
    ResponseHead,
    Unreachable,
    UpstreamConnection,
)
from kumquatway_gateway.model import Server
from kumquatway_gateway.relay._dialect import Attempt
from kumquatway_gateway.relay._job import Job
from kumquatway_gateway.relay._verdict_response import respond_with_verdict
from kumquatway_gateway.waiting import retry_after

FIRST_LATENCY = 0.03  # seconds, before any was measured
MEMORY = 0.2  # weight of the newest latency in the average
FAILURE_MEMORY = 0.15  # weight of the newest outcome in the failure rate
FAILURE_COST = 6.0  # how much a server that always fails is worse
HEDGE_SECONDS = 0.08  # without an answer, before an idempotent request is repeated
HEDGE_TIMES = 3.0  # the same in usual latencies
SILENT_SECONDS = 0.3  # without an answer, before a server is examined
FULL_TIMES = 2  # requests of this entry, in slots, above which a server is full
DEFAULT_SLOTS = 6


class PlainRouter:
    """
    Knows how the servers of one plain service fare.

    :param service: its name.
    :param fleet: the servers.
    :param home: this entry's data centre.
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
        self.latency: dict[str, float] = {}
        self.failures: dict[str, float] = {}

    def pick(self, avoid: Collection[str] = ()) -> Server | None:
        """
        Choose the server that should answer first.

        :param avoid: ids of servers that were tried.
        :return: the server, or None where each is down or full.
        """
        best = None
        best_cost = float("inf")
        for server in self.fleet.servers.values():
            if server.service != self.service or server.id in avoid:
                continue
            if not self.fleet.is_up(server) or self._is_full(server):
                continue
            cost = self._cost(server)
            if cost < best_cost:
                best, best_cost = server, cost
        return best

    def begin(self, server: Server) -> None:
        """Count a request that is sent."""
        self.outstanding[server.id] = self.outstanding.get(server.id, 0) + 1

    def end(self, server: Server, seconds: float, *, failed: bool) -> None:
        """
        Count a request that has ended.

        :param seconds: since it was sent.
        :param failed: whether it got no success.
        """
        left = self.outstanding.get(server.id, 1) - 1
        if left > 0:
            self.outstanding[server.id] = left
        else:
            self.outstanding.pop(server.id, None)
        before = self.latency.get(server.id, FIRST_LATENCY)
        self.latency[server.id] = before + MEMORY * (seconds - before)
        rate = self.failures.get(server.id, 0.0)
        self.failures[server.id] = rate + FAILURE_MEMORY * (failed - rate)

    def usual(self, server: Server) -> float:
        """Give a server's latency lately, seconds."""
        return self.latency.get(server.id, FIRST_LATENCY)

    def _is_full(self, server: Server) -> bool:
        slots = server.slots or DEFAULT_SLOTS
        return self.outstanding.get(server.id, 0) >= slots * FULL_TIMES

    def _cost(self, server: Server) -> float:
        busy = 1 + self.outstanding.get(server.id, 0)
        failing = 1 + FAILURE_COST * self.failures.get(server.id, 0.0)
        avoided = 20.0 if self.fleet.is_avoided(server) else 1.0
        away = 1.0 if server.data_centre == self.home else 1.15
        noise = 1 + 0.02 * self.draw()
        return self.usual(server) * busy * failing * avoided * away * noise


@dataclass(frozen=True, kw_only=True, slots=True)
class _Outcome:
    """What one server made of the request; `head` is None where it gave no answer."""

    server: Server
    head: ResponseHead | None
    body: bytes
    not_run: bool
    reached: bool = True

    @property
    def succeeded(self) -> bool:
        """Tell whether the answer is a success."""
        return self.head is not None and 200 <= self.head.status < 300

    @property
    def is_answer(self) -> bool:
        """Tell whether the answer may go to the caller."""
        return self.head is not None and not self.not_run


class PlainJob:
    """
    Serves one request to a plain service.

    :param relay: what all requests share.
    :param router: of the service.
    :param job: the request.
    """

    def __init__(self, *, relay, router: PlainRouter, job: Job):
        self.relay = relay
        self.router = router
        self.job = job
        self.tried: set[str] = set()
        self.doubt = False
        self.best: _Outcome | None = None
        self.running: dict[asyncio.Task, Server] = {}

    async def run(self) -> None:
        """Serve the request to its end."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout_at(loop.time() + self.job.seconds_left()):
                await self._serve()
        except TimeoutError:
            self.doubt = self.doubt or bool(self.job.sent_to)
            self._give_up(Reason.DEADLINE, "the time of the request is over")
        finally:
            for task in self.running:
                task.cancel()

    async def _serve(self) -> None:
        while True:
            if not self.running and not self._start():
                self._give_up(Reason.OVERLOADED, "no server has room")
                return
            done = await self._wait()
            if not done:
                self._hedge()
                continue
            for outcome in done:
                if outcome.succeeded:
                    self._deliver(outcome)
                    return
                self._take_failure(outcome)
            if self.running:
                continue
            if not self._may_repeat():
                self._give_up(Reason.UNREACHABLE, "no server answered")
                return

    def _start(self) -> bool:
        server = self.router.pick(self.tried)
        if server is None:
            return False
        self.tried.add(server.id)
        task = asyncio.get_running_loop().create_task(self._send(server))
        self.running[task] = server
        return True

    async def _wait(self) -> list[_Outcome]:
        patience = None
        if self.job.route.idempotent and len(self.running) == 1:
            server = next(iter(self.running.values()))
            patience = max(HEDGE_SECONDS, HEDGE_TIMES * self.router.usual(server))
        done, _ = await asyncio.wait(
            self.running, timeout=patience, return_when=asyncio.FIRST_COMPLETED
        )
        outcomes = []
        for task in done:
            del self.running[task]
            outcomes.append(task.result())
        return outcomes

    def _hedge(self) -> None:
        """Ask a second server while the first one is silent."""
        for server in self.running.values():
            self.relay.health_checker.check_server(server)
        if len(self.tried) < self.job.route.max_attempts and self._draw_repeat():
            self._start()

    def _draw_repeat(self) -> bool:
        return self.relay.retry_budget(self.job.service.name).try_withdraw()

    def _may_repeat(self) -> bool:
        if not self.last.reached:
            return True
        if self.last.not_run or self.job.route.idempotent:
            if len(self.job.sent_to) >= max(
                self.job.route.max_attempts, 2 * self.last.not_run
            ):
                return False
            return self._draw_repeat()
        return False

    def _take_failure(self, outcome: _Outcome) -> None:
        self.last = outcome
        if not outcome.reached:
            self.relay.health_checker.check_server(outcome.server)
            return
        if outcome.not_run:
            self.relay.fleet.avoid(outcome.server)
            return
        self.doubt = True
        if outcome.head is None:
            self.relay.record_failure(
                self.job, outcome.server.id, "reset", "no whole answer"
            )
        if outcome.is_answer:
            self.best = outcome

    async def _send(self, server: Server) -> _Outcome:
        job = self.job
        try:
            connection = await self._connect(server)
        except Unreachable as error:
            self.relay.record_failure(job, server.id, "unreachable", str(error))
            return _Outcome(
                server=server, head=None, body=b"", not_run=True, reached=False
            )
        started = time.monotonic()
        self.router.begin(server)
        failed = True
        silent = asyncio.get_running_loop().call_later(
            SILENT_SECONDS, self.relay.health_checker.check_server, server
        )
        try:
            outcome = await self._exchange(server, connection)
            failed = not outcome.succeeded
            return outcome
        finally:
            silent.cancel()
            self.router.end(server, time.monotonic() - started, failed=failed)

    async def _connect(self, server: Server) -> UpstreamConnection:
        # A kept connection may be closed as it is used, and what was sent on it may
        # have run: only an idempotent request takes that chance.
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
            bodyless=job.request.method == "HEAD",
        )
        job.sent_to.append(server.id)
        attempt = Attempt(
            server=server, account=job.account_name, seconds_left=job.seconds_left()
        )
        self.relay.record_route(job, (server.id,), self._why(server))
        connection.send(exchange, dialect.encode(job.request, attempt))
        try:
            end = await exchange.ended
        finally:
            if connection.exchange is exchange:
                connection.abandon()
        head = exchange.head.result()
        if end is not ResponseEnd.COMPLETE or isinstance(head, ResponseEnd):
            return _Outcome(server=server, head=None, body=b"", not_run=False)
        info = dialect.parse_response(head.status, head.headers)
        if 200 <= head.status < 300 and not info.signed:
            return _Outcome(server=server, head=None, body=b"", not_run=False)
        return _Outcome(
            server=server,
            head=head,
            body=b"".join(exchange.body),
            not_run=info.not_run,
        )

    def _why(self, server: Server) -> str:
        return (
            f"{self.router.outstanding.get(server.id, 0)} in progress, usually "
            f"{self.router.usual(server) * 1000:.0f} ms"
        )

    def _deliver(self, outcome: _Outcome) -> None:
        fields = outcome.head.headers.forwardable()
        status = outcome.head.status
        self.job.caller.respond(status, fields, outcome.body, keep_alive=True)
        reason = Reason.NONE if outcome.succeeded else Reason.UPSTREAM_ERROR
        self.relay.record_end(self.job, Verdict(ran=RAN, reason=reason), status)

    def _give_up(self, reason: Reason, detail: str) -> None:
        if self.best is not None:
            self._deliver(self.best)
            return
        verdict = self._verdict(reason, detail)
        self.relay.record_end(self.job, verdict)
        fields = self.relay.dialect.gateway_fields(self.job.request)
        respond_with_verdict(self.job.caller, fields, verdict)

    def _verdict(self, reason: Reason, detail: str) -> Verdict:
        if self.doubt:
            lost = reason if reason is Reason.DEADLINE else Reason.RESET
            return may_have_run(lost, detail)
        return not_run(Reason.OVERLOADED, detail, retry_after=retry_after(0.5))
