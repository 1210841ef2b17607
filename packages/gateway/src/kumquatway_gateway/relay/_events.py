"""
Events.

The body of an event stream: whole events go on, a cut one is dropped.
"""

import time
from collections.abc import Callable

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
PACE_MEMORY = 0.1  # weight of the newest gap in the average
FIRST_PACE = 0.03  # seconds between events before any was seen


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
        "heard",
        "last",
        "longest_gap",
        "pace",
        "resumed",
        "tail",
        "write",
        "written",
    )

    def __init__(
        self,
        *,
        write: Callable[[bytes], None],
        last: str = "",
        clock: Callable[[], float] = time.monotonic,
    ):
        self.write = write
        self.last = last.encode()
        self.clock = clock
        self.tail = b""
        self.heard = clock()
        self.written = self.heard
        self.longest_gap = 0.0  # seconds between events as the caller got them
        self.count = 0
        self.pace = FIRST_PACE
        self.resumed = False

    def restart(self) -> None:
        """Drop a cut event: another server goes on after the last whole one."""
        self.tail = b""
        self.resumed = True

    def feed(self, data: bytes) -> None:
        """
        Take a piece of the body.

        :param data: any bytes of it.
        """
        now = self.clock()
        if self.count:
            self.pace += PACE_MEMORY * (now - self.heard - self.pace)
        self.heard = now
        if self.tail:
            data = self.tail + data
        cut = data.rfind(EVENT_END)
        if cut < 0:
            self.tail = data
            return
        cut += len(EVENT_END)
        self.tail = data[cut:]
        whole = data[:cut] if self.tail else data
        if self.resumed:
            whole = self._after_last(whole)
            if not whole:
                return
        found = _last_id(whole)
        if found:
            self.last = found
        if self.count:
            self.longest_gap = max(self.longest_gap, now - self.written)
        self.written = now
        self.count += 1
        self.write(whole)

    def excuse(self) -> None:
        """Begin the gap anew, where it was the caller that did not read."""
        self.heard = self.written = self.clock()

    def _after_last(self, whole: bytes) -> bytes:
        """Drop events that the caller has already."""
        kept = []
        for event in whole.split(EVENT_END)[:-1]:
            found = _last_id(event + EVENT_END)
            if self._is_new(found):
                kept.append(event + EVENT_END)
        if kept:
            self.resumed = False
        return b"".join(kept)

    def _is_new(self, found: bytes) -> bool:
        if found.isdigit() and self.last.isdigit():
            return int(found) > int(self.last)
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
