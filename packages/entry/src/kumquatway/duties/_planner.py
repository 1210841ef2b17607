"""
Planner.

The placer of an entry with what it needs: the lease, the fleet and the orders.
"""

import time
from collections.abc import Callable

import anyio

from kumquatway.duties._duty import Duty
from kumquatway.duties._orders import Orders
from kumquatway.membership import Member, Members
from kumquatway.placement import Fleet, Limits, Node, Placer
from kumquatway_core.text import Text
from kumquatway_core.wire import VMState

SETTLE = 5.0  # seconds after the first VM was seen, for the others to report
GRACE = 5.0  # seconds without an answer after which a VM counts as lost
ORDER_BOUND = 30.0  # seconds that an order may take at an engine
LIMITS = Limits(wave_seconds=ORDER_BOUND / 2)
STOP_CHECK = 0.05  # seconds


class Planner:
    """
    Plans while its duty is held and what it sees of the fleet can be trusted.

    :param duty: the planner's.
    :param orders: to the agents.
    :param members: the replica.
    :param is_down: tells whether an address is known not to answer.
    :param text: the text in force, or None before there is one.
    :param clock: monotonic seconds.
    """

    def __init__(
        self,
        *,
        duty: Duty,
        orders: Orders,
        members: Members,
        is_down: Callable[[str], bool],
        text: Callable[[], Text | None],
        clock: Callable[[], float] = time.monotonic,
    ):
        self.duty = duty
        self.orders = orders
        self.members = members
        self.is_down = is_down
        self.clock = clock
        self.first_seen: float | None = None
        self.silent: dict[str, float] = {}
        self.placer = Placer(
            holds_lease=self.number,
            text=text,
            fleet=self.fleet,
            order=orders.give,
            limits=LIMITS,
            clock=clock,
        )

    def number(self) -> int | None:
        """
        Give the fencing number for an order that is sent at once.

        :return: None without the lease, or while too little of the fleet answers.
        """
        return self.duty.number() if self._sees_fleet() else None

    def fleet(self) -> Fleet:
        """
        Describe the VMs with an engine.

        :return: the fleet; a VM that leaves or is silent for a while is not live.
        """
        now = self.clock()
        engines = [member for member in self._engines() if member.status is not None]
        answering = {member.vm for member in engines if self._answers(member)}
        self.silent = {
            member.vm: self.silent.get(member.vm, now)
            for member in engines
            if member.vm not in answering
        }
        return Fleet(nodes=tuple(self._node(member, now) for member in engines))

    async def stop(self, timeout: float) -> None:
        """
        Give no more orders, wait for those that were given, and give the lease back.

        :param timeout: bound on the wait, seconds.
        """
        self.duty.standing = False
        with anyio.move_on_after(timeout):
            while self.orders.waiting:
                await anyio.sleep(STOP_CHECK)
            await self.duty.stand_down()

    def _sees_fleet(self) -> bool:
        """Guard: a planner that is new or cut off must not empty the fleet."""
        engines = self._engines()
        if not engines:
            return False
        now = self.clock()
        if self.first_seen is None:
            self.first_seen = now
        answering = sum(self._answers(member) for member in engines)
        return now - self.first_seen >= SETTLE and answering * 2 > len(engines)

    def _engines(self) -> list[Member]:
        return [
            member
            for member in self.members.by_vm.values()
            if member.status is None or not member.status.service
        ]

    def _answers(self, member: Member) -> bool:
        if member.status is None or self.is_down(member.address):
            return False
        return member.status.state is not VMState.SICK

    def _node(self, member: Member, now: float) -> Node:
        status = member.status
        leaving = member.state() is VMState.LEAVING
        silent = now - self.silent.get(member.vm, now)
        return Node(
            name=member.vm,
            data_centre=status.data_centre,
            accelerator=status.accelerator,
            rack=status.rack,
            live=not leaving and silent < GRACE,
            holdings=status.holdings,
        )
