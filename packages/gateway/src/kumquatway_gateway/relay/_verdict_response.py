"""
Responses that the gateway sends on its own behalf, made from a verdict.
"""

from kumquatway_core import Verdict
from kumquatway_gateway.http1 import CallerConnection
from kumquatway_gateway.http1._headers import Field, verdict_fields

PLAIN_TEXT = (b"Content-Type", b"text/plain; charset=utf-8")


def respond_with_verdict(
    caller: CallerConnection, fields: list[Field], verdict: Verdict
) -> None:
    """
    Respond to a request for which no response of a server can be relayed.

    :param caller: connection of the caller.
    :param fields: header fields that every response of the gateway carries.
    :param verdict: outcome of the request; decides the status and `Retry-After`.
    """
    response_fields = [*fields, PLAIN_TEXT, *verdict_fields(verdict)]
    body = verdict.detail.encode() + b"\n"
    caller.respond(verdict.status(), response_fields, body, keep_alive=True)
