"""Commits changes of single rows in batches, and reports the outcome of each."""

from collections import deque
from dataclasses import dataclass

import anyio

from kumquatway_core.exceptions import Conflict, PlatformError, ResponseLost
from kumquatway_core.platform._generation import UNKNOWN_GENERATION
from kumquatway_core.platform._messages import (
    Committed,
    Expectation,
    Key,
    Put,
    Row,
    Transaction,
)
from kumquatway_core.platform._table import Table

BATCH_WINDOW_SECONDS = 0.003
MAX_BATCH_CHANGES = 128
MAX_BATCH_BYTES = 1024 * 1024  # sum of the values' sizes
MAX_QUEUED_CHANGES = 4096
MAX_RETRIES = 2  # of a transaction whose response was lost


@dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """
    A conditional write of one row.

    :param key: table and key of the row.
    :param expected_revision: revision that the row must have, or `ABSENT`.
    :param value: the new value. It must differ from that of every other change, because
        a retry recognizes an earlier write by its value.
    :param generation: generation of the store in which the expected revision was read;
        for a row that must not exist, it does not matter.
    """

    key: Key
    expected_revision: int
    value: bytes
    generation: int = UNKNOWN_GENERATION


@dataclass(frozen=True, kw_only=True, slots=True)
class Applied:
    """
    The change was written.

    :param revision: new revision of the row.
    """

    revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Raced:
    """
    The row had another revision; the change is not in the table and will not be.

    :param row: the row that was found, or None if it does not exist.
    """

    row: Row | None


@dataclass(frozen=True, kw_only=True, slots=True)
class Unapplied:
    """The store took no call with the change; it is not in the table nor will be."""

    detail: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Unknown:
    """The change may have been written, or may still be written."""

    detail: str


Outcome = Applied | Raced | Unapplied | Unknown


class _PendingChange:
    """A change and its outcome, once known."""

    def __init__(self, *, change: Change):
        self.change = change
        self.outcome: Outcome | None = None
        self.settled = anyio.Event()

    def settle(self, outcome: Outcome) -> None:
        self.outcome = outcome
        self.settled.set()

    def size(self) -> int:
        return len(self.change.value)


