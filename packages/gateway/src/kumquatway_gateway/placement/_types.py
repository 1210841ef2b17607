"""
Types.

What a plan is made from and what it says.
"""

import enum
from dataclasses import dataclass

from kumquatway_gateway.chains import layer_capacity
from kumquatway_gateway.model import Engine, LayerRange, Server


class Purpose(enum.IntEnum):
    """What a move is for, the most urgent first."""

    GAP = 0
    SHRINK = 1
    RELIEF = 2
    DOUBLE = 3


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerSnapshot:
    """
    A server that may hold layers.

    :param layers: what it holds, or will hold once its order is done.
    :param in_use: whether a chain goes through it.
    :param busy: whether it still carries out an order, and takes no other.
    :param slow: whether its work takes much longer than usual.
    :param tokens: of the requests that run through it and go on.
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
    Layers that a server is to hold.

    :param loads: layers that it has to load for that.
    """

    server: Server
    layers: LayerRange
    layers_to_load: int
    purpose: Purpose


def max_layers(engine: Engine, server: ServerSnapshot, tokens: float) -> int:
    """
    Compute how many layers a server can hold beside so much room.

    :param engine: of the service.
    :param slot: of the server, of a known kind of accelerator.
    :param room: for requests, tokens.
    :return: layers.
    """
    kind = engine.accelerator(server.server.accelerator)
    return layer_capacity(engine, kind, tokens)
