"""
kumquatway_gateway.fleet.

Tracks the servers, the layers that they hold, and their health.
"""

from kumquatway_gateway.fleet._fleet import ENDED_RETENTION_SECONDS, Fleet, HealthStatus
from kumquatway_gateway.fleet._membership import (
    REREGISTRATION_GRACE_SECONDS,
    Membership,
)

__all__ = [
    "ENDED_RETENTION_SECONDS",
    "REREGISTRATION_GRACE_SECONDS",
    "Fleet",
    "HealthStatus",
    "Membership",
]
