"""
Group commit.

Gathers changes of single rows into few transactions and says of each what became
of it.
"""

from collections import deque
from dataclasses import dataclass

import anyio

from kumquatway_core.exceptions import Conflict, PlatformError, ResponseLost
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
MAX_BATCH_CHANGES = 128  # in one transaction
MAX_BATCH_BYTES = 1024 * 1024  # of values in one transaction
MAX_QUEUED_CHANGES = 4096  # changes
MAX_RETRIES = 2  # after a lost answer


@dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """
    A write of one row.

    :param key: the row.
    :param expected: the revision that it must have.
    :param value: the new value, which no other change ever writes.
    """

    key: Key
    expected_revision: int
    value: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class Applied:
    """
    The change is in the table.

    :param revision: the row's new revision.
    """

    revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Raced:
    """
    The change is not in the table and will not be: the row had another revision.

    :param row: the row as found, or None if there is none.
    """

    row: Row | None


@dataclass(frozen=True, kw_only=True, slots=True)
class Unapplied:
    """The change is not in the table and will not be: the store took no call."""

    detail: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Unknown:
    """The change may be in the table or may yet come to it."""

    detail: str


Outcome = Applied | Raced | Unapplied | Unknown


class _PendingChange:
    """A change that waits for its outcome."""

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
    Commits changes of many requests together.

    One transaction is under way at a time; while it is, the next one gathers.

    :param table: the table service.
    :param window: time to gather before a transaction, seconds.
    :param max_changes: the most changes in one transaction.
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
        Have a change committed with others.

        :param change: the change; its table and key are free to be in other changes.
        :return: what became of it.
        """
        if len(self.queue) >= MAX_QUEUED_CHANGES:
            return Unapplied(detail=f"{MAX_QUEUED_CHANGES} changes wait")
        pending = _PendingChange(change=change)
        self.queue.append(pending)
        self.change_queued.set()
        try:
            await pending.settled.wait()
        except anyio.get_cancelled_exc_class():
            self._withdraw(pending)
            raise
        return pending.outcome

    async def run(self) -> None:
        """Commit what is submitted, until cancelled."""
        try:
            while True:
                await self._commit_queued()
        finally:
            _settle_all(list(self.queue), Unapplied(detail="stopped"))
            self.queue.clear()

    async def _commit_queued(self) -> None:
        await self.change_queued.wait()
        self.change_queued = anyio.Event()
        await anyio.sleep(self.window)
        while self.queue:
            await self._commit_batch(self._take_batch())

    def _withdraw(self, pending: _PendingChange) -> None:
        if pending in self.queue:
            self.queue.remove(pending)

    def _take_batch(self) -> list[_PendingChange]:
        """Take changes of different rows, within the bounds of a transaction."""
        batch: dict[Key, _PendingChange] = {}
        left: deque[_PendingChange] = deque()
        size = 0
        while self.queue and len(batch) < self.max_changes:
            pending = self.queue.popleft()
            fits = not batch or size + pending.size() <= MAX_BATCH_BYTES
            if pending.change.key in batch or not fits:
                left.append(pending)
                continue
            batch[pending.change.key] = pending
            size += pending.size()
        self.queue.extendleft(reversed(left))
        return list(batch.values())

    async def _commit_batch(self, batch: list[_PendingChange]) -> None:
        try:
            await self._commit_with_retries(batch)
        finally:
            for pending in batch:
                if not pending.settled.is_set():
                    pending.settle(Unknown(detail="the group commit was stopped"))

    async def _commit_with_retries(self, batch: list[_PendingChange]) -> None:
        """Commit a batch; each conflict takes rows out of it and the rest goes on."""
        in_doubt = False
        repeats = 0
        while batch:
            try:
                committed = await self._send_transaction(batch)
            except Conflict as conflict:
                batch = await self._settle_conflicts(batch, conflict, in_doubt)
            except ResponseLost as error:
                in_doubt = True
                repeats += 1
                if repeats > MAX_RETRIES:
                    return _settle_all(batch, Unknown(detail=str(error)))
            except PlatformError as error:
                failure = Unknown if in_doubt else Unapplied
                return _settle_all(batch, failure(detail=str(error)))
            else:
                return _settle_applied(batch, committed)

    async def _send_transaction(self, batch: list[_PendingChange]) -> Committed:
        self.transaction_count += 1
        self.change_count += len(batch)
        return await self.table.commit(_build_transaction(batch))

    async def _settle_conflicts(
        self, batch: list[_PendingChange], conflict: Conflict, in_doubt: bool
    ) -> list[_PendingChange]:
        """
        Settle the changes that conflicted.

        A repeat that meets its own value took effect the first time; a repeat is
        what shuts out an earlier try that is still under way.
        """
        keys = {Key(table=one.table, key=one.key) for one in conflict.found}
        raced = [pending for pending in batch if pending.change.key in keys]
        try:
            rows = await self.table.read(tuple(keys))
        except PlatformError as error:
            detail = str(error)
            failure = Unknown if in_doubt else Unapplied
            _settle_all(raced, failure(detail=detail))
        else:
            found = {Key(table=row.table, key=row.key): row for row in rows}
            for pending in raced:
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


def _settle_all(batch: list[_PendingChange], outcome: Outcome) -> None:
    for pending in batch:
        pending.settle(outcome)


def _settle_applied(batch: list[_PendingChange], committed: Committed) -> None:
    for pending, revision in zip(batch, committed.revisions, strict=True):
        pending.settle(Applied(revision=revision))
