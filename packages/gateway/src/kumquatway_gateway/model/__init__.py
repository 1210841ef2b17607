"""
kumquatway_gateway.model.

What a gateway knows: the configuration in force, the servers, a caller's request.
"""

from kumquatway_gateway.model._configuration import (
    Accelerator,
    Account,
    Backend,
    Configuration,
    Engine,
    Limits,
    Pace,
    Refused,
    Route,
    RouteKind,
    Service,
)
from kumquatway_gateway.model._request import Prompt, Request
from kumquatway_gateway.model._server import (
    NOTHING,
    Held,
    LayerRange,
    Server,
    ServerState,
)

__all__ = [
    "NOTHING",
    "Account",
    "Accelerator",
    "Backend",
    "Configuration",
    "Engine",
    "Held",
    "LayerRange",
    "Limits",
    "Pace",
    "Prompt",
    "Refused",
    "Request",
    "Route",
    "RouteKind",
    "Server",
    "ServerState",
    "Service",
]
