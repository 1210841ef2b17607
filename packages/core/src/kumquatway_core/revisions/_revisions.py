"""
Revisions.

Edits of the operators' text by compare-and-swap.
"""

import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass

import anyio
import msgspec

from kumquatway_core.exceptions import Conflict, PlatformError, ResponseLost
from kumquatway_core.platform import (
    ABSENT,
    Expectation,
    Put,
    Row,
    Table,
    Transaction,
)
from kumquatway_core.revisions._rows import (
    AUDIT_TABLE,
    HEAD_KEY,
    MAX_AUDIT_RECORDS,
    TEXT_KEY,
    AuditRecord,
    Head,
    Revision,
    audit_key,
    decode_value,
    diff_texts,
    digest,
)

MAX_TRIES = 3

Validator = Callable[[str], tuple[str, ...]]


@dataclass(frozen=True, kw_only=True, slots=True)
class Accepted:
    """
    The edit is in force, or was until a later one.

    :param revision: what it made.
    """

    revision: Revision


@dataclass(frozen=True, kw_only=True, slots=True)
class RacedEdit:
    """
    The edit was refused: another came first.

    :param expected: the revision that the edit was made from.
    :param found: the revision in force.
    """

    expected: int
    found: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Invalid:
    """
    The edit was refused: its text is wrong.

    :param problems: one line for each place.
    """

    problems: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class NotStored:
    """The edit is not in force and will not be: the store took no call."""

    detail: str


@dataclass(frozen=True, kw_only=True, slots=True)
class InDoubt:
    """
    The edit may be in force or may yet come into force; `Revisions.resolve` tells.

    :param revision: what it would make.
    :param basis: store revision of the head that it was made from.
    :param before: the text that it was made from.
    """

    revision: Revision
    base_revision: int
    base_text: str


EditResult = Accepted | RacedEdit | Invalid | NotStored | InDoubt


def new_edit_id() -> str:
    """
    Make an id of an edit.

    :return: 32 hexadecimal digits.
    """
    return uuid.uuid4().hex


