"""
kumquatway_gateway.duties.

Runs the duties that one entry performs for all entries while it holds a lease.
"""

from kumquatway_gateway.duties._placer import Placer

__all__ = ["Placer"]
