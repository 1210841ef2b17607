"""
Serves requests to model services, and resumes their streams when a server fails.
"""

import asyncio
import enum
import time
from dataclasses import dataclass, replace

from kumquatway_core import RAN, Reason, Verdict, may_have_run, not_run
from kumquatway_core.decoding import parse_count
from kumquatway_core.events import StreamRecovered
from kumquatway_gateway.chains import Chain, ChainLoad
from kumquatway_gateway.fleet import AVOID_SECONDS, MAX_PAUSE_SECONDS
from kumquatway_gateway.http1 import (
    Exchange,
    ResponseEnd,
    ResponseFraming,
    ResponseHead,
    Unreachable,
    UpstreamConnection,
)
from kumquatway_gateway.model import RouteKind, Server
from kumquatway_gateway.quarantine import MAX_SUSPICION, Progress
from kumquatway_gateway.relay._chain_activity import ActivitySnapshot, StreamActivity
from kumquatway_gateway.relay._dialect import Attempt, ResponseInfo
from kumquatway_gateway.relay._event_relay import EventRelay
from kumquatway_gateway.relay._event_stream import is_broken_off, is_event_stream
from kumquatway_gateway.relay._job import Job
from kumquatway_gateway.relay._model_router import Claim, ModelRouter
from kumquatway_gateway.relay._refusal import wait_for_refusal_body
from kumquatway_gateway.relay._stall_detection import (
    MIN_IDLE_SECONDS,
    StallAction,
    StreamStatus,
    choose_stall_action,
)
from kumquatway_gateway.relay._verdict_response import respond_with_verdict
from kumquatway_gateway.waiting import MAX_WAIT_SECONDS, Waiter, retry_after

# Part of the pause that callers accept which is left for the first event of a chain.
LAST_EVENT_SECONDS = 0.1
# Ends of a response that this entry did not cause by closing the connection.
ENDS_BY_SERVER = (ResponseEnd.COMPLETE, ResponseEnd.CLOSED, ResponseEnd.RESET)
BEGINNING_WRITES = 3  # up to here an answer may still be at its beginning
MAX_EVENT_BYTES = 2 * 1024 * 1024  # held back until an event is complete
# Of an error response, or of any other before it is relayed.
MAX_BUFFERED_BYTES = 1024 * 1024


class _AttemptOutcome(enum.Enum):
    """How an attempt ended."""

    DONE = "done"
    UNREACHED = "no connection"
    REFUSED = "refused, not run"
    FAILED = "failed"
    STALLED = "stalled"  # this entry closed the connection
    CUT = "cut"  # the response ended early, or was not signed


@dataclass(frozen=True, kw_only=True, slots=True)
class _ErrorResponse:
    """A complete response of a server with a status other than 200."""

    head: ResponseHead
    body: bytes


