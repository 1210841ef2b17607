"""
kumquatway_fakes.fleet.

Entries, agents and stand-ins as processes of their own, for tests and benchmarks.
"""

from kumquatway_fakes.fleet._fleet import (
    ADMIN_KEY,
    EngineVM,
    EntryVM,
    Fleet,
    FleetPlan,
    ServiceVM,
    free_address,
)
from kumquatway_fakes.fleet._process import Process

__all__ = [
    "ADMIN_KEY",
    "EngineVM",
    "EntryVM",
    "Fleet",
    "FleetPlan",
    "Process",
    "ServiceVM",
    "free_address",
]
