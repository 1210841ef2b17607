"""
kumquatway_gateway.quarantine.

Finds requests that crash each server which takes them, and sends them to none.
"""

from kumquatway_gateway.quarantine._evidence import (
    MAX_SUSPICION,
    Crash,
    Evidence,
    Progress,
    Survivals,
)
from kumquatway_gateway.quarantine._features import features_of
from kumquatway_gateway.quarantine._quarantine import BLOCK_SECONDS, Block, Quarantine
from kumquatway_gateway.quarantine._store import BlockKeeper, BlockSource, StoredBlock

__all__ = [
    "BLOCK_SECONDS",
    "Block",
    "BlockKeeper",
    "BlockSource",
    "Crash",
    "Evidence",
    "MAX_SUSPICION",
    "Progress",
    "Quarantine",
    "StoredBlock",
    "Survivals",
    "features_of",
]
