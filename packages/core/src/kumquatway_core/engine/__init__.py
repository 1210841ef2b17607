"""
kumquatway_core.engine.

The HTTP interface of a model engine that holds ranges of layers.
"""

from kumquatway_core.engine._client import EngineClient, EngineFailure
from kumquatway_core.engine._messages import (
    ALL_STREAMS,
    NO_FREE_SLOT,
    EngineLoad,
    EngineOrder,
    EngineOrderReply,
    EngineState,
    KVExport,
    StepInput,
    StepOutput,
    StepReply,
    StepRequest,
)

__all__ = [
    "ALL_STREAMS",
    "NO_FREE_SLOT",
    "EngineClient",
    "EngineFailure",
    "EngineLoad",
    "EngineOrder",
    "EngineOrderReply",
    "EngineState",
    "KVExport",
    "StepInput",
    "StepOutput",
    "StepReply",
    "StepRequest",
]
