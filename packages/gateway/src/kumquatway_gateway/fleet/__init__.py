"""
kumquatway_gateway.fleet.

Which servers there are, what they hold, and which of them are down.
"""

from kumquatway_gateway.fleet._fleet import Fleet, Mark
from kumquatway_gateway.fleet._membership import RETURN_SECONDS, Membership

__all__ = ["RETURN_SECONDS", "Fleet", "Mark", "Membership"]
