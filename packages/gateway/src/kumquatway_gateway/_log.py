"""
Log.

Every line of a gateway: loguru's, and the events of the time line.
"""

from collections.abc import Callable

import msgspec

from kumquatway_core import events
from kumquatway_core.events import Clock, Event, Journal, Lines
from kumquatway_core.logs import configure
from kumquatway_core.settings import LogFormat, LogLevel

_encoder = msgspec.json.Encoder()


def is_dropped_last(event: Event) -> bool:
    """
    Tell whether an event's line goes last where lines must be dropped.

    What a request does when all goes well can be told from the metrics; refusals,
    failures and changes of belief cannot.

    :param event: any event.
    :return: False for the usual steps of a request that ran.
    """
    if isinstance(event, (events.RequestStarted, events.RouteChosen)):
        return False
    return not (isinstance(event, events.RequestEnded) and event.status < 400)


def open_log(process: str, lines: Lines) -> Callable[[Event], None]:
    """
    Send the log and the events of this process to standard output.

    :param process: its name, on each line.
    :param lines: the ring before standard output.
    :return: takes events.
    """
    configure(
        format=LogFormat.JSON,
        level=LogLevel.INFO,
        process=process,
        write=lambda line: lines.put(line.encode()),
    )
    journal = Journal(process=process, clock=Clock(), capacity=1000)

    def emit(event: Event) -> None:
        record = journal.emit(event)
        lines.put(_encoder.encode(record) + b"\n", keep=is_dropped_last(event))

    return emit
