"""
Edits the operators' configuration text by compare-and-swap in the table service.
"""

import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass

import anyio
import msgspec
from loguru import logger

from kumquatway_core.exceptions import (
    Conflict,
    PlatformError,
    ResponseLost,
    UnreadableRow,
)
from kumquatway_core.platform import (
    ABSENT,
    UNKNOWN_GENERATION,
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
    The edit was stored; a later edit may have replaced it since.

    :param revision: revision that the edit created.
    """

    revision: Revision


@dataclass(frozen=True, kw_only=True, slots=True)
class RacedEdit:
    """
    The edit was refused because another edit was stored first.

    :param expected: number of the revision that the edit was based on.
    :param found: number of the current revision.
    """

    expected: int
    found: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Invalid:
    """
    The edit was refused because its text is invalid.

    :param problems: one line for each problem.
    """

    problems: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class NotStored:
    """
    The edit was not stored and will not be, because a call to the store failed.

    :param detail: error of the store.
    """

    detail: str


@dataclass(frozen=True, kw_only=True, slots=True)
class InDoubt:
    """
    The edit may have been stored, or may still be; `Revisions.resolve` finds out.

    :param revision: revision that the edit creates.
    :param base_revision: store revision of the head row that the edit was based on.
    :param base_text: text that the edit was based on.
    :param generation: generation of the store that the base revision is of.
    """

    revision: Revision
    base_revision: int
    base_text: str
    generation: int = UNKNOWN_GENERATION


EditResult = Accepted | RacedEdit | Invalid | NotStored | InDoubt


def new_edit_id() -> str:
    """
    Generate a unique ID of an edit.

    :return: 32 hexadecimal digits.
    """
    return uuid.uuid4().hex


class Revisions:
    """
    Reads and replaces the configuration text in the table service.

    :param table: client of the table service.
    :param validate: returns the problems of a text, none for a valid text.
    :param clock: wall clock, seconds; for the audit trail only.
    :param make_id: generates IDs of edits, each a different one.
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
        Read the number of the current revision, without its text.

        :return: revision number, 0 before the first revision.
        :raises PlatformError: if the store did not answer.
        """
        rows = await self.table.read((HEAD_KEY,))
        return decode_value(Head, rows[0].value).number if rows else 0

    async def latest(self) -> Revision | None:
        """
        Read the current revision.

        :return: current revision, or None before the first.
        :raises PlatformError: if the store did not answer.
        """
        revision, _ = await self._read_head()
        return revision

    async def propose(self, text: str, expected: int, author: str) -> EditResult:
        """
        Replace the text, if the expected revision is still the current one.

        :param text: complete new text.
        :param expected: number of the revision that the edit is based on, 0 for none.
        :param author: author of the edit.
        :return: outcome of the edit.
        """
        problems = await anyio.to_thread.run_sync(self.validate, text)
        if problems:
            return Invalid(problems=problems)
        generation = self.table.generation
        try:
            current, base_revision = await self._read_head()
        except PlatformError as error:
            return NotStored(detail=str(error))
        found = current.number if current else 0
        if found != expected:
            return RacedEdit(expected=expected, found=found)
        return await self._commit(
            InDoubt(
                revision=self._make_revision(text, expected + 1, author),
                base_revision=base_revision,
                base_text=current.text if current else "",
                generation=generation,
            ),
            in_doubt=False,
        )

    async def resolve(self, doubt: InDoubt) -> EditResult:
        """
        Find out whether an edit was stored, and store it if its base is still current.

        :param doubt: edit in doubt, as returned by `propose`.
        :return: outcome of the edit; `InDoubt` again while the store is down.
        """
        return await self._commit(doubt, in_doubt=True)

    async def audit(self, after: int = 0, limit: int = 100) -> tuple[AuditRecord, ...]:
        """
        Read one page of the audit trail, in the order of the revisions.

        :param after: last revision number of the previous page, 0 for the first page.
        :param limit: maximum number of records to return.
        :return: audit records.
        :raises PlatformError: if the store did not answer.
        """
        last = audit_key(after).key
        rows = await self.table.scan(AUDIT_TABLE, after=last, limit=limit)
        return tuple(record for row in rows for record in _decode_record(row))

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
        Commit an edit; retry while the response of the store is lost.

        Each retry expects the same head row. So at most one of the tries takes effect,
        and once one has, an earlier try that arrives late fails.
        """
        transaction = await anyio.to_thread.run_sync(_build_transaction, doubt)
        for _ in range(MAX_TRIES):
            try:
                await self.table.commit(transaction, doubt.generation)
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
        """Tell whether a conflict is with an earlier try of this edit or not."""
        try:
            stored_id = await self._read_edit_id(doubt.revision.number)
            found = await self.latest_number()
        except PlatformError as error:
            return doubt if in_doubt else NotStored(detail=str(error))
        if stored_id == doubt.revision.head.edit_id:
            return Accepted(revision=doubt.revision)
        return RacedEdit(expected=doubt.revision.number - 1, found=found)

    async def _read_edit_id(self, number: int) -> str:
        """Return the ID of the edit that created a revision, "" without a record."""
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
            raise PlatformError(
                "the stored configuration text does not match its digest"
            )
        return revision, head.revision


def _find(rows: tuple[Row, ...], key: str) -> Row | None:
    return next((row for row in rows if row.key == key), None)


def _decode_record(row: Row) -> tuple[AuditRecord, ...]:
    """Return the record of a row in a tuple, which is empty if it is unreadable."""
    try:
        return (decode_value(AuditRecord, row.value),)
    except UnreadableRow as error:
        logger.warning("record {} of the audit trail is left out: {}", row.key, error)
        return ()


def _build_transaction(doubt: InDoubt) -> Transaction:
    """Build the transaction of an edit; it deletes audit records over the limit."""
    head = doubt.revision.head
    record = AuditRecord(
        head=head, diff=diff_texts(doubt.base_text, doubt.revision.text)
    )
    values = (
        (HEAD_KEY, head),
        (TEXT_KEY, doubt.revision.text),
        (audit_key(head.number), record),
    )
    unchanged_head = Expectation(
        table=HEAD_KEY.table, key=HEAD_KEY.key, revision=doubt.base_revision
    )
    return Transaction(
        expectations=(unchanged_head,),
        puts=tuple(
            Put(table=key.table, key=key.key, value=msgspec.msgpack.encode(value))
            for key, value in values
        ),
        deletes=_records_over_limit(head.number),
    )


def _records_over_limit(number: int) -> tuple:
    oldest = number - MAX_AUDIT_RECORDS
    return (audit_key(oldest),) if oldest > 0 else ()
