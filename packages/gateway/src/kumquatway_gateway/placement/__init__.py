"""
kumquatway_gateway.placement.

Which layers each server should hold.
"""

from kumquatway_gateway.placement._plan import plan
from kumquatway_gateway.placement._types import Aim, Move, Slot

__all__ = ["Aim", "Move", "Slot", "plan"]
