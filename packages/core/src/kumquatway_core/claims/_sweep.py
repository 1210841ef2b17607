"""
Deletes expired claims and their stored answers, in pages of bounded size.

Only the holder of a lease does this.
"""

import time
from collections.abc import Callable

import anyio
from loguru import logger

from kumquatway_core.claims._rows import OBJECT_PREFIX, TABLE, decode_row, hour_end
from kumquatway_core.exceptions import Conflict, PlatformError, UnreadableRow
from kumquatway_core.leases import Lease
from kumquatway_core.platform import (
    Expectation,
    Key,
    Objects,
    Row,
    Table,
    Transaction,
)

RETENTION_SECONDS = 24 * 3600.0
MAX_CLOCK_SKEW_SECONDS = 3600.0  # between the wall clocks of entries
PAGE_ROWS = 500
PAGE_INTERVAL_SECONDS = 0.1
PASS_INTERVAL_SECONDS = 60.0
LEASE_MARGIN_SECONDS = 2.0  # the lease must last this long when a page starts


class ClaimSweeper:
    """
    Scans the claims in passes and deletes the expired ones.

    :param table: client of the table service.
    :param objects: client of the object store, which holds the large answers.
    :param lease: its holder sweeps; two sweepers at once only waste store calls.
    :param clock: wall clock, seconds.
    """

    def __init__(
        self,
        *,
        table: Table,
        objects: Objects,
        lease: Lease,
        clock: Callable[[], float] = time.time,
    ):
        self.table = table
        self.objects = objects
        self.lease = lease
        self.clock = clock
        self.last_key = ""

    async def run(self) -> None:
        """Sweep whenever the lease is held, until cancelled."""
        while True:
            try:
                await self.lease.acquire_or_renew()
                more = (
                    self.lease.is_held(LEASE_MARGIN_SECONDS) and await self.sweep_page()
                )
            except PlatformError as error:
                logger.warning(
                    "the sweep of expired claims failed and is retried: {}", error
                )
                more = False
            await anyio.sleep(PAGE_INTERVAL_SECONDS if more else PASS_INTERVAL_SECONDS)

    async def sweep_page(self) -> bool:
        """
        Scan one page of rows and delete the expired ones.

        The last page of a pass also deletes expired large answers, by the hour in their
        names. This includes answers whose name was never written to a row.

        :return: whether more pages follow in this pass.
        :raises PlatformError: if the store did not answer.
        """
        rows = await self.table.scan(TABLE, after=self.last_key, limit=PAGE_ROWS)
        await self._delete([row for row in rows if self._is_expired(row)])
        more = len(rows) == PAGE_ROWS
        self.last_key = rows[-1].key if more else ""
        if not more:
            await self._delete_objects()
        return more

    def _is_expired(self, row: Row) -> bool:
        try:
            claimed_at = decode_row(row.value).claimed_at
        except UnreadableRow:
            return False  # written by a later release, whose sweeper deletes it
        return self._is_past_retention(claimed_at)

    def _is_past_retention(self, written_at: float) -> bool:
        return self.clock() - written_at > RETENTION_SECONDS + MAX_CLOCK_SKEW_SECONDS

    async def _delete(self, rows: list[Row]) -> None:
        if not rows:
            return
        try:
            await self.table.commit(_deletion(rows))
        except Conflict:
            logger.info(
                "a claim changed during the sweep; its page is swept in the next pass"
            )

    async def _delete_objects(self) -> None:
        for name in await self.objects.list_names(OBJECT_PREFIX, limit=PAGE_ROWS):
            try:
                end = hour_end(name)
            except ValueError as error:
                logger.warning("an object among those of claims is kept: {}", error)
                continue
            if not self._is_past_retention(end):
                break
            await self.objects.delete(name)


def _deletion(rows: list[Row]) -> Transaction:
    return Transaction(
        expectations=tuple(
            Expectation(table=row.table, key=row.key, revision=row.revision)
            for row in rows
        ),
        deletes=tuple(Key(table=row.table, key=row.key) for row in rows),
    )