class Revisions:
    """
    Reads and replaces the text in the table service.

    :param table: the table service.
    :param check: gives the problems of a text, none for a valid one.
    :param clock: wall clock, seconds; for the audit trail only.
    :param ids: makes ids that are never made again.
    """

    def __init__(
        self,
        *,
        table: Table,
        validate: Validator,
        clock: Callable[[], float] = time.time,
        make_id: Callable[[], str] = new_edit_id,
    ):
        self.table = table
        self.validate = validate
        self.clock = clock
        self.make_id = make_id

    async def latest_number(self) -> int:
        """
        Read the number of the revision in force, without its text.

        :return: the number, 0 before the first revision.
        :raises PlatformError: if the store did not answer.
        """
        rows = await self.table.read((HEAD_KEY,))
        return decode_value(Head, rows[0].value).number if rows else 0

    async def latest(self) -> Revision | None:
        """
        Read the revision in force.

        :return: the revision, or None before the first.
        :raises PlatformError: if the store did not answer.
        """
        revision, _ = await self._read_head()
        return revision

    async def propose(self, text: str, expected: int, author: str) -> EditResult:
        """
        Replace the text, if the expected revision is still in force.

        :param text: the new text, whole.
        :param expected: the revision that the edit was made from, 0 for the first.
        :param author: who makes it.
        :return: what became of the edit.
        """
        problems = await anyio.to_thread.run_sync(self.validate, text)
        if problems:
            return Invalid(problems=problems)
        try:
            current, basis = await self._read_head()
        except PlatformError as error:
            return NotStored(detail=str(error))
        found = current.number if current else 0
        if found != expected:
            return RacedEdit(expected=expected, found=found)
        return await self._commit(
            InDoubt(
                revision=self._make_revision(text, expected + 1, author),
                base_revision=basis,
                base_text=current.text if current else "",
            ),
            in_doubt=False,
        )

    async def resolve(self, doubt: InDoubt) -> EditResult:
        """
        Find out what became of an edit, and carry it out if nothing did.

        :param doubt: as `propose` returned it.
        :return: what became of it; `InDoubt` again while the store is down.
        """
        return await self._commit(doubt, in_doubt=True)

    async def audit(self, after: int = 0, limit: int = 100) -> tuple[AuditRecord, ...]:
        """
        Read the audit trail in order.

        :param after: the last revision of the page before.
        :param limit: the most records to return.
        :return: the records.
        :raises PlatformError: if the store did not answer.
        """
        last = audit_key(after).key
        rows = await self.table.scan(AUDIT_TABLE, after=last, limit=limit)
        return tuple(decode_value(AuditRecord, row.value) for row in rows)

    def _make_revision(self, text: str, number: int, author: str) -> Revision:
        head = Head(
            number=number,
            edit_id=self.make_id(),
            author=author,
            time=self.clock(),
            digest=digest(text),
        )
        return Revision(head=head, text=text)

    async def _commit(self, doubt: InDoubt, *, in_doubt: bool) -> EditResult:
        """
        Commit an edit; repeat it while its answer is lost.

        The repeat expects the same head, so that only one of the tries takes effect
        and an earlier one that is still under way is shut out by it.
        """
        transaction = await anyio.to_thread.run_sync(_transaction, doubt)
        for _ in range(MAX_TRIES):
            try:
                await self.table.commit(transaction)
            except Conflict:
                return await self._resolve_conflict(doubt, in_doubt)
            except ResponseLost:
                in_doubt = True
            except PlatformError as error:
                return doubt if in_doubt else NotStored(detail=str(error))
            else:
                return Accepted(revision=doubt.revision)
        return doubt

    async def _resolve_conflict(self, doubt: InDoubt, in_doubt: bool) -> EditResult:
        """Tell an edit that met itself from one that met another."""
        try:
            made = await self._read_edit_id(doubt.revision.number)
            found = await self.latest_number()
        except PlatformError as error:
            return doubt if in_doubt else NotStored(detail=str(error))
        if made == doubt.revision.head.edit_id:
            return Accepted(revision=doubt.revision)
        return RacedEdit(expected=doubt.revision.number - 1, found=found)

    async def _read_edit_id(self, number: int) -> str:
        """Give the id of the edit that made a revision, "" if none is known."""
        rows = await self.table.read((audit_key(number),))
        if not rows:
            return ""
        return decode_value(AuditRecord, rows[0].value).head.edit_id

    async def _read_head(self) -> tuple[Revision | None, int]:
        rows = await self.table.read((HEAD_KEY, TEXT_KEY))
        head = _find(rows, HEAD_KEY.key)
        text = _find(rows, TEXT_KEY.key)
        if head is None or text is None:
            return None, ABSENT
        revision = Revision(
            head=decode_value(Head, head.value), text=decode_value(str, text.value)
        )
        if digest(revision.text) != revision.head.digest:
            raise PlatformError("the text in the store does not fit its digest")
        return revision, head.revision


def _find(rows: tuple[Row, ...], key: str) -> Row | None:
    return next((row for row in rows if row.key == key), None)


def _transaction(doubt: InDoubt) -> Transaction:
    """Make the writes of an edit; the oldest audit record makes room for its own."""
    head = doubt.revision.head
    record = AuditRecord(
        head=head, diff=diff_texts(doubt.base_text, doubt.revision.text)
    )
    values = (
        (HEAD_KEY, head),
        (TEXT_KEY, doubt.revision.text),
        (audit_key(head.number), record),
    )
    basis = Expectation(
        table=HEAD_KEY.table, key=HEAD_KEY.key, revision=doubt.base_revision
    )
    return Transaction(
        expectations=(basis,),
        puts=tuple(
            Put(table=key.table, key=key.key, value=msgspec.msgpack.encode(value))
            for key, value in values
        ),
        deletes=_oldest_records(head.number),
    )


def _oldest_records(number: int) -> tuple:
    oldest = number - MAX_AUDIT_RECORDS
    return (audit_key(oldest),) if oldest > 0 else ()
