"""Holds header fields and renders the heads of requests and responses."""

from collections.abc import Iterable
from http import HTTPStatus

from kumquatway_core import VERDICT_HEADER, Verdict

MAX_FIELDS = 256  # of a head and its trailers; each takes the memory of its objects

Field = tuple[bytes, bytes]

# Hop-by-hop fields (RFC 9110, 7.6.1) and framing fields, which are not forwarded.
CONNECTION_FIELDS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)

UPGRADE_FIELDS = frozenset({b"upgrade", b"http2-settings"})

_REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


class Headers:
    """
    The header fields of one message, in order; names are case-insensitive.

    :param fields: names and values as received.
    """

    __slots__ = ("fields",)

    def __init__(self, fields: Iterable[Field] = ()):
        self.fields = list(fields)

    def get(self, name: bytes) -> bytes | None:
        """
        Return the first value of a field.

        :param name: name of the field, in lower case.
        :return: the value, or None if the field is absent.
        """
        for found, value in self.fields:
            if found.lower() == name:
                return value
        return None

    def forwardable(self, without: frozenset[bytes] = frozenset()) -> list[Field]:
        """
        Return the fields to forward to the next hop.

        :param without: names of further fields to leave out, in lower case.
        :return: the fields, in order.
        """
        named = self._named_by_connection()
        return [
            field
            for field in self.fields
            if (name := field[0].lower()) not in CONNECTION_FIELDS
            and name not in without
            and name not in named
        ]

    def _named_by_connection(self) -> frozenset[bytes]:
        value = self.get(b"connection")
        if value is None:
            return frozenset()
        return frozenset(name.strip() for name in value.lower().split(b","))


def without_upgrade(fields: Iterable[Field]) -> list[Field]:
    """
    Leave out the offer to change the protocol of a connection.

    :param fields: header fields of a request.
    :return: all others, and the other options of `Connection`.
    """
    kept = []
    for name, value in fields:
        lower = name.lower()
        if lower in UPGRADE_FIELDS:
            continue
        if lower == b"connection":
            options = [option.strip() for option in value.split(b",")]
            options = [each for each in options if each.lower() not in UPGRADE_FIELDS]
            if not options:
                continue
            value = b", ".join(options)
        kept.append((name, value))
    return kept


def render_request(method: str, target: str, fields: Iterable[Field]) -> bytes:
    """
    Render the head of a request.

    :param method: HTTP method, such as `GET`.
    :param target: path and query.
    :param fields: all header fields, including `Host` and the framing fields.
    :return: the head, including the empty line that ends it.
    """
    start = f"{method} {target} HTTP/1.1\r\n".encode("latin-1")
    return _render(start, fields)


def render_response(status: int, fields: Iterable[Field]) -> bytes:
    """
    Render the head of a response.

    :param status: HTTP status code.
    :param fields: all header fields, including the framing fields.
    :return: the head, including the empty line that ends it.
    """
    reason = _REASONS.get(status, b"Status")
    return _render(b"HTTP/1.1 %d %s\r\n" % (status, reason), fields)


def _render(start: bytes, fields: Iterable[Field]) -> bytes:
    lines = [start]
    lines += [b"%s: %s\r\n" % field for field in fields]
    lines.append(b"\r\n")
    return b"".join(lines)


def verdict_fields(verdict: Verdict) -> list[Field]:
    """
    Return the header fields that tell a caller the outcome of its request.

    :param verdict: the outcome.
    :return: the verdict, and when to come back if it says so.
    """
    fields = [(VERDICT_HEADER.encode(), verdict.header_value().encode())]
    if verdict.retry_after is not None:
        fields.append((b"Retry-After", b"%.2f" % verdict.retry_after))
    return fields
