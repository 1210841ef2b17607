"""
kumquatway_gateway.limits.

Keeps the request rates that servers take from all entries together.
"""

from kumquatway_gateway.limits._issuer import TRIAL_RATE, Issue, PermitIssuer
from kumquatway_gateway.limits._messages import is_permit_message
from kumquatway_gateway.limits._named import MAX_RATE, NamedLimit, NamedLimits
from kumquatway_gateway.limits._permits import PERMIT_SECONDS, Permits
from kumquatway_gateway.limits._ranking import IssuerRanking

__all__ = [
    "MAX_RATE",
    "PERMIT_SECONDS",
    "TRIAL_RATE",
    "Issue",
    "IssuerRanking",
    "NamedLimit",
    "NamedLimits",
    "PermitIssuer",
    "Permits",
    "is_permit_message",
]
