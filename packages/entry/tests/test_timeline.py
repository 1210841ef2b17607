"""Tests of the time line."""

import io
from xml.etree import ElementTree

import pytest
from rich.console import Console

from kumquatway.timeline import draw, merge, table
from kumquatway.timeline._lanes import MAX_DRAWN
from kumquatway.timeline._marks import MARKS
from kumquatway_core.events import (
    KINDS,
    DrainChanged,
    HybridLogicalClock,
    Journal,
    RequestEnded,
    RequestStarted,
    RouteChosen,
    StageFailed,
    kind_of,
)
from kumquatway_core.exceptions import ConfigurationError


class Session:
    """A request over an entry and an agent whose wall clock is behind."""

    def __init__(self):
        self.wall = 1_700_000_000.0
        self.entry = Journal(
            process="entry-1", clock=HybridLogicalClock(now=lambda: self.wall)
        )
        self.agent = Journal(
            process="vm-1", clock=HybridLogicalClock(now=lambda: self.wall - 5)
        )
        self.entry.emit(RequestStarted(request="a", account="desk", target="m"))
        self.entry.emit(RouteChosen(request="a", attempt=1, vms=("vm-1", "vm-2")))
        self.agent.clock.merge(self.entry.clock.tick())
        self.agent.emit(
            StageFailed(request="a", attempt=1, stage=0, reason="reset", vm="vm-1")
        )
        self.entry.clock.merge(self.agent.clock.tick())
        self.wall += 0.25
        self.entry.emit(
            RequestEnded(request="a", verdict="ran", status=200, detail="[b]<x>")
        )
        self.agent.emit(DrainChanged(vm="vm-2", state="draining"))

    def records(self, **filters):
        journals = [self.agent.records, self.entry.records, self.entry.records]
        return merge(journals, **filters)


def kinds_of(records):
    return [kind_of(record.event) for record in records]


class TestMerge:
    """One order over all processes."""

    def test_cause_stands_before_effect_in_spite_of_the_wall_clocks(self):
        assert kinds_of(Session().records(request="a")) == [
            "request_started",
            "route_chosen",
            "stage_failed",
            "request_ended",
        ]

    def test_filters(self):
        session = Session()
        assert kinds_of(session.records(vm="vm-2")) == ["route_chosen", "drain_changed"]
        assert kinds_of(session.records(kinds=("refused",))) == []
        assert len(session.records()) == 5

    def test_an_unknown_kind_is_refused_with_the_nearest(self):
        with pytest.raises(ConfigurationError, match="stage_failed"):
            Session().records(kinds=("stage_fail",))


class TestTable:
    """The time line as rows."""

    def test_rows_show_time_values_and_detail_literally(self):
        console = Console(width=200, record=True, file=io.StringIO())
        console.print(table(Session().records()))
        shown = console.export_text()
        assert "2023-11-14 22:13:20.250" in shown
        assert "verdict=ran status=200" in shown
        assert "([b]<x>)" in shown
        assert "attempt=1 vms=vm-1 > vm-2" in shown


class TestLanes:
    """The time line as lanes."""

    def test_every_kind_has_its_own_mark(self):
        assert set(MARKS) == set(KINDS)
        looks = {(mark.shape, mark.colour) for mark in MARKS.values()}
        assert len(looks) == len(MARKS)

    def test_the_page_has_a_lane_for_each_process_and_a_title_for_each_event(self):
        page = ElementTree.fromstring(draw(Session().records()))
        shown = [element.text for element in page.iter() if element.text]
        assert "entry-1" in shown and "vm-1" in shown
        assert "+0.250 s" in shown
        titles = [text for text in shown if text.startswith("2023-11-14")]
        assert len(titles) == 5
        assert any("([b]<x>)" in title for title in titles)

    def test_very_many_events_are_bounded(self):
        journal = Journal(
            process="entry-1", clock=HybridLogicalClock(now=lambda: 1000.0)
        )
        for _ in range(MAX_DRAWN + 5):
            journal.emit(DrainChanged(vm="vm-1", state="draining"))
        page = draw(merge([journal.records]))
        assert "5 older ones left out" in page
        assert page.count("drain_changed") == MAX_DRAWN

    def test_no_event_gives_a_page_too(self):
        assert "no events" in draw(())
