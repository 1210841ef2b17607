"""
kumquatway_gateway.waiting.

Who waits for room, who goes next, and who is refused and told when to return.
"""

from kumquatway_gateway.waiting._budget import RepeatBudget
from kumquatway_gateway.waiting._order import AGING_SECONDS, Waiter, next_waiter
from kumquatway_gateway.waiting._refusal import retry_after
from kumquatway_gateway.waiting._room import MAX_WAIT_SECONDS, WaitingRoom

__all__ = [
    "AGING_SECONDS",
    "MAX_WAIT_SECONDS",
    "RepeatBudget",
    "Waiter",
    "WaitingRoom",
    "next_waiter",
    "retry_after",
]
