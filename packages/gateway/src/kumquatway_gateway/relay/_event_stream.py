"""Finds the ends of events in a stream, and tells whether a stream was broken off."""

from collections.abc import Iterator

from kumquatway_gateway.http1 import ResponseFraming, ResponseHead

MEDIA_TYPE = b"text/event-stream"
_EVENT_END = b"\n\n"
_COMMENT = b":"


def is_event_stream(head: ResponseHead) -> bool:
    """Tell whether the header fields of a response announce an event stream."""
    content_type = head.headers.get(b"content-type") or b""
    return content_type.partition(b";")[0].strip().lower() == MEDIA_TYPE


def find_last_event_end(data: bytes) -> int:
    """Return the offset after the last event that ends in `data`, or 0."""
    at = data.rfind(_EVENT_END)
    return at + len(_EVENT_END) if at >= 0 else 0


def split_events(data: bytes) -> Iterator[bytes]:
    """Yield each event that ends in `data`, with its empty line."""
    for event in data.split(_EVENT_END)[:-1]:
        yield event + _EVENT_END


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
