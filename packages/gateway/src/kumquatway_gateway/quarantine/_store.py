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
from kumquatway_gateway.quarantine._blocks import BlockState
from kumquatway_gateway.quarantine._quarantine import Quarantine

CHECK_SECONDS = 0.1  # between checks of whether there is something to read or write
RETRY_SECONDS = 1.0  # after a call of the store failed
MIN_READ_INTERVAL_SECONDS = 2.0
# Entries that hear of a block write it after a delay, up to this time for each entry,
# so that most find it written.
WRITE_DELAY_SECONDS = 0.05
# For the store to grant a trial, while the request waits.
TRIAL_TIMEOUT_SECONDS = 0.3
TRIAL_RETRY_SECONDS = 5.0  # after a trial was not granted


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredBlock:
    """
    A set of features and the state of its block, as the store keeps it.

    :param age: seconds since the state changed.
    """

    features: frozenset[str]
    version: int
    trials: int
    lifted: bool
    age: float

    def is_forgotten(self) -> bool:
        """Tell whether the store need not keep it any more."""
        return self.to_state(0.0).forgotten_at() <= 0.0

    def to_state(self, now: float) -> BlockState:
        """
        Return the state for an entry.

        :param now: its clock, monotonic seconds.
        """
        return BlockState(
            version=self.version,
            trials=self.trials,
            lifted=self.lifted,
            changed_at=now - max(0.0, self.age),
        )


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
        Write blocks, and delete those that are forgotten.

        :param blocks: blocks that the store may lack.
        :raises PlatformError: if the store did not respond.
        """

    async def replace(self, block: StoredBlock) -> bool:
        """
        Write a block if the store holds no state of it that is as new.

        :param block: the new state.
        :return: whether it was written; of several entries, one is told so.
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
        self.has_read = False
        self.read_at = float("-inf")
        self.generation = UNKNOWN_GENERATION
        # When a block of this entry is to be written, by its features.
        self.write_at: dict[frozenset[str], float] = {}
        self.next_trial_at = float("-inf")

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
            await self._read(now)
        await self._write()

    async def claim_trial(self, features: frozenset[str]) -> bool:
        """
        Ask the store whether this entry may try a blocked request now.

        Load pattern: hundreds of entries get the same request, and each would find that
        a trial is due. The store lets one of them try it, and none while it is away.

        :param features: features of the request.
        :return: whether this request, and no other one, is to be sent to a server.
        """
        due = self.quarantine.due_trials(features)
        if not due or self.clock() < self.next_trial_at:
            return False
        self.next_trial_at = self.clock() + TRIAL_RETRY_SECONDS
        try:
            async with asyncio.timeout(TRIAL_TIMEOUT_SECONDS):
                return await self._claim(due)
        except (PlatformError, TimeoutError) as error:
            logger.info("trial of a blocked request not granted: {}", error or "late")
            return False

    async def _claim(self, due: Collection[frozenset[str]]) -> bool:
        for names in due:
            state = self.quarantine.blocks.next_trial(names)
            if not await self.source.replace(self._to_stored(names, state)):
                self.read_due = True
                return False
            self.quarantine.begin_trial(names, state)
            self.quarantine.blocks.mark_stored([(names, state)])
        return True

    async def _read(self, now: float) -> None:
        self.read_at = now
        self.read_due = False  # a request for another read may come meanwhile
        try:
            blocks = await self.source.read()
        except PlatformError:
            self.read_due = True
            raise
        now = self.clock()
        for block in blocks:
            state = block.to_state(now)
            self.quarantine.receive_block(block.features, state, stored=True)
        self.has_read = True

    def _notice_older_store(self) -> None:
        """Write all blocks again if the store came back from an older copy."""
        generation = self.source.generation
        if generation == self.generation:
            return
        if self.generation != UNKNOWN_GENERATION:
            self.quarantine.blocks.mark_all_unstored()
            self.read_due = True
        self.generation = generation

    async def _write(self) -> None:
        due = self._due_blocks()
        if not due:
            return
        await self.source.write([self._to_stored(*item) for item in due])
        self.quarantine.blocks.mark_stored(due)

    def _to_stored(self, names: frozenset[str], state: BlockState) -> StoredBlock:
        return StoredBlock(
            features=names,
            version=state.version,
            trials=state.trials,
            lifted=state.lifted,
            age=self.clock() - state.changed_at,
        )

    def _due_blocks(self) -> list[tuple[frozenset[str], BlockState]]:
        """Return the blocks to write now."""
        now = self.clock()
        blocks = self.quarantine.blocks
        longest = WRITE_DELAY_SECONDS * self.entry_count()
        self.write_at = {
            names: self.write_at.get(names, now + random.uniform(0, longest))
            for names in blocks.unstored
        }
        due = [names for names, at in self.write_at.items() if at <= now]
        return [(names, blocks.states[names]) for names in due]
