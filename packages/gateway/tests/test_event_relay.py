"""Tests that a caller gets complete events, once each, from several servers."""

import random

import pytest

from kumquatway_gateway.http1 import ResponseFraming
from kumquatway_gateway.relay._event_relay import EventRelay
from kumquatway_gateway.relay._event_stream import is_body_broken_off

EVENTS = [b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 30)]
BODY = b"".join(EVENTS)


class _FakeClock:
    def __init__(self):
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


class _Caller:
    """Records what the event relay writes."""

    def __init__(self, last_id: str = ""):
        self.writes: list[bytes] = []
        self.clock = _FakeClock()
        self.relay = EventRelay(
            write=self.writes.append, last_id=last_id, clock=self.clock
        )

    @property
    def body(self) -> bytes:
        return b"".join(self.writes)


class TestEventRelay:
    """What is written to the caller."""

    def test_events_that_arrive_together_are_written_at_once(self):
        caller = _Caller()
        caller.relay.feed(BODY)
        assert caller.writes == [BODY]
        assert caller.relay.last_id == b"29"

    @pytest.mark.parametrize("seed", range(20))
    def test_body_does_not_depend_on_how_it_is_split(self, seed):
        rng = random.Random(seed)
        caller = _Caller()
        remaining = BODY
        while remaining:
            size = rng.randint(1, 60)
            caller.relay.feed(remaining[:size])
            remaining = remaining[size:]
        assert caller.body == BODY
        assert not caller.relay.partial_event

    def test_only_complete_events_are_written(self):
        caller = _Caller()
        caller.relay.feed(EVENTS[0] + EVENTS[1][:5])
        assert caller.body == EVENTS[0]
        assert caller.relay.last_id == b"1"

    @pytest.mark.parametrize("seed", range(20))
    def test_no_event_is_repeated_or_lost_after_a_failure(self, seed):
        rng = random.Random(seed)
        caller = _Caller()
        for _ in range(4):
            end = rng.randint(0, len(BODY))
            last_id = int(caller.relay.last_id or b"0")
            # A server may repeat a few events that the caller already has.
            start = max(0, last_id - rng.randint(0, 2))
            caller.relay.feed(b"".join(EVENTS[start:])[:end])
            caller.relay.restart()
        caller.relay.feed(b"".join(EVENTS[int(caller.relay.last_id or b"0") :]))
        assert caller.body == BODY

    def test_caller_resumes_after_its_last_event(self):
        caller = _Caller(last_id="7")
        caller.relay.feed(b"".join(EVENTS[7:]))
        assert caller.body == b"".join(EVENTS[7:])

    def test_other_fields_of_an_event_are_kept(self):
        event = b"weights: 3\nid: 1\ndata: a\ndata: b\n\n"
        caller = _Caller()
        caller.relay.feed(event)
        assert caller.body == event
        assert caller.relay.last_id == b"1"

    @pytest.mark.parametrize("seed", range(5))
    def test_events_with_crlf_lines_are_written_as_they_arrive(self, seed):
        size = random.Random(seed).randint(1, 60)
        caller = _Caller()
        body = BODY.replace(b"\n", b"\r\n")
        for start in range(0, len(body), size):
            caller.relay.feed(body[start : start + size])
            whole = body[: start + size].split(b"\r\n\r\n")[:-1]
            assert caller.body == b"".join(event + b"\r\n\r\n" for event in whole)
        assert caller.body == body
        assert caller.relay.last_id == b"29"

    def test_resumed_events_with_crlf_lines_are_not_repeated(self):
        caller = _Caller()
        events = [event.replace(b"\n", b"\r\n") for event in EVENTS]
        caller.relay.feed(b"".join(events[:7]) + events[7][:9])
        caller.relay.restart()
        caller.relay.feed(b"".join(events[5:]))
        assert caller.body == b"".join(events)

    def test_events_without_ids_are_written(self):
        caller = _Caller()
        caller.relay.feed(b"data: a\n\n")
        caller.relay.restart()
        caller.relay.feed(b"data: b\n\n")
        assert caller.body == b"data: a\n\ndata: b\n\n"

    def test_typical_gap_follows_the_gaps(self):
        caller = _Caller()
        for event in EVENTS:
            caller.clock.now += 0.1
            caller.relay.feed(event)
        assert 0.07 < caller.relay.typical_gap <= 0.1
        assert caller.relay.last_event_at == caller.clock.now

    def test_longest_gap_is_measured_for_the_caller(self):
        """The longest gap includes recoveries, but no pause that the caller causes."""
        caller = _Caller()
        caller.relay.feed(b"id: 1\n\n")
        caller.clock.now += 0.5
        caller.relay.restart()
        caller.relay.last_event_at = caller.clock.now
        caller.clock.now += 0.2
        caller.relay.feed(b"id: 2\n\n")
        assert caller.relay.longest_gap == pytest.approx(0.7)
        caller.clock.now += 3.0
        caller.relay.reset_gap()
        caller.clock.now += 0.1
        caller.relay.feed(b"id: 3\n\n")
        assert caller.relay.longest_gap == pytest.approx(0.7)


class TestForeignHead:
    """The head of an error in the middle of a stream was forwarded as an event."""

    HEAD = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"

    @pytest.mark.parametrize("size", [1, 2, 7, 40, 1000])
    def test_is_not_forwarded(self, size):
        written = []
        events = EventRelay(write=written.append)
        data = b"id: 1\ndata: a\n\n" + self.HEAD + b"id: 2\ndata: b\n\n"
        for start in range(0, len(data), size):
            events.feed(data[start : start + size])
        assert b"".join(written) == b"id: 1\ndata: a\n\n"
        assert events.is_garbled

    @pytest.mark.parametrize("rest", [b"", b": waiting\n"])
    @pytest.mark.parametrize("cut", range(1, 7))
    def test_is_no_lost_event_where_it_arrives_in_parts(self, cut, rest):
        events = EventRelay(write=lambda data: None)
        events.feed(b"id: 1\ndata: a\n\n" + rest + self.HEAD[:cut])
        events.feed(self.HEAD[cut:])
        assert events.is_garbled
        assert not events.has_begun_event()
        events.restart()
        assert not events.has_lost_event

    def test_text_that_names_the_protocol_is_forwarded(self):
        written = []
        events = EventRelay(write=written.append)
        data = b"id: 1\ndata: HTTP/1.1 is old\n\n"
        events.feed(data)
        assert b"".join(written) == data
        assert not events.is_garbled

    def test_a_body_with_one_is_broken_off(self):
        body = b"id: 1\ndata: a\n\n"
        assert not is_body_broken_off(ResponseFraming.CLOSE, body)
        assert is_body_broken_off(ResponseFraming.CLOSE, body + self.HEAD)
