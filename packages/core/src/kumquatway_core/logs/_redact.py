"""
Removes bearer keys from log lines.
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
    Replace everything that looks like a bearer key.

    :param text: message or traceback.
    :return: text in which `REPLACEMENT` stands for each key.
    """
    return _KEY.sub(rf"\g<label>{REPLACEMENT}", text)
