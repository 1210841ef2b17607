"""
kumquatway_agent.service.

The calls of the plain service beside the agent.
"""

from kumquatway_agent.service._caller import ServiceCaller

__all__ = ["ServiceCaller"]
