"""Define the input and output of placement planning."""

import enum
from dataclasses import dataclass

from kumquatway_gateway.chains import layer_capacity
from kumquatway_gateway.model import Engine, LayerRange, Server


class Purpose(enum.IntEnum):
    """Purpose of a move, most urgent first."""

    GAP = 0  # load layers that no server holds
    SHRINK = 1  # unload replicated layers to free memory for requests
    RELIEF = 2  # load layers of a server that is slow or short of memory
    DOUBLE = 3  # load a second copy of layers that only one server holds


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerSnapshot:
    """
    State of a server at the time of planning.

    :param server: the server.
    :param layers: layers that it holds, or will hold once its current order is done.
    :param in_use: whether a chain contains it.
    :param busy: whether it is executing an order and accepts no other.
    :param slow: whether its work takes much longer than normal, or it takes fewer
        requests than there are.
    :param used_tokens: tokens of the requests in progress that run through it.
    """

    server: Server
    layers: LayerRange
    in_use: bool = False
    busy: bool = False
    slow: bool = False
    used_tokens: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Move:
    """
    A change of the layers that a server holds.

    :param server: the server.
    :param layers: layers that it is to hold.
    :param layers_to_load: number of those layers that it has to load.
    :param purpose: purpose of the move.
    """

    server: Server
    layers: LayerRange
    layers_to_load: int
    purpose: Purpose


def max_layers(engine: Engine, snapshot: ServerSnapshot, tokens: float) -> int:
    """
    Compute how many layers fit beside a given number of tokens of KV cache.

    :param engine: engine of the service.
    :param snapshot: the server; its accelerator must be known to the engine.
    :param tokens: tokens of KV cache to leave free for requests.
    :return: number of layers.
    """
    accelerator = engine.accelerator(snapshot.server.accelerator)
    return layer_capacity(engine, accelerator, tokens)
