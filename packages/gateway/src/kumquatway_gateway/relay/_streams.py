"""
Serves requests to model services, and resumes their streams when a server fails.
"""

import asyncio
import time
from dataclasses import replace

from loguru import logger

from kumquatway_core import RAN, Reason, Verdict, may_have_run, not_run
from kumquatway_core.decoding import parse_count
from kumquatway_core.events import StreamRecovered
from kumquatway_gateway.fleet import AVOID_SECONDS
from kumquatway_gateway.http1 import ResponseHead
from kumquatway_gateway.model import RouteKind, Server
from kumquatway_gateway.quarantine import Progress
from kumquatway_gateway.relay._attempt import (
    AttemptOutcome,
    ErrorResponse,
    StreamAttempt,
)
from kumquatway_gateway.relay._event_relay import EventRelay
from kumquatway_gateway.relay._job import Job
from kumquatway_gateway.relay._kept_response import KeptResponse
from kumquatway_gateway.relay._model_router import Claim, ModelRouter
from kumquatway_gateway.relay._retry_choice import (
    RetryChoice,
    RetryStatus,
    choose_retry,
    seem_lost,
)
from kumquatway_gateway.relay._verdict_response import respond_with_verdict
from kumquatway_gateway.waiting import MAX_WAIT_SECONDS, Waiter, retry_after

# Part of the pause that callers accept which is left for the first event of a chain.
LAST_EVENT_SECONDS = 0.1
# Between looks for a place while the budget, the attempts or the chains allow none.
RETRY_CHECK_SECONDS = 0.05
IMMEDIATE_CONNECTS = 2  # that may fail in a row before the next one has to wait


