"""Compute how a server's memory is divided between model layers and KV cache."""

from kumquatway_gateway.model import Accelerator, Engine

BYTES_PER_MEGABYTE = 1e6


def token_capacity(
    engine: Engine, accelerator: Accelerator, held_layers: int, used_layers: int
) -> float:
    """
    Compute how many tokens of KV cache fit beside the layers.

    :param engine: engine of the service.
    :param accelerator: accelerator of the server.
    :param held_layers: number of layers in the server's memory.
    :param used_layers: number of those layers that requests run through.
    :return: tokens, at most the engine's limit.
    """
    free = accelerator.memory_megabytes - held_layers * engine.layer_megabytes
    per_layer = engine.kv_bytes_per_token / engine.layers / BYTES_PER_MEGABYTE
    tokens = free / (per_layer * max(1, used_layers))
    return max(0.0, min(tokens, engine.max_kv_tokens))


def layer_capacity(engine: Engine, accelerator: Accelerator, tokens: float) -> int:
    """
    Compute how many layers fit beside a given number of tokens of KV cache.

    :param engine: engine of the service.
    :param accelerator: accelerator of the server.
    :param tokens: tokens of KV cache to leave free for requests.
    :return: number of layers, rounded down.
    """
    per_layer = engine.kv_bytes_per_token / engine.layers / BYTES_PER_MEGABYTE
    each = engine.layer_megabytes + tokens * per_layer
    return max(0, int(accelerator.memory_megabytes // each))
