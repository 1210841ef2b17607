"""Plan which layers each server should hold."""

from kumquatway_gateway.placement._plan import plan_moves
from kumquatway_gateway.placement._types import Move, Purpose, ServerSnapshot

__all__ = ["Purpose", "Move", "ServerSnapshot", "plan_moves"]
