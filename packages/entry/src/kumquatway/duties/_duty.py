"""
Duty.

One entry's part in a duty that has one doer at a time.
"""

from collections.abc import Awaitable, Callable

import anyio
import xxhash
from loguru import logger

from kumquatway_core.events import Event, LeaseChanged
from kumquatway_core.leases import Lease

CANDIDATES = 3  # entries that stand for a duty and so ask the store
HOLD_INTERVAL = 3.0  # seconds
HELD_CHECK = 1.0  # seconds
MARGIN = 1.0  # seconds that the lease must hold from an act


class Duty:
    """
    Keeps a lease while this entry is among the few that stand for it.

    :param lease: of the duty.
    :param address: of this entry.
    :param entries: lists the addresses of the live entries.
    :param emit: writes down an event.
    :param sleep: waits some seconds.
    """

    def __init__(
        self,
        *,
        lease: Lease,
        address: str,
        entries: Callable[[], tuple[str, ...]],
        emit: Callable[[Event], object],
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
    ):
        self.lease = lease
        self.address = address
        self.entries = entries
        self.emit = emit
        self.sleep = sleep
        self.held = False
        self.standing = True

    async def run(self) -> None:
        """Take and renew the lease until cancelled."""
        while True:
            await self.step()
            await self.sleep(HOLD_INTERVAL)

    async def step(self) -> None:
        """Ask for the lease once, if this entry stands for it."""
        if self.lease.is_held() or self.stands():
            await self.lease.acquire_or_renew()
        self._note("lost")

    async def run_while_held(self, run: Callable[[], Awaitable[None]]) -> None:
        """
        Run a task whenever the lease is held, until cancelled.

        :param run: cancelled when the lease is lost.
        """
        while True:
            if self.held:
                async with anyio.create_task_group() as group:
                    group.start_soon(run)
                    while self.held:
                        await self.sleep(HELD_CHECK)
                    group.cancel_scope.cancel()
            await self.sleep(HELD_CHECK)

    def stands(self) -> bool:
        """
        Tell whether this entry is a candidate.

        :return: True for the first few by the hash of duty and entry.
        """
        if not self.standing:
            return False
        ranked = sorted(self.entries(), key=self._rank)
        return self.address in ranked[:CANDIDATES]

    def number(self) -> int | None:
        """
        Give the fencing number for an act that is done at once.

        :return: the number, or None where nothing may be done.
        """
        return self.lease.fencing_number_if_held(MARGIN) if self.standing else None

    async def stand_down(self) -> None:
        """Do nothing more and give the lease back; every act has ended."""
        self.standing = False
        if self.lease.is_held():
            await self.lease.release()
        self._note("released")

    def _note(self, end: str) -> None:
        held = self.lease.is_held()
        if held == self.held:
            return
        self.held = held
        state = "taken" if held else end
        number = self.lease.fencing_number
        self.emit(LeaseChanged(lease=self.lease.name, state=state, fencing=number))
        logger.info("the lease {} is {}, number {}", self.lease.name, state, number)

    def _rank(self, entry: str) -> int:
        return xxhash.xxh64_intdigest(f"{self.lease.name}/{entry}".encode())
