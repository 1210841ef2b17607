"""
Headers.

Header fields as they came, and the heads of messages as bytes.
"""

from collections.abc import Iterable
from http import HTTPStatus

Field = tuple[bytes, bytes]

# Fields that concern one connection only (RFC 9110, 7.6.1), and framing.
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

_REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


class Headers:
    """
    The fields of one message, in order; names compare without case.

    :param fields: names and values as received.
    """

    __slots__ = ("fields",)

    def __init__(self, fields: Iterable[Field] = ()):
        self.fields = list(fields)

    def get(self, name: bytes) -> bytes | None:
        """
        Give the first value of a field.

        :param name: in lower case.
        :return: the value, or None where the field is absent.
        """
        for found, value in self.fields:
            if found.lower() == name:
                return value
        return None

    def forwardable(self, without: frozenset[bytes] = frozenset()) -> list[Field]:
        """
        Give the fields that pass to the next hop.

        :param without: further names left out, in lower case.
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


def render_request(method: str, target: str, fields: Iterable[Field]) -> bytes:
    """
    Write the head of a request.

    :param method: such as `GET`.
    :param target: path and query.
    :param fields: with `Host` and the framing among them.
    :return: the head with its empty line.
    """
    start = f"{method} {target} HTTP/1.1\r\n".encode("latin-1")
    return _render(start, fields)


def render_response(status: int, fields: Iterable[Field]) -> bytes:
    """
    Write the head of a response.

    :param status: the HTTP status.
    :param fields: with the framing among them.
    :return: the head with its empty line.
    """
    reason = _REASONS.get(status, b"Status")
    return _render(b"HTTP/1.1 %d %s\r\n" % (status, reason), fields)


def _render(start: bytes, fields: Iterable[Field]) -> bytes:
    lines = [start]
    lines += [b"%s: %s\r\n" % field for field in fields]
    lines.append(b"\r\n")
    return b"".join(lines)