class GroupCommit:
    """
    Commits the changes of many requests in shared transactions.

    One transaction is in progress at a time; changes submitted meanwhile are queued for
    the next one.

    :param table: client of the table service.
    :param window: time to collect changes before committing them, seconds.
    :param max_changes: maximum number of changes in one transaction.
    """

    def __init__(
        self,
        *,
        table: Table,
        window: float = BATCH_WINDOW_SECONDS,
        max_changes: int = MAX_BATCH_CHANGES,
    ):
        self.table = table
        self.window = window
        self.max_changes = max_changes
        self.queue: deque[_PendingChange] = deque()
        self.change_queued = anyio.Event()
        self.transaction_count = 0
        self.change_count = 0

    async def submit(self, change: Change) -> Outcome:
        """
        Queue a change and wait for its outcome.

        If the caller is cancelled while the change is queued, the change is dropped.

        :param change: the change; other changes of the same row may be queued too.
        :return: the outcome of the change.
        """
        if len(self.queue) >= MAX_QUEUED_CHANGES:
            return Unapplied(
                detail=f"group commit queue is full: {MAX_QUEUED_CHANGES} changes"
            )
        pending = _PendingChange(change=change)
        self.queue.append(pending)
        self.change_queued.set()
        try:
            await pending.settled.wait()
        except anyio.get_cancelled_exc_class():
            self._remove_from_queue(pending)
            raise
        return pending.outcome

    async def run(self) -> None:
        """Commit submitted changes until cancelled."""
        try:
            while True:
                await self._commit_queued()
        finally:
            _settle_all(
                list(self.queue), Unapplied(detail="the group commit was stopped")
            )
            self.queue.clear()

    async def _commit_queued(self) -> None:
        await self.change_queued.wait()
        self.change_queued = anyio.Event()
        await anyio.sleep(self.window)
        while self.queue:
            await self._commit_batch(self._take_batch())

    def _remove_from_queue(self, pending: _PendingChange) -> None:
        if pending in self.queue:
            self.queue.remove(pending)

    def _take_batch(self) -> list[_PendingChange]:
        """Dequeue changes of different rows, up to the limits of one transaction."""
        batch: dict[Key, _PendingChange] = {}
        skipped: deque[_PendingChange] = deque()
        size = 0
        while self.queue and len(batch) < self.max_changes:
            pending = self.queue.popleft()
            fits = not batch or size + pending.size() <= MAX_BATCH_BYTES
            if pending.change.key in batch or not fits:
                skipped.append(pending)
                continue
            batch[pending.change.key] = pending
            size += pending.size()
        self.queue.extendleft(reversed(skipped))
        return list(batch.values())

    async def _commit_batch(self, batch: list[_PendingChange]) -> None:
        try:
            await self._commit_with_retries(batch)
        finally:
            for pending in batch:
                if not pending.settled.is_set():
                    pending.settle(Unknown(detail="the group commit was stopped"))

    async def _commit_with_retries(self, batch: list[_PendingChange]) -> None:
        """
        Commit a batch and settle each of its changes.

        After a conflict, the conflicting changes are settled and the others are sent
        again. So are all if the store comes back from an older copy meanwhile, but for
        those that expect a revision of the generation before.
        """
        response_lost = False
        retries = 0
        while True:
            generation = self.table.generation
            batch = _settle_outdated(batch, generation, response_lost)
            if not batch:
                return
            try:
                committed = await self._send_transaction(batch, generation)
            except Conflict as conflict:
                batch = await self._settle_conflicts(batch, conflict, response_lost)
            except ResponseLost as error:
                response_lost = True
                retries += 1
                if retries > MAX_RETRIES:
                    return _settle_all(batch, Unknown(detail=str(error)))
            except PlatformError as error:
                failure = Unknown if response_lost else Unapplied
                return _settle_all(batch, failure(detail=str(error)))
            else:
                return _settle_applied(batch, committed)

    async def _send_transaction(
        self, batch: list[_PendingChange], generation: int
    ) -> Committed:
        self.transaction_count += 1
        self.change_count += len(batch)
        return await self.table.commit(_build_transaction(batch), generation)

    async def _settle_conflicts(
        self, batch: list[_PendingChange], conflict: Conflict, response_lost: bool
    ) -> list[_PendingChange]:
        """
        Settle the changes that conflicted.

        A row that already has the value of its change was written by an earlier try
        whose response was lost. The retry also makes an earlier try fail that is still
        in progress: whether the retry writes the row or conflicts, the row no longer
        has the expected revision, and revisions are not reused.

        :return: the changes of the batch that did not conflict.
        """
        keys = {Key(table=row.table, key=row.key) for row in conflict.found}
        conflicting = [pending for pending in batch if pending.change.key in keys]
        try:
            rows = await self.table.read(tuple(keys))
        except PlatformError as error:
            detail = str(error)
            failure = Unknown if response_lost else Unapplied
            _settle_all(conflicting, failure(detail=detail))
        else:
            found = {Key(table=row.table, key=row.key): row for row in rows}
            for pending in conflicting:
                row = found.get(pending.change.key)
                pending.settle(_outcome_after_conflict(pending.change, row))
        return [pending for pending in batch if pending.change.key not in keys]


def _outcome_after_conflict(change: Change, row: Row | None) -> Applied | Raced:
    if row is not None and row.value == change.value:
        return Applied(revision=row.revision)
    return Raced(row=row)


def _build_transaction(batch: list[_PendingChange]) -> Transaction:
    changes = [pending.change for pending in batch]
    return Transaction(
        expectations=tuple(
            Expectation(
                table=change.key.table,
                key=change.key.key,
                revision=change.expected_revision,
            )
            for change in changes
        ),
        puts=tuple(
            Put(table=change.key.table, key=change.key.key, value=change.value)
            for change in changes
        ),
    )


def _settle_outdated(
    batch: list[_PendingChange], generation: int, response_lost: bool
) -> list[_PendingChange]:
    """
    Settle the changes whose expected revision is of another generation of the store.

    :return: the other changes of the batch.
    """
    current = [
        pending
        for pending in batch
        if pending.change.generation in (UNKNOWN_GENERATION, generation)
    ]
    outdated = [pending for pending in batch if pending not in current]
    failure = Unknown if response_lost else Unapplied
    detail = "the store came back from an older copy since the row was read"
    _settle_all(outdated, failure(detail=detail))
    return current


def _settle_all(batch: list[_PendingChange], outcome: Outcome) -> None:
    for pending in batch:
        pending.settle(outcome)


def _settle_applied(batch: list[_PendingChange], committed: Committed) -> None:
    for pending, revision in zip(batch, committed.revisions, strict=True):
        pending.settle(Applied(revision=revision))
