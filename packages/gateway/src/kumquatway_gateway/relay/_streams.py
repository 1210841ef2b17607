"""
Streams.

One request to a model: its chain, its events, and how it outlives a server.
"""

import asyncio
import enum
import time
from dataclasses import dataclass

from kumquatway_core import RAN, Reason, Verdict, may_have_run, not_run
from kumquatway_core.events import StreamRecovered
from kumquatway_gateway.chains import Chain, ChainLoad
from kumquatway_gateway.http1 import (
    Exchange,
    ResponseEnd,
    ResponseHead,
    Unreachable,
    UpstreamConnection,
)
from kumquatway_gateway.model import RouteKind
from kumquatway_gateway.relay._chain_activity import ActivitySnapshot, StreamActivity
from kumquatway_gateway.relay._dialect import Attempt
from kumquatway_gateway.relay._event_relay import EventRelay
from kumquatway_gateway.relay._job import Job
from kumquatway_gateway.relay._model_router import Claim, ModelRouter
from kumquatway_gateway.relay._stall_detection import (
    MIN_IDLE_SECONDS,
    StallAction,
    StreamStatus,
    choose_stall_action,
)
from kumquatway_gateway.relay._verdict_response import respond_with_verdict
from kumquatway_gateway.waiting import MAX_WAIT_SECONDS, Waiter, retry_after

CALLER_PATIENCE_SECONDS = 1.9  # between events, before callers leave


class _Step(enum.Enum):
    """What an attempt came to."""

    DONE = "done"
    UNREACHED = "no connection"
    REFUSED = "refused, not run"
    FAILED = "failed"
    STALLED = "stalled"
    CUT = "cut"


@dataclass(frozen=True, kw_only=True, slots=True)
class _Failure:
    """An answer of a server that is no success."""

    head: ResponseHead
    body: bytes


