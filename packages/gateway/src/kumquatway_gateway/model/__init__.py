"""
kumquatway_gateway.model.

Defines the gateway's data: the configuration, the servers and a caller's request.
"""

from kumquatway_gateway.model._address import parse_address
from kumquatway_gateway.model._configuration import (
    Accelerator,
    Account,
    Backend,
    Configuration,
    DenialReason,
    Engine,
    EngineTimings,
    Limits,
    Route,
    RouteKind,
    Service,
)
from kumquatway_gateway.model._copies import may_be_copy
from kumquatway_gateway.model._request import GenerationSize, Request
from kumquatway_gateway.model._server import (
    NO_LAYERS,
    NO_NOTICE,
    Gap,
    LayerRange,
    LayerReport,
    Server,
    ServerList,
    ServerNotice,
    ServerState,
)

__all__ = [
    "NO_LAYERS",
    "NO_NOTICE",
    "Account",
    "Accelerator",
    "Backend",
    "Configuration",
    "Engine",
    "LayerReport",
    "LayerRange",
    "Limits",
    "EngineTimings",
    "Gap",
    "GenerationSize",
    "DenialReason",
    "Request",
    "Route",
    "RouteKind",
    "Server",
    "ServerList",
    "ServerNotice",
    "ServerState",
    "Service",
    "may_be_copy",
    "parse_address",
]
