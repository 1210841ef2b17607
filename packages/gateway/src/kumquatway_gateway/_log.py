"""Writes the log lines and the events of a gateway to standard output."""

from collections.abc import Callable

import msgspec

from kumquatway_core import events
from kumquatway_core.events import Event, HybridLogicalClock, Journal, LogLineBuffer
from kumquatway_core.logs import configure
from kumquatway_core.settings import LogFormat, LogLevel

_encoder = msgspec.json.Encoder()


def is_dropped_last(event: Event) -> bool:
    """
    Return whether an event's line is dropped only after others, when the ring is full.

    The metrics show the usual steps of requests that succeed. They do not show the
    details of refusals, failures and changes of a server's state.

    :param event: the event to write.
    :return: False for the usual steps of a request that succeeded.
    """
    if isinstance(event, (events.RequestStarted, events.RouteChosen)):
        return False
    return not (isinstance(event, events.RequestEnded) and event.status < 400)


def open_log(process: str, lines: LogLineBuffer) -> Callable[[Event], None]:
    """
    Configure the log of this process, as JSON lines on standard output.

    :param process: name of the process, written on each line.
    :param lines: ring buffer in front of standard output.
    :return: a function that writes an event to the log.
    """
    configure(
        log_format=LogFormat.JSON,
        level=LogLevel.INFO,
        process=process,
        write=lambda line: lines.put(line.encode()),
    )
    journal = Journal(process=process, clock=HybridLogicalClock(), capacity=1000)

    def emit(event: Event) -> None:
        record = journal.emit(event)
        lines.put(_encoder.encode(record) + b"\n", important=is_dropped_last(event))

    return emit
