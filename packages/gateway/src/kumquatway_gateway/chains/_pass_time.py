"""Estimate how long a chain that works may send no event to any of its streams."""

from collections.abc import Iterable
from dataclasses import dataclass

from kumquatway_gateway.model import Accelerator, Engine

REFERENCE = Accelerator(
    name="", memory_megabytes=0.0, step_factor=1.0, prefill_factor=1.0
)


@dataclass(frozen=True, kw_only=True, slots=True)
class StageShare:
    """
    The part of a pass that one server runs.

    :param accelerator: kind of its accelerator, or None if it is unknown.
    :param layers: number of layers that it runs.
    :param slowdown: factor by which its work takes longer than normal.
    """

    accelerator: Accelerator | None
    layers: int
    slowdown: float

    def step_factor(self, engine: Engine) -> float:
        """Return the time of its part of a step, in steps of one reference server."""
        kind = self.accelerator or REFERENCE
        return kind.step_factor * self.slowdown * self.layers / engine.layers

    def prefill_factor(self, engine: Engine) -> float:
        """Return the time of its part of a prefill, in those of a reference server."""
        kind = self.accelerator or REFERENCE
        return kind.prefill_factor * self.slowdown * self.layers / engine.layers


def longest_pass_seconds(
    engine: Engine, stages: Iterable[StageShare], tokens: float
) -> float:
    """
    Estimate the longest pass of a chain that works.

    All streams of a chain get their events at the end of a pass. In the longest one,
    each step prefills a whole chunk of prompts beside a full batch.

    :param engine: engine of the service.
    :param stages: the servers of the chain.
    :param tokens: tokens in the KV cache of the chain when it is full.
    :return: seconds, without the time between servers.
    """
    timings = engine.timings
    request_tokens = engine.mean_prompt_tokens + engine.mean_output_tokens
    requests = min(engine.slots, tokens / max(1.0, request_tokens))
    decode_seconds = (
        timings.step_seconds
        + requests * timings.seconds_per_sequence
        + tokens * timings.seconds_per_context_token
    )
    prefill_seconds = timings.prefill_chunk_tokens / timings.prefill_tokens_per_second
    step_seconds = sum(
        decode_seconds * stage.step_factor(engine)
        + prefill_seconds * stage.prefill_factor(engine)
        for stage in stages
    )
    return timings.steps_per_pass * step_seconds
