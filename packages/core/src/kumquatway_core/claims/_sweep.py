"""
Sweep.

Deletes expired claims in bounded batches, by whoever holds a lease.
"""

import time
from collections.abc import Callable

import anyio
from loguru import logger

from kumquatway_core.claims._rows import OBJECT_PREFIX, TABLE, decode_row, hour_end
from kumquatway_core.exceptions import Conflict, PlatformError
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
MAX_CLOCK_SKEW_SECONDS = 3600.0  # by which wall clocks of entries may differ
PAGE_ROWS = 500  # rows
PAGE_INTERVAL_SECONDS = 0.1  # between pages
PASS_INTERVAL_SECONDS = 60.0  # between passes
LEASE_MARGIN_SECONDS = 2.0  # of the lease, at each deletion


class ClaimSweeper:
    """
    Walks over the claims and deletes those that are expired.

    :param table: the table service.
    :param objects: the object store with the large answers.
    :param lease: who may sweep; two at once only cost store calls.
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
        """Sweep while the lease is held, until cancelled."""
        while True:
            try:
                await self.lease.acquire_or_renew()
                more = (
                    self.lease.is_held(LEASE_MARGIN_SECONDS) and await self.sweep_page()
                )
            except PlatformError as error:
                logger.warning("the sweep of claims waits: {}", error)
                more = False
            await anyio.sleep(PAGE_INTERVAL_SECONDS if more else PASS_INTERVAL_SECONDS)

    async def sweep_page(self) -> bool:
        """
        Look at one page of rows and delete what is expired on it.

        Large answers go with the last page of a pass, by the hour in their names, so
        that those whose row never came to name them go too.

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
            written = decode_row(row.value).claimed_at
        except PlatformError:
            return False  # of a later release; its own sweep deletes it
        return self._is_past_retention(written)

    def _is_past_retention(self, time: float) -> bool:
        return self.clock() - time > RETENTION_SECONDS + MAX_CLOCK_SKEW_SECONDS

    async def _delete(self, rows: list[Row]) -> None:
        if not rows:
            return
        try:
            await self.table.commit(_deletion(rows))
        except Conflict:
            logger.info("a claim changed under the sweep; the next pass sees it")

    async def _delete_objects(self) -> None:
        for name in await self.objects.list_names(OBJECT_PREFIX, limit=PAGE_ROWS):
            if not self._is_past_retention(hour_end(name)):
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