class StreamJob:
    """
    Serves one request to a model service.

    :param relay: state that all requests share.
    :param router: assigns chains of the service.
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
        self.streaming = False  # the caller has the head of the response
        self.relaying = False  # the current server's body goes to the caller
        self.has_events = False  # the current server has sent an event
        self.is_event_stream = False  # the current response
        self.sent_at = 0.0
        self.may_have_run = False  # a server may have run the request
        self.error_response: _ErrorResponse | None = None
        self.interrupted_at = 0.0  # when the stream was interrupted, 0 while it is not
        self.avoid: set[str] = set()  # IDs of servers that get no further attempt
        self.closed_by: dict[str, Server] = {}  # servers that ended their response
        self.refusals = 0
        self.writes_before = 0  # to the caller, by earlier attempts
        self.suspicion = 0  # of having crashed the servers that took the request
        self.estimate = 0.0  # of the seconds that the current attempt takes
        self.completed = False
        self.why_ended = ""  # why no further attempt was made, for the event
        self.media_type: bytes | None = None  # of what the caller gets

    async def run(self) -> None:
        """Serve the request until its response has ended."""
        job = self.job
        waiter = self._make_waiter()
        claim = await self.router.queue.admit(waiter)
        self.relay.metrics.waits.observe({}, self.job.age())
        if claim is None:
            self._refuse(waiter)
            return
        try:
            async with asyncio.timeout_at(self._loop_deadline()) as job.timeout:
                await self._serve(claim, waiter)
        except TimeoutError:
            self._handle_timeout()
        finally:
            job.timeout = None
        if self.completed:
            await self._record_duration()
        if self.events.count > 1:
            self.relay.metrics.gaps.observe({}, self.events.longest_gap)

    async def _record_duration(self) -> None:
        """Record how long the only attempt took, until the answer had left."""
        await self.job.caller.flush()
        if len(self.job.sent_to) == 1:
            taken = time.monotonic() - self.sent_at
            self.router.record_duration(self.estimate, taken)

    def _make_waiter(self) -> Waiter:
        job = self.job
        size = job.request.generation_size
        prompt_tokens, max_output_tokens = self.router.token_counts(size)
        deadlines = [job.deadline, job.request.arrived_at + MAX_WAIT_SECONDS]
        if self.relay.shutdown_at is not None:
            deadlines.append(self.relay.shutdown_at)
        return Waiter(
            account=job.account_name,
            priority=job.priority,
            tokens=self.router.estimate_tokens(size),
            arrived=job.request.arrived_at,
            deadline=min(deadlines),
            prompt_tokens=prompt_tokens,
            max_output_tokens=max_output_tokens,
        )

    def _refuse(self, waiter: Waiter) -> None:
        """Respond to a request that was sent to no server."""
        if not self.router.can_serve(waiter) and self.relay.shutdown_at is not None:
            self._respond(self.relay.shutdown_verdict())
        elif self.router.chains():
            self._respond_overloaded("every chain is full or at its limit")
        else:
            self._respond_overloaded("no complete chain is up")

    def _loop_deadline(self) -> float:
        return asyncio.get_running_loop().time() + self.job.seconds_left()

    async def _serve(self, claim: Claim | None, waiter: Waiter) -> None:
        while claim is not None:
            try:
                if self.relay.is_blocked(self.job):
                    self.why_ended = "requests like it are blocked"
                    break
                outcome = await self._run_attempt(claim)
            finally:
                self._drop_connection()
                self.router.release(claim)
            if outcome is _AttemptOutcome.DONE:
                return
            self._handle_failure(outcome, claim.chain)
            claim = await self._next_claim(outcome, waiter)
        self._give_up()

    # attempts

    async def _run_attempt(self, claim: Claim) -> _AttemptOutcome:
        self.chain = chain = claim.chain
        first = chain.first_server
        # On a kept connection, a faulty server may send an earlier refusal once more.
        key = first.id if self.job.route.idempotent else ""
        try:
            self.connection = await self.relay.pool.connect(key, first.address)
        except Unreachable as error:
            self.relay.fleet.permits.give_back(first)
            self.avoid.add(first.id)
            self.relay.health_checker.check_server(first)
            self.relay.record_failure(self.job, first.id, "unreachable", str(error))
            return _AttemptOutcome.UNREACHED
        self._send(claim)
        self.job.caller.on_flow_change = self._set_reading
        self.connection.set_reading(not self.job.caller.writing_paused)
        self.relay.active_streams.add(self)
        try:
            return await self._relay_response(chain)
        except asyncio.CancelledError:
            # The caller left, or the deadline has passed.
            self._record_unanswered(chain, broken_off=False)
            raise
        finally:
            self.relay.active_streams.discard(self)
            self.relay.record_response(self.exchange)
            self.relay.quarantine.record_end(self.job.features)

    def _set_reading(self, enabled: bool) -> None:
        """Stop reading from the server while the caller is slow, and resume after."""
        self.events.reset_gap()
        if self.connection is not None:
            self.connection.set_reading(enabled)

    def _send(self, claim: Claim) -> None:
        job = self.job
        chain = claim.chain
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
        self.relaying = self.has_events = False
        self.writes_before = self.events.count
        self.exchange = Exchange(
            accepts=lambda status, headers: dialect.accepts(request, status, headers),
            max_buffered_bytes=MAX_BUFFERED_BYTES,
        )
        self.sent_at = self.events.last_event_at = time.monotonic()
        load = self.router.loads().get(chain.first_server.id, ChainLoad())
        self.estimate = self.router.estimate_claim(claim, load)
        self._record_route(chain, load)
        self.relay.quarantine.record_start(job.features)
        self.connection.send(self.exchange, dialect.encode(request, attempt))

    def _record_route(self, chain: Chain, load: ChainLoad) -> None:
        self.relay.record_route(
            self.job,
            tuple(stage.server.id for stage in chain.stages),
            f"{load.tokens:.0f} of {chain.token_capacity:.0f} tokens used, "
            f"{self.estimate:.1f} s expected, {self._describe_limit(chain)}"
            f"fleet generation {self.relay.fleet.generation}, server list "
            f"{time.monotonic() - self.relay.fleet.listed_at:.1f} s old, "
            f"after event {self.events.last_id.decode('latin-1') or 0}",
        )

    def _describe_limit(self, chain: Chain) -> str:
        limit = self.relay.fleet.limits.rate(chain.first_server)
        return "" if limit is None else f"limit {limit:g} requests/s, "

    async def _relay_response(self, chain: Chain) -> _AttemptOutcome:
        """Wait for the response, and relay it to the caller if its status is 200."""
        exchange = self.exchange
        head = await exchange.head
        if isinstance(head, ResponseEnd):
            return self._handle_early_end(head)
        info = self.relay.dialect.parse_response(head.status, head.headers)
        self.relay.fleet.record_notice(chain.first_server, info.notice, self.sent_at)
        self.relay.quarantine.record_answer(chain.first_server)
        if head.status != 200:
            return await self._handle_error(head, info)
        if not info.signed or not self._continues(head):
            self.may_have_run = True
            self.avoid.add(chain.first_server.id)
            return _AttemptOutcome.CUT
        self._begin_relaying(head)
        end = await exchange.ended
        if end is not ResponseEnd.COMPLETE or self._is_broken_off(head):
            return self._handle_early_end(end)
        if self.events.partial_event:
            self.job.caller.write_chunk(self.events.partial_event)
        self.job.caller.end_stream()
        if head.framing is not ResponseFraming.CLOSE:
            self.relay.quarantine.record_survival(self.job.features, self.sent_at)
        verdict = Verdict(ran=RAN, detail=self._describe_response())
        self.relay.record_end(self.job, verdict, head.status)
        self.completed = True
        return _AttemptOutcome.DONE

    def _continues(self, head: ResponseHead) -> bool:
        """Tell whether a response may follow what the caller already has."""
        if not self.streaming:
            return True
        media_type = head.headers.get(b"content-type")
        return media_type == self.media_type

    def _begin_relaying(self, head: ResponseHead) -> None:
        self.relaying = True
        self.may_have_run = True
        if not self.streaming:
            self.streaming = True
            self.media_type = head.headers.get(b"content-type")
            fields = head.headers.forwardable()
            self.job.caller.start_stream(head.status, fields, keep_alive=True)
        self.is_event_stream = is_event_stream(self.job.route, head)
        self.exchange.relay_to(self._on_body)

    def _on_body(self, data: bytes) -> None:
        """Relay a piece of the body; called for every event."""
        events = self.events
        before = events.count
        if self.is_event_stream:
            events.feed(data)
        else:
            events.forward(data)
        if len(events.partial_event) > MAX_EVENT_BYTES:
            self.connection.give_up()
        if events.is_garbled:
            self.connection.abandon(ResponseEnd.GARBLED)
        if not self.has_events and events.count > before:
            self.has_events = True
        if not before and events.count:
            self.relay.metrics.first_events.observe({}, self.job.age())
            self.router.record_first_event(
                self.chain, events.last_event_at - self.sent_at
            )
        if self.interrupted_at and events.count:
            self._record_recovery()

    def _is_broken_off(self, head: ResponseHead) -> bool:
        """Tell whether the stream ended too early, although its framing is complete."""
        return self.is_event_stream and is_broken_off(
            head.framing, has_events=self.has_events, rest=self.events.partial_event
        )

    def _handle_early_end(self, end: ResponseEnd) -> _AttemptOutcome:
        """Return the outcome of a response that ended before it was complete."""
        self.may_have_run = True
        if end is ResponseEnd.ABANDONED:
            return _AttemptOutcome.STALLED
        if end in ENDS_BY_SERVER:
            self.closed_by[self.chain.first_server.id] = self.chain.first_server
        return _AttemptOutcome.CUT

    async def _handle_error(
        self, head: ResponseHead, info: ResponseInfo
    ) -> _AttemptOutcome:
        """Read a response with a status other than 200, and return the outcome."""
        if info.not_run:
            await wait_for_refusal_body(self.exchange)
            self._avoid_faulty_server(info)
            return _AttemptOutcome.REFUSED
        end = await self.exchange.ended
        self.may_have_run = True
        if end is ResponseEnd.COMPLETE:
            self.error_response = _ErrorResponse(
                head=head, body=b"".join(self.exchange.body)
            )
        self.avoid.add(self.chain.first_server.id)
        return _AttemptOutcome.FAILED

    def _avoid_faulty_server(self, info: ResponseInfo) -> None:
        """Send no new work for a while to the server that caused a refusal."""
        fleet = self.relay.fleet
        server = fleet.by_address.get(info.faulty_address, self.chain.first_server)
        self.refusals += 1
        self.avoid.add(server.id)
        pause = min(info.notice.pause_seconds, MAX_PAUSE_SECONDS)
        fleet.avoid(server, max(AVOID_SECONDS, pause))
        self.relay.health_checker.check_accepts_work(server)
        detail = (
            f"refused by {self.chain.first_server.address}, caused by {server.address}"
        )
        self.relay.record_failure(self.job, server.id, "refused", detail)

    # crashes

    def _writes(self) -> int:
        """Return the number of writes to the caller in the current attempt."""
        return self.events.count - self.writes_before

    def _progress(self) -> Progress:
        """Return how far the current server's answer is."""
        if self._writes() >= BEGINNING_WRITES:
            return Progress.FLOWING
        if self.relaying and not self._writes():
            return Progress.BEGINNING
        return Progress.WAITING

    def _record_unanswered(self, chain: Chain, *, broken_off: bool) -> None:
        """Record that the chain did not complete its response to the request."""
        self.relay.quarantine.record_unanswered(
            tuple(stage.server for stage in chain.stages),
            self.job.features,
            self.sent_at,
            broken_off=broken_off,
            beginning=self._progress() is Progress.BEGINNING,
            attempt=self.job.request.id,
        )

    def recall_if_blocked(self) -> None:
        """End an attempt whose answer has not begun, if the request is now blocked."""
        if self.job.is_trial or self._writes():
            return
        if self.relay.is_blocked(self.job):
            self.connection.abandon()

    # stalls

    def activity(self) -> StreamActivity | None:
        """
        Return when the stream last had an event, for the activity of its chain.

        :return: the activity, or None if the current server has sent no event or the
            caller reads too slowly.
        """
        if not self.has_events or self.job.caller.writing_paused:
            return None
        return StreamActivity(
            chain=self.chain.first_server.id, last_event_at=self.events.last_event_at
        )

    def prefill_tokens(self) -> float:
        """Estimate the tokens that another chain prefills before the stream resumes."""
        generation = self.job.request.generation_size
        return (generation.prompt_tokens if generation else 0) + self.events.count

    def check_for_stall(self, now: float, activity: ActivitySnapshot) -> None:
        """
        Act on a stall of the stream or its chain; called many times a second.

        :param now: monotonic seconds.
        :param activity: activity of all chains.
        """
        idle = now - self.events.last_event_at
        if idle < MIN_IDLE_SECONDS or self.job.caller.writing_paused:
            return
        stream_status = self._stream_status(idle, now, activity)
        action = choose_stall_action(stream_status)
        if action is not StallAction.WAIT and not stream_status.server_down:
            self.relay.health_checker.check_chain(self.chain)
        if action is StallAction.LEAVE:
            self._leave_chain({self.chain.first_server.id})
        elif action is StallAction.LEAVE_ALL:
            self.relay.chain_pace.record_gap(self.chain, idle, now)
            self._leave_chain({stage.server.id for stage in self.chain.stages})

    def _stream_status(
        self, idle: float, now: float, activity: ActivitySnapshot
    ) -> StreamStatus:
        chain = self.chain.first_server.id
        return StreamStatus(
            idle_seconds=idle,
            has_events=self.has_events,
            typical_gap=self.events.typical_gap,
            mean_first_event=self.router.mean_first_event(self.chain),
            server_down=bool(self._down_servers(self.chain)),
            retry_budget_left=self.relay.retry_budget(
                self.job.service.name
            ).remaining_share(),
            chain_streams=activity.stream_count(chain),
            chain_idle_seconds=activity.idle_seconds(chain, now),
            other_chains_idle_seconds=activity.idle_seconds_of_others(chain, now),
            chain_stall_seconds=self.relay.chain_pace.stall_seconds(self.chain, now),
        )

    def _down_servers(self, chain: Chain) -> list[str]:
        is_responding = self.relay.fleet.is_responding
        return [
            stage.server.id for stage in chain.stages if not is_responding(stage.server)
        ]

    def _leave_chain(self, servers: set[str]) -> None:
        """End the attempt if the request can move to a chain without these servers."""
        # A server may run a request that it has not yet responded to.
        if not self.job.route.idempotent or not self._may_retry():
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
            avoid.isdisjoint(stage.server.id for stage in chain.stages)
            for chain in self.router.chains()
        )

    # retries

    def _may_retry(self) -> bool:
        """Tell whether a retry is safe, and within the attempts and the budget."""
        job = self.job
        if self.suspicion >= MAX_SUSPICION or self.relay.is_blocked(job):
            return False
        if (self.may_have_run or self.relaying) and not job.route.idempotent:
            return False
        # Only an event stream can be resumed; any other body would start from the top.
        if self.streaming and job.route.kind is not RouteKind.STREAM:
            return False
        possibly_run_on = [
            server_id for server_id in job.sent_to if not self._has_ended(server_id)
        ]
        if len(possibly_run_on) >= job.route.max_attempts:
            return False
        return self.relay.retry_budget(job.service.name).remaining() >= 1

    def _has_ended(self, server_id: str) -> bool:
        """
        Tell whether a server has certainly stopped working on the request.

        A server whose connection this entry closed may still work on it, even if it
        refuses new connections: a full server refuses them too.
        """
        server = self.closed_by.get(server_id)
        return server is not None and self.relay.fleet.has_run_ended(server)

    def _handle_failure(self, outcome: _AttemptOutcome, chain: Chain) -> None:
        if (
            outcome in (_AttemptOutcome.STALLED, _AttemptOutcome.FAILED)
            and not self.events.count
        ):
            self.router.record_failure(chain)
        if self.streaming and not self.interrupted_at:
            self.interrupted_at = time.monotonic()
        if outcome not in (_AttemptOutcome.UNREACHED, _AttemptOutcome.REFUSED):
            self._record_failure(outcome, chain)
        if outcome in (_AttemptOutcome.STALLED, _AttemptOutcome.CUT):
            is_cut = outcome is _AttemptOutcome.CUT
            self.suspicion += self._progress() if is_cut else 0
            self._record_unanswered(chain, broken_off=is_cut)
            self.avoid |= set(self._down_servers(chain))
            self.avoid.add(chain.first_server.id)
        if outcome is _AttemptOutcome.CUT:
            self.relay.health_checker.check_chain(chain)

    def _record_failure(self, outcome: _AttemptOutcome, chain: Chain) -> None:
        down = self._down_servers(chain)
        idle = (time.monotonic() - self.events.last_event_at) * 1000
        retries = self.relay.retry_budget(self.job.service.name).remaining()
        self.relay.record_failure(
            self.job,
            down[0] if down else chain.first_server.id,
            "silence" if outcome is _AttemptOutcome.STALLED else outcome.value,
            f"after {self.events.count} events, idle for {idle:.0f} ms, "
            f"{len(down)} server(s) of the chain down, {retries:.0f} retries left, "
            f"{self._describe_response()}",
        )

    def _describe_response(self) -> str:
        """Return how the current response was framed and ended, for the event."""
        partial = len(self.events.partial_event)
        return self.exchange.describe() + (
            f" with {partial} bytes of an incomplete event" if partial else ""
        )

    async def _next_claim(
        self, outcome: _AttemptOutcome, waiter: Waiter
    ) -> Claim | None:
        """Claim a chain for the next attempt; waits if no chain has room."""
        if outcome is not _AttemptOutcome.UNREACHED:
            if not self._may_continue(outcome):
                self.why_ended = self._describe_attempts()
                return None
            if not self.relay.retry_budget(self.job.service.name).try_withdraw():
                self.why_ended = "the retry budget is used up"
                return None
        waiter = replace(waiter, begun=self.may_have_run)
        claim = self.router.claim(waiter, frozenset(self.avoid))
        if claim is not None:
            return claim
        idle = time.monotonic() - self.events.last_event_at
        time_left = self.job.route.max_gap - LAST_EVENT_SECONDS - idle
        retry_waiter = replace(
            waiter, priority=-1, deadline=time.monotonic() + time_left
        )
        self.why_ended = (
            f"no chain had room, {self.router.queue.expected_wait(retry_waiter):.2f} s "
            f"of waiting expected, {time_left:.2f} s acceptable"
        )
        return await self.router.queue.admit(retry_waiter)

    def _describe_attempts(self) -> str:
        """Return what decides whether a retry is allowed, for the event."""
        return (
            f"no retry is allowed after {len(self.job.sent_to)} attempt(s) of "
            f"{self.job.route.max_attempts} and {self.refusals} refusal(s), suspicion "
            f"{self.suspicion}"
        )

    def _may_continue(self, outcome: _AttemptOutcome) -> bool:
        if outcome is _AttemptOutcome.REFUSED:
            return self.refusals <= self.job.route.max_attempts
        return self._may_retry()

    # final responses

    def _give_up(self) -> None:
        """Abort the stream if it has started, else relay an error or send a verdict."""
        job = self.job
        if self.streaming:
            self.relay.record_end(
                job,
                may_have_run(
                    Reason.RESET,
                    "the stream broke off and could not be resumed: " + self.why_ended,
                ),
            )
            job.caller.abort()
            return
        if self.error_response is not None:
            head = self.error_response.head
            fields = head.headers.forwardable()
            job.caller.respond(
                head.status, fields, self.error_response.body, keep_alive=True
            )
            verdict = Verdict(ran=RAN, reason=Reason.UPSTREAM_ERROR)
            self.relay.record_end(job, verdict, head.status)
            return
        if self.may_have_run:
            self._respond(may_have_run(Reason.RESET, "no server completed a response"))
            return
        self._respond_overloaded("the servers refused the request or were unreachable")

    def _handle_timeout(self) -> None:
        if self.streaming:
            self.relay.record_end(
                self.job,
                may_have_run(Reason.DEADLINE, "the deadline of the request has passed"),
            )
            self.job.caller.abort()
            return
        if not self.job.sent_to:
            self._respond_overloaded("no server was reached before the deadline")
            return
        self._respond(
            may_have_run(Reason.DEADLINE, "the deadline of the request has passed")
        )

    def _respond_overloaded(self, detail: str) -> None:
        """Respond that the request was not run, unless an earlier attempt may have."""
        if self.may_have_run:
            self._respond(may_have_run(Reason.RESET, detail))
            return
        if self.relay.is_blocked(self.job):
            self._respond(self.relay.blocked_verdict(self.job))
            return
        wait = retry_after(
            self.router.retry_delay(), earliest=self.router.seconds_blocked()
        )
        self._respond(not_run(Reason.OVERLOADED, detail, retry_after=wait))

    def _respond(self, verdict: Verdict) -> None:
        fields = self.relay.dialect.gateway_fields(self.job.request)
        self.relay.record_end(self.job, verdict)
        respond_with_verdict(self.job.caller, fields, verdict)

    def _record_recovery(self) -> None:
        seconds = time.monotonic() - self.interrupted_at
        self.interrupted_at = 0.0
        last_id = self.events.last_id
        self.relay.emit(
            StreamRecovered(
                request=self.job.request.id,
                vm=self.chain.first_server.id,
                attempt=len(self.job.sent_to),
                means="resume",
                position=parse_count(last_id) or 0,
                seconds=round(seconds, 3),
            )
        )

    def _drop_connection(self) -> None:
        """Close the connection unless its response was read to the end."""
        connection, self.connection = self.connection, None
        if connection is not None and connection.exchange is self.exchange:
            connection.abandon()
