"""
Decides which attempt with an idempotency key may be dispatched.

The decision is a compare-and-swap on the row of the key in the table service.
"""

import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass

import anyio
import msgspec
from loguru import logger

from kumquatway_core._verdict import RAN, Reason, Verdict, may_have_run, not_run
from kumquatway_core.claims._own_claims import OwnClaims
from kumquatway_core.claims._results import (
    AlreadyClaimed,
    Claim,
    ClaimResult,
    Finished,
    Granted,
    Refused,
    WriteResult,
)
from kumquatway_core.claims._rows import (
    TABLE,
    Answer,
    ClaimRow,
    ClaimState,
    decode_row,
    encode_row,
    object_name,
    row_key,
)
from kumquatway_core.decoding import Decoder
from kumquatway_core.exceptions import InvalidData, PlatformError, UnreadableRow
from kumquatway_core.platform import (
    ABSENT,
    UNKNOWN_GENERATION,
    Applied,
    Change,
    GroupCommit,
    Key,
    Objects,
    Outcome,
    Raced,
    Row,
    Table,
    Unapplied,
)

CLAIM_TIMEOUT_SECONDS = 8.0
FLUSH_INTERVAL_SECONDS = 1.0
RETRY_AFTER_SECONDS = 1.0  # sent to callers
MAX_WRITE_TRIES = 3
MAX_INLINE_BYTES = 32 * 1024  # larger answers are stored as objects
MAX_ANSWER_BYTES = 8 * 1024 * 1024  # larger answers are not stored
MAX_PENDING_WRITES = 1000
RESTORING = "the store came back from an older copy; its claims are written again"

_encoder = msgspec.msgpack.Encoder()
_answer_decoder = Decoder(Answer, codec=msgspec.msgpack)


def new_id() -> str:
    """
    Generate a unique ID.

    :return: 32 hexadecimal digits.
    """
    return uuid.uuid4().hex


@dataclass(frozen=True, kw_only=True, slots=True)
class _PendingWrite:
    """
    A final state that has not been written to the row of its claim yet.

    :param table_key: key of the claim's row in the table.
    :param row: row to write.
    """

    table_key: Key
    row: ClaimRow


