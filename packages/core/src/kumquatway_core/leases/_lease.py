"""
A lease on a duty: a row of the table service names the one process that may act.

Each change of holder raises the fencing number of the lease.
"""

import contextlib
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from kumquatway_core.decoding import Decoder
from kumquatway_core.exceptions import (
    Conflict,
    InvalidData,
    PlatformError,
    UnreadableRow,
)
from kumquatway_core.platform import (
    ABSENT,
    FIRST_GENERATION,
    UNKNOWN_GENERATION,
    Committed,
    Expectation,
    Key,
    Put,
    Row,
    Transaction,
)

if TYPE_CHECKING:
    from kumquatway_core.platform import Table

TABLE = "leases"
PLANNER_LEASE = "planner"  # lease whose holder sends orders to the engines
DURATION_SECONDS = 10.0
RENEWAL_FRACTION = 0.5  # renew once less than this fraction of the duration is left
MAX_CLOCK_DRIFT = 0.01  # fraction by which the rates of two monotonic clocks may differ
EXPIRED = float("-inf")
# Numbers of a generation of the store start above those of the earlier ones, as servers
# may have seen numbers that the store has lost.
NUMBERS_PER_GENERATION = 10**12


def boot_clock() -> float:
    """
    Read a monotonic clock that keeps running while the system is suspended.

    :return: seconds since boot.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class LeaseRow(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    A lease as stored in the table; the row is never deleted.

    :param holder: unique ID of one run of the holding process, "" once released.
    :param fencing_number: rises with each change of holder.
    :param duration: seconds that the holder may act, from when it sent the request.
    :param order_bound: most seconds until an order of the holder has taken effect.
    :param generation: generation of the store in which the holder wrote the row.
    """

    holder: str
    fencing_number: int
    duration: float
    order_bound: float
    generation: int = UNKNOWN_GENERATION


@dataclass(frozen=True, kw_only=True, slots=True)
class _ObservedRow:
    """Row of another holder, and when this revision of the row was first read."""

    revision: int
    generation: int
    first_seen_at: float


_encoder = msgspec.msgpack.Encoder()
_decoder = Decoder(LeaseRow, codec=msgspec.msgpack)


