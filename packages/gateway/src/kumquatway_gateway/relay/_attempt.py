"""One run of a request at a chain of model servers."""

import asyncio
import enum
import time
from dataclasses import dataclass

from loguru import logger

from kumquatway_gateway.chains import ChainLoad
from kumquatway_gateway.fleet import AVOID_SECONDS, MAX_PAUSE_SECONDS
from kumquatway_gateway.http1 import (
    Exchange,
    ResponseEnd,
    ResponseFraming,
    ResponseHead,
    Unreachable,
    UpstreamConnection,
)
from kumquatway_gateway.quarantine import Progress
from kumquatway_gateway.relay._chain_activity import ActivitySnapshot, StreamActivity
from kumquatway_gateway.relay._dialect import Attempt, ResponseInfo
from kumquatway_gateway.relay._event_relay import EventRelay
from kumquatway_gateway.relay._event_stream import is_broken_off, is_event_stream
from kumquatway_gateway.relay._model_router import Claim
from kumquatway_gateway.relay._refusal import wait_for_refusal_body
from kumquatway_gateway.relay._stall_detection import (
    MIN_IDLE_SECONDS,
    StallAction,
    StreamStatus,
    choose_stall_action,
)

# Ends of a response that this entry did not cause by closing the connection.
ENDS_BY_SERVER = (ResponseEnd.COMPLETE, ResponseEnd.CLOSED, ResponseEnd.RESET)
BEGINNING_WRITES = 3  # up to here an answer may still be at its beginning
MAX_EVENT_BYTES = 2 * 1024 * 1024  # held back until an event is complete
# Of an error response, or of any other before it is relayed.
MAX_BUFFERED_BYTES = 1024 * 1024


class AttemptOutcome(enum.Enum):
    """How an attempt ended."""

    DONE = "done"
    UNREACHED = "no connection"
    REFUSED = "refused, not run"
    FAILED = "failed"
    TAKEN_BACK = "taken back"  # this entry closed the connection
    CUT = "cut"  # the response ended early, or was not signed


@dataclass(frozen=True, kw_only=True, slots=True)
class ErrorResponse:
    """A complete response of a server with a status other than 200."""

    head: ResponseHead
    body: bytes | bytearray


