"""Exchanges state and copies of the store's data between the entries."""

from kumquatway_gateway.peers._copies import (
    ConfigurationCopy,
    CopyClient,
    CopyServer,
    ServersCopy,
    decode_gap,
    digest_servers,
    encode_gap,
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
    "decode_gap",
    "digest_servers",
    "encode_gap",
]
