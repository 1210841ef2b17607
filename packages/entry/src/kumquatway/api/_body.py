"""
Body.

Reads a request's body within its bounds.
"""

import re

import anyio
import numpy as np
from starlette.requests import ClientDisconnect, Request

from kumquatway.api._errors import bad_request
from kumquatway_core import Reason, Verdict, not_run

KIB = 1024  # bytes
BODY_SECONDS = 60.0  # for a body to arrive

# It takes an open string to the end: a scan from each quote would be quadratic.
_STRING = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"?', re.DOTALL)
_BRACKETS = b"[]{}"
_OTHERS = bytes(set(range(256)) - set(_BRACKETS))
_STEPS = np.zeros(256, dtype=np.int8)
_STEPS[list(b"[{")] = 1
_STEPS[list(b"]}")] = -1


async def read_body(
    request: Request, kib: int, *, seconds: float = BODY_SECONDS
) -> bytes | Verdict:
    """
    Read a body.

    :param request: of the caller.
    :param kib: bound on the body, KiB.
    :param seconds: bound on its arrival.
    :return: the bytes, or the verdict.
    """
    bound = kib * KIB
    too_large = not_run(Reason.TOO_LARGE, f"the body has over {kib} KiB")
    announced = request.headers.get("content-length", "")
    if announced.isdecimal() and int(announced) > bound:
        return too_large
    try:
        with anyio.fail_after(seconds):
            body = await _collect(request, bound)
    except ClientDisconnect:
        return not_run(Reason.CANCELLED, "the caller went away")
    except TimeoutError:
        detail = f"the body did not arrive within {seconds:g} s"
        return not_run(Reason.DEADLINE, detail)
    return too_large if body is None else body


def check_depth(body: bytes, bound: int) -> Verdict | None:
    """
    Check how deep a JSON document nests, before it is decoded.

    :param body: the document.
    :param bound: levels allowed.
    :return: None, or the verdict.
    """
    if body.count(b"[") + body.count(b"{") <= bound:
        return None
    brackets = _STRING.sub(b"", body).translate(None, _OTHERS)
    steps = _STEPS[np.frombuffer(brackets, dtype=np.uint8)]
    depth = np.cumsum(steps, dtype=np.int32).max(initial=0)
    if depth > bound:
        return bad_request(f"the JSON nests deeper than {bound} levels")
    return None


async def _collect(request: Request, bound: int) -> bytes | None:
    """Join the chunks of a body; None if it is over its bound."""
    chunks = []
    size = 0
    async for chunk in request.stream():
        size += len(chunk)
        if size > bound:
            return None
        chunks.append(chunk)
    return b"".join(chunks)
