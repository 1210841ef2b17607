"""
kumquatway.calls.

The calls of plain services that are in flight at this entry.
"""

from kumquatway.calls._calls import Answer, Calls, ServiceAsk
from kumquatway.calls._dispatch import Dispatcher
from kumquatway.calls._guarded import GuardedCalls

__all__ = ["Answer", "Calls", "Dispatcher", "GuardedCalls", "ServiceAsk"]
