"""
kumquatway_gateway.peers.

What the entries of a deployment tell each other.
"""

from kumquatway_gateway.peers._copies import (
    Copies,
    Copy,
    CopyServer,
    is_copy_request,
    stamp_servers,
)
from kumquatway_gateway.peers._gossip import Freshness, Gossip, Word

__all__ = [
    "Copies",
    "Copy",
    "CopyServer",
    "Freshness",
    "Gossip",
    "Word",
    "is_copy_request",
    "stamp_servers",
]