class Lease:
    """
    Acquires, renews and releases a lease on behalf of one process.

    :param table: client of the table service.
    :param name: name of the duty that the lease protects.
    :param holder: unique ID of this run of the process, never reused.
    :param duration: seconds that the lease lasts without a renewal.
    :param order_bound: most seconds from the check before an order until the order can
        no longer take effect; 0 if every upstream of the duty refuses old fencing
        numbers.
    :param clock: monotonic clock that also runs while the process is paused, seconds.
    :param is_holder_gone: tells whether the process of a holder has certainly or very
        probably ended; its lease is then taken over without waiting for the expiry.
        Only safe if every upstream of the duty refuses old fencing numbers, since a
        holder that is wrongly reported as gone may still act.
    :param fenced: whether every upstream of the duty refuses old fencing numbers. Then
        a holder that the store has forgotten need not be waited out.
    """

    def __init__(
        self,
        *,
        table: "Table",
        name: str,
        holder: str,
        duration: float = DURATION_SECONDS,
        order_bound: float = 0.0,
        clock: Callable[[], float] = boot_clock,
        is_holder_gone: Callable[[str], bool] = lambda holder: False,
        fenced: bool = False,
    ):
        self.table = table
        self.name = name
        self.holder = holder
        self.duration = duration
        self.order_bound = order_bound
        self.clock = clock
        self.is_holder_gone = is_holder_gone
        self.fenced = fenced
        self.other_holder = ""  # the last other holder that was read
        self.fencing_number = 0
        self.expires = EXPIRED
        self.observed: _ObservedRow | None = None
        self.revision: int | None = None  # of the row after the last own write
        self.generation = UNKNOWN_GENERATION  # of the store, at that write
        self.contested = False  # lost or released since the last own write

    async def acquire_or_renew(self) -> bool:
        """
        Acquire or renew the lease; call this a few times per duration.

        Does not call the store while more than half of the duration is left.

        :return: whether the lease is held now.
        """
        if self.is_held(self.duration * RENEWAL_FRACTION):
            return True
        with contextlib.suppress(PlatformError):  # held until it expires
            await self._try_acquire()
        return self.is_held()

    def is_held(self, margin: float = 0.0) -> bool:
        """
        Tell whether this process holds the lease, by its own clock alone.

        Check this immediately before each action, and again after every wait.

        :param margin: seconds from now for which the lease must still be held.
        :return: True while no other process can act as holder.
        """
        return self.clock() + margin < self.expires

    def fencing_number_if_held(self, margin: float) -> int | None:
        """
        Return the fencing number for an order that is sent immediately.

        :param margin: seconds from now for which the lease must still be held.
        :return: fencing number, or None if the order must not be sent.
        """
        return self.fencing_number if self.is_held(margin) else None

    def uncontested_fencing_number(self) -> int | None:
        """
        Return the last fencing number, even if expired, unless another holder is known.

        For upstreams that refuse old fencing numbers. While the store is unavailable,
        no process can acquire the lease. A later holder gets a higher number, so an
        order with this number is either from the latest holder or refused.

        :return: fencing number, or None if the lease was never held, was released, or
            had another holder since.
        """
        if not self.fencing_number or self.contested:
            return None
        return self.fencing_number

    async def release(self) -> bool:
        """
        Release the lease; call this only when every order has been answered.

        :return: whether the release was stored; if not, the lease expires by itself.
        """
        self._mark_lost()
        generation = self.table.generation
        try:
            row = await self._read()
            found = _decode_row(row)
            if row is None or found.holder != self.holder:
                return False
            # The generation stays: the store may have lost a later holder.
            released = msgspec.structs.replace(found, holder="")
            await self._write(row.revision, released, generation)
        except PlatformError:
            return False
        return True

    async def _try_acquire(self) -> None:
        # If the row has not changed since the last own write, one write renews it.
        generation = self.table.generation
        renewable = self.revision is not None and self.generation == generation
        if renewable and await self._write_own_row(
            self.revision, self.fencing_number, generation
        ):
            return
        row = await self._read()
        generation = generation or self.table.generation
        found = _decode_row(row)
        if found is not None and found.holder != self.holder:
            self._mark_lost()
            self.other_holder = found.holder
        if self._must_wait(row, found, generation):
            return
        number = self._next_fencing_number(row, found, generation)
        await self._write_own_row(row.revision if row else ABSENT, number, generation)

    def _next_fencing_number(
        self, row: Row | None, found: LeaseRow | None, generation: int
    ) -> int:
        """
        Return the number for the next holder of a row, which may be this process.

        After the store has come back older, a write that was on its way may replace the
        row of a new holder, if that has the expected revision. So the number of that
        holder may be unknown. It is at most the row's revision, counted from the lowest
        number of the generation: each change of holder raises both.
        """
        if not _may_have_lost_holder(found, generation):
            if found is None:
                return 1
            return found.fencing_number + (found.holder != self.holder)
        return _lowest_number(generation) + (row.revision if row else ABSENT) + 1

    async def _write_own_row(self, revision: int, number: int, generation: int) -> bool:
        """Write a row that names this holder; False if the row had changed."""
        self.revision = None
        requested_at = self.clock()
        own_row = LeaseRow(
            holder=self.holder,
            fencing_number=number,
            duration=self.duration,
            order_bound=self.order_bound,
            generation=generation,
        )
        try:
            committed = await self._write(revision, own_row, generation)
        except Conflict:
            return False
        [self.revision] = committed.revisions
        self.generation = generation
        self.fencing_number = number
        self.expires = requested_at + self.duration
        self.observed = None
        self.contested = False
        return True

    def _mark_lost(self) -> None:
        self.expires = EXPIRED
        self.revision = None
        self.contested = True

    def _must_wait(
        self, row: Row | None, found: LeaseRow | None, generation: int
    ) -> bool:
        """Tell whether another process may still act as holder."""
        if not self.fenced and _may_have_lost_holder(found, generation):
            return not self._has_expired(row, found, generation)
        if found is None or found.holder in ("", self.holder):
            return False
        expired = self._has_expired(row, found, generation)
        return not expired and not self.is_holder_gone(found.holder)

    def _has_expired(
        self, row: Row | None, found: LeaseRow | None, generation: int
    ) -> bool:
        """Tell whether the holder's lease and its last order have certainly ended."""
        now = self.clock()
        revision = row.revision if row else ABSENT
        seen = self.observed
        if seen is None or (seen.revision, seen.generation) != (revision, generation):
            seen = self.observed = _ObservedRow(
                revision=revision, generation=generation, first_seen_at=now
            )
        duration = max(found.duration, self.duration) if found else self.duration
        order_bound = max(found.order_bound if found else 0.0, self.order_bound)
        wait = duration * (1 + MAX_CLOCK_DRIFT) + order_bound
        return now - seen.first_seen_at > wait

    async def _read(self) -> Row | None:
        rows = await self.table.read((Key(table=TABLE, key=self.name),))
        return rows[0] if rows else None

    async def _write(self, revision: int, row: LeaseRow, generation: int) -> Committed:
        unchanged = Expectation(table=TABLE, key=self.name, revision=revision)
        put = Put(table=TABLE, key=self.name, value=_encoder.encode(row))
        return await self.table.commit(
            Transaction(expectations=(unchanged,), puts=(put,)), generation
        )


async def read_lease(table: "Table", name: str) -> LeaseRow | None:
    """
    Read a lease without trying to acquire it.

    After the store has come back from an older copy, the row may have a number below
    one that was in use. The lease then has the lowest number of the generation.

    :param table: client of the table service.
    :param name: name of the duty that the lease protects.
    :return: stored lease, or None if it was never held.
    :raises PlatformError: if the table service failed or the row is not a lease.
    """
    rows = await table.read((Key(table=TABLE, key=name),))
    found = _decode_row(rows[0] if rows else None)
    if not _may_have_lost_holder(found, table.generation):
        return found
    if found is None:
        found = LeaseRow(holder="", fencing_number=0, duration=0.0, order_bound=0.0)
    number = max(found.fencing_number, _lowest_number(table.generation))
    return msgspec.structs.replace(found, fencing_number=number)


def _lowest_number(generation: int) -> int:
    return max(0, generation - FIRST_GENERATION) * NUMBERS_PER_GENERATION


def _may_have_lost_holder(found: LeaseRow | None, generation: int) -> bool:
    """Tell whether the store may have lost the row of a later holder."""
    if generation <= FIRST_GENERATION:
        return False
    return found is None or found.generation != generation


def _decode_row(row: Row | None) -> LeaseRow | None:
    if row is None:
        return None
    try:
        return _decoder.decode(row.value)
    except InvalidData as error:
        raise UnreadableRow(f"cannot decode lease {row.key}: {error}") from error
