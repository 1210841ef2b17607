"""
kumquatway._demo.

A whole deployment in one process, over stand-ins.
"""

from kumquatway._demo._deployment import Deployment, Layout, Pipeline

__all__ = ["Deployment", "Layout", "Pipeline"]
