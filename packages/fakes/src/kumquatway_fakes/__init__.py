"""
kumquatway_fakes.

Stand-ins for the systems around kumquatway.
"""

from kumquatway_fakes._faults import Faults, Gate
from kumquatway_fakes._objects import ObjectStore
from kumquatway_fakes._table import TableService
from kumquatway_fakes._vms import VMListService
from kumquatway_fakes._weights import WeightStore

__all__ = [
    "Faults",
    "Gate",
    "ObjectStore",
    "TableService",
    "VMListService",
    "WeightStore",
]
