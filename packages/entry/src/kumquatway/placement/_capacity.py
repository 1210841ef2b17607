"""
Capacity.

How many layers a VM can hold and how many tokens a second it can run.

A decode step of B streams through n layers takes n * (layer_us + token_us * B)
microseconds, so that n layers run B / (n * (layer_us + token_us * B)) tokens per
microsecond. Times n, this is the rate of the kind, in layer-tokens per second.
"""

from kumquatway_core.text import Accelerator, Model, Text
from kumquatway_core.wire import Holding

BATCH_STREAMS = 64
KV_RESERVE = 0.2
US_PER_S = 1_000_000
MIB = 1024**2


def rate(accelerator: Accelerator) -> float:
    """
    Work out the speed of a kind at a full batch.

    :param accelerator: the kind.
    :return: layer-tokens per second.
    """
    step_us = accelerator.layer_us + accelerator.token_us * BATCH_STREAMS
    return BATCH_STREAMS / step_us * US_PER_S


def usable_mib(accelerator: Accelerator) -> float:
    """
    Work out the memory for weights, beside the reserve for KV cache.

    :param accelerator: the kind.
    :return: MiB.
    """
    return accelerator.memory_mib * (1 - KV_RESERVE)


def max_layers(accelerator: Accelerator, model: Model) -> int:
    """
    Count the layers of a model that fit on a kind.

    :param accelerator: the kind.
    :param model: the model.
    :return: layers, which may be more than the model has.
    """
    return int(usable_mib(accelerator) // model.layer_mib)


def holdings_mib(holdings: tuple[Holding, ...], text: Text) -> float:
    """
    Add up the weights of holdings.

    :param holdings: of one VM.
    :param text: the text; models it does not name count nothing.
    :return: MiB.
    """
    return sum(
        (holding.end - holding.first) * text.models[holding.model].layer_mib
        for holding in holdings
        if holding.model in text.models
    )
