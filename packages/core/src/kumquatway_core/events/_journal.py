"""
Keeps the latest events of one process in bounded memory.
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
    An event as recorded in a journal.

    :param process: name of the process that emitted the event.
    :param sequence: sequence number of the event in its process, starting at 1.
    :param clock: stamp of the process's hybrid logical clock.
    :param event: event that was emitted.
    """

    process: str
    sequence: int
    clock: int
    event: Event


class Page(msgspec.Struct, frozen=True, kw_only=True):
    """
    One page of the records of a journal.

    :param records: matching records, oldest first.
    :param next: sequence number to pass in the request for the next page.
    :param missed: number of records after the requested sequence number that the
        journal had already dropped.
    """

    records: tuple[Record, ...]
    next: int
    missed: int


class Journal:
    """
    A ring buffer of the events of a process.

    :param process: name of the process.
    :param clock: clock that stamps the events.
    :param capacity: maximum number of records kept.
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
        Return the number of records that newer ones replaced.

        :return: number since the start of the process.
        """
        return self.sequence - len(self.records)

    def emit(self, event: Event) -> Record:
        """
        Record an event; a full journal drops its oldest record.

        :param event: event to record.
        :return: record of the event.
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
        Read the records after a sequence number.

        :param sequence: last sequence number that the reader has, or 0.
        :param kinds: kinds of events to return; empty for all.
        :param request: ID of the request to return events of, or "" for all.
        :param vm: name of the VM to return events of, or "" for all.
        :param limit: maximum number of records to return, at least 1.
        :return: page of matching records.
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
    Return whether a record passes all filters.

    :param record: record to check.
    :param kinds: kinds of events that pass; empty for all.
    :param request: ID of the request whose events pass, or "" for all.
    :param vm: name of the VM whose events pass, or "" for all.
    :return: True if the record passes each filter.
    """
    event = record.event
    if request and event.request != request:
        return False
    if vm and not concerns(event, vm):
        return False
    return not kinds or kind_of(event) in kinds
