"""Issues the permits for servers to all entries, within the servers' limits."""

import random as _random
import time
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from kumquatway_gateway.limits._bucket import RateBucket
from kumquatway_gateway.limits._named import NamedLimits
from kumquatway_gateway.limits._ranking import IssuerRanking
from kumquatway_gateway.model import Server

# Lowest rate at which servers are tried, so that the end of a limit is noticed.
TRIAL_RATE = 0.2  # requests per second
# Part of a limit that an entry issues while another one may issue permits too. Both
# together stay below the 1.5 times that the users' platform tolerates.
STANDBY_SHARE = 0.3
START_SECONDS = 2.0  # after its start, an entry may not know of all others
DENIED_PER_SECOND = 10.0  # requests for permits of one server that are denied
REQUESTER_SECONDS = 2.0  # since its last request, in which an entry counts


@dataclass(frozen=True, kw_only=True, slots=True)
class Issue:
    """
    Response to a request for permits.

    :param count: number of permits issued.
    :param wait: time after which to ask again if that is less than requested, seconds.
    """

    count: int
    wait: float


@dataclass(kw_only=True, slots=True)
class _Account:
    """
    Permits for one incarnation of a server.

    :param requesters: when each entry last asked, by address.
    """

    incarnation: int
    bucket: RateBucket
    requesters: dict[str, float] = field(default_factory=dict)


class PermitIssuer:
    """
    Issues permits for the servers that this entry is responsible for.

    :param limits: the limits of the servers.
    :param ranking: decides which entries are responsible.
    :param clock: monotonic seconds.
    :param random: returns a random number from 0 to 1.
    """

    def __init__(
        self,
        *,
        limits: NamedLimits,
        ranking: IssuerRanking,
        clock: Callable[[], float] = time.monotonic,
        random: Callable[[], float] = _random.random,
    ):
        self.limits = limits
        self.ranking = ranking
        self.clock = clock
        self.random = random
        self.started_at = clock()
        self.accounts: dict[str, _Account] = {}  # by server ID

    def issue(self, server: Server, requester: str, count: int) -> Issue:
        """
        Issue permits to an entry.

        Load pattern: hundreds of entries want the few requests that a server takes. All
        of them are told to ask again at different times, so that the number of messages
        does not grow with the number of entries.

        :param server: a listed server.
        :param requester: address of the entry.
        :param count: number of permits that it wants.
        :return: the permits.
        """
        limit = self.limits.rate(server)
        if limit is None:
            return Issue(count=count, wait=0.0)
        rate = max(limit, TRIAL_RATE) * self._share(server)
        account = self._account(server)
        issued = account.bucket.take(count, rate)
        if issued == count:
            return Issue(count=issued, wait=0.0)
        spread = self._count_requesters(account, requester) / DENIED_PER_SECOND
        wait = account.bucket.seconds_to_next(rate) + self.random() * spread
        return Issue(count=issued, wait=wait)

    def forget_all_but(self, server_ids: Collection[str]) -> None:
        """
        Forget the permits for servers that are no longer listed.

        :param server_ids: IDs of the listed servers.
        """
        for name in [name for name in self.accounts if name not in server_ids]:
            del self.accounts[name]

    def _share(self, server: Server) -> float:
        """Return the part of a limit that this entry may issue."""
        superiors = self.ranking.superiors(server)
        if not all(self.ranking.is_silent(address) for address in superiors):
            return STANDBY_SHARE
        is_new = self.clock() - self.started_at < START_SECONDS
        return STANDBY_SHARE if is_new and self.ranking.addresses() else 1.0

    def _account(self, server: Server) -> _Account:
        account = self.accounts.get(server.id)
        if account is None or account.incarnation != server.incarnation:
            account = _Account(
                incarnation=server.incarnation, bucket=RateBucket(clock=self.clock)
            )
            self.accounts[server.id] = account
        return account

    def _count_requesters(self, account: _Account, requester: str) -> int:
        """Count the entries that recently asked; the first one has no others."""
        now = self.clock()
        account.requesters[requester] = now
        cutoff = now - REQUESTER_SECONDS
        for name in [n for n, at in account.requesters.items() if at < cutoff]:
            del account.requesters[name]
        return len(account.requesters) - 1