class Claims:
    """
    Claims, completes and abandons requests on behalf of one entry.

    :param table: client of the table service.
    :param objects: client of the object store, for large answers.
    :param clock: wall clock, seconds; only the expiry of claims depends on it.
    :param make_id: generates IDs, each a different one.
    :param group: commits the rows in batches; `run` runs it.
    :param monotonic: monotonic clock, seconds.
    """

    def __init__(
        self,
        *,
        table: Table,
        objects: Objects,
        clock: Callable[[], float] = time.time,
        make_id: Callable[[], str] = new_id,
        group: GroupCommit | None = None,
        monotonic: Callable[[], float] = time.monotonic,
    ):
        self.table = table
        self.objects = objects
        self.clock = clock
        self.make_id = make_id
        self.group = group or GroupCommit(table=table)
        self.own_claims = OwnClaims(table=table, group=self.group, clock=monotonic)
        self.pending_writes: dict[tuple[Key, str], _PendingWrite] = {}

    async def run(self) -> None:
        """Commit rows and flush the pending writes, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.group.run)
            while True:
                await anyio.sleep(FLUSH_INTERVAL_SECONDS)
                await self.flush_pending_writes()
                await self.restore_forgotten()

    async def claim(
        self, *, account: str, key: str, digest: str, upstream: str, attempt: str
    ) -> ClaimResult:
        """
        Claim the right to dispatch a request; only `Granted` allows it.

        :param account: client account.
        :param key: idempotency key of the caller.
        :param digest: digest of the request's method, path and body.
        :param upstream: upstream that the request would be dispatched to.
        :param attempt: unique ID of this attempt.
        :return: whether the attempt may dispatch, and if not, why.
        """
        table_key = Key(table=TABLE, key=row_key(account, key))
        row = ClaimRow(
            state=ClaimState.CLAIMED,
            digest=digest,
            attempt=attempt,
            token=self.make_id(),
            upstream=upstream,
            claimed_at=self.clock(),
        )
        if len(self.pending_writes) >= MAX_PENDING_WRITES:
            return _refuse_store_down(
                f"{MAX_PENDING_WRITES} final states of claims wait for the store"
            )
        if not self.own_claims.may_grant():
            return _refuse_store_down(RESTORING)
        try:
            with anyio.fail_after(CLAIM_TIMEOUT_SECONDS):
                return await self._claim(table_key, row)
        except TimeoutError:
            self._defer(table_key, _released(row))
            return _refuse_store_down(
                f"the store did not decide the claim within {CLAIM_TIMEOUT_SECONDS} s"
            )
        except anyio.get_cancelled_exc_class():
            self._defer(table_key, _released(row))
            raise
        except PlatformError as error:
            return Refused(verdict=may_have_run(Reason.INTERNAL, str(error)))

    async def complete(self, claim: Claim, answer: Answer) -> WriteResult:
        """
        Store the answer of a request that ran, for later attempts with its key.

        :param claim: granted claim.
        :param answer: response of the upstream.
        :return: whether the final state is stored, will be retried, or is lost.
        """
        row = msgspec.structs.replace(claim.row, state=ClaimState.FINISHED)
        size = len(_encoder.encode(answer))
        if size <= MAX_INLINE_BYTES:
            row = msgspec.structs.replace(row, answer=answer)
        elif size <= MAX_ANSWER_BYTES:
            stored = await self._store_object(claim, answer)
            row = msgspec.structs.replace(row, answer_object=stored)
        return await self._write_final_state(claim, row)

    async def abandon(self, claim: Claim) -> WriteResult:
        """
        Release the key after a request that certainly did not run.

        :param claim: granted claim; no byte of its request may have been sent.
        :return: whether the release is stored, will be retried, or is lost.
        """
        return await self._write_final_state(claim, _released(claim.row))

    async def flush_pending_writes(self) -> int:
        """
        Retry the pending writes of final states, until the store fails.

        :return: number of writes that are still pending.
        """
        for pending_key, pending in list(self.pending_writes.items()):
            try:
                done = await self._flush(pending)
            except UnreadableRow as error:
                logger.error("claim {}: {}", pending.table_key.key, error)
                continue
            except PlatformError:
                break
            if done:
                self.pending_writes.pop(pending_key, None)
        return len(self.pending_writes)

    async def restore_forgotten(self) -> None:
        """Write claims again that the store lost, unless the store fails."""
        try:
            await self.own_claims.restore()
        except PlatformError as error:
            logger.warning("claims cannot be written again yet: {}", error)

    async def _claim(self, table_key: Key, row: ClaimRow) -> ClaimResult:
        value = encode_row(row)
        expected = ABSENT
        holder = None
        for _ in range(MAX_WRITE_TRIES):
            generation = self.table.generation
            change = Change(
                key=table_key,
                expected_revision=expected,
                value=value,
                generation=UNKNOWN_GENERATION if expected == ABSENT else generation,
            )
            outcome = await self.group.submit(change)
            if not isinstance(outcome, Raced):
                return self._decide(table_key, row, outcome)
            if outcome.row is None:
                expected = ABSENT
                continue
            holder = decode_row(outcome.row.value)
            if not self._may_take_over(table_key, row, holder):
                return await self._decide_existing(row, holder, outcome.row)
            expected = outcome.row.revision
        return Refused(verdict=may_have_run(Reason.IN_PROGRESS), holder=holder)

    def _decide(self, table_key: Key, row: ClaimRow, outcome: Outcome) -> ClaimResult:
        if isinstance(outcome, Applied):
            # The response may be the first one to show that the store lost claims.
            if not self.own_claims.may_grant():
                self._defer(table_key, _released(row))
                return _refuse_store_down(RESTORING)
            self.own_claims.remember(table_key, row)
            claim = Claim(
                table_key=table_key,
                row=row,
                revision=outcome.revision,
                generation=self.table.generation,
            )
            return Granted(claim=claim)
        if not isinstance(outcome, Unapplied):
            self._defer(table_key, _released(row))
        return _refuse_store_down(outcome.detail)

    def _may_take_over(self, table_key: Key, row: ClaimRow, holder: ClaimRow) -> bool:
        """Tell whether the holder of the key certainly never dispatched its request."""
        if holder.digest != row.digest:
            return False
        if holder.state is ClaimState.RELEASED:
            return True
        pending = self.pending_writes.get((table_key, holder.token))
        return pending is not None and pending.row.state is ClaimState.RELEASED

    async def _decide_existing(
        self, row: ClaimRow, holder: ClaimRow, found: Row
    ) -> ClaimResult:
        if holder.digest != row.digest:
            verdict = not_run(Reason.KEY_REUSED, "the key stands for another request")
            return Refused(verdict=verdict)
        if holder.state is ClaimState.FINISHED:
            return await self._fetch_answer(holder)
        if holder.attempt == row.attempt:
            table_key = Key(table=found.table, key=found.key)
            claim = Claim(
                table_key=table_key,
                row=holder,
                revision=found.revision,
                generation=self.table.generation,
            )
            return AlreadyClaimed(claim=claim)
        verdict = may_have_run(Reason.IN_PROGRESS, f"attempt {holder.attempt}")
        return Refused(verdict=verdict, holder=holder)

    async def _fetch_answer(self, holder: ClaimRow) -> Finished | Refused:
        if holder.answer is not None:
            return Finished(answer=holder.answer)
        if not holder.answer_object:
            return _refuse_answer_gone(holder)
        try:
            data = await self.objects.get(holder.answer_object)
        except PlatformError as error:
            return _refuse_answer_unavailable(holder, str(error))
        if data is None:
            return _refuse_answer_gone(holder)
        try:
            return Finished(answer=_answer_decoder.decode(data))
        except InvalidData as error:
            # The store's response may have been cut; the object may still be whole.
            detail = f"object {holder.answer_object} cannot be decoded: {error}"
            return _refuse_answer_unavailable(holder, detail)

    async def _store_object(self, claim: Claim, answer: Answer) -> str:
        """Store an answer in the object store; return its name, "" if that failed."""
        name = object_name(claim.row, claim.table_key.key)
        try:
            await self.objects.put(name, _encoder.encode(answer))
        except PlatformError:
            return ""
        except anyio.get_cancelled_exc_class():
            self._defer(
                claim.table_key,
                msgspec.structs.replace(claim.row, state=ClaimState.FINISHED),
            )
            raise
        return name

    async def _write_final_state(self, claim: Claim, row: ClaimRow) -> WriteResult:
        # Also while it is not stored: the store may lose the claim before.
        self.own_claims.remember(claim.table_key, row)
        change = Change(
            key=claim.table_key,
            expected_revision=claim.revision,
            value=encode_row(row),
            generation=claim.generation,
        )
        try:
            with anyio.fail_after(CLAIM_TIMEOUT_SECONDS):
                outcome = await self.group.submit(change)
        except TimeoutError:
            return self._defer(claim.table_key, row)
        except anyio.get_cancelled_exc_class():
            self._defer(claim.table_key, row)
            raise
        if isinstance(outcome, Applied):
            return WriteResult.STORED
        if isinstance(outcome, Raced):
            return WriteResult.LOST
        return self._defer(claim.table_key, row)

    def _defer(self, table_key: Key, row: ClaimRow) -> WriteResult:
        """
        Queue a final state to be written later.

        If the queue is full, the final state is lost and the row stays claimed.
        """
        if len(self.pending_writes) >= MAX_PENDING_WRITES:
            return WriteResult.LOST
        self.pending_writes[table_key, row.token] = _PendingWrite(
            table_key=table_key, row=row
        )
        return WriteResult.LATER

    async def _flush(self, pending: _PendingWrite) -> bool:
        """
        Write a pending final state over its own claim; True if nothing is left to do.

        An absent row is written too, so that a claim whose write is still on its way to
        the store finds the row and fails.
        """
        generation = self.table.generation
        rows = await self.table.read((pending.table_key,))
        expected = ABSENT
        if rows:
            found = decode_row(rows[0].value)
            is_own = found.token == pending.row.token
            if not is_own or found.state is not ClaimState.CLAIMED:
                return True
            expected = rows[0].revision
        change = Change(
            key=pending.table_key,
            expected_revision=expected,
            value=encode_row(pending.row),
            generation=generation,
        )
        with anyio.move_on_after(CLAIM_TIMEOUT_SECONDS):
            return isinstance(await self.group.submit(change), Applied)
        return False


def _released(row: ClaimRow) -> ClaimRow:
    return msgspec.structs.replace(row, state=ClaimState.RELEASED)


def _refuse_store_down(detail: str) -> Refused:
    return Refused(verdict=not_run(Reason.STORE_DOWN, detail, RETRY_AFTER_SECONDS))


def _refuse_answer_gone(holder: ClaimRow) -> Refused:
    detail = "the request ran, but its answer was not stored"
    verdict = Verdict(ran=RAN, reason=Reason.ANSWER_GONE, detail=detail)
    return Refused(verdict=verdict, holder=holder)


def _refuse_answer_unavailable(holder: ClaimRow, detail: str) -> Refused:
    verdict = Verdict(
        ran=RAN,
        reason=Reason.STORE_DOWN,
        detail=detail,
        retry_after=RETRY_AFTER_SECONDS,
    )
    return Refused(verdict=verdict, holder=holder)
