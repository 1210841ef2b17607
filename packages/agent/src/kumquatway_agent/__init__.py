"""
kumquatway_agent.

The process beside each upstream.
"""

from kumquatway_agent._agent import Agent
from kumquatway_agent._cli import serve_agent

__all__ = ["Agent", "serve_agent"]