class StreamJob:
    """
    Serves one request to a model service.

    :param relay: what all requests share.
    :param router: of the service.
    :param job: the request.
    """

    def __init__(self, *, relay, router: ModelRouter, job: Job):
        self.relay = relay
        self.router = router
        self.job = job
        self.chain: Chain | None = None
        self.connection: UpstreamConnection | None = None
        self.exchange: Exchange | None = None
        self.events = EventRelay(
            write=job.caller.write_chunk, last_id=job.request.last_event_id
        )
        self.streaming = False  # the caller has the head of the answer
        self.relaying = False  # the current server's body is the answer
        self.flowing = False  # the current server has sent an event
        self.sent_at = 0.0
        self.doubt = False  # a server may have run it
        self.failure: _Failure | None = None
        self.failed_at = 0.0
        self.avoid: set[str] = set()
        self.broken_off: set[str] = set()  # ids of servers that ended their connection
        self.refusals = 0

    async def run(self) -> None:
        """Serve the request to its end."""
        job = self.job
        waiter = Waiter(
            account=job.account_name,
            priority=job.priority,
            tokens=self.router.estimate_tokens(job.request.generation_size),
            arrived=job.request.arrived_at,
            deadline=min(job.deadline, job.request.arrived_at + MAX_WAIT_SECONDS),
        )
        claim = await self.router.queue.admit(waiter)
        self.relay.metrics.waits.observe({}, self.job.age())
        if claim is None:
            self._refuse("every chain is full" if self.router.chains() else "no chain")
            return
        try:
            async with asyncio.timeout_at(self._loop_deadline()):
                await self._serve(claim, waiter)
        except TimeoutError:
            self._time_out()
        if self.events.count > 1:
            self.relay.metrics.gaps.observe({}, self.events.longest_gap)

    def _loop_deadline(self) -> float:
        return asyncio.get_running_loop().time() + self.job.seconds_left()

    async def _serve(self, claim: Claim | None, waiter: Waiter) -> None:
        while claim is not None:
            try:
                step = await self._attempt(claim.chain)
            finally:
                self._drop_connection()
                self.router.release(claim)
            if step is _Step.DONE:
                return
            self._note_failure(step, claim.chain)
            claim = await self._next_claim(step, waiter)
        self._give_up()

    # one attempt

    async def _attempt(self, chain: Chain) -> _Step:
        self.chain = chain
        first = chain.first_server
        try:
            self.connection = await self.relay.pool.connect(first.id, first.address)
        except Unreachable as error:
            self.avoid.add(first.id)
            self.relay.health_checker.check_server(first)
            self.relay.record_failure(self.job, first.id, "unreachable", str(error))
            return _Step.UNREACHED
        self._send(chain)
        self.job.caller.on_flow_change = self._flow
        self.connection.set_reading(not self.job.caller.writing_paused)
        self.relay.active_streams.add(self)
        try:
            return await self._follow(chain)
        finally:
            self.relay.active_streams.discard(self)

    def _flow(self, on: bool) -> None:
        """Hold the server back while the caller reads too slowly."""
        self.events.reset_gap()
        if self.connection is not None:
            self.connection.set_reading(on)

    def _send(self, chain: Chain) -> None:
        job = self.job
        if job.sent_to:
            self.events.restart()
        job.sent_to.append(chain.first_server.id)
        attempt = Attempt(
            server=chain.first_server,
            account=job.account_name,
            seconds_left=job.seconds_left(),
            chain=chain,
            last_event_id=self.events.last_id.decode("latin-1"),
            urgent=self.streaming,
        )
        request = job.request
        dialect = self.relay.dialect
        self.relaying = self.flowing = False
        self.exchange = Exchange(
            accepts=lambda status, headers: dialect.accepts(request, status, headers),
            sink=self._take,
        )
        self.sent_at = self.events.last_event_at = time.monotonic()
        self._tell_route(chain)
        self.connection.send(self.exchange, dialect.encode(request, attempt))

    def _tell_route(self, chain: Chain) -> None:
        load = self.router.loads().get(chain.first_server.id, ChainLoad())
        self.relay.record_route(
            self.job,
            tuple(part.server.id for part in chain.stages),
            f"{load.tokens:.0f} of {chain.token_capacity:.0f} tokens used, "
            f"fleet {self.relay.fleet.generation}, list "
            f"{time.monotonic() - self.relay.fleet.listed_at:.1f} s old, "
            f"after event {self.events.last_id.decode('latin-1') or 0}",
        )

    async def _follow(self, chain: Chain) -> _Step:
        exchange = self.exchange
        self._error_body: list[bytes] = []
        head = await exchange.head
        if isinstance(head, ResponseEnd):
            return self._ended_early(head)
        if head.status != 200:
            return await self._refused(head)
        if not self.relay.dialect.parse_response(head.status, head.headers).signed:
            self.doubt = True
            self.avoid.add(chain.first_server.id)
            return _Step.CUT
        self._begin(head)
        end = await exchange.ended
        if end is not ResponseEnd.COMPLETE:
            return self._ended_early(end)
        if self.events.partial_event:
            self.job.caller.write_chunk(self.events.partial_event)
        self.job.caller.end_stream()
        self.relay.record_end(self.job, Verdict(ran=RAN), head.status)
        return _Step.DONE

    def _begin(self, head: ResponseHead) -> None:
        self.relaying = True
        self.doubt = True
        if not self.streaming:
            self.streaming = True
            fields = head.headers.forwardable()
            self.job.caller.start_stream(head.status, fields, keep_alive=True)
        waiting, self._error_body = self._error_body, []
        for data in waiting:
            self._take(data)

    def _take(self, data: bytes) -> None:
        """Take a piece of the body; on the path of every event."""
        if not self.relaying:
            self._error_body.append(data)
            return
        events = self.events
        before = events.count
        events.feed(data)
        if not self.flowing and events.count > before:
            self.flowing = True
        if not before and events.count:
            self.relay.metrics.first_events.observe({}, self.job.age())
            self.router.record_first_event(
                self.chain, events.last_event_at - self.sent_at
            )
        if self.failed_at and events.count:
            self._note_recovery()

    def _ended_early(self, end: ResponseEnd) -> _Step:
        self.doubt = True
        if end is ResponseEnd.ABANDONED:
            return _Step.STALLED
        self.broken_off.add(self.chain.first_server.id)
        return _Step.CUT

    async def _refused(self, head: ResponseHead) -> _Step:
        end = await self.exchange.ended
        info = self.relay.dialect.parse_response(head.status, head.headers)
        if info.not_run:
            self._avoid_fault(info.faulty_address)
            return _Step.REFUSED
        self.doubt = True
        if end is ResponseEnd.COMPLETE:
            self.failure = _Failure(head=head, body=b"".join(self._error_body))
        self.avoid.add(self.chain.first_server.id)
        return _Step.FAILED

    def _avoid_fault(self, address: str) -> None:
        """Keep new work off the server that is at fault for a refusal."""
        fleet = self.relay.fleet
        server = fleet.by_address.get(address, self.chain.first_server)
        self.refusals += 1
        self.avoid.add(server.id)
        fleet.avoid(server)
        self.relay.health_checker.check_accepts_work(server)
        detail = (
            f"refused by {self.chain.first_server.address}, at fault {server.address}"
        )
        self.relay.record_failure(self.job, server.id, "refused", detail)

    # silence

    def activity(self) -> StreamActivity | None:
        """
        Tell of the stream for the pulse of its chain.

        :return: None where it does not flow, or its caller holds it back.
        """
        if not self.flowing or self.job.caller.writing_paused:
            return None
        return StreamActivity(
            chain=self.chain.first_server.id, last_event_at=self.events.last_event_at
        )

    def prefill_tokens(self) -> float:
        """Estimate the tokens that another server would have to read."""
        prompt = self.job.request.generation_size
        return (prompt.prompt_tokens if prompt else 0) + self.events.count

    def check_for_stall(self, now: float, activity: ActivitySnapshot) -> None:
        """
        Look whether the chain fell silent; called many times a second.

        :param now: monotonic seconds.
        :param pulses: of all chains.
        """
        quiet = now - self.events.last_event_at
        if quiet < MIN_IDLE_SECONDS or self.job.caller.writing_paused:
            return
        silence = self._silence(quiet, now, activity)
        step = choose_stall_action(silence)
        if step is not StallAction.WAIT and not silence.server_down:
            self.relay.health_checker.check_chain(self.chain)
        if step is StallAction.LEAVE:
            self._leave_chain({self.chain.first_server.id})
        elif step is StallAction.LEAVE_ALL:
            self._leave_chain({part.server.id for part in self.chain.stages})

    def _silence(
        self, quiet: float, now: float, pulses: ActivitySnapshot
    ) -> StreamStatus:
        chain = self.chain.first_server.id
        return StreamStatus(
            idle_seconds=quiet,
            has_events=self.flowing,
            typical_gap=self.events.typical_gap,
            mean_first_event=self.router.mean_first_event(self.chain),
            server_down=bool(self._silent_parts(self.chain)),
            retry_budget_left=self.relay.retry_budget(
                self.job.service.name
            ).remaining_share(),
            chain_streams=pulses.stream_count(chain),
            chain_idle_seconds=pulses.idle_seconds(chain, now),
            other_chains_idle_seconds=pulses.idle_seconds_of_others(chain, now),
        )

    def _silent_parts(self, chain: Chain) -> list[str]:
        answers = self.relay.fleet.is_responding
        return [part.server.id for part in chain.stages if not answers(part.server)]

    def _leave_chain(self, servers: set[str]) -> None:
        """End the attempt, if the request can go on without some servers."""
        # A request that was sent may run, whether or not an answer has begun.
        if not self.job.route.idempotent or not self._may_repeat():
            return
        avoid = self.avoid | servers
        if not self._has_chain_without(avoid):
            return
        self.avoid = avoid
        if len(servers) > 1:
            self.router.record_failure(self.chain)
        self.connection.abandon()

    def _has_chain_without(self, avoid: set[str]) -> bool:
        return any(
            avoid.isdisjoint(part.server.id for part in chain.stages)
            for chain in self.router.chains()
        )

    # what follows a failed attempt

    def _may_repeat(self) -> bool:
        job = self.job
        if (self.doubt or self.relaying) and not job.route.idempotent:
            return False
        # Only events can be gone on with; any other body would begin anew.
        if self.streaming and job.route.kind is not RouteKind.STREAM:
            return False
        ran = [name for name in job.sent_to if not self._has_ended(name)]
        if len(ran) >= job.route.max_attempts:
            return False
        return self.relay.retry_budget(job.service.name).remaining() >= 1

    def _has_ended(self, server_id: str) -> bool:
        """
        Tell whether a server is surely no longer at work on the request.

        One that was left may be, also where it refuses connections: a full one does.
        """
        return server_id in self.broken_off and self.relay.fleet.has_ended(server_id)

    def _note_failure(self, step: _Step, chain: Chain) -> None:
        if step in (_Step.STALLED, _Step.FAILED) and not self.events.count:
            self.router.record_failure(chain)
        if self.streaming and not self.failed_at:
            self.failed_at = time.monotonic()
        if step not in (_Step.UNREACHED, _Step.REFUSED):
            self._tell_failure(step, chain)
        if step in (_Step.STALLED, _Step.CUT):
            self.avoid |= set(self._silent_parts(chain))
            self.avoid.add(chain.first_server.id)
        if step is _Step.CUT:
            self.relay.health_checker.check_chain(chain)

    def _tell_failure(self, step: _Step, chain: Chain) -> None:
        down = self._silent_parts(chain)
        quiet = (time.monotonic() - self.events.last_event_at) * 1000
        budget = self.relay.retry_budget(self.job.service.name).remaining()
        self.relay.record_failure(
            self.job,
            down[0] if down else chain.first_server.id,
            "silence" if step is _Step.STALLED else step.value,
            f"after {self.events.count} events, {quiet:.0f} ms without one, "
            f"{len(down)} of the chain down, {budget:.0f} repeats left",
        )

    async def _next_claim(self, step: _Step, waiter: Waiter) -> Claim | None:
        if step is not _Step.UNREACHED:
            if not self._may_go_on(step):
                return None
            if not self.relay.retry_budget(self.job.service.name).try_withdraw():
                return None
        claim = self.router.claim(waiter, frozenset(self.avoid))
        if claim is not None:
            return claim
        patience = CALLER_PATIENCE_SECONDS - (
            time.monotonic() - self.events.last_event_at
        )
        again = Waiter(
            account=waiter.account,
            priority=-1,
            tokens=waiter.tokens,
            arrived=waiter.arrived,
            deadline=time.monotonic() + min(patience, MAX_WAIT_SECONDS),
        )
        return await self.router.queue.admit(again)

    def _may_go_on(self, step: _Step) -> bool:
        if step is _Step.REFUSED:
            return self.refusals <= self.job.route.max_attempts
        return self._may_repeat()

    # final answers

    def _give_up(self) -> None:
        job = self.job
        if self.streaming:
            self.relay.record_end(
                job, may_have_run(Reason.RESET, "the stream broke off")
            )
            job.caller.abort()
            return
        if self.failure is not None:
            head = self.failure.head
            fields = head.headers.forwardable()
            job.caller.respond(head.status, fields, self.failure.body, keep_alive=True)
            verdict = Verdict(ran=RAN, reason=Reason.UPSTREAM_ERROR)
            self.relay.record_end(job, verdict, head.status)
            return
        if self.doubt:
            self._answer(may_have_run(Reason.RESET, "no server finished the request"))
            return
        self._refuse("the servers of the chain refused")

    def _time_out(self) -> None:
        if self.streaming:
            self.relay.record_end(
                self.job, may_have_run(Reason.DEADLINE, "out of time")
            )
            self.job.caller.abort()
            return
        self._answer(may_have_run(Reason.DEADLINE, "the time of the request is over"))

    def _refuse(self, detail: str) -> None:
        if self.doubt:
            self._answer(may_have_run(Reason.RESET, detail))
            return
        wait = retry_after(self.router.retry_delay())
        self._answer(not_run(Reason.OVERLOADED, detail, retry_after=wait))

    def _answer(self, verdict: Verdict) -> None:
        fields = self.relay.dialect.gateway_fields(self.job.request)
        self.relay.record_end(self.job, verdict)
        respond_with_verdict(self.job.caller, fields, verdict)

    def _note_recovery(self) -> None:
        seconds = time.monotonic() - self.failed_at
        self.failed_at = 0.0
        last = self.events.last_id
        self.relay.emit(
            StreamRecovered(
                request=self.job.request.id,
                vm=self.chain.first_server.id,
                attempt=len(self.job.sent_to),
                means="resume",
                position=int(last) if last.isdigit() else 0,
                seconds=round(seconds, 3),
            )
        )

    def _drop_connection(self) -> None:
        """Close the connection unless its answer was taken whole."""
        connection, self.connection = self.connection, None
        if connection is not None and connection.exchange is self.exchange:
            connection.abandon()
