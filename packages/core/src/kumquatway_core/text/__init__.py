"""
kumquatway_core.text.

Schema, validation and comparison of the text, the TOML document that operators edit.
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
