"""
Capacity.

How a server's memory is shared between layers and requests.
"""

from kumquatway_gateway.model import Accelerator, Engine

BYTES_PER_MEGABYTE = 1e6


def token_capacity(
    engine: Engine, accelerator: Accelerator, held_layers: int, used_layers: int
) -> float:
    """
    Compute how many tokens of requests fit beside the layers.

    :param engine: of the service.
    :param accelerator: of the server.
    :param held: layers in its memory.
    :param used: layers of it that the requests run through.
    :return: tokens, at most what the engine takes.
    """
    free = accelerator.memory_megabytes - held_layers * engine.layer_megabytes
    per_layer = engine.kv_bytes_per_token / engine.layers / BYTES_PER_MEGABYTE
    tokens = free / (per_layer * max(1, used_layers))
    return max(0.0, min(tokens, engine.max_kv_tokens))


def layer_capacity(engine: Engine, accelerator: Accelerator, tokens: float) -> int:
    """
    Compute how many layers a server can hold beside so many tokens.

    :param engine: of the service.
    :param accelerator: of the server.
    :param tokens: room that must be left for requests.
    :return: layers, never more than fit.
    """
    per_layer = engine.kv_bytes_per_token / engine.layers / BYTES_PER_MEGABYTE
    each = engine.layer_megabytes + tokens * per_layer
    return max(0, int(accelerator.memory_megabytes // each))
