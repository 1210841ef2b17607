"""Find chains of servers that hold the whole model, and choose one for a request."""

from kumquatway_gateway.chains._capacity import layer_capacity, token_capacity
from kumquatway_gateway.chains._choice import ChainLoad, choose_chain
from kumquatway_gateway.chains._duration import loaded_request_seconds
from kumquatway_gateway.chains._paths import CandidateServer, Chain, Stage, find_chains

__all__ = [
    "Chain",
    "CandidateServer",
    "ChainLoad",
    "Stage",
    "choose_chain",
    "find_chains",
    "layer_capacity",
    "loaded_request_seconds",
    "token_capacity",
]
