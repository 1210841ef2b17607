"""
kumquatway_fakes.

Stand-ins for the systems around kumquatway.
"""

from kumquatway_fakes._engine import Engine, Speed, engine_app
from kumquatway_fakes._faults import Faults, Gate
from kumquatway_fakes._model import answer
from kumquatway_fakes._objects import ObjectStore
from kumquatway_fakes._ports import HOST, free_address
from kumquatway_fakes._relay import LinkFaults, Relay
from kumquatway_fakes._service import PlainService, service_app
from kumquatway_fakes._sockets import reset_on_close
from kumquatway_fakes._table import TableService
from kumquatway_fakes._vms import VMListService
from kumquatway_fakes._weights import WeightStore

__all__ = [
    "HOST",
    "Engine",
    "Faults",
    "Gate",
    "LinkFaults",
    "ObjectStore",
    "PlainService",
    "Relay",
    "Speed",
    "TableService",
    "VMListService",
    "WeightStore",
    "answer",
    "engine_app",
    "free_address",
    "reset_on_close",
    "service_app",
]