class StreamJob:
    """
    Serves one request to a model service.

    A second attempt may run beside one that is silent. An attempt ends only once its
    server has ended it or another one has sent an event, and a response that has begun
    is not given up while one of them lives or a place may yet be found.

    :param relay: state that all requests share.
    :param router: assigns chains of the service.
    :param job: the request.
    """

    def __init__(self, *, relay, router: ModelRouter, job: Job):
        self.relay = relay
        self.router = router
        self.job = job
        self.waiter: Waiter | None = None
        self.attempts: list[StreamAttempt] = []  # in progress
        self.seeking: asyncio.Task[Claim | None] | None = None
        self.has_sought = False  # in vain, since an attempt ended or fell silent
        self.changed = asyncio.Event()  # an attempt or the search has news
        self.events = EventRelay(  # of the attempt that wrote to the caller last
            write=job.caller.write_chunk, last_id=job.request.last_event_id
        )
        self.sent_at = 0.0  # when the last attempt began
        self.estimate = 0.0  # of the seconds that it takes
        self.streaming = False  # the caller has the head of the response
        self.media_type: bytes | None = None  # of what the caller gets
        self.completed = False
        self.may_have_run = False  # a server may have run the request
        self.failed = KeptResponse[ErrorResponse](memory=relay.pool.memory)
        self.interrupted_at = 0.0  # when the stream was interrupted, 0 while it is not
        self.avoid: set[str] = set()  # IDs of servers that failed
        self.rejecting: set[str] = set()  # those among them that gave no answer at all
        self.closed_by: dict[str, Server] = {}  # servers that ended their response
        self.ran_on: set[str] = set()  # IDs of servers that may have run the request
        self.refusals = 0
        self.failed_connects = 0  # in a row
        # Servers that broke off their response, when, and the weight of the suspicion
        # that the request has crashed them.
        self.breaks: list[tuple[Server, float, int]] = []
        self.error_count = 0  # of complete responses with an error status
        self.why_ended = ""  # why no further attempt was made, for the event

    async def run(self) -> None:
        """Serve the request until its response has ended."""
        job = self.job
        self.waiter = self._make_waiter()
        claim = await self.relay.wait_for(job, self.router.queue.admit(self.waiter))
        self.relay.metrics.waits.observe({}, self.job.age())
        if claim is None:
            self._refuse(self.waiter)
            return
        job.caller.on_flow_change = self._set_reading
        try:
            async with asyncio.timeout_at(self._loop_deadline()) as job.timeout:
                await self._serve(claim)
        except TimeoutError:
            self._handle_timeout()
        finally:
            job.timeout = None
            self._stop_seeking()
            for attempt in self.attempts:
                attempt.cancel()
            self.events.drop_partial_event()
            self.failed.drop()
        if self.completed:
            await self._record_duration()
        else:
            self._record_gap()

    def _record_gap(self) -> None:
        """Record the longest gap between two events, if there were two."""
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

    async def _serve(self, claim: Claim) -> None:
        self._start_attempt(claim)
        while True:
            self.changed.clear()
            if self._advance():
                return
            await self.changed.wait()

    def _advance(self) -> bool:
        """
        Act on attempts that have ended or fallen silent, and on the search for a place.

        :return: True once the caller has the end of the response.
        """
        for attempt in [each for each in self.attempts if each.has_ended]:
            self.attempts.remove(attempt)
            if attempt.outcome is not AttemptOutcome.DONE:
                self._handle_failure(attempt)
        if self.completed:
            return True
        if self.seeking is not None and self.seeking.done():
            self._take_place()
        if any(not attempt.suspects for attempt in self.attempts):
            self._stop_seeking()
            return False
        if self.seeking is None and not self.has_sought:
            self._start_seeking()
        if self.seeking is None and not self.attempts:
            self._give_up()
            return True
        return False

    # attempts

    def _start_attempt(self, claim: Claim) -> None:
        if self.relay.is_blocked(self.job):
            self.why_ended = "requests like it are blocked"
            self.router.give_back(claim)
            self.has_sought = True
            return
        attempt = StreamAttempt(
            relay=self.relay, stream=self, claim=claim, events=self.events
        )
        self.closed_by.pop(claim.chain.first_server.id, None)
        self.attempts.append(attempt)
        attempt.start()

    def record_sending(self, attempt: StreamAttempt) -> None:
        """
        Take note that an attempt sends the request.

        :param attempt: the attempt.
        """
        self.sent_at, self.estimate = attempt.sent_at, attempt.estimate
        self.failed_connects = 0

    def _set_reading(self, enabled: bool) -> None:
        """Stop reading from the servers while the caller is slow, and resume after."""
        self.events.reset_gap()
        for attempt in self.attempts:
            attempt.set_reading(enabled)

    def may_continue_with(self, head: ResponseHead) -> bool:
        """
        Tell whether a response may follow what the caller already has.

        :param head: head of the response.
        """
        if not self.streaming:
            return True
        return head.headers.get(b"content-type") == self.media_type

    def deliver(self, attempt: StreamAttempt, data: bytes) -> None:
        """
        Pass complete events on to the caller, and end all other attempts.

        :param attempt: the attempt that received them.
        :param data: the events.
        """
        self._prefer(attempt)
        self._begin_response(attempt)
        self.job.caller.write_chunk(data)
        if self.interrupted_at:
            self._record_recovery(attempt)

    def finish(self, attempt: StreamAttempt) -> None:
        """
        End the caller's response after the complete response of an attempt.

        :param attempt: the attempt that received it.
        """
        self._prefer(attempt)
        self._record_gap()
        self._begin_response(attempt)
        if attempt.events.partial_event:
            self.job.caller.write_chunk(attempt.events.partial_event)
        self.job.caller.end_stream()
        verdict = Verdict(ran=RAN, detail=attempt.describe_response())
        self.relay.record_end(self.job, verdict, attempt.head.status)
        self.completed = True

    def _prefer(self, attempt: StreamAttempt) -> None:
        """Go on with one attempt, and end the others and the search for a place."""
        self.events = attempt.events
        if len(self.attempts) > 1:
            others = [other for other in self.attempts if other is not attempt]
            self.attempts = [attempt]
            for other in others:
                if other.may_have_run():
                    self.ran_on.add(other.chain.first_server.id)
                other.supersede()
        self._stop_seeking()
        if attempt.suspects:
            attempt.clear_suspicion()

    def _begin_response(self, attempt: StreamAttempt) -> None:
        """
        Write the head of the response to the caller, unless it has one.

        It is held back until there is something to follow, since a caller that has it
        can no longer be told how the request ended.
        """
        if self.streaming:
            return
        self.streaming = True
        self.media_type = attempt.head.headers.get(b"content-type")
        fields = attempt.head.headers.forwardable()
        self.job.caller.start_stream(attempt.head.status, fields, keep_alive=True)

    def _handle_failure(self, attempt: StreamAttempt) -> None:
        """Note what an attempt that ended without a whole response shows."""
        # A search that goes on would keep to what was true while the attempt lived.
        self._stop_seeking()
        self.has_sought = False
        outcome = attempt.outcome
        self.avoid.add(attempt.faulty_server)
        if self.streaming and not self.interrupted_at:
            self.interrupted_at = time.monotonic()
        if outcome is AttemptOutcome.UNREACHED:
            self.failed_connects += 1
            return
        if outcome is AttemptOutcome.REFUSED:
            self.refusals += 1
            return
        self.ran_on.add(attempt.chain.first_server.id)
        # Attempts after it begin where the last one to write has ended.
        if attempt.events.has_begun_event():
            self.events.has_lost_event = True
        attempt.record_failure(outcome.value)
        if attempt.progress() is not Progress.FLOWING:
            self.rejecting.add(attempt.faulty_server)
        if outcome is AttemptOutcome.FAILED:
            self.error_count += 1
            self._keep(attempt)
        else:
            self._suspect_crash(attempt)
        attempt.events.drop_partial_event()
        if outcome is not AttemptOutcome.CUT and not self.events.count:
            self.router.record_failure(attempt.chain)

    def _keep(self, attempt: StreamAttempt) -> None:
        """Keep the complete response of an attempt that failed, if it has one."""
        response, attempt.error_response = attempt.error_response, None
        if response is not None:
            self.failed.keep(response, attempt.chain.first_server.address)

    def _suspect_crash(self, attempt: StreamAttempt) -> None:
        """Record that the request may have ended the servers of an attempt."""
        is_cut = attempt.outcome is AttemptOutcome.CUT
        if is_cut:
            first = attempt.chain.first_server
            self.breaks.append((first, time.monotonic(), attempt.progress()))
        attempt.record_unanswered(broken_off=is_cut)
        self.avoid.update(attempt.down_servers())
        if is_cut:
            self.relay.health_checker.check_chain(attempt.chain)

    # the search for another place

    def may_replace(self, servers: frozenset[str]) -> bool:
        """
        Tell whether another attempt may begin while one is silent.

        :param servers: IDs of the servers that the other one must not use.
        """
        # A server may run a request that it has not yet responded to.
        if not self.job.route.idempotent or not self._budget_allows():
            return False
        choice = self._choose_retry()
        if choice is RetryChoice.NONE:
            return False
        waiter = self._restricted(choice, servers | self._servers_in_use())
        return bool(self.router.places(waiter))

    def seek_replacement(self) -> None:
        """Look for another place, as an attempt has fallen silent."""
        self.has_sought = False
        if self.streaming and not self.interrupted_at:
            self.interrupted_at = time.monotonic()
        self.changed.set()

    def _start_seeking(self) -> None:
        self.seeking = asyncio.get_running_loop().create_task(self._seek_place())
        self.seeking.add_done_callback(lambda task: self.changed.set())

    def _stop_seeking(self) -> None:
        seeking, self.seeking = self.seeking, None
        if seeking is None or seeking.cancel() or seeking.cancelled():
            return
        claim = seeking.result()
        if claim is not None:
            self.router.give_back(claim)

    def _take_place(self) -> None:
        """Begin an attempt at the place that was found, if one was."""
        seeking, self.seeking = self.seeking, None
        claim = seeking.result()
        if claim is None:
            self.has_sought = True
        else:
            self._start_attempt(claim)

    async def _seek_place(self) -> Claim | None:
        """Claim a chain for another attempt; an error ends the search alone."""
        try:
            return await self._seek()
        except Exception as error:
            self.why_ended = f"the search for another server failed: {error!r}"
            logger.opt(exception=error).error(
                "request {}: {}", self.job.request.id, self.why_ended
            )
            return None

    async def _seek(self) -> Claim | None:
        """
        Claim a chain for another attempt, and pay for it.

        A caller that has the beginning of a response waits for as long as it likes; any
        other one is told when no chain has room in time.
        """
        has_paused = False
        while True:
            choice = self._choose_retry()
            if not self._may_go_on(choice):
                self.why_ended = self._describe_attempts()
                return None
            if not has_paused:
                has_paused = True
                await self._pause()
                continue
            if choice is not RetryChoice.NONE:
                claim = await self._claim(choice)
                if claim is not None:
                    return claim
            if not self._has_patience():
                return None
            await asyncio.sleep(RETRY_CHECK_SECONDS)

    def _may_go_on(self, choice: RetryChoice) -> bool:
        """Tell whether to look further, with what may be chosen now or soon."""
        if choice is RetryChoice.NONE:
            return self.streaming and self._suspicion_may_fall()
        return self.streaming or self.refusals <= self.job.route.max_attempts

    def _has_patience(self) -> bool:
        """Tell whether to look again after a look in vain."""
        if not self.streaming and not self.attempts:
            return False
        return time.monotonic() < self._patience_end()

    async def _pause(self) -> None:
        """Give servers that refuse requests or connections time to accept them."""
        if self.refusals > self.job.route.max_attempts:
            await asyncio.sleep(AVOID_SECONDS)
        elif self.failed_connects > IMMEDIATE_CONNECTS:
            await asyncio.sleep(RETRY_CHECK_SECONDS)

    async def _claim(self, choice: RetryChoice) -> Claim | None:
        """Claim a chain, and draw on the retry budget; wait if no chain has room."""
        # A connection that failed has cost no server anything.
        is_free = self.failed_connects > 0
        if not is_free and not self._budget_allows():
            self.why_ended = "the retry budget is used up"
            return None
        waiter = self._restricted(choice, self._servers_in_use())
        claim = self.router.claim(waiter, frozenset(self.avoid))
        claim = claim or await self._wait_for_others(waiter)
        claim = claim or await self._wait_for_room(waiter)
        if claim is None or is_free:
            return claim
        if not self._budget().try_withdraw(is_lost=self._seems_lost()):
            self.router.give_back(claim)
            return None
        return claim

    def _restricted(self, choice: RetryChoice, in_use: frozenset[str]) -> Waiter:
        """
        Return the request as one that waits for the chains that it may use.

        :param choice: the servers that may get it.
        :param in_use: IDs of servers that it must not use.
        """
        only = None
        if choice is RetryChoice.SAME:
            only = frozenset(self.ran_on - in_use)
        return replace(
            self.waiter,
            begun=self.may_have_run,
            priority=-1,
            patient=self.streaming,
            avoid=in_use,
            only=only,
        )

    async def _wait_for_others(self, waiter: Waiter) -> Claim | None:
        """
        Wait for servers that refused the request, or are full, to take it.

        Load pattern: one server refuses requests for a moment, and another one breaks
        them off. A request that went straight back to the second one would use up its
        attempts there.
        """
        if not self.rejecting:
            return None
        end = min(time.monotonic() + AVOID_SECONDS, self._patience_end())
        return await self.router.queue.admit(
            replace(waiter, avoid=waiter.avoid | self.rejecting, deadline=end)
        )

    async def _wait_for_room(self, waiter: Waiter) -> Claim | None:
        """Wait for a chain, also one that failed before, ahead of new requests."""
        deadline = self._patience_end()
        self.why_ended = f"no chain had room within {deadline - time.monotonic():.2f} s"
        return await self.router.queue.admit(replace(waiter, deadline=deadline))

    def _patience_end(self) -> float:
        """Return when the caller leaves, or its request ends, monotonic seconds."""
        if self.streaming:
            return self.job.deadline
        last = max(self.events.last_event_at, self.sent_at)
        patience = self.job.route.max_gap - LAST_EVENT_SECONDS
        return min(self.job.deadline, last + patience)

    def _servers_in_use(self) -> frozenset[str]:
        """Return the servers that an attempt beside the silent ones must not use."""
        firsts = {each.chain.first_server.id for each in self.attempts}
        return frozenset(firsts.union(*(each.suspects for each in self.attempts)))

    def _budget_allows(self) -> bool:
        return self._budget().allows(is_lost=self._seems_lost())

    def _seems_lost(self) -> bool:
        now = time.monotonic()
        return seem_lost(attempt.silent_seconds(now) for attempt in self.attempts)

    def _budget(self):
        return self.relay.retry_budget(self.job.service.name)

    def _choose_retry(self) -> RetryChoice:
        route = self.job.route
        return choose_retry(
            RetryStatus(
                idempotent=route.idempotent,
                may_have_run=self.may_have_run,
                streaming=self.streaming,
                is_resumable=route.kind is RouteKind.STREAM,
                is_blocked=self.relay.is_blocked(self.job),
                suspicion=self._suspicion(),
                error_count=self.error_count,
                max_attempts=route.max_attempts,
                possibly_run_on=self._possibly_run_on(),
            )
        )

    def _suspicion(self) -> int:
        """Return how far the request is suspected of having crashed its servers."""
        return sum(
            weight
            for server, broken_at, weight in self.breaks
            if not self._has_outlived(server, broken_at)
        )

    def _has_outlived(self, server: Server, broken_at: float) -> bool:
        """
        Tell whether a server only broke off the response, and works on.

        Load pattern: a server resets the connections of all its callers. Streams that
        have begun come back at once, and are reset again until it takes them.
        """
        if not self.streaming or time.monotonic() - broken_at < AVOID_SECONDS:
            return False
        fleet = self.relay.fleet
        return fleet.is_responding(server) and not fleet.has_run_ended(server)

    def _suspicion_may_fall(self) -> bool:
        """Tell whether a break is too recent to know if its server lives."""
        if not self.breaks:
            return False
        last = max(broken_at for _, broken_at, _ in self.breaks)
        return time.monotonic() - last < AVOID_SECONDS

    def _possibly_run_on(self) -> set[str]:
        ended = {server_id for server_id in self.ran_on if self._has_ended(server_id)}
        running = {each.chain.first_server.id for each in self.attempts}
        return (self.ran_on - ended) | running

    def _has_ended(self, server_id: str) -> bool:
        """
        Tell whether a server has certainly stopped working on the request.

        A server whose connection this entry closed may still work on it, even if it
        refuses new connections: a full server refuses them too.
        """
        server = self.closed_by.get(server_id)
        return server is not None and self.relay.fleet.has_run_ended(server)

    def _describe_attempts(self) -> str:
        """Return what decides whether a retry is allowed, for the event."""
        return (
            f"no retry is allowed after {len(self.job.sent_to)} attempt(s) of "
            f"{self.job.route.max_attempts}, {self.refusals} refusal(s) and "
            f"{self.error_count} error(s), suspicion {self._suspicion()}"
        )

    # final responses

    def _give_up(self) -> None:
        """Abort the stream if it has started, else relay an error or send a verdict."""
        job = self.job
        if self.streaming:
            self.relay.record_end(
                job,
                may_have_run(
                    Reason.RESET,
                    f"the stream broke off and could not be resumed: {self.why_ended}",
                ),
            )
            job.caller.abort()
            return
        response = self.failed.response
        if response is not None:
            head = response.head
            fields = head.headers.forwardable()
            job.caller.respond(head.status, fields, response.body, keep_alive=True)
            verdict = Verdict(ran=RAN, reason=Reason.UPSTREAM_ERROR)
            self.relay.record_end(job, verdict, head.status)
            return
        if self.may_have_run:
            self._respond(may_have_run(Reason.RESET, "no server completed a response"))
            return
        self._respond_overloaded("the servers refused the request or were unreachable")

    def _handle_timeout(self) -> None:
        if self.completed:
            return
        if self.streaming:
            self.relay.record_end(
                self.job,
                may_have_run(Reason.DEADLINE, "the deadline of the request has passed"),
            )
            self.job.caller.abort()
            return
        if not (
            self.may_have_run or any(each.may_have_run() for each in self.attempts)
        ):
            self._respond_overloaded("no server took the request before its deadline")
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

    def _record_recovery(self, attempt: StreamAttempt) -> None:
        seconds = time.monotonic() - self.interrupted_at
        self.interrupted_at = 0.0
        last_id = self.events.last_id
        self.relay.emit(
            StreamRecovered(
                request=self.job.request.id,
                vm=attempt.chain.first_server.id,
                attempt=len(self.job.sent_to),
                means="resume" if attempt.writes == 1 else "wait",
                position=parse_count(last_id) or 0,
                seconds=round(seconds, 3),
            )
        )
