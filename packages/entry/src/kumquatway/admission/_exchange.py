"""
Exchange.

Brings demands to the entries that own the accounts, and their grants back.
"""

import itertools
import secrets
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
import msgspec

from kumquatway_core import Verdict
from kumquatway_core.wire import Demands, Grants, Message

ANSWER_SECONDS = 0.5
START_BITS = 48


@dataclass(kw_only=True, slots=True)
class _Waiting:
    """A question whose answer has not come."""

    items: int
    done: anyio.Event = field(default_factory=anyio.Event)
    grants: Grants | None = None


class Exchange:
    """
    The questions of one entry.

    :param send: sends a message to an address.
    :param timeout: how long an owner may take, seconds.
    """

    def __init__(
        self,
        *,
        send: Callable[[str, Message], object],
        timeout: float = ANSWER_SECONDS,
    ):
        self.send = send
        self.timeout = timeout
        self.asked = 0
        # An answer to a former life of this entry must not fit.
        self.rounds = itertools.count(secrets.randbits(START_BITS))
        self.waiting: dict[int, _Waiting] = {}

    async def ask(self, owner: str, demands: Demands) -> Grants | None:
        """
        Ask an owner for parts.

        :param owner: its address.
        :param demands: of this entry.
        :return: its grants, one for each item, or None if it is silent.
        """
        number = next(self.rounds)
        waiting = _Waiting(items=len(demands.items))
        self.waiting[number] = waiting
        try:
            self.asked += 1
            message = msgspec.structs.replace(demands, round_number=number)
            if isinstance(self.send(owner, message), Verdict):
                return None
            with anyio.move_on_after(self.timeout):
                await waiting.done.wait()
            return waiting.grants
        finally:
            del self.waiting[number]

    def take(self, grants: Grants) -> None:
        """
        Take in an answer; a late one, or one that does not fit, is dropped.

        :param grants: as received.
        """
        waiting = self.waiting.get(grants.round_number)
        if waiting is None or len(grants.shares) != waiting.items:
            return
        if all(0 <= part <= 1 for part in grants.shares):
            waiting.grants = grants
            waiting.done.set()
