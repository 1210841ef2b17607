"""Forwards complete events to the caller, across attempts at several servers."""

import copy
import time
from collections.abc import Callable

from kumquatway_core.decoding import parse_count
from kumquatway_gateway.relay._event_stream import (
    find_last_event_end,
    find_status_line,
    has_field,
    split_events,
)

# Of an incomplete event, with what arrives next: may hold the end of an event, or the
# beginning of a status line, that began before.
OVERLAP_BYTES = 8
ID_FIELD = b"id:"
GAP_WEIGHT = 0.1  # of the newest gap in the moving average
INITIAL_GAP_SECONDS = 0.03  # typical gap before any was measured


class EventRelay:
    """
    Forwards the events of one response, whichever servers generate them.

    When another server resumes the stream, incomplete events are dropped, and so are
    numbered events that the caller already has.

    :param write: sends complete events to the caller.
    :param last_id: ID of the last event that the caller has, or "".
    :param clock: monotonic seconds.
    """

    __slots__ = (
        "clock",
        "count",
        "last_event_at",
        "last_id",
        "longest_gap",
        "typical_gap",
        "resuming",
        "is_garbled",
        "has_lost_event",
        "is_inside_event",
        "partial_event",
        "write",
        "last_write_at",
    )

    def __init__(
        self,
        *,
        write: Callable[[bytes], None],
        last_id: str = "",
        clock: Callable[[], float] = time.monotonic,
    ):
        self.write = write
        self.last_id = last_id.encode()
        self.clock = clock
        self.partial_event = bytearray()
        self.is_inside_event = False  # the partial event is more than comments
        self.last_event_at = clock()  # when an event last became complete
        self.last_write_at = self.last_event_at
        self.longest_gap = 0.0  # seconds between two writes to the caller
        self.count = 0  # writes to the caller, each of one or more events
        self.typical_gap = INITIAL_GAP_SECONDS  # moving average, seconds
        self.resuming = False  # until the first new event after a restart
        self.is_garbled = False  # the server sent the head of a response as an event
        self.has_lost_event = False  # one was incomplete, and has not come again

    def restart(self) -> None:
        """Drop an incomplete event, before another server resumes the stream."""
        self.drop_partial_event()
        self.is_garbled = False
        self.resuming = True

    def drop_partial_event(self) -> None:
        """Free an incomplete event, which is lost unless it comes again."""
        if self.has_begun_event():
            self.has_lost_event = True
        self.partial_event = bytearray()
        self.is_inside_event = False

    def has_begun_event(self) -> bool:
        """Tell whether an event that the caller does not have is incomplete."""
        if not self.is_inside_event:
            return False
        lines = self.partial_event[: self.partial_event.rfind(b"\n") + 1]
        return not self.resuming or self._is_new(_last_id(bytes(lines)))

    def fork(self, write: Callable[[bytes], None], *, resuming: bool) -> "EventRelay":
        """
        Return a relay for another response, which goes on after the same event.

        :param write: sends complete events to the caller.
        :param resuming: whether a server may send events that the caller already has.
        :return: a relay that shares nothing with this one.
        """
        other = copy.copy(self)
        other.write = write
        other.partial_event = self.partial_event.copy()
        other.last_event_at = self.clock()
        if resuming:
            other.restart()
        return other

    def feed(self, data: bytes) -> None:
        """
        Process a piece of the response body.

        :param data: bytes that may begin and end anywhere within an event.
        """
        if self.is_garbled:
            return
        start, new = 0, data
        if self.partial_event:  # only what is new is searched
            start = max(0, len(self.partial_event) - OVERLAP_BYTES)
            new = bytes(self.partial_event[start:]) + data
        foreign = find_status_line(new, is_line_start=not start)
        if foreign >= 0:
            self.is_garbled = True
            new = new[:foreign]
        end = find_last_event_end(new)
        if not end:
            self.partial_event[start:] = new
            if self.is_garbled:  # what had arrived of the head seemed to be a field
                new, start, self.is_inside_event = self.partial_event, 0, False
            self.is_inside_event = self.is_inside_event or has_field(
                new, is_line_start=not start
            )
            return
        now = self.clock()
        if self.count:
            self.typical_gap += GAP_WEIGHT * (
                now - self.last_event_at - self.typical_gap
            )
        self.last_event_at = now
        complete = self._take_complete(start, new, end)
        if self.resuming:
            complete = self._new_events(complete)
            if not complete:
                return
        event_id = _last_id(complete)
        if event_id:
            self.last_id = event_id
        self._write(complete, now)

    def _take_complete(self, start: int, new: bytes, end: int) -> bytes:
        """Return the events that are complete, and keep what follows them."""
        complete = bytes(self.partial_event[:start]) + new[:end] if start else new[:end]
        if end < len(new):
            self.partial_event = bytearray(new[end:])
            self.is_inside_event = has_field(self.partial_event)
        elif self.partial_event:
            self.partial_event = bytearray()
            self.is_inside_event = False
        return complete

    def forward(self, data: bytes) -> None:
        """
        Write a piece of a body that is no event stream.

        :param data: any bytes.
        """
        self.last_event_at = self.clock()
        self._write(data, self.last_event_at)

    def _write(self, data: bytes, now: float) -> None:
        if self.count:
            self.longest_gap = max(self.longest_gap, now - self.last_write_at)
        self.last_write_at = now
        self.has_lost_event = False
        self.count += 1
        self.write(data)

    def reset_gap(self) -> None:
        """Start measuring the gap anew, after a pause that the caller caused."""
        self.last_event_at = self.last_write_at = self.clock()

    def _new_events(self, complete: bytes) -> bytes:
        """Return the events that the caller does not have yet."""
        new = [
            event for event in split_events(complete) if self._is_new(_last_id(event))
        ]
        if new:
            self.resuming = False
        return b"".join(new)

    def _is_new(self, event_id: bytes) -> bool:
        number, last_number = parse_count(event_id), parse_count(self.last_id)
        if number is None or last_number is None:
            return True
        return number > last_number


def _last_id(complete: bytes) -> bytes:
    """Return the last event ID in complete events, or b"" if there is none."""
    at = complete.rfind(b"\n" + ID_FIELD)
    if at >= 0:
        at += 1
    elif complete.startswith(ID_FIELD):
        at = 0
    else:
        return b""
    start = at + len(ID_FIELD)
    return complete[start : complete.find(b"\n", start)].strip()
