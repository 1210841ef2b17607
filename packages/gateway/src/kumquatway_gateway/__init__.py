"""
The gateway process (an "entry"), which relays requests to model servers and services.

It sends a model request to the first server of a chain. The engines run the whole chain
behind that one request.
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
