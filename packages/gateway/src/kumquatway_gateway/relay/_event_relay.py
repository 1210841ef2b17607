"""
Events.

The body of an event stream: whole events go on, a cut one is dropped.
"""

import time
from collections.abc import Callable

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
GAP_WEIGHT = 0.1  # weight of the newest gap in the average
INITIAL_GAP_SECONDS = 0.03  # seconds between events before any was seen


class EventRelay:
    """
    Passes the events of one answer on, over all servers that make them.

    :param write: takes whole events for the caller.
    :param last: id of the last event that the caller has, or "".
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
        self.partial_event = b""
        self.last_event_at = clock()
        self.last_write_at = self.last_event_at
        self.longest_gap = 0.0  # seconds between events as the caller got them
        self.count = 0
        self.typical_gap = INITIAL_GAP_SECONDS
        self.resuming = False

    def restart(self) -> None:
        """Drop a cut event: another server goes on after the last whole one."""
        self.partial_event = b""
        self.resuming = True

    def feed(self, data: bytes) -> None:
        """
        Take a piece of the body.

        :param data: any bytes of it.
        """
        now = self.clock()
        if self.count:
            self.typical_gap += GAP_WEIGHT * (
                now - self.last_event_at - self.typical_gap
            )
        self.last_event_at = now
        if self.partial_event:
            data = self.partial_event + data
        cut = data.rfind(EVENT_END)
        if cut < 0:
            self.partial_event = data
            return
        cut += len(EVENT_END)
        self.partial_event = data[cut:]
        whole = data[:cut] if self.partial_event else data
        if self.resuming:
            whole = self._after_last(whole)
            if not whole:
                return
        found = _last_id(whole)
        if found:
            self.last_id = found
        if self.count:
            self.longest_gap = max(self.longest_gap, now - self.last_write_at)
        self.last_write_at = now
        self.count += 1
        self.write(whole)

    def reset_gap(self) -> None:
        """Begin the gap anew, where it was the caller that did not read."""
        self.last_event_at = self.last_write_at = self.clock()

    def _after_last(self, whole: bytes) -> bytes:
        """Drop events that the caller has already."""
        kept = []
        for event in whole.split(EVENT_END)[:-1]:
            found = _last_id(event + EVENT_END)
            if self._is_new(found):
                kept.append(event + EVENT_END)
        if kept:
            self.resuming = False
        return b"".join(kept)

    def _is_new(self, found: bytes) -> bool:
        if found.isdigit() and self.last_id.isdigit():
            return int(found) > int(self.last_id)
        return True


def _last_id(whole: bytes) -> bytes:
    """Find the id of the last event in whole events."""
    at = whole.rfind(b"\n" + ID_FIELD)
    if at >= 0:
        at += 1
    elif whole.startswith(ID_FIELD):
        at = 0
    else:
        return b""
    start = at + len(ID_FIELD)
    return whole[start : whole.find(b"\n", start)].strip()
