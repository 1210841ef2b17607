"""
Lanes.

The time line as an SVG page: a lane for each process, a mark for each event.
"""

from collections.abc import Sequence
from dataclasses import dataclass

import drawsvg

from kumquatway.timeline._marks import MARKS
from kumquatway.timeline._words import show_event, show_time
from kumquatway_core.events import Record, kind_of, physical_milliseconds

MAX_DRAWN = 2000  # records
MAX_JOINED = 12  # requests whose marks are joined by a line

MARGIN = 20  # pixels
TEXT = 12  # pixels
LANE = 44  # pixels
LEGEND_ROW = 22  # pixels
LEGEND_COLUMN = 190  # pixels
LEGEND_COLUMNS = 4
LETTER = 7.2  # pixels, the width of a letter at most
MIN_WIDTH = 2 * MARGIN + LEGEND_COLUMN * LEGEND_COLUMNS  # pixels
MIN_STEP = 16  # pixels between neighbours
MAX_STEP = 120  # pixels between neighbours
PIXELS_PER_MS = 0.2
TICK_GAP = 90  # pixels between times

_MS_PER_SECOND = 1000
_FONT = "sans-serif"
_DARK = "#222222"
_LIGHT = "#dddddd"


@dataclass(frozen=True, kw_only=True, slots=True)
class _Place:
    record: Record
    x: float
    y: float


def draw(records: Sequence[Record]) -> str:
    """
    Draw merged records.

    Time runs to the right and is stretched: neighbours never overlap, and a
    long quiet time is cut short. The times below say how long it was. Of very
    many records the last are drawn.

    :param records: merged records, oldest first.
    :return: the SVG page.
    """
    left_out = max(len(records) - MAX_DRAWN, 0)
    records = records[left_out:]
    processes = sorted({record.process for record in records})
    top = 3 * MARGIN + LEGEND_ROW * -(-len(MARKS) // LEGEND_COLUMNS)
    places = _place(records, processes, top)
    right = places[-1].x if places else 0
    width = max(MIN_WIDTH, right + TICK_GAP + MARGIN)
    height = top + LANE * len(processes) + 2 * MARGIN
    page = drawsvg.Drawing(width, height)
    page.append(drawsvg.Rectangle(0, 0, width, height, fill="white"))
    page.append(_text(_title(records, left_out), MARGIN, MARGIN + TEXT / 2))
    _draw_legend(page)
    _draw_lanes(page, processes, top, width)
    _draw_times(page, places, top, height)
    _draw_joins(page, places)
    for place in places:
        page.append(_mark(place))
    return page.as_svg()


def _title(records: Sequence[Record], left_out: int) -> str:
    if not records:
        return "no events"
    title = f"{len(records)} events from {show_time(records[0].clock)} UTC"
    return f"{title}, {left_out} older ones left out" if left_out else title


def _place(records: Sequence[Record], processes: list[str], top: float) -> list[_Place]:
    lanes = {process: index for index, process in enumerate(processes)}
    longest = max((len(process) for process in processes), default=0)
    x = 2 * MARGIN + LETTER * longest
    places: list[_Place] = []
    for record in records:
        if places:
            x += _step(places[-1].record, record)
        y = top + LANE * (lanes[record.process] + 0.5)
        places.append(_Place(record=record, x=x, y=y))
    return places


def _step(before: Record, after: Record) -> float:
    gap = physical_milliseconds(after.clock) - physical_milliseconds(before.clock)
    return min(max(gap * PIXELS_PER_MS, MIN_STEP), MAX_STEP)


def _draw_legend(page: drawsvg.Drawing):
    for index, (kind, mark) in enumerate(MARKS.items()):
        row, column = divmod(index, LEGEND_COLUMNS)
        x = 1.5 * MARGIN + LEGEND_COLUMN * column
        y = 2.5 * MARGIN + LEGEND_ROW * row
        shape = mark.shape(x, y)
        shape.args["fill"] = mark.colour
        page.append(shape)
        page.append(_text(kind.replace("_", " "), x + MARGIN, y))


def _draw_lanes(page: drawsvg.Drawing, processes: list[str], top: float, width: float):
    for index, process in enumerate(processes):
        y = top + LANE * (index + 0.5)
        page.append(_text(process, MARGIN, y))
        start = 1.5 * MARGIN + LETTER * max(map(len, processes))
        page.append(drawsvg.Line(start, y, width - MARGIN, y, stroke=_LIGHT))


def _draw_times(page: drawsvg.Drawing, places: list[_Place], top: float, height: float):
    last = -TICK_GAP
    for place in places:
        if place.x - last < TICK_GAP:
            continue
        last = place.x
        gap = physical_milliseconds(place.record.clock) - physical_milliseconds(
            places[0].record.clock
        )
        bottom = height - 1.5 * MARGIN
        line = drawsvg.Line(
            place.x, top, place.x, bottom, stroke=_LIGHT, stroke_dasharray="2 4"
        )
        page.append(line)
        shown = f"+{gap / _MS_PER_SECOND:.3f} s"
        page.append(_text(shown, place.x, bottom + TEXT))


def _draw_joins(page: drawsvg.Drawing, places: list[_Place]):
    """Join the marks of a request, so that its way over the lanes is seen."""
    ways: dict[str, list[_Place]] = {}
    for place in places:
        if place.record.event.request:
            ways.setdefault(place.record.event.request, []).append(place)
    if len(ways) > MAX_JOINED:
        return
    for way in ways.values():
        points = [part for place in way for part in (place.x, place.y)]
        if len(way) > 1:
            line = drawsvg.Lines(*points, fill="none", stroke="#0072b2", opacity=0.35)
            page.append(line)


def _mark(place: _Place) -> drawsvg.DrawingBasicElement:
    event = place.record.event
    mark = MARKS[kind_of(event)]
    shape = mark.shape(place.x, place.y)
    shape.args["fill"] = mark.colour
    about = [show_time(place.record.clock), kind_of(event), event.request, event.vm]
    about.append(show_event(event))
    shape.append_title(" ".join(part for part in about if part))
    return shape


def _text(text: str, x: float, y: float) -> drawsvg.Text:
    return drawsvg.Text(
        text,
        TEXT,
        x,
        y,
        fill=_DARK,
        font_family=_FONT,
        dominant_baseline="middle",
    )
