"""
kumquatway_gateway.chains.

Chains of servers that hold the whole model, what they can carry, and which to take.
"""

from kumquatway_gateway.chains._capacity import layers_within, room_tokens
from kumquatway_gateway.chains._choice import Load, choose
from kumquatway_gateway.chains._paths import Chain, Holder, Part, find_chains

__all__ = [
    "Chain",
    "Holder",
    "Load",
    "Part",
    "choose",
    "find_chains",
    "layers_within",
    "room_tokens",
]
