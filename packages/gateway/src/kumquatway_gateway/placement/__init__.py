"""
kumquatway_gateway.placement.

Which layers each server should hold.
"""

from kumquatway_gateway.placement._plan import Aim, Move, Slot, plan

__all__ = ["Aim", "Move", "Slot", "plan"]
