"""
kumquatway_core.logs.

The log of a process, in a format for people or as JSON, with request IDs.
"""

from kumquatway_core.logs._configure import configure
from kumquatway_core.logs._context import request_context

__all__ = ["configure", "request_context"]
