"""
kumquatway_gateway.relay.

Relays requests from callers to servers, and their responses back.
"""

from kumquatway_gateway.relay._dialect import (
    Attempt,
    Dialect,
    InvalidRequest,
    ResponseInfo,
)
from kumquatway_gateway.relay._engine_client import (
    EngineClient,
    OrderOutcome,
    ServerReport,
    StalledRequest,
)
from kumquatway_gateway.relay._health import HealthChecker
from kumquatway_gateway.relay._model_router import Claim, ModelRouter
from kumquatway_gateway.relay._plain import PlainRouter
from kumquatway_gateway.relay._relay import Relay
from kumquatway_gateway.relay._retry_choice import SILENCE_SECONDS

__all__ = [
    "SILENCE_SECONDS",
    "ResponseInfo",
    "Claim",
    "Dialect",
    "HealthChecker",
    "EngineClient",
    "ModelRouter",
    "OrderOutcome",
    "PlainRouter",
    "InvalidRequest",
    "Relay",
    "ServerReport",
    "Attempt",
    "StalledRequest",
]
