"""
Claims on idempotency keys, so that each key is dispatched at most once.

A request is claimed in the table service before it is dispatched.
"""

from kumquatway_core.claims._claims import Claims
from kumquatway_core.claims._results import (
    AlreadyClaimed,
    Claim,
    ClaimResult,
    Finished,
    Granted,
    Refused,
    WriteResult,
)
from kumquatway_core.claims._rows import Answer, ClaimRow, ClaimState
from kumquatway_core.claims._sweep import RETENTION_SECONDS, ClaimSweeper

__all__ = [
    "RETENTION_SECONDS",
    "Answer",
    "Claim",
    "ClaimResult",
    "ClaimRow",
    "Claims",
    "Finished",
    "Granted",
    "AlreadyClaimed",
    "WriteResult",
    "Refused",
    "ClaimState",
    "ClaimSweeper",
]
