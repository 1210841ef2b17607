"""
Keeps the blocks in the store, so that they outlive the processes of all entries.
"""

import asyncio
import random
import time
from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import Protocol

from loguru import logger

from kumquatway_core.exceptions import PlatformError
from kumquatway_core.platform import UNKNOWN_GENERATION
from kumquatway_gateway.quarantine._quarantine import Quarantine

CHECK_SECONDS = 0.1  # between checks of whether there is something to read or write
RETRY_SECONDS = 1.0  # after a call of the store failed
MIN_READ_INTERVAL_SECONDS = 2.0
# Entries that hear of a block write it after a delay, up to this time for each entry,
# so that most find it written.
WRITE_DELAY_SECONDS = 0.05


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredBlock:
    """
    A set of features whose requests reach no server, as the store keeps it.

    :param age: seconds since it was blocked first.
    """

    features: frozenset[str]
    age: float


class BlockSource(Protocol):
    """
    Reads and writes the blocks of all entries.

    :ivar generation: generation of the store; an older copy may lack some blocks.
    """

    generation: int

    async def read(self) -> tuple[StoredBlock, ...]:
        """
        Read all blocks.

        :raises PlatformError: if the store did not respond.
        """

    async def write(self, blocks: Collection[StoredBlock]) -> None:
        """
        Write blocks, and delete those that have expired.

        :param blocks: blocks that the store may lack.
        :raises PlatformError: if the store did not respond.
        """


class BlockKeeper:
    """
    Reads the blocks at the start and with each new crash, and writes those of its own.

    An entry that is cut off from its peers learns of their blocks at the first crash
    that it sees itself.

    :param source: the store's blocks.
    :param quarantine: the blocks that this entry knows.
    :param entry_count: returns the number of entries.
    :param clock: monotonic seconds.
    """

    def __init__(
        self,
        *,
        source: BlockSource,
        quarantine: Quarantine,
        entry_count: Callable[[], int],
        clock: Callable[[], float] = time.monotonic,
    ):
        self.source = source
        self.quarantine = quarantine
        self.entry_count = entry_count
        self.clock = clock
        self.read_due = True
        self.read_at = float("-inf")
        self.generation = UNKNOWN_GENERATION
        # When a block of this entry is to be written, by its features.
        self.write_at: dict[frozenset[str], float] = {}

    async def run(self) -> None:
        """Synchronize the blocks with the store, until cancelled."""
        while True:
            try:
                await self.synchronize()
            except PlatformError as error:
                logger.warning("blocked requests not synchronized: {}", error)
                await asyncio.sleep(RETRY_SECONDS)
            await asyncio.sleep(CHECK_SECONDS)

    def request_read(self) -> None:
        """Read the blocks soon, as a server has crashed."""
        self.read_due = True

    async def synchronize(self) -> None:
        """
        Read and write what is due.

        :raises PlatformError: if the store did not respond.
        """
        self._notice_older_store()
        now = self.clock()
        if self.read_due and now - self.read_at >= MIN_READ_INTERVAL_SECONDS:
            self.read_at = now
            for block in await self.source.read():
                self.quarantine.receive_block(block.features, block.age, stored=True)
            self.read_due = False
        await self._write()

    def _notice_older_store(self) -> None:
        """Write all blocks again if the store came back from an older copy."""
        generation = self.source.generation
        if generation == self.generation:
            return
        if self.generation != UNKNOWN_GENERATION:
            for block in self.quarantine.blocks.values():
                block.stored = False
            self.read_due = True
        self.generation = generation

    async def _write(self) -> None:
        due = self._due_blocks()
        if not due:
            return
        blocks = [
            StoredBlock(features=features, age=self.clock() - block.since)
            for features, block in due.items()
        ]
        await self.source.write(blocks)
        for block in due.values():
            block.stored = True

    def _due_blocks(self) -> dict:
        """Return the blocks to write now."""
        now = self.clock()
        unstored = {f: b for f, b in self.quarantine.blocks.items() if not b.stored}
        longest = WRITE_DELAY_SECONDS * self.entry_count()
        self.write_at = {
            features: self.write_at.get(features, now + random.uniform(0, longest))
            for features in unstored
        }
        return {f: b for f, b in unstored.items() if self.write_at[f] <= now}
