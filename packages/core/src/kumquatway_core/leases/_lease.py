"""
Lease.

One doer at a time by a row of the table service, with a fencing number.
"""

import contextlib
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from kumquatway_core.exceptions import Conflict, PlatformError
from kumquatway_core.platform import (
    ABSENT,
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
PLANNER_LEASE = "planner"  # name of the lease under which engines get orders
DURATION_SECONDS = 10.0
RENEWAL_FRACTION = 0.5  # of the duration left, above which nothing is written
MAX_CLOCK_DRIFT = 0.01  # share by which two monotonic clocks may run apart
EXPIRED = float("-inf")


def boot_clock() -> float:
    """
    Read a monotonic clock that runs on while the system is suspended.

    :return: seconds since the boot.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class LeaseRow(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    A lease as the table keeps it; the row is never deleted.

    :param holder: id of a process's life, or "" once released.
    :param number: the fencing number; rises with each change of holder.
    :param duration: seconds that the holder may act after asking for it.
    :param order_bound: seconds that an order of the holder may take to land.
    """

    holder: str
    fencing_number: int
    duration: float
    order_bound: float


@dataclass(frozen=True, kw_only=True, slots=True)
class _ObservedRow:
    """Another's row and since when it is known unchanged."""

    revision: int
    first_seen_at: float


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(LeaseRow)


class Lease:
    """
    One process's part in a lease.

    :param table: the table service.
    :param name: of the duty.
    :param holder: id of this life of the process, never used by another.
    :param duration: how long it holds without a renewal, seconds.
    :param order_bound: the longest time from the check before an order until the
        order can no longer take effect, seconds; 0 where every upstream of the duty
        refuses old numbers.
    :param clock: a monotonic clock that also runs while the process is paused.
    :param is_gone: tells of a holder that its life has surely or most likely ended; its
        time is then not waited out. Only for duties whose every upstream refuses old
        numbers, since a holder that is wrongly taken for gone may still act.
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
    ):
        self.table = table
        self.name = name
        self.holder = holder
        self.duration = duration
        self.order_bound = order_bound
        self.clock = clock
        self.is_holder_gone = is_holder_gone
        self.other_holder = ""  # the other holder that was seen last
        self.fencing_number = 0
        self.expires = EXPIRED
        self.observed: _ObservedRow | None = None
        self.revision: int | None = None  # of the row as this holder wrote it last
        self.contested = False  # another holder was seen since the last hold

    async def acquire_or_renew(self) -> bool:
        """
        Acquire the lease or renew it; to be called a few times per duration.

        While more than half of the duration is left, the store is not asked.

        :return: whether it is held now.
        """
        if self.is_held(self.duration * RENEWAL_FRACTION):
            return True
        with contextlib.suppress(PlatformError):  # it holds until it expires
            await self._try_acquire()
        return self.is_held()

    def is_held(self, margin: float = 0.0) -> bool:
        """
        Tell whether the lease holds, by the own clock alone.

        Read it just before each act, after every wait.

        :param margin: seconds that it must hold from now.
        :return: True while nobody else can act as holder.
        """
        return self.clock() + margin < self.expires

    def fencing_number_if_held(self, margin: float) -> int | None:
        """
        Give the fencing number for an order that is sent at once.

        :param margin: seconds that the lease must hold from now.
        :return: the number, or None where the order must not be sent.
        """
        return self.fencing_number if self.is_held(margin) else None

    def uncontested_fencing_number(self) -> int | None:
        """
        Give the last number held, where no other holder was ever seen after it.

        For upstreams that refuse old numbers: while the store is away nobody can take
        the lease, and one that takes it later has a higher number, so that an order
        under this one is either the newest or refused.

        :return: the number, or None where another holder is known.
        """
        if not self.fencing_number or self.contested:
            return None
        return self.fencing_number

    async def release(self) -> bool:
        """
        Give the lease up, once every order has been answered.

        :return: whether the table says so; if not, it lapses.
        """
        self._mark_lost()
        try:
            row = await self._read()
            found = _decode_row(row)
            if row is None or found.holder != self.holder:
                return False
            released = msgspec.structs.replace(found, holder="")
            await self._write(row.revision, released)
        except PlatformError:
            return False
        return True

    async def _try_acquire(self) -> None:
        # A row that is still as it was written here need not be read.
        if self.revision is not None and await self._write_own_row(
            self.revision, self.fencing_number
        ):
            return
        row = await self._read()
        found = _decode_row(row)
        if found is not None and found.holder != self.holder:
            self._mark_lost()
            self.other_holder = found.holder
            if self._must_wait(row.revision, found):
                return
        number = _next_fencing_number(found, self.holder)
        await self._write_own_row(row.revision if row else ABSENT, number)

    async def _write_own_row(self, revision: int, number: int) -> bool:
        """Write the lease down as held here; False where its row had changed."""
        self.revision = None
        asked = self.clock()
        mine = LeaseRow(
            holder=self.holder,
            fencing_number=number,
            duration=self.duration,
            order_bound=self.order_bound,
        )
        try:
            committed = await self._write(revision, mine)
        except Conflict:
            return False
        [self.revision] = committed.revisions
        self.fencing_number = number
        self.expires = asked + self.duration
        self.observed = None
        self.contested = False
        return True

    def _mark_lost(self) -> None:
        self.expires = EXPIRED
        self.revision = None
        self.contested = True

    def _must_wait(self, revision: int, found: LeaseRow) -> bool:
        if not found.holder:
            return False
        over = self._has_expired(revision, found)
        return not over and not self.is_holder_gone(found.holder)

    def _has_expired(self, revision: int, found: LeaseRow) -> bool:
        """Tell whether the holder's time and its last order are surely over."""
        now = self.clock()
        if self.observed is None or self.observed.revision != revision:
            self.observed = _ObservedRow(revision=revision, first_seen_at=now)
        bound = max(found.order_bound, self.order_bound)
        wait = found.duration * (1 + MAX_CLOCK_DRIFT) + bound
        return now - self.observed.first_seen_at > wait

    async def _read(self) -> Row | None:
        rows = await self.table.read((Key(table=TABLE, key=self.name),))
        return rows[0] if rows else None

    async def _write(self, revision: int, row: LeaseRow) -> Committed:
        place = Expectation(table=TABLE, key=self.name, revision=revision)
        put = Put(table=TABLE, key=self.name, value=_encoder.encode(row))
        return await self.table.commit(Transaction(expectations=(place,), puts=(put,)))


async def read_lease(table: "Table", name: str) -> LeaseRow | None:
    """
    Read a lease without taking part in it.

    :param table: the table service.
    :param name: of the duty.
    :return: the row, or None if nobody ever held it.
    :raises PlatformError: if the table service did not answer, or not with a lease.
    """
    rows = await table.read((Key(table=TABLE, key=name),))
    return _decode_row(rows[0] if rows else None)


def _next_fencing_number(found: LeaseRow | None, holder: str) -> int:
    if found is None:
        return 1
    return found.fencing_number if found.holder == holder else found.fencing_number + 1


def _decode_row(row: Row | None) -> LeaseRow | None:
    if row is None:
        return None
    try:
        return _decoder.decode(row.value)
    except msgspec.MsgspecError as error:
        raise PlatformError(f"a row that is no lease: {error}") from error
