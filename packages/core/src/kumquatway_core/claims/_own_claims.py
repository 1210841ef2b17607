"""
Remembers the claims that this process wrote, and writes them again if they are lost.
"""

import time
from collections.abc import Callable

from loguru import logger

from kumquatway_core.claims._rows import ClaimRow, ClaimState, decode_row, encode_row
from kumquatway_core.platform import (
    ABSENT,
    FIRST_GENERATION,
    UNKNOWN_GENERATION,
    Applied,
    Change,
    GroupCommit,
    Key,
    Table,
)

# Longer than the copies from which a store comes back are old.
REMEMBERED_SECONDS = 60.0
# After the store came back, before keys are granted: all entries have polled the store
# by then, and have written their claims again.
RESTORE_SECONDS = 5.0
MAX_REMEMBERED_BYTES = 16 * 1024 * 1024
STATE_ORDER = (ClaimState.CLAIMED, ClaimState.RELEASED, ClaimState.FINISHED)


class OwnClaims:
    """
    Claims of this process that an older copy of the store may lack.

    Load pattern: the store comes back without the claims of its last seconds, and the
    callers of the requests that were interrupted repeat their keys at other entries.

    :param table: client of the table service.
    :param group: commits the rows.
    :param clock: monotonic seconds.
    """

    def __init__(
        self,
        *,
        table: Table,
        group: GroupCommit,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.table = table
        self.group = group
        self.clock = clock
        self.generation = UNKNOWN_GENERATION
        self.rows: dict[Key, tuple[ClaimRow, int, float]] = {}  # row, size, written at
        self.size = 0
        self.to_restore: dict[Key, ClaimRow] = {}
        self.restoring_until = float("-inf")

    def remember(self, table_key: Key, row: ClaimRow) -> None:
        """
        Remember a row that was written; the oldest ones are forgotten.

        :param table_key: key of the row.
        :param row: content of the row.
        """
        self._forget(table_key)
        size = len(encode_row(row))
        self.rows[table_key] = (row, size, self.clock())
        self.size += size
        cutoff = self.clock() - REMEMBERED_SECONDS
        while self.rows:
            oldest, (_, _, written_at) = next(iter(self.rows.items()))
            if written_at >= cutoff and self.size <= MAX_REMEMBERED_BYTES:
                break
            self._forget(oldest)

    def may_grant(self) -> bool:
        """
        Tell whether keys may be granted, by what responses of the store showed so far.

        :return: False while this or another entry may still write a claim again.
        """
        self._check_generation()
        return not self.to_restore and self.clock() >= self.restoring_until

    async def restore(self) -> None:
        """
        Write the claims again that the store lost.

        :raises PlatformError: if the store failed; the rest is written next time.
        """
        self._check_generation()
        for table_key, row in list(self.to_restore.items()):
            if await self._restore(table_key, row):
                self.to_restore.pop(table_key, None)

    def _forget(self, table_key: Key) -> None:
        known = self.rows.pop(table_key, None)
        if known is not None:
            self.size -= known[1]

    def _check_generation(self) -> None:
        generation = self.table.generation
        if generation == self.generation:
            return
        self.generation = generation
        if generation <= FIRST_GENERATION:
            return
        self.restoring_until = self.clock() + RESTORE_SECONDS
        self.to_restore = {key: row for key, (row, _, _) in self.rows.items()}
        logger.warning(
            "the store is in generation {}: {} claims are checked, and no key is "
            "granted for {} s",
            generation,
            len(self.to_restore),
            RESTORE_SECONDS,
        )

    def _give_up(self, table_key: Key, row: ClaimRow, found: ClaimRow) -> bool:
        """
        Leave a claim that another attempt has replaced; False to look again later.

        An entry may have claimed the key before it knew of the generation, and releases
        it then.
        """
        if row.state is ClaimState.RELEASED:
            return True
        if found.state is ClaimState.CLAIMED and self.clock() < self.restoring_until:
            return False
        logger.error(
            "claim {} of attempt {} was forgotten by the store, and the key granted to "
            "attempt {} since: the request may have run twice",
            table_key.key,
            row.attempt,
            found.attempt,
        )
        return True

    async def _restore(self, table_key: Key, row: ClaimRow) -> bool:
        """Write a row again unless the store has it; True if nothing is left to do."""
        generation = self.table.generation
        rows = await self.table.read((table_key,))
        expected = ABSENT
        if rows:
            found = decode_row(rows[0].value)
            if found.token != row.token and found.state is not ClaimState.RELEASED:
                return self._give_up(table_key, row, found)
            if not _is_older(found, row):
                return True
            expected = rows[0].revision
        change = Change(
            key=table_key,
            expected_revision=expected,
            value=encode_row(row),
            generation=generation,
        )
        return isinstance(await self.group.submit(change), Applied)


def _is_older(found: ClaimRow, row: ClaimRow) -> bool:
    """Tell whether a found row is to be replaced by a claim of this process."""
    if found.token != row.token:
        return row.state is not ClaimState.RELEASED
    return STATE_ORDER.index(found.state) < STATE_ORDER.index(row.state)
