"""Queue requests for free capacity, refuse those that cannot be served in time."""

from kumquatway_gateway.waiting._order import AGING_SECONDS, Waiter, next_waiter
from kumquatway_gateway.waiting._queue import MAX_WAIT_SECONDS, AdmissionQueue
from kumquatway_gateway.waiting._retry_after import retry_after, shutdown_retry_after
from kumquatway_gateway.waiting._retry_budget import RetryBudget
from kumquatway_gateway.waiting._waiting import WaitingRequests

__all__ = [
    "AGING_SECONDS",
    "MAX_WAIT_SECONDS",
    "RetryBudget",
    "Waiter",
    "WaitingRequests",
    "AdmissionQueue",
    "next_waiter",
    "retry_after",
    "shutdown_retry_after",
]
