"""Estimate how long a request takes on a chain that also serves others."""

from kumquatway_gateway.chains._choice import ChainLoad
from kumquatway_gateway.chains._paths import Chain
from kumquatway_gateway.model import Engine


def loaded_request_seconds(
    engine: Engine,
    chain: Chain,
    load: ChainLoad,
    *,
    prompt_tokens: float,
    output_tokens: float,
) -> float:
    """
    Estimate the time from sending a request to the end of its answer.

    Load pattern: a chain with tens of streams. Each step takes longer with each of
    them, and each of them is followed by another one, whose prompt is prefilled between
    the steps of all.

    :param engine: engine of the service.
    :param chain: the chain.
    :param load: its other requests, over all entries.
    :param prompt_tokens: length of the prompt.
    :param output_tokens: highest length of the answer.
    :return: seconds.
    """
    timings = engine.timings
    context_tokens = load.tokens + prompt_tokens + output_tokens
    decode_seconds = (
        timings.step_seconds
        + (load.requests + 1) * timings.seconds_per_sequence
        + context_tokens * timings.seconds_per_context_token
    )
    step_seconds = decode_seconds * chain.step_factor + chain.hop_seconds
    prefilled_tokens = prompt_tokens + load.requests * engine.mean_prompt_tokens
    prefill_seconds = prefilled_tokens / timings.prefill_tokens_per_second
    return output_tokens * step_seconds + prefill_seconds * chain.prefill_factor
