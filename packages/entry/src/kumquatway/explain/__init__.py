"""
kumquatway.explain.

From a request's id and the log lines of all processes to its story and its cause.
"""

from kumquatway.explain._cause import cause
from kumquatway.explain._read import read_records
from kumquatway.explain._story import Story, render, tell

__all__ = ["Story", "cause", "read_records", "render", "tell"]
