"""
kumquatway_gateway.peers.

What the entries of a deployment tell each other.
"""

from kumquatway_gateway.peers._copies import (
    ConfigurationCopy,
    Copies,
    CopyServer,
    ServersCopy,
    stamp_servers,
)
from kumquatway_gateway.peers._gossip import Freshness, Gossip, Word

__all__ = [
    "ConfigurationCopy",
    "Copies",
    "CopyServer",
    "Freshness",
    "Gossip",
    "ServersCopy",
    "Word",
    "stamp_servers",
]
