"""
kumquatway_agent.stage.

One stage of the pipelines: its streams, their steps, and what is passed on.
"""

from kumquatway_agent.stage._batcher import Batcher
from kumquatway_agent.stage._stage import StageRunner
from kumquatway_agent.stage._streams import Refusal, Stream, Streams, Work

__all__ = ["Batcher", "Refusal", "StageRunner", "Stream", "Streams", "Work"]
