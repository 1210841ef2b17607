"""Bounds the number of fields in the heads and trailers of HTTP messages."""

import h11
from h11._receivebuffer import ReceiveBuffer

MAX_HEADER_FIELDS = 256

_extract_lines = ReceiveBuffer.maybe_extract_lines


def _extract_few_lines(buffer: ReceiveBuffer) -> list[bytearray] | None:
    lines = _extract_lines(buffer)
    if lines is not None and len(lines) > 1 + MAX_HEADER_FIELDS:
        lines.clear()  # the error's traceback refers to them
        raise h11.LocalProtocolError(
            f"more than {MAX_HEADER_FIELDS} header fields", error_status_hint=431
        )
    return lines


def install_field_limit() -> None:
    """Make h11 bound the fields; it bounds only their bytes, so patch it."""
    ReceiveBuffer.maybe_extract_lines = _extract_few_lines
