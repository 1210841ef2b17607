"""
kumquatway.protect.

Retries, breakers and bounds that keep a fault from spreading.
"""

from kumquatway.protect._backoff import backoff
from kumquatway.protect._breaker import Breaker, BreakerState
from kumquatway.protect._budget import RetryBudget
from kumquatway.protect._groups import Groups
from kumquatway.protect._hedge import HedgePolicy, hedge, hedge_budget
from kumquatway.protect._memory import MemoryBound
from kumquatway.protect._newcomers import Newcomers
from kumquatway.protect._outliers import Outliers
from kumquatway.protect._retry import Avoid, RetryPolicy, retry
from kumquatway.protect._slow_start import slow_start

__all__ = [
    "Avoid",
    "Breaker",
    "BreakerState",
    "Groups",
    "HedgePolicy",
    "MemoryBound",
    "Newcomers",
    "Outliers",
    "RetryBudget",
    "RetryPolicy",
    "backoff",
    "hedge",
    "hedge_budget",
    "retry",
    "slow_start",
]
