"""
kumquatway_gateway.fleet.

Tracks the servers, the layers that they hold, and their health.
"""

from kumquatway_gateway.fleet._fleet import (
    AVOID_SECONDS,
    ENDED_RETENTION_SECONDS,
    Fleet,
    HealthStatus,
)
from kumquatway_gateway.fleet._gaps import (
    MAX_GAP_AFTER_FAILURE_SECONDS,
    MAX_GAP_IN_GRACE_SECONDS,
    MAX_GAP_SECONDS,
    REREGISTRATION_GRACE_SECONDS,
)
from kumquatway_gateway.fleet._membership import Membership
from kumquatway_gateway.fleet._pauses import MAX_PAUSE_SECONDS, Pauses

__all__ = [
    "AVOID_SECONDS",
    "ENDED_RETENTION_SECONDS",
    "REREGISTRATION_GRACE_SECONDS",
    "Fleet",
    "HealthStatus",
    "MAX_GAP_AFTER_FAILURE_SECONDS",
    "MAX_GAP_IN_GRACE_SECONDS",
    "MAX_GAP_SECONDS",
    "MAX_PAUSE_SECONDS",
    "Membership",
    "Pauses",
]
