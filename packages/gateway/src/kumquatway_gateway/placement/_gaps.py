"""Distribute layers that no server holds among servers."""

import enum
from dataclasses import dataclass

from kumquatway_gateway.model import LayerRange
from kumquatway_gateway.placement._types import Move, Purpose, ServerSnapshot

# Layers that one server loads to repair a gap. Fewer would split the layers into many
# small ranges; more would leave a chain broken for longer than a second (all 80 layers
# load in 14 s in the users' deployments).
REPAIR_LAYERS = 6


class Side(enum.Enum):
    """Position of a server relative to a gap."""

    LEFT = "left"  # its layers end where the gap starts
    FREE = "free"  # its layers, if any, may be replaced
    RIGHT = "right"  # its layers start where the gap ends


@dataclass(frozen=True, kw_only=True, slots=True)
class Offer:
    """
    Layers of a gap that a server can load.

    :param snapshot: the server.
    :param max_layers: maximum number of layers.
    :param side: position of the server relative to the gap.
    """

    snapshot: ServerSnapshot
    max_layers: int
    side: Side


def distribute_layers(offers: list[Offer], need: int) -> list[int]:
    """
    Distribute the layers of a gap so that each server loads only a few.

    Empty servers are used first, then servers whose layers other servers hold too, then
    the neighbours of the gap.

    :param offers: offers that together cover the gap.
    :param need: number of layers in the gap.
    :return: number of layers for each offer.
    """
    counts = [0] * len(offers)
    groups = (
        [index for index, offer in enumerate(offers) if is_empty(offer)],
        [
            index
            for index, offer in enumerate(offers)
            if offer.side is Side.FREE and not is_empty(offer)
        ],
        [index for index, offer in enumerate(offers) if offer.side is not Side.FREE],
    )
    for group in groups:
        available = sum(offers[index].max_layers for index in group)
        remaining = min(need, available)
        limit = min(REPAIR_LAYERS, max(1, -(-remaining // 2)))
        while remaining:
            for index in group:
                free = min(limit, offers[index].max_layers) - counts[index]
                added = min(remaining, max(0, free))
                counts[index] += added
                remaining -= added
                need -= added
            limit += 1
    return counts


def is_empty(offer: Offer) -> bool:
    """
    Return whether the server of an offer holds no layers.

    :param offer: the offer.
    :return: True if the server is empty.
    """
    return offer.side is Side.FREE and not len(offer.snapshot.layers)


def create_move(offer: Offer, loaded: LayerRange) -> Move:
    """
    Create the move with which a server loads a part of a gap.

    :param offer: offer of the server.
    :param loaded: layers of the gap that the server loads.
    :return: the move.
    """
    layers = loaded
    if offer.side is Side.LEFT:
        layers = LayerRange(start=offer.snapshot.layers.start, stop=loaded.stop)
    elif offer.side is Side.RIGHT:
        layers = LayerRange(start=loaded.start, stop=offer.snapshot.layers.stop)
    return Move(
        server=offer.snapshot.server,
        layers=layers,
        layers_to_load=len(loaded),
        purpose=Purpose.GAP,
    )


def create_moves(offers: list[Offer], counts: list[int], start: int) -> list[Move]:
    """
    Create the moves with which servers load consecutive layers.

    :param offers: offers in the order of the layers that they get.
    :param counts: number of layers for each offer.
    :param start: first layer.
    :return: a move for each offer that gets any layers.
    """
    moves: list[Move] = []
    for offer, count in zip(offers, counts, strict=True):
        if count:
            loaded = LayerRange(start=start, stop=start + count)
            moves.append(create_move(offer, loaded))
            start = loaded.stop
    return moves
