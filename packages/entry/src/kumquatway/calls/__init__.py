"""
kumquatway.calls.

The calls of plain services that are in flight at this entry.
"""

from kumquatway.calls._calls import Answer, Calls, ServiceAsk

__all__ = ["Answer", "Calls", "ServiceAsk"]
