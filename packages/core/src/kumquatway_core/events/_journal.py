"""
Journal.

The last events of one process, in bounded memory.
"""

from collections import deque
from collections.abc import Collection
from itertools import islice

import msgspec

from kumquatway_core.events._clock import HybridLogicalClock
from kumquatway_core.events._kinds import Event, concerns, kind_of

DEFAULT_CAPACITY = 10_000  # records
DEFAULT_PAGE_SIZE = 1000  # records


class Record(msgspec.Struct, frozen=True, kw_only=True):
    """
    An event as it was written down.

    :param process: the process that emitted it.
    :param sequence: counts the events of the process, from 1.
    :param clock: the stamp of its hybrid logical clock.
    """

    process: str
    sequence: int
    clock: int
    event: Event


class Page(msgspec.Struct, frozen=True, kw_only=True):
    """
    What a reader of a journal gets.

    :param records: the records found, oldest first.
    :param next: the sequence to ask from next.
    :param missed: records after the asked sequence that were dropped before.
    """

    records: tuple[Record, ...]
    next: int
    missed: int


class Journal:
    """
    The ring of a process's events.

    :param process: the name of the process.
    :param clock: stamps the events.
    :param capacity: records kept.
    """

    def __init__(
        self,
        *,
        process: str,
        clock: HybridLogicalClock,
        capacity: int = DEFAULT_CAPACITY,
    ):
        self.process = process
        self.clock = clock
        self.sequence = 0
        self.records: deque[Record] = deque(maxlen=capacity)

    @property
    def dropped(self) -> int:
        """
        Count the records that gave way to newer ones.

        :return: the count since the start.
        """
        return self.sequence - len(self.records)

    def emit(self, event: Event) -> Record:
        """
        Write down an event; the oldest record gives way if there is no room.

        :param event: what happened.
        :return: its record.
        """
        self.sequence += 1
        record = Record(
            process=self.process,
            sequence=self.sequence,
            clock=self.clock.tick(),
            event=event,
        )
        self.records.append(record)
        return record

    def since(
        self,
        sequence: int = 0,
        *,
        kinds: Collection[str] = (),
        request: str = "",
        vm: str = "",
        limit: int = DEFAULT_PAGE_SIZE,
    ) -> Page:
        """
        Read the records after a sequence.

        :param sequence: the last one that the reader has, or 0.
        :param kinds: kinds wanted, or none for all.
        :param request: the request wanted, or "" for all.
        :param vm: the VM wanted, or "" for all.
        :param limit: the most records returned, at least 1.
        :return: the records, and where to go on.
        """
        skipped = min(max(sequence - self.dropped, 0), len(self.records))
        found = []
        last = self.dropped + skipped
        for record in islice(self.records, skipped, None):
            if len(found) == limit:
                break
            last = record.sequence
            if matches(record, kinds=kinds, request=request, vm=vm):
                found.append(record)
        missed = max(self.dropped - sequence, 0)
        return Page(records=tuple(found), next=last, missed=missed)


def matches(
    record: Record, *, kinds: Collection[str] = (), request: str = "", vm: str = ""
) -> bool:
    """
    Tell whether a record is wanted.

    :param record: the record.
    :param kinds: kinds wanted, or none for all.
    :param request: the request wanted, or "" for all.
    :param vm: the VM wanted, or "" for all.
    :return: True if it meets each filter.
    """
    event = record.event
    if request and event.request != request:
        return False
    if vm and not concerns(event, vm):
        return False
    return not kinds or kind_of(event) in kinds
