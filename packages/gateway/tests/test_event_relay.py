"""Tests of event streams: whole events, once each, over several servers."""

import random

import pytest

from kumquatway_gateway.relay._event_relay import EventRelay

EVENTS = [b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 30)]
WHOLE = b"".join(EVENTS)


class _Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


class _Caller:
    def __init__(self, last: str = ""):
        self.got: list[bytes] = []
        self.clock = _Clock()
        self.relay = EventRelay(write=self.got.append, last_id=last, clock=self.clock)

    @property
    def body(self) -> bytes:
        return b"".join(self.got)


class TestEvents:
    """What reaches a caller."""

    def test_events_that_came_together_leave_in_one_write(self):
        caller = _Caller()
        caller.relay.feed(WHOLE)
        assert caller.got == [WHOLE]
        assert caller.relay.last_id == b"29"

    @pytest.mark.parametrize("seed", range(20))
    def test_any_cutting_gives_the_same(self, seed):
        chance = random.Random(seed)
        caller = _Caller()
        rest = WHOLE
        while rest:
            size = chance.randint(1, 60)
            caller.relay.feed(rest[:size])
            rest = rest[size:]
        assert caller.body == WHOLE
        assert not caller.relay.partial_event

    def test_only_whole_events_go_on(self):
        caller = _Caller()
        caller.relay.feed(EVENTS[0] + EVENTS[1][:5])
        assert caller.body == EVENTS[0]
        assert caller.relay.last_id == b"1"

    @pytest.mark.parametrize("seed", range(20))
    def test_no_piece_twice_or_missing_after_a_failure(self, seed):
        chance = random.Random(seed)
        caller = _Caller()
        for _ in range(4):
            cut = chance.randint(0, len(WHOLE))
            behind = int(caller.relay.last_id or b"0")
            # A server may go on a little before what the caller has.
            start = max(0, behind - chance.randint(0, 2))
            caller.relay.feed(b"".join(EVENTS[start:])[:cut])
            caller.relay.restart()
        caller.relay.feed(b"".join(EVENTS[int(caller.relay.last_id or b"0") :]))
        assert caller.body == WHOLE

    def test_a_caller_that_goes_on(self):
        caller = _Caller(last="7")
        caller.relay.feed(b"".join(EVENTS[7:]))
        assert caller.body == b"".join(EVENTS[7:])

    def test_other_lines_stay_with_their_event(self):
        event = b"weights: 3\nid: 1\ndata: a\ndata: b\n\n"
        caller = _Caller()
        caller.relay.feed(event)
        assert caller.body == event
        assert caller.relay.last_id == b"1"

    def test_events_without_ids_pass(self):
        caller = _Caller()
        caller.relay.feed(b"data: a\n\n")
        caller.relay.restart()
        caller.relay.feed(b"data: b\n\n")
        assert caller.body == b"data: a\n\ndata: b\n\n"

    def test_the_pace_follows_the_gaps(self):
        caller = _Caller()
        for event in EVENTS:
            caller.clock.now += 0.1
            caller.relay.feed(event)
        assert 0.07 < caller.relay.typical_gap <= 0.1
        assert caller.relay.last_event_at == caller.clock.now

    def test_the_longest_gap_is_the_callers(self):
        """The time of a recovery counts, the caller's own pause does not."""
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
