"""
kumquatway_gateway.fleet.

Which servers there are, what they hold, and which of them are down.
"""

from kumquatway_gateway.fleet._fleet import REMEMBER_SECONDS, Fleet, Mark
from kumquatway_gateway.fleet._membership import RETURN_SECONDS, Membership

__all__ = ["REMEMBER_SECONDS", "RETURN_SECONDS", "Fleet", "Mark", "Membership"]
