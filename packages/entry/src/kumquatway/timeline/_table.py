"""
Table.

The time line as rows, for a terminal.
"""

from collections.abc import Iterable

from rich.table import Table
from rich.text import Text

from kumquatway.timeline._words import show_event, show_time
from kumquatway_core.events import Record, kind_of


def table(records: Iterable[Record]) -> Table:
    """
    Make the table of a time line.

    :param records: merged records.
    :return: the table, for a rich console.
    """
    rows = Table("time (UTC)", "process", "event", "request", "VM", "what")
    for record in records:
        event = record.event
        cells = (
            show_time(record.clock),
            record.process,
            kind_of(event),
            event.request,
            event.vm,
            show_event(event),
        )
        rows.add_row(*(Text(cell) for cell in cells))
    return rows
