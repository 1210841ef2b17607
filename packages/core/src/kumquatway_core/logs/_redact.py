"""
Redact.

Takes bearer keys out of what is logged.
"""

import re

REPLACEMENT = "[hidden]"

_KEY = re.compile(
    r"""(?P<label>\bbearer\s+|\bauthorization["']?\s*[:=,]\s*["']?(?:bearer\s+)?"""
    r"""|\bapi[-_]?key["']?\s*[:=]\s*["']?)(?P<key>[^\s"',;)}\]]+)""",
    re.IGNORECASE,
)


def redact(text: str) -> str:
    """
    Hide what looks like a bearer key.

    :param text: a line of the log.
    :return: the line with each key replaced.
    """
    return _KEY.sub(rf"\g<label>{REPLACEMENT}", text)
