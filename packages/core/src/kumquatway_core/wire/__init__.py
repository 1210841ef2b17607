"""
kumquatway_core.wire.

The messages between processes, and their codec.
"""

from kumquatway_core.wire._codec import decode, encode
from kumquatway_core.wire._messages import (
    Ack,
    Beat,
    BeatReply,
    Call,
    CallReply,
    Cancel,
    Drain,
    Holding,
    Load,
    Message,
    Open,
    Order,
    OrderReply,
    Piece,
    Pieces,
    RevisionCopy,
    RevisionSeen,
    Splice,
    Stage,
    Status,
    StepItem,
    Steps,
    Subscribe,
    Trouble,
    VMState,
)

__all__ = [
    "Ack",
    "Beat",
    "BeatReply",
    "Call",
    "CallReply",
    "Cancel",
    "Drain",
    "Holding",
    "Load",
    "Message",
    "Open",
    "Order",
    "OrderReply",
    "Piece",
    "Pieces",
    "RevisionCopy",
    "RevisionSeen",
    "Splice",
    "Stage",
    "Status",
    "StepItem",
    "Steps",
    "Subscribe",
    "Trouble",
    "VMState",
    "decode",
    "encode",
]
