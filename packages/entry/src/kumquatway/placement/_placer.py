"""
Placer.

The task of an entry that plans the placement while it holds the planner's lease.

It keeps nothing that lasts: each round reads what agents report, so that the next
holder goes on wherever this one stopped.
"""

import time
import uuid
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio
from loguru import logger

from kumquatway.placement._plan import plan
from kumquatway.placement._steps import steps
from kumquatway.placement._types import Action, Fleet, Holdings, Limits, Move, Wave
from kumquatway_core import RAN, Reason, Verdict, may_have_run, not_run
from kumquatway_core.text import Text
from kumquatway_core.wire import Order

INTERVAL = 1.0  # seconds
MIN_ORDER_TIMEOUT = 5.0  # seconds
ORDER_MARGIN = 2.0  # times the time that the weight store needs


@dataclass(frozen=True, kw_only=True, slots=True)
class _Basis:
    """What a target was computed for: all but the holdings of the VMs."""

    text: Text
    members: frozenset[tuple[str, str, str, str]]


class Placer:
    """
    Plans and orders while its entry holds the lease.

    :param holds_lease: the fencing number while the lease holds, else None; asked
        again just before each order.
    :param text: the text in force, or None before there is one.
    :param fleet: the VMs as their agents report them.
    :param order: sends an order and waits for its end.
    :param clock: monotonic seconds.
    :param sleep: waits some seconds.
    """

    def __init__(
        self,
        *,
        holds_lease: Callable[[], int | None],
        text: Callable[[], Text | None],
        fleet: Callable[[], Fleet],
        order: Callable[[str, Order], Awaitable[Verdict]],
        limits: Limits | None = None,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
    ):
        self.holds_lease = holds_lease
        self.text = text
        self.fleet = fleet
        self.order = order
        self.limits = limits or Limits()
        self.clock = clock
        self.sleep = sleep
        self.stalled: tuple[Move, ...] = ()
        self.busy_seconds = 0.0
        self._basis: _Basis | None = None
        self._target: Holdings = {}

    async def run(self) -> None:
        """Make a round in each interval, for ever."""
        while True:
            await self.round()
            await self.sleep(INTERVAL)

    async def round(self) -> Wave | None:
        """
        Order the first wave of what is left to do.

        :return: the wave, or None where there is nothing to do or no lease.
        """
        text = self.text()
        if text is None or self.holds_lease() is None:
            self._basis = None
            return None
        fleet = self.fleet()
        wave = await anyio.to_thread.run_sync(self._next_wave, text, fleet)
        if wave is None:
            return None
        async with anyio.create_task_group() as group:
            for move in wave.moves:
                group.start_soon(self._send, move, wave)
        return wave

    def _next_wave(self, text: Text, fleet: Fleet) -> Wave | None:
        """Plan anew where text or VMs changed, and find the next moves."""
        start = self.clock()
        basis = _Basis(text=text, members=_members(fleet))
        if basis != self._basis:
            self._target = plan(text, fleet, limits=self.limits).holdings
            self._basis = basis
        schedule = steps(fleet.holdings, self._target, fleet, text, self.limits)
        self._report(schedule.stalled)
        self.busy_seconds += self.clock() - start
        return schedule.waves[0] if schedule.waves else None

    def _report(self, stalled: tuple[Move, ...]) -> None:
        if stalled and stalled != self.stalled:
            count = len(stalled)
            logger.warning("{} moves wait: they would cost too much flow", count)
        self.stalled = stalled

    async def _send(self, move: Move, wave: Wave) -> Verdict:
        fence = self.holds_lease()
        if fence is None:
            return not_run(Reason.REFUSED, "the lease is gone")
        timeout = max(MIN_ORDER_TIMEOUT, wave.seconds * ORDER_MARGIN)
        order = Order(
            order=uuid.uuid4().hex,
            vm=move.vm,
            fencing_number=fence,
            load=move.action is Action.LOAD,
            holding=move.holding,
            timeout=timeout,
        )
        verdict = may_have_run(Reason.DEADLINE, f"no answer in {timeout:g} s")
        with anyio.move_on_after(timeout):
            verdict = await self.order(move.vm, order)
        if verdict.ran is not RAN:
            logger.warning("{} did not {}: {}", move.vm, move.action, verdict.detail)
        return verdict


def _members(fleet: Fleet) -> frozenset[tuple[str, str, str, str]]:
    return frozenset(
        (node.name, node.data_centre, node.rack, node.accelerator)
        for node in fleet.nodes
        if node.live
    )
