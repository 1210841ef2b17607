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
    read_lease,
)

__all__ = ["DURATION_SECONDS", "Fence", "Lease", "LeaseRow", "OlderNumber"]
