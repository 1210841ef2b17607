"""
kumquatway_gateway.relay.

Requests between callers and servers.
"""

from kumquatway_gateway.relay._dialect import AnswerNote, Dialect, Rejected, Sending
from kumquatway_gateway.relay._doctor import Doctor
from kumquatway_gateway.relay._engines import (
    Engines,
    OrderOutcome,
    Report,
    Stalled,
)
from kumquatway_gateway.relay._models import Claim, ModelRouter
from kumquatway_gateway.relay._plain import PlainRouter
from kumquatway_gateway.relay._relay import Relay

__all__ = [
    "AnswerNote",
    "Claim",
    "Dialect",
    "Doctor",
    "Engines",
    "ModelRouter",
    "OrderOutcome",
    "PlainRouter",
    "Rejected",
    "Relay",
    "Report",
    "Sending",
    "Stalled",
]
