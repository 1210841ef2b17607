"""Clients and messages of the platform's table service, object store and VM list."""

import importlib
from typing import TYPE_CHECKING

from kumquatway_core.platform._generation import (
    FIRST_GENERATION,
    GENERATION_HEADER,
    UNKNOWN_GENERATION,
    GenerationTracker,
)
from kumquatway_core.platform._messages import (
    ABSENT,
    VM,
    Committed,
    Conflicts,
    Expectation,
    Key,
    ObjectNames,
    Put,
    ReadRequest,
    Refusal,
    Row,
    Rows,
    ScanRequest,
    Transaction,
    VMKind,
    VMs,
)

if TYPE_CHECKING:
    from kumquatway_core.platform._channel import Channel
    from kumquatway_core.platform._group import (
        Applied,
        Change,
        GroupCommit,
        Outcome,
        Raced,
        Unapplied,
        Unknown,
    )
    from kumquatway_core.platform._objects import Objects
    from kumquatway_core.platform._table import Table
    from kumquatway_core.platform._vms import VMList

# Clients are imported on first use: they need an HTTP library, and a process that
# uses another kind of store needs the messages only.
_CLIENT_MODULES = {
    "Applied": "_group",
    "Change": "_group",
    "Channel": "_channel",
    "GroupCommit": "_group",
    "Objects": "_objects",
    "Outcome": "_group",
    "Raced": "_group",
    "Table": "_table",
    "Unapplied": "_group",
    "Unknown": "_group",
    "VMList": "_vms",
}

__all__ = [
    "ABSENT",
    "FIRST_GENERATION",
    "GENERATION_HEADER",
    "UNKNOWN_GENERATION",
    "VM",
    "Applied",
    "Change",
    "Channel",
    "Committed",
    "Conflicts",
    "Expectation",
    "GenerationTracker",
    "GroupCommit",
    "Key",
    "ObjectNames",
    "Objects",
    "Outcome",
    "Put",
    "Raced",
    "ReadRequest",
    "Refusal",
    "Row",
    "Rows",
    "ScanRequest",
    "Table",
    "Transaction",
    "Unapplied",
    "Unknown",
    "VMKind",
    "VMList",
    "VMs",
]


def __getattr__(name: str):
    """Import a client on first use."""
    if name not in _CLIENT_MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    module = importlib.import_module(f"{__name__}.{_CLIENT_MODULES[name]}")
    return getattr(module, name)
