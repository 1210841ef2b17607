"""Exchanges state and copies of the store's data between the entries."""

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
