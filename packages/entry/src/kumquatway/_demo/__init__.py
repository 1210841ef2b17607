"""
kumquatway._demo.

A whole deployment in one process, over stand-ins.
"""

from kumquatway._demo._deployment import Deployment, Layout, Pipeline
from kumquatway._demo._run import run_demo

__all__ = ["Deployment", "Layout", "Pipeline", "run_demo"]
