"""
Marks.

The shape and the colour of each kind of event.
"""

from collections.abc import Callable
from dataclasses import dataclass

import drawsvg

SIZE = 6  # pixels from the middle of a mark to its edge

Shape = Callable[[float, float], drawsvg.DrawingBasicElement]


@dataclass(frozen=True, kw_only=True, slots=True)
class Mark:
    """
    How a kind is drawn.

    :param shape: draws it around a point.
    :param colour: of the shape.
    """

    shape: Shape
    colour: str


def _outline(*corners: tuple[float, float]) -> Shape:
    def shape(x: float, y: float) -> drawsvg.DrawingBasicElement:
        points = [part for right, down in corners for part in (x + right, y + down)]
        return drawsvg.Lines(*points, close=True)

    return shape


def _circle(x: float, y: float) -> drawsvg.DrawingBasicElement:
    return drawsvg.Circle(x, y, SIZE)


_diamond = _outline((0, -SIZE), (SIZE, 0), (0, SIZE), (-SIZE, 0))
_square = _outline((-SIZE, -SIZE), (SIZE, -SIZE), (SIZE, SIZE), (-SIZE, SIZE))
_up = _outline((0, -SIZE), (SIZE, SIZE), (-SIZE, SIZE))
_down = _outline((0, SIZE), (SIZE, -SIZE), (-SIZE, -SIZE))

MARKS = {
    "process_started": Mark(shape=_up, colour="#666666"),
    "process_stopped": Mark(shape=_down, colour="#666666"),
    "request_started": Mark(shape=_circle, colour="#56b4e9"),
    "request_ended": Mark(shape=_circle, colour="#0072b2"),
    "refused": Mark(shape=_circle, colour="#d55e00"),
    "route_chosen": Mark(shape=_diamond, colour="#0072b2"),
    "stage_failed": Mark(shape=_down, colour="#d55e00"),
    "stream_recovered": Mark(shape=_up, colour="#009e73"),
    "membership_changed": Mark(shape=_square, colour="#cc79a7"),
    "lease_changed": Mark(shape=_square, colour="#e69f00"),
    "configuration_changed": Mark(shape=_square, colour="#009e73"),
    "drain_changed": Mark(shape=_diamond, colour="#cc79a7"),
    "dependency_changed": Mark(shape=_square, colour="#d55e00"),
    "layers_ordered": Mark(shape=_diamond, colour="#e69f00"),
    "chains_changed": Mark(shape=_diamond, colour="#009e73"),
}
