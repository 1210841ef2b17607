"""
kumquatway_core.toml.

Reads TOML documents into data classes and reports all problems at once.
"""

from kumquatway_core.toml._document import load, read_file
from kumquatway_core.toml._line_index import LineIndex
from kumquatway_core.toml._problem import (
    KeyPath,
    Problem,
    configuration_error,
    format_path,
    format_value,
)
from kumquatway_core.toml._reader import Reader, suggest
from kumquatway_core.toml._rules import (
    Address,
    Digest,
    Name,
    Rule,
    Url,
    describe,
    integer_range,
    positive_number,
)

__all__ = [
    "Address",
    "Digest",
    "LineIndex",
    "Name",
    "KeyPath",
    "Problem",
    "Reader",
    "Rule",
    "Url",
    "positive_number",
    "describe",
    "load",
    "read_file",
    "configuration_error",
    "format_path",
    "format_value",
    "suggest",
    "integer_range",
]
