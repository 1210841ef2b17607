"""
kumquatway_gateway.peers.

What the entries of a deployment tell each other.
"""

from kumquatway_gateway.peers._copies import (
    ConfigurationCopy,
    CopyClient,
    CopyServer,
    ServersCopy,
    digest_servers,
)
from kumquatway_gateway.peers._gossip import Freshness, Gossip, GossipMessage

__all__ = [
    "ConfigurationCopy",
    "CopyClient",
    "CopyServer",
    "Freshness",
    "Gossip",
    "ServersCopy",
    "GossipMessage",
    "digest_servers",
]
