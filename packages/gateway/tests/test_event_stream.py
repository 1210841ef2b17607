"""Tests of where events end, and of which streams were broken off."""

import pytest

from kumquatway_gateway.http1 import ResponseFraming
from kumquatway_gateway.relay._event_stream import is_broken_off, split_events


@pytest.mark.parametrize("framing", list(ResponseFraming))
class TestBrokenOff:
    """What may follow the last event of a whole stream."""

    @pytest.mark.parametrize(
        "rest", [b"i", b"id: 7\n", b"id: 7\ndata: x", b"data: x\n"]
    )
    def test_part_of_an_event_may_not(self, framing, rest):
        assert is_broken_off(framing, has_events=True, rest=rest)

    @pytest.mark.parametrize("rest", [b"", b"\n", b": end\n", b"\n: e"])
    def test_empty_lines_and_comments_may(self, framing, rest):
        assert not is_broken_off(framing, has_events=True, rest=rest)


class TestStreamWithoutEvents:
    """A stream that ends before its first event."""

    def test_is_broken_off_if_only_its_connection_ended(self):
        assert is_broken_off(ResponseFraming.CLOSE, has_events=False, rest=b"")

    @pytest.mark.parametrize(
        "framing", [ResponseFraming.CHUNKED, ResponseFraming.LENGTH]
    )
    def test_is_complete_if_its_framing_says_so(self, framing):
        assert not is_broken_off(framing, has_events=False, rest=b"")


class TestSplit:
    """Events of a piece of a stream."""

    def test_each_event_keeps_its_empty_line(self):
        data = b"id: 1\n\nid: 2\ndata: a\n\nid: 3"
        assert list(split_events(data)) == [b"id: 1\n\n", b"id: 2\ndata: a\n\n"]
