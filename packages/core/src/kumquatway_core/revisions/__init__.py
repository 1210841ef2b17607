"""
Revisions of the operators' configuration text, and their replica on each process.

The table service stores the current revision and an audit trail.
"""

from kumquatway_core.revisions._replica import POLL_SECONDS, Replica
from kumquatway_core.revisions._revisions import (
    Accepted,
    EditResult,
    InDoubt,
    Invalid,
    NotStored,
    RacedEdit,
    Revisions,
    Validator,
)
from kumquatway_core.revisions._rows import (
    MAX_AUDIT_RECORDS,
    AuditRecord,
    Head,
    Revision,
)

__all__ = [
    "MAX_AUDIT_RECORDS",
    "POLL_SECONDS",
    "Accepted",
    "AuditRecord",
    "Validator",
    "EditResult",
    "Head",
    "InDoubt",
    "Invalid",
    "NotStored",
    "RacedEdit",
    "Replica",
    "Revision",
    "Revisions",
]
