"""
Gaps.

How layers that nobody holds are shared out.
"""

import enum
from dataclasses import dataclass

from kumquatway_gateway.model import LayerRange
from kumquatway_gateway.placement._types import Move, Purpose, ServerSnapshot

# Layers in one load of a repair: with fewer, servers end up in crumbs; with more, a
# chain is broken for longer than a second (14 s for 80 layers, site files).
LOAD_LAYERS = 6


class Side(enum.Enum):
    """Where a server stands to a gap."""

    LEFT = "left"
    FREE = "free"
    RIGHT = "right"


@dataclass(frozen=True, kw_only=True, slots=True)
class Offer:
    """
    Layers that a server could take of a gap.

    :param most: how many.
    """

    slot: ServerSnapshot
    most: int
    side: Side


def level(offers: list[Offer], need: int) -> list[int]:
    """
    Fill a gap in loads of a few layers: by empty servers alone where they can.

    Next come servers whose layers others hold too, then the gap's neighbours.

    :param offers: that together are enough.
    :param need: layers of the gap.
    :return: layers for each offer.
    """
    counts = [0] * len(offers)
    groups = (
        [n for n, o in enumerate(offers) if is_empty(o)],
        [n for n, o in enumerate(offers) if o.side is Side.FREE and not is_empty(o)],
        [n for n, o in enumerate(offers) if o.side is not Side.FREE],
    )
    for group in groups:
        most = sum(offers[index].most for index in group)
        share = min(need, most)
        limit = min(LOAD_LAYERS, max(1, -(-share // 2)))
        while share:
            for index in group:
                room = min(limit, offers[index].most) - counts[index]
                take = min(share, max(0, room))
                counts[index] += take
                share -= take
                need -= take
            limit += 1
    return counts


def is_empty(offer: Offer) -> bool:
    """
    Tell whether an offer is of a server that holds nothing.

    :param offer: any offer.
    :return: True if it is.
    """
    return offer.side is Side.FREE and not len(offer.slot.layers)


def fill(offer: Offer, taken: LayerRange) -> Move:
    """
    Make the move by which an offer takes a part of a gap.

    :param offer: of a server.
    :param taken: the part.
    :return: the move.
    """
    layers = taken
    if offer.side is Side.LEFT:
        layers = LayerRange(start=offer.slot.layers.start, stop=taken.stop)
    elif offer.side is Side.RIGHT:
        layers = LayerRange(start=taken.start, stop=offer.slot.layers.stop)
    return Move(
        server=offer.slot.server,
        layers=layers,
        layers_to_load=len(taken),
        purpose=Purpose.GAP,
    )


def hand_out(offers: list[Offer], counts: list[int], start: int) -> list[Move]:
    """
    Make the moves by which offers take layers that adjoin each other.

    :param offers: in the order of their layers.
    :param counts: layers for each offer.
    :param start: the first layer.
    :return: a move for each offer that takes any.
    """
    moves: list[Move] = []
    for offer, count in zip(offers, counts, strict=True):
        if count:
            taken = LayerRange(start=start, stop=start + count)
            moves.append(fill(offer, taken))
            start = taken.stop
    return moves
