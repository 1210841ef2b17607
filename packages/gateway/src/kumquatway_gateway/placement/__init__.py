"""
kumquatway_gateway.placement.

Which layers each server should hold.
"""

from kumquatway_gateway.placement._plan import Move, Slot, plan

__all__ = ["Move", "Slot", "plan"]
