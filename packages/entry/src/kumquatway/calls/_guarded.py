"""
Guarded.

Calls whose ends are noted against their upstreams.
"""

import time
from collections.abc import Callable

from kumquatway.calls._calls import Answer, Calls, ServiceAsk
from kumquatway.membership import Member
from kumquatway.protect import Groups
from kumquatway_core import Reason, Verdict

SERVER_ERROR = 500
FAULTS = frozenset(
    (
        Reason.UNREACHABLE,
        Reason.SILENCE,
        Reason.RESET,
        Reason.UPSTREAM_ERROR,
        Reason.DEADLINE,
    )
)


class GuardedCalls:
    """
    Sends calls and notes how they end.

    :param calls: in flight.
    :param groups: the upstreams' records.
    :param is_silent: tells whether the agent at an address does not answer now, which
        keeps it from work and says nothing of its service.
    :param clock: monotonic seconds.
    """

    def __init__(
        self,
        *,
        calls: Calls,
        groups: Groups,
        is_silent: Callable[[str], bool] = lambda address: False,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.calls = calls
        self.groups = groups
        self.is_silent = is_silent
        self.clock = clock

    async def send(self, ask: ServiceAsk, member: Member) -> Answer | Verdict:
        """
        Send a call to one upstream.

        :param ask: what the caller wants.
        :param member: the upstream.
        :return: its answer, or the verdict.
        """
        started = self.clock()
        self.groups.start(member.vm)
        result = await self.calls.send(ask, member)
        seconds = self.clock() - started
        well = not is_fault(result)
        if well or not self.is_silent(member.address):
            self.groups.end(member.vm, well=well, seconds=seconds)
        return result


def is_fault(result: Answer | Verdict) -> bool:
    """
    Tell whether a call failed by its upstream's fault.

    :param result: the answer or the verdict.
    :return: True for a lost connection, silence, lateness or a server's error.
    """
    if isinstance(result, Verdict):
        return result.reason in FAULTS
    return result.status >= SERVER_ERROR
