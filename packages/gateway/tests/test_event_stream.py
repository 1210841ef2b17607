"""Tests of where events end, and of which streams were broken off."""

import pytest

from kumquatway_gateway.relay._event_stream import is_inside_event, split_events


class TestBrokenOff:
    """What may follow the last event of a whole stream."""

    @pytest.mark.parametrize(
        "rest", [b"i", b"id: 7\n", b"id: 7\ndata: x", b"data: x\n"]
    )
    def test_part_of_an_event_may_not(self, rest):
        assert is_inside_event(rest)

    @pytest.mark.parametrize("rest", [b"", b"\n", b": end\n", b"\n: e"])
    def test_empty_lines_and_comments_may(self, rest):
        assert not is_inside_event(rest)


class TestSplit:
    """Events of a piece of a stream."""

    def test_each_event_keeps_its_empty_line(self):
        data = b"id: 1\n\nid: 2\ndata: a\n\nid: 3"
        assert list(split_events(data)) == [b"id: 1\n\n", b"id: 2\ndata: a\n\n"]
