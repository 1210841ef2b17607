"""
Story.

What the processes wrote of one request, and what they believed meanwhile.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from kumquatway.timeline._words import show_event, show_time
from kumquatway_core.events import (
    ChainsChanged,
    DependencyChanged,
    LayersOrdered,
    MembershipChanged,
    ProcessStarted,
    ProcessStopped,
    Record,
    RouteChosen,
    kind_of,
    physical_milliseconds,
)

BEFORE_MS = 3000  # of beliefs shown before the request
AFTER_MS = 1500  # the same after its end
LOST_MS = 30_000  # within which the next life of a process tells of a kill


@dataclass(frozen=True, kw_only=True, slots=True)
class Story:
    """
    One request.

    :param request: its id.
    :param own: records that name it.
    :param beliefs: records of what changed meanwhile for the servers it was sent to.
    :param lives: starts and stops of the processes that served it.
    """

    request: str
    own: tuple[Record, ...]
    beliefs: tuple[Record, ...]
    lives: tuple[Record, ...]


def tell(records: Iterable[Record], request: str) -> Story:
    """
    Pick a request's story.

    :param records: of all processes, in order.
    :param request: the request's id.
    :return: the story; without own records where nobody wrote of it.
    """
    everything = tuple(records)
    own = tuple(one for one in everything if one.event.request == request)
    if not own:
        return Story(request=request, own=(), beliefs=(), lives=())
    first = physical_milliseconds(own[0].clock)
    last = physical_milliseconds(own[-1].clock)
    vms = _vms(own)
    processes = {one.process for one in own}

    def believed(one: Record) -> bool:
        at = physical_milliseconds(one.clock)
        if not first - BEFORE_MS <= at <= last + AFTER_MS:
            return False
        event = one.event
        if isinstance(event, (MembershipChanged, LayersOrdered)):
            return event.vm in vms
        shared = (ChainsChanged, DependencyChanged)
        return isinstance(event, shared) and one.process in processes

    def lived(one: Record) -> bool:
        if one.process not in processes:
            return False
        if not isinstance(one.event, (ProcessStarted, ProcessStopped)):
            return False
        return first <= physical_milliseconds(one.clock) <= last + LOST_MS

    return Story(
        request=request,
        own=own,
        beliefs=tuple(one for one in everything if believed(one)),
        lives=tuple(one for one in everything if lived(one)),
    )


def render(story: Story) -> str:
    """
    Write a story in order.

    :param story: of a request.
    :return: a line for each record.
    """
    records = {*story.own, *story.beliefs, *story.lives}
    lines = []
    for one in sorted(records, key=lambda one: (one.clock, one.process, one.sequence)):
        mark = "*" if one.event.request == story.request else " "
        where = f" {one.event.vm}" if one.event.vm else ""
        lines.append(
            f"{show_time(one.clock)} {mark} {one.process} "
            f"{kind_of(one.event)}{where} {show_event(one.event)}"
        )
    return "\n".join(lines)


def _vms(own: tuple[Record, ...]) -> set[str]:
    found = {one.event.vm for one in own if one.event.vm}
    for one in own:
        if isinstance(one.event, RouteChosen):
            found.update(one.event.vms)
    return found
