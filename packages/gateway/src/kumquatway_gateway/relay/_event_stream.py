"""
Finds the ends of events in a stream, and tells whether a stream was broken off.

Lines end with LF or CRLF; an empty line ends an event.
"""

import re
from collections.abc import Iterator

from kumquatway_gateway.http1 import ResponseFraming, ResponseHead

MEDIA_TYPE = b"text/event-stream"
_LF_END = b"\n\n"
_CRLF_END = b"\n\r\n"
_EVENT_END = re.compile(rb"\n\r?\n")
_COMMENT = b":"


def is_event_stream(head: ResponseHead) -> bool:
    """Tell whether the header fields of a response announce an event stream."""
    content_type = head.headers.get(b"content-type") or b""
    return content_type.partition(b";")[0].strip().lower() == MEDIA_TYPE


def find_last_event_end(data: bytes) -> int:
    """Return the offset after the last event that ends in `data`, or 0."""
    lf = data.rfind(_LF_END)
    crlf = data.rfind(_CRLF_END)
    if lf > crlf:
        return lf + len(_LF_END)
    return crlf + len(_CRLF_END) if crlf >= 0 else 0


def split_events(data: bytes) -> Iterator[bytes]:
    """Yield each event that ends in `data`, with its empty line."""
    start = 0
    for match in _EVENT_END.finditer(data):
        yield data[start : match.end()]
        start = match.end()


def is_broken_off(framing: ResponseFraming, *, has_events: bool, rest: bytes) -> bool:
    """
    Tell whether a stream ended too early, although its response is complete.

    :param framing: what ended the body. A connection that ends says least: that of a
        process that crashes ends in the same way.
    :param has_events: whether the body held an event.
    :param rest: what followed the last event.
    """
    if _is_inside_event(rest):
        return True
    return framing is ResponseFraming.CLOSE and not has_events


def _is_inside_event(rest: bytes) -> bool:
    return any(line and not line.startswith(_COMMENT) for line in rest.splitlines())
