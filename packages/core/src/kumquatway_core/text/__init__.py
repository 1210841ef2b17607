"""
kumquatway_core.text.

The text that operators edit: what it may say, and its check.
"""

from kumquatway_core.text._diff import Change, diff
from kumquatway_core.text._schema import (
    Accelerator,
    Account,
    DataCentre,
    Model,
    Priority,
    Service,
    Text,
)
from kumquatway_core.text._validate import parse, validate

__all__ = [
    "Accelerator",
    "Account",
    "Change",
    "DataCentre",
    "Model",
    "Priority",
    "Service",
    "Text",
    "validate",
    "diff",
    "parse",
]
