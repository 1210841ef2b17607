"""Tests of how long an interrupted stream waits for another chain."""

import asyncio
import time
from types import SimpleNamespace

import pytest
from test_gossip import _Clock

from kumquatway_gateway.fleet import Fleet
from kumquatway_gateway.http1 import ConnectionPool, ResponseEnd
from kumquatway_gateway.model import Backend, Route, RouteKind
from kumquatway_gateway.quarantine import Quarantine
from kumquatway_gateway.relay import Relay
from kumquatway_gateway.relay._attempt import StreamAttempt
from kumquatway_gateway.relay._event_relay import EventRelay
from kumquatway_gateway.relay._retry_choice import RetryChoice
from kumquatway_gateway.relay._streams import LAST_EVENT_SECONDS, StreamJob
from kumquatway_gateway.waiting import MAX_WAIT_SECONDS, Waiter


def _route(objective: float = 0.5, gap_objective: float = 0.2) -> Route:
    return Route(
        name="stream",
        host="h",
        prefix="/",
        kind=RouteKind.STREAM,
        backends=(Backend(service="model", weight=1.0),),
        timeout=20.0,
        objective=objective,
        gap_objective=gap_objective,
        max_attempts=2,
        resumable=True,
    )


class TestPatience:
    """The longest pause that callers of a route accept."""

    @pytest.mark.parametrize(
        ("objective", "gap_objective", "seconds"),
        [(0.5, 0.2, 2.0), (0.603, 0.25, 2.412), (0.5, 0.3, 2.4), (0.1, 0.05, 2.0)],
    )
    def test_follows_the_objectives(self, objective, gap_objective, seconds):
        assert _route(objective, gap_objective).max_gap == pytest.approx(seconds)


class TestWaitForAnotherChain:
    """
    A stream whose chain has failed while all others are full.

    Load pattern: a third of the capacity is lost under load. Its streams wait until
    others end; callers accept a longer pause within a stream than before its start.
    """

    def _wait(self, idle: float) -> float:
        """Return for how long a stream that has been idle would wait."""
        admitted: list[Waiter] = []

        async def admit(waiter: Waiter) -> None:
            admitted.append(waiter)

        route = _route(objective=0.603, gap_objective=0.25)
        job = SimpleNamespace(
            route=route,
            deadline=time.monotonic() + route.timeout,
            caller=SimpleNamespace(write_chunk=lambda data: None),
            request=SimpleNamespace(last_event_id=""),
        )
        stream = StreamJob(
            relay=SimpleNamespace(pool=ConnectionPool()),
            router=SimpleNamespace(queue=SimpleNamespace(admit=admit)),
            job=job,
        )
        now = time.monotonic()
        stream.events.last_event_at = now - idle
        first = Waiter(
            account="a", priority=1, tokens=900.0, arrived=now - 3.0, deadline=now - 1.8
        )
        stream.waiter = first
        retry = stream._restricted(RetryChoice.ANY, frozenset())
        asyncio.run(stream._wait_for_room(retry))
        [waiter] = admitted
        assert waiter.priority < first.priority
        return waiter.deadline - now

    def test_lasts_as_long_as_callers_accept(self):
        expected = 2.412 - 0.1 - LAST_EVENT_SECONDS
        assert self._wait(idle=0.1) == pytest.approx(expected, abs=0.05)
        assert expected > MAX_WAIT_SECONDS

    def test_ends_when_the_caller_has_left(self):
        assert self._wait(idle=3.0) < 0


class TestServersThatEnded:
    """
    A server that ended its response counts less toward the attempts of a route.

    Load pattern: a server sends bytes that are no response, and is full or leaving, so
    that it refuses connections too. It may still work on the request.
    """

    @pytest.mark.parametrize("end", list(ResponseEnd))
    def test_a_server_whose_connection_this_entry_closed_does_not(self, end):
        job = SimpleNamespace(sent_to=[])
        stream = SimpleNamespace(job=job, router=None, closed_by={})
        chain = SimpleNamespace(first_server=SimpleNamespace(id="s0"))
        attempt = StreamAttempt(
            relay=None,
            stream=stream,
            claim=SimpleNamespace(chain=chain),
            events=EventRelay(write=lambda data: None),
        )
        attempt._handle_early_end(end)
        ended = (ResponseEnd.COMPLETE, ResponseEnd.CLOSED, ResponseEnd.RESET)
        assert ("s0" in stream.closed_by) is (end in ended)


class _Stream:
    """A stream whose check may fail."""

    def __init__(self, *, fails: bool = False):
        self.fails = fails
        self.job = SimpleNamespace(request=SimpleNamespace(id="r"))
        self.connection = SimpleNamespace(abandon=self._abandon)
        self.abandoned = False
        self.checks = 0

    def _abandon(self) -> None:
        self.abandoned = True

    def activity(self):
        return None

    def prefill_tokens(self) -> float:
        return 0.0

    def check_for_stall(self, now, snapshot) -> None:
        self.checks += 1
        if self.fails:
            raise ZeroDivisionError


class TestErrorInTheCheckOfAStream:
    """An error that one stream causes in the task that checks all of them."""

    def test_ends_no_stream(self):
        clock = _Clock()
        fleet = Fleet(clock=clock)
        relay = Relay(
            dialect=None,
            fleet=fleet,
            pool=None,
            health_checker=None,
            quarantine=Quarantine(fleet=fleet, clock=clock),
            home="a",
            create_retry_budget=lambda: None,
            peer_loads=dict,
            emit=lambda event: None,
            metrics=None,
            clock=clock,
        )
        failing = _Stream(fails=True)
        sound = [_Stream() for _ in range(5)]
        relay.active_streams.update([failing, *sound])
        relay.check_streams()
        assert all(stream.checks == 1 for stream in [failing, *sound])
        assert not any(stream.abandoned for stream in [failing, *sound])
