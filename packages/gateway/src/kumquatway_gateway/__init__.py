"""
kumquatway_gateway.

The entry for engines that run a whole chain behind one request.
"""

from kumquatway_gateway._gateway import Gateway, GatewaySettings, Sources
from kumquatway_gateway._log import open_log
from kumquatway_gateway._sources import (
    ConfigurationDocument,
    ConfigurationSource,
    EntrySource,
    ServerSource,
    StoreCall,
    StoreCallKind,
    StoreCallOutcome,
)

__all__ = [
    "ConfigurationSource",
    "ConfigurationDocument",
    "EntrySource",
    "Gateway",
    "GatewaySettings",
    "ServerSource",
    "Sources",
    "StoreCall",
    "StoreCallKind",
    "StoreCallOutcome",
    "open_log",
]
