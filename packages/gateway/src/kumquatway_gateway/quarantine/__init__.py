"""
kumquatway_gateway.quarantine.

Finds requests that crash each server which takes them, and sends them to none.
"""

from kumquatway_gateway.quarantine._blocks import Blocks, BlockState
from kumquatway_gateway.quarantine._evidence import Crash, Evidence, Suspect
from kumquatway_gateway.quarantine._features import MAX_FEATURE_LENGTH, features_of
from kumquatway_gateway.quarantine._progress import MAX_SUSPICION, Progress
from kumquatway_gateway.quarantine._quarantine import Quarantine
from kumquatway_gateway.quarantine._store import BlockKeeper, BlockSource, StoredBlock
from kumquatway_gateway.quarantine._traffic import Traffic

__all__ = [
    "BlockKeeper",
    "BlockSource",
    "BlockState",
    "Blocks",
    "Crash",
    "Evidence",
    "MAX_FEATURE_LENGTH",
    "MAX_SUSPICION",
    "Progress",
    "Quarantine",
    "StoredBlock",
    "Suspect",
    "Traffic",
    "features_of",
]
