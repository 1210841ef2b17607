"""
Leases in the table service, with fencing numbers.

A lease lets one process at a time act for the whole deployment.
"""

from kumquatway_core.leases._fence import Fence, StaleNumber
from kumquatway_core.leases._lease import (
    DURATION_SECONDS,
    PLANNER_LEASE,
    Lease,
    LeaseRow,
    boot_clock,
    read_lease,
)

__all__ = [
    "DURATION_SECONDS",
    "PLANNER_LEASE",
    "Fence",
    "Lease",
    "LeaseRow",
    "StaleNumber",
    "boot_clock",
    "read_lease",
]
