"""
What a request's log lines cost: processor time and bytes, with and without them.

The events are those of a usual request to a model: started, routed, ended.
"""

import os
import time

from kumquatway_core.events import (
    Event,
    LogLineBuffer,
    RequestEnded,
    RequestStarted,
    RouteChosen,
)
from kumquatway_gateway import open_log

REQUESTS = 20_000
ROUNDS = 5


def _events(number: int) -> tuple[Event, ...]:
    request = f"{number:016x}"
    vms = tuple(f"i-{index:010x}" for index in range(11))
    detail = "20000 of 50000 tokens used, fleet 75, list 0.4 s old, after event 0"
    return (
        RequestStarted(
            request=request,
            account="house",
            target="model",
            detail="route r",
        ),
        RouteChosen(request=request, attempt=1, vms=vms, detail=detail),
        RequestEnded(
            request=request,
            vm=vms[0],
            verdict="ran",
            status=200,
            detail="1200 ms, 1 sent",
        ),
    )


def _seconds(lines: LogLineBuffer, emit) -> float:
    started = time.process_time()
    for number in range(REQUESTS):
        for event in _events(number):
            emit(event)
        if number % 100 == 0:
            lines.flush()
    lines.flush()
    return time.process_time() - started


def main() -> None:
    """Print the table."""
    descriptor = os.open(os.devnull, os.O_WRONLY)
    lines = LogLineBuffer(descriptor=descriptor)
    emit = open_log("front-a-1", lines)
    size = sum(len(line) for _, line in _collect(emit, lines))
    on = min(_seconds(lines, emit) for _ in range(ROUNDS))
    off = min(_seconds(lines, lambda event: None) for _ in range(ROUNDS))
    print("| lines | us of CPU a request | bytes a request |")
    print("| --- | --- | --- |")
    print(f"| on | {on / REQUESTS * 1e6:.1f} | {size} |")
    print(f"| off | {off / REQUESTS * 1e6:.1f} | 0 |")


def _collect(emit, lines: LogLineBuffer) -> list[tuple[bool, bytes]]:
    for event in _events(1):
        emit(event)
    found = list(lines.lines)
    lines.lines.clear()
    return found


if __name__ == "__main__":
    main()
