"""
kumquatway.duties.

What one entry does for all, under a lease.
"""

from kumquatway.duties._duty import Duty
from kumquatway.duties._orders import Orders
from kumquatway.duties._planner import ORDER_BOUND, Planner

__all__ = ["ORDER_BOUND", "Duty", "Orders", "Planner"]
