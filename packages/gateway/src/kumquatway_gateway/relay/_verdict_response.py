"""
Answers.

The gateway's own answers: a verdict as a response.
"""

from kumquatway_core import HEADER, Verdict
from kumquatway_gateway.http1 import CallerConnection
from kumquatway_gateway.http1._headers import Field

PLAIN_TEXT = (b"Content-Type", b"text/plain; charset=utf-8")


def respond_with_verdict(
    caller: CallerConnection, fields: list[Field], verdict: Verdict
) -> None:
    """
    Answer a request that gets no answer of a server.

    :param caller: who asked.
    :param fields: that each answer carries.
    :param verdict: what became of the request.
    """
    own = [*fields, PLAIN_TEXT, (HEADER.encode(), verdict.header().encode())]
    if verdict.retry_after is not None:
        own.append((b"Retry-After", b"%.2f" % verdict.retry_after))
    body = verdict.detail.encode() + b"\n"
    caller.respond(verdict.status(), own, body, keep_alive=True)
