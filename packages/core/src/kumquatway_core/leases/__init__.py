"""
kumquatway_core.leases.

Leases in the table service, with fencing numbers.
"""

from kumquatway_core.leases._fence import Fence, OlderNumber
from kumquatway_core.leases._lease import (
    DURATION_SECONDS,
    PLANNER,
    Lease,
    LeaseRow,
    boot_clock,
    read_lease,
)

__all__ = [
    "DURATION_SECONDS",
    "PLANNER",
    "Fence",
    "Lease",
    "LeaseRow",
    "OlderNumber",
    "boot_clock",
    "read_lease",
]
