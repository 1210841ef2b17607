"""
Finds the ends of events in a stream, and tells whether a stream was broken off.

Lines end with LF or CRLF; an empty line ends an event.
"""

import re
from collections.abc import Iterator

from kumquatway_gateway.http1 import ResponseFraming, ResponseHead
from kumquatway_gateway.model import Route, RouteKind

MEDIA_TYPE = b"text/event-stream"
STATUS_LINE = b"HTTP/1."
Buffer = bytes | bytearray | memoryview
_LF_END = b"\n\n"
_CRLF_END = b"\n\r\n"
_EVENT_END = re.compile(rb"\n\r?\n")
# The beginning of a line that is neither empty nor a comment.
_FIELD_LINE = re.compile(rb"(?:\A|[\r\n])[^:\r\n]")
_FURTHER_FIELD_LINE = re.compile(rb"[\r\n][^:\r\n]")


def is_event_stream(route: Route, head: ResponseHead) -> bool:
    """Tell whether a response is an event stream, by its route or its media type."""
    if route.kind is RouteKind.STREAM:
        return True
    content_type = head.headers.get(b"content-type") or b""
    return content_type.partition(b";")[0].strip().lower() == MEDIA_TYPE


def find_last_event_end(data: bytes) -> int:
    """Return the offset after the last event that ends in `data`, or 0."""
    lf = data.rfind(_LF_END)
    crlf = data.rfind(_CRLF_END)
    if lf > crlf:
        return lf + len(_LF_END)
    return crlf + len(_CRLF_END) if crlf >= 0 else 0


def find_status_line(data: bytes, *, is_line_start: bool = True) -> int:
    """
    Find a line that begins the head of a response.

    No line of an event begins like it, but a faulty server may write an error in the
    middle of a stream.

    :param data: part of a stream.
    :param is_line_start: whether a line begins with the data.
    :return: offset of the line, or -1 if there is none.
    """
    if STATUS_LINE not in data:
        return -1
    if is_line_start and data.startswith(STATUS_LINE):
        return 0
    at = data.find(b"\n" + STATUS_LINE)
    return at + 1 if at >= 0 else -1


def split_events(data: bytes) -> Iterator[bytes]:
    """Yield each event that ends in `data`, with its empty line."""
    start = 0
    for match in _EVENT_END.finditer(data):
        yield data[start : match.end()]
        start = match.end()


def is_broken_off(framing: ResponseFraming, *, has_events: bool, rest: Buffer) -> bool:
    """
    Tell whether a stream ended too early, although its response is complete.

    :param framing: what ended the body. A connection that ends says least: that of a
        process that crashes ends in the same way.
    :param has_events: whether the body held an event.
    :param rest: what followed the last event.
    """
    if has_field(rest):
        return True
    return framing is ResponseFraming.CLOSE and not has_events


def is_body_broken_off(framing: ResponseFraming, body: bytes | bytearray) -> bool:
    """
    Tell whether the whole body of a stream ended too early.

    :param framing: what ended the body.
    :param body: all of it.
    """
    if find_status_line(body) >= 0:
        return True
    end = find_last_event_end(body)
    rest = memoryview(body)[end:]
    return is_broken_off(framing, has_events=end > 0, rest=rest)


def has_field(data: Buffer, *, is_line_start: bool = True) -> bool:
    """
    Tell whether a part of a stream has a line that is neither empty nor a comment.

    What follows the last event, and has one, is part of another event.

    :param data: part of a stream.
    :param is_line_start: whether a line begins with the data.
    """
    pattern = _FIELD_LINE if is_line_start else _FURTHER_FIELD_LINE
    return pattern.search(data) is not None
