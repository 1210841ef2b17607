"""Tests of the hybrid logical clock, the journal of events and its codec."""

import pytest
from hypothesis import given, settings, strategies as st

from kumquatway_core.events import (
    KINDS,
    DrainChanged,
    HybridLogicalClock,
    Journal,
    ProcessStarted,
    RequestEnded,
    RequestStarted,
    RouteChosen,
    decode_page,
    encode_page,
    physical_milliseconds,
)
from kumquatway_core.exceptions import WireError


class TestHybridLogicalClock:
    """Stamps of the hybrid logical clock."""

    @settings(derandomize=True, deadline=None)
    @given(
        steps=st.lists(
            st.tuples(st.integers(0, 1), st.integers(-5, 5), st.booleans()), max_size=40
        )
    )
    def test_stamps_increase_in_each_process_and_with_each_message(self, steps):
        walls = [1000.0, 1000.0]
        drift = 1_000_000  # milliseconds
        clocks = [
            HybridLogicalClock(now=lambda: walls[0], max_drift_ms=drift),
            HybridLogicalClock(now=lambda: walls[1], max_drift_ms=drift),
        ]
        last = [0, 0]
        for process, seconds, send in steps:
            walls[process] += seconds
            stamp = clocks[process].tick()
            assert stamp > last[process]
            last[process] = stamp
            if send:
                other = 1 - process
                received = clocks[other].merge(stamp)
                assert received > stamp and received > last[other]
                last[other] = received

    def test_stamp_far_ahead_is_rejected(self):
        clock = HybridLogicalClock(now=lambda: 1000.0, max_drift_ms=500)
        ahead = HybridLogicalClock(now=lambda: 1000.6)
        stamp = clock.merge(ahead.tick())
        assert clock.rejected_stamps == 1
        assert physical_milliseconds(stamp) == 1_000_000

    def test_stamp_within_the_drift_advances_the_clock(self):
        clock = HybridLogicalClock(now=lambda: 1000.0, max_drift_ms=500)
        remote = HybridLogicalClock(now=lambda: 1000.4).tick()
        assert clock.merge(remote) == remote + 1
        assert clock.rejected_stamps == 0


def make_journal(capacity=100):
    return Journal(
        process="entry-1",
        clock=HybridLogicalClock(now=lambda: 1000.0),
        capacity=capacity,
    )


class TestJournal:
    """The ring buffer of events."""

    def test_full_journal_drops_and_counts_the_oldest_record(self):
        journal = make_journal(capacity=3)
        for _ in range(5):
            journal.emit(DrainChanged(vm="vm-1", state="draining"))
        page = journal.since(1)
        assert journal.dropped == 2
        assert [record.sequence for record in page.records] == [3, 4, 5]
        assert page.missed == 1

    def test_consecutive_pages_have_no_gap(self):
        journal = make_journal()
        for _ in range(7):
            journal.emit(ProcessStarted())
        seen, position = [], 0
        while records := (page := journal.since(position, limit=3)).records:
            seen += [record.sequence for record in records]
            position = page.next
        assert seen == list(range(1, 8))

    def test_sequence_beyond_the_end_returns_no_records(self):
        journal = make_journal()
        journal.emit(ProcessStarted())
        page = journal.since(9)
        assert page.records == () and page.next == 1

    def test_filters_by_request_vm_and_kind(self):
        journal = make_journal()
        journal.emit(RequestStarted(request="a", account="desk", target="m"))
        journal.emit(RouteChosen(request="a", attempt=1, vms=("vm-1", "vm-2")))
        journal.emit(RequestStarted(request="b", account="desk", target="m"))
        journal.emit(DrainChanged(vm="vm-2", state="draining"))

        def sequences(**filters):
            return [record.sequence for record in journal.since(**filters).records]

        assert sequences(request="a") == [1, 2]
        assert sequences(vm="vm-2") == [2, 4]
        assert sequences(kinds=("request_started",)) == [1, 3]
        assert sequences(kinds=("request_started",), request="b") == [3]


class TestCodec:
    """Encoding of pages as JSON."""

    def test_decodes_an_encoded_page(self):
        journal = make_journal()
        journal.emit(RequestEnded(request="a", verdict="ran", status=200))
        journal.emit(RouteChosen(request="a", attempt=1, vms=("vm-1",)))
        page = journal.since()
        assert decode_page(encode_page(page)) == page

    def test_kinds_are_unique(self):
        assert len(set(KINDS)) == len(KINDS)

    @settings(derandomize=True, deadline=None)
    @given(data=st.binary(max_size=60) | st.just(b"[" * 100_000))
    def test_random_bytes_are_refused(self, data):
        with pytest.raises(WireError):
            decode_page(data)
