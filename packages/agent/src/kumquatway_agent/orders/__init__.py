"""
kumquatway_agent.orders.

The planner's orders to the engine beside the agent.
"""

from kumquatway_agent.orders._orders import Orders
from kumquatway_agent.orders._usage import covers_stage, in_use

__all__ = ["Orders", "covers_stage", "in_use"]
