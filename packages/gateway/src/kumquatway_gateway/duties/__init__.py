"""
kumquatway_gateway.duties.

What one entry does for all, under a lease.
"""

from kumquatway_gateway.duties._placer import Placer

__all__ = ["Placer"]
