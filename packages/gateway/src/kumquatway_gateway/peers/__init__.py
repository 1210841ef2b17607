"""
kumquatway_gateway.peers.

What the entries of a deployment tell each other.
"""

from kumquatway_gateway.peers._copies import Copies, Copy, CopyServer, is_copy_request
from kumquatway_gateway.peers._gossip import Gossip

__all__ = ["Copies", "Copy", "CopyServer", "Gossip", "is_copy_request"]