class StreamAttempt:
    """
    One run of a request at a chain.

    While it is silent it is under suspicion: another attempt may begin beside it, and
    the first of the two that sends an event supersedes the other.

    :param relay: state that all requests share.
    :param stream: the `StreamJob` that it belongs to.
    :param claim: the capacity that it uses, released at its end.
    :param events: relay of the attempt before it, or of the request.
    """

    def __init__(self, *, relay, stream, claim: Claim, events: EventRelay):
        self.relay = relay
        self.stream = stream
        self.job = stream.job
        self.router = stream.router
        self.claim = claim
        self.chain = claim.chain
        self.events = events.fork(self._write, resuming=bool(self.job.sent_to))
        self.connection: UpstreamConnection | None = None
        self.exchange: Exchange | None = None
        self.head: ResponseHead | None = None  # of a response that is relayed
        self.error_response: ErrorResponse | None = None
        self.faulty_server = self.chain.first_server.id  # that refused the request
        self.has_events = False
        self.is_event_stream = False
        self.sent_at = 0.0
        self.estimate = 0.0  # of the seconds that it takes
        self.writes = 0  # to the caller
        self.suspects: frozenset[str] = frozenset()  # servers, while it is silent
        self.superseded = False
        self.recalled = False  # as the request had become blocked
        self.error: Exception | None = None  # of this entry, which ended the attempt
        self.outcome: AttemptOutcome | None = None
        self.has_ended = False  # and holds nothing any more
        self.task: asyncio.Task | None = None

    def start(self) -> None:
        """Connect to the chain's first server and send it the request."""
        self.task = asyncio.get_running_loop().create_task(self._run())
        # A task that is cancelled before its first step runs none of its own code.
        self.task.add_done_callback(self._end)

    def _end(self, task: asyncio.Task) -> None:
        """Give back what the attempt holds, and wake the request."""
        self.has_ended = True
        if self.superseded or task.cancelled():
            self.events.drop_partial_event()
        self.stream.changed.set()
        self._drop_connection()
        if self.exchange is None:
            self.relay.fleet.permits.give_back(self.chain.first_server)
        self.router.release(self.claim)

    def may_have_run(self) -> bool:
        """Tell whether the server may have run the request."""
        not_run = (AttemptOutcome.UNREACHED, AttemptOutcome.REFUSED)
        return self.exchange is not None and self.outcome not in not_run

    def supersede(self) -> None:
        """End the attempt, as another one goes on with the response."""
        self.superseded = True
        self.relay.active_streams.discard(self)
        if not self.suspects:
            self.record_unanswered(broken_off=False)
        if self.connection is None:
            self.task.cancel()
        else:
            self._drop_connection()

    def cancel(self) -> None:
        """End the attempt, as the caller has left or the deadline has passed."""
        if self.outcome is None and not self.suspects:
            self.record_unanswered(broken_off=False)
        self.task.cancel()

    def set_reading(self, enabled: bool) -> None:
        """
        Pause or resume reading from the server.

        :param enabled: True to read, False to pause.
        """
        self.events.reset_gap()
        if self.connection is not None:
            self.connection.set_reading(enabled)

    # the task of the attempt

    async def _run(self) -> None:
        try:
            self.outcome = await self._send_and_relay()
        except Exception as error:
            self.outcome = self._handle_internal_error(error)

    def _handle_internal_error(self, error: Exception) -> AttemptOutcome:
        """Return the outcome of an attempt that an unexpected exception has ended."""
        logger.opt(exception=error).error(
            "an attempt of request {} failed: {!r}", self.job.request.id, error
        )
        if self.exchange is None:
            first = self.chain.first_server.id
            self.relay.record_failure(self.job, first, "internal", repr(error))
            return AttemptOutcome.UNREACHED
        self.error = error
        self.stream.may_have_run = True
        return AttemptOutcome.CUT

    async def _send_and_relay(self) -> AttemptOutcome:
        if not await self._connect() or not self.job.is_awaited():
            return AttemptOutcome.UNREACHED
        self._send()
        self.connection.set_reading(not self.job.caller.writing_paused)
        self.relay.active_streams.add(self)
        try:
            return await self._relay_response()
        finally:
            self.relay.active_streams.discard(self)
            self.relay.record_response(self.exchange)
            first = self.chain.first_server
            self.relay.quarantine.record_end(self.job.features, first.id)

    async def _connect(self) -> bool:
        first = self.chain.first_server
        # On a kept connection, a faulty server may send an earlier refusal once more.
        key = first.id if self.job.route.idempotent else ""
        try:
            self.connection = await self.relay.pool.connect(key, first.address)
        except Unreachable as error:
            self.relay.health_checker.check_server(first)
            self.relay.record_failure(self.job, first.id, "unreachable", str(error))
            return False
        return True

    def _send(self) -> None:
        job = self.job
        first = self.chain.first_server
        attempt = Attempt(
            server=first,
            account=job.account_name,
            seconds_left=job.seconds_left(),
            chain=self.chain,
            last_event_id=self.events.last_id.decode("latin-1"),
            urgent=self.stream.streaming,
        )
        request = job.request
        dialect = self.relay.dialect
        data = dialect.encode(request, attempt)
        job.sent_to.append(first.id)
        self.exchange = Exchange(
            accepts=lambda status, headers: dialect.accepts(request, status, headers),
            max_buffered_bytes=MAX_BUFFERED_BYTES,
        )
        self.sent_at = self.events.last_event_at = time.monotonic()
        load = self.router.loads().get(first.id, ChainLoad())
        self.estimate = self.router.estimate_claim(self.claim, load)
        self._record_route(load)
        self.relay.quarantine.record_start(job.features, first.id)
        self.stream.record_sending(self)
        self.connection.send(self.exchange, data)

    def _record_route(self, load: ChainLoad) -> None:
        self.relay.record_route(
            self.job,
            tuple(stage.server.id for stage in self.chain.stages),
            f"{load.tokens:.0f} of {self.chain.token_capacity:.0f} tokens used, "
            f"{self.estimate:.1f} s expected, {self._describe_limit()}"
            f"fleet generation {self.relay.fleet.generation}, server list "
            f"{time.monotonic() - self.relay.fleet.listed_at:.1f} s old, "
            f"after event {self.events.last_id.decode('latin-1') or 0}",
        )

    def _describe_limit(self) -> str:
        limit = self.relay.fleet.limits.rate(self.chain.first_server)
        return "" if limit is None else f"limit {limit:g} requests/s, "

    async def _relay_response(self) -> AttemptOutcome:
        """Wait for the response, and relay it to the caller if its status is 200."""
        first = self.chain.first_server
        head = await self.exchange.head
        if self.superseded:
            return self._handle_early_end(ResponseEnd.ABANDONED)
        if isinstance(head, ResponseEnd):
            return self._handle_early_end(head)
        info = self.relay.dialect.parse_response(head.status, head.headers)
        self.relay.fleet.record_notice(first, info.notice, self.sent_at)
        self.relay.quarantine.record_answer(first)
        if head.status != 200:
            return await self._handle_error(head, info)
        self.stream.may_have_run = True
        if not info.signed or not self.stream.may_continue_with(head):
            return AttemptOutcome.CUT
        self.head = head
        self.is_event_stream = is_event_stream(self.job.route, head)
        self.exchange.relay_to(self._on_body, MAX_EVENT_BYTES)
        end = await self.exchange.ended
        if self.superseded or end is not ResponseEnd.COMPLETE or self._is_broken_off():
            return self._handle_early_end(end)
        if head.framing is not ResponseFraming.CLOSE:
            self.relay.quarantine.record_survival(self.job.features, self.sent_at)
        self.stream.finish(self)
        return AttemptOutcome.DONE

    def _on_body(self, data: bytes) -> int:
        """Relay a piece of the body; return the size of an event that is incomplete."""
        if self.superseded:
            return 0
        events = self.events
        if self.is_event_stream:
            events.feed(data)
        else:
            events.forward(data)
        if events.is_garbled:
            self.connection.abandon(ResponseEnd.GARBLED)
        return len(events.partial_event)

    def _write(self, data: bytes) -> None:
        """Pass complete events on to the caller."""
        self.writes += 1
        if not self.has_events:
            self.has_events = True
            self.relay.quarantine.record_beginning(self.job.features)
        if self.events.count == 1:
            self.relay.metrics.first_events.observe({}, self.job.age())
            self.router.record_first_event(
                self.chain, self.events.last_event_at - self.sent_at
            )
        self.stream.deliver(self, data)

    def _is_broken_off(self) -> bool:
        """Tell whether the stream ended too early, although its framing is complete."""
        if not self.is_event_stream:
            return False
        # An attempt before it had begun an event that this one should have sent.
        has_lost_event = self.events.has_lost_event or self.stream.events.has_lost_event
        return has_lost_event or is_broken_off(
            self.head.framing,
            has_events=self.has_events,
            rest=self.events.partial_event,
        )

    def _handle_early_end(self, end: ResponseEnd) -> AttemptOutcome:
        """Return the outcome of a response that ended before it was complete."""
        self.stream.may_have_run = True
        if end is ResponseEnd.ABANDONED:
            return AttemptOutcome.TAKEN_BACK
        if end in ENDS_BY_SERVER:
            first = self.chain.first_server
            self.stream.closed_by[first.id] = first
        return AttemptOutcome.CUT

    async def _handle_error(
        self, head: ResponseHead, info: ResponseInfo
    ) -> AttemptOutcome:
        """Read a response with a status other than 200, and return the outcome."""
        if info.not_run:
            await wait_for_refusal_body(self.exchange)
            self._avoid_faulty_server(info)
            return AttemptOutcome.REFUSED
        end = await self.exchange.ended
        self.stream.may_have_run = True
        if end is ResponseEnd.COMPLETE:
            body, self.exchange.body = self.exchange.body, bytearray()
            self.error_response = ErrorResponse(head=head, body=body)
        return AttemptOutcome.FAILED

    def _avoid_faulty_server(self, info: ResponseInfo) -> None:
        """Send no new work for a while to the server that caused a refusal."""
        fleet = self.relay.fleet
        server = fleet.by_address.get(info.faulty_address, self.chain.first_server)
        self.faulty_server = server.id
        pause = min(info.notice.pause_seconds, MAX_PAUSE_SECONDS)
        fleet.avoid(server, max(AVOID_SECONDS, pause))
        self.relay.health_checker.check_accepts_work(server)
        detail = (
            f"refused by {self.chain.first_server.address}, caused by {server.address}"
        )
        self.relay.record_failure(self.job, server.id, "refused", detail)

    def _drop_connection(self) -> None:
        """Close the connection unless its response was read to the end."""
        connection, self.connection = self.connection, None
        if connection is not None and connection.exchange is self.exchange:
            connection.abandon()

    # crashes

    def progress(self) -> Progress:
        """Return how far the server's answer is."""
        if self.writes >= BEGINNING_WRITES:
            return Progress.FLOWING
        if self.head is not None and not self.writes:
            return Progress.BEGINNING
        return Progress.WAITING

    def record_unanswered(self, *, broken_off: bool) -> None:
        """
        Record that the chain did not complete its response to the request.

        :param broken_off: whether a server ended the connection.
        """
        if self.exchange is None:
            return
        self.relay.quarantine.record_unanswered(
            tuple(stage.server for stage in self.chain.stages),
            self.job.features,
            self.sent_at,
            broken_off=broken_off,
            beginning=self.progress() is Progress.BEGINNING,
            recalled=self.recalled,
            attempt=self.job.request.id,
        )

    def recall_if_blocked(self) -> None:
        """End an attempt whose answer has not begun, if the request is now blocked."""
        if self.job.is_trial or self.writes:
            return
        if self.relay.is_blocked(self.job):
            self.recalled = True
            self.connection.abandon()

    # stalls

    def activity(self) -> StreamActivity | None:
        """
        Return when the stream last had an event, for the activity of its chain.

        :return: the activity, or None if the server has sent no event or the caller
            reads too slowly.
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
            self._suspect(frozenset({self.chain.first_server.id}))
        elif action is StallAction.LEAVE_ALL:
            self.relay.chain_pace.record_gap(self.chain, idle, now)
            servers = frozenset(stage.server.id for stage in self.chain.stages)
            self._suspect(servers, action)

    def _stream_status(
        self, idle: float, now: float, activity: ActivitySnapshot
    ) -> StreamStatus:
        chain = self.chain.first_server.id
        return StreamStatus(
            idle_seconds=idle,
            has_events=self.has_events,
            typical_gap=self.events.typical_gap,
            mean_first_event=self.router.mean_first_event(self.chain),
            server_down=bool(self.down_servers()),
            retry_budget_left=self.relay.retry_budget(
                self.job.service.name
            ).remaining_share(),
            chain_streams=activity.stream_count(chain),
            chain_idle_seconds=activity.idle_seconds(chain, now),
            other_chains_idle_seconds=activity.idle_seconds_of_others(chain, now),
            chain_stall_seconds=self.relay.chain_pace.stall_seconds(self.chain, now),
        )

    def down_servers(self) -> list[str]:
        """Return the IDs of the chain's servers that are known to be down."""
        is_responding = self.relay.fleet.is_responding
        return [
            stage.server.id
            for stage in self.chain.stages
            if not is_responding(stage.server)
        ]

    def silent_seconds(self, now: float) -> float:
        """
        Return for how long the attempt has had no event.

        :param now: monotonic seconds.
        :return: seconds; infinite if a server of its chain has certainly ended.
        """
        has_run_ended = self.relay.fleet.has_run_ended
        if any(has_run_ended(stage.server) for stage in self.chain.stages):
            return float("inf")
        return now - self.events.last_event_at

    def _suspect(
        self, servers: frozenset[str], action: StallAction = StallAction.LEAVE
    ) -> None:
        """Let another attempt begin without these servers, and keep this one open."""
        if servers <= self.suspects or not self.stream.may_replace(servers):
            return
        is_first = not self.suspects
        self.suspects |= servers
        if is_first:
            self.record_failure("silence", f"to {action.value}, ")
            self.record_unanswered(broken_off=False)
            if len(servers) > 1 or not self.events.count:
                self.router.record_failure(self.chain)
        self.stream.seek_replacement()

    def clear_suspicion(self) -> None:
        """Take back what the silence of a server that goes on has cost its chain."""
        self.suspects = frozenset()
        self.router.record_recovery(self.chain)

    # events for the log

    def record_failure(self, reason: str, decision: str = "") -> None:
        """
        Emit the event of an attempt that failed or fell silent.

        :param reason: kind of failure.
        :param decision: what was decided by it, before the figures.
        """
        down = self.down_servers()
        idle = (time.monotonic() - self.events.last_event_at) * 1000
        retries = self.relay.retry_budget(self.job.service.name).remaining()
        self.relay.record_failure(
            self.job,
            down[0] if down else self.chain.first_server.id,
            reason,
            f"{decision}after {self.events.count} events, idle for {idle:.0f} ms, "
            f"{len(down)} server(s) of the chain down, {retries:.2f} retries left, "
            f"{self.describe_response()}",
        )

    def describe_response(self) -> str:
        """Return how the response was framed and ended, for an event."""
        partial = len(self.events.partial_event)
        return (
            self.exchange.describe()
            + (f" with {partial} bytes of an incomplete event" if partial else "")
            + (f", internal error {self.error!r}" if self.error else "")
        )
