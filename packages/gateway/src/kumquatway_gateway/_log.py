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
        keep = not isinstance(event, events.RequestStarted)
        lines.put(_encoder.encode(record) + b"\n", keep=keep)

    return emit
