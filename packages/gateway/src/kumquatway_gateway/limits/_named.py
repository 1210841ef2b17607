"""Tracks the request rates that servers say they take from all entries together."""

import math
import random
import time
from collections.abc import Callable, Collection
from dataclasses import dataclass, replace

from loguru import logger

from kumquatway_gateway.model import Server, may_be_copy

MAX_RATE = 1e6  # requests per second
# How long the end of a limit is remembered: longer than copies of it are on their way.
ENDED_RETENTION_SECONDS = 30.0
MIN_RATE_CHANGE = 0.1  # relative change of a limit that counts as one


@dataclass(frozen=True, kw_only=True, slots=True)
class NamedLimit:
    """
    What one incarnation of a server last said about its limit.

    :param rate: requests per second, or None if it names no limit any more.
    :param observed_at: when it said so, monotonic seconds.
    """

    incarnation: int
    rate: float | None
    observed_at: float


class NamedLimits:
    """
    The limits that this entry and its peers were told of.

    :param clock: monotonic seconds.
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic):
        self.clock = clock
        self.limits: dict[str, NamedLimit] = {}  # by server ID
        # When last announced, by server ID: the incarnation and its rate.
        self.noted_rates: dict[str, tuple[int, float | None]] = {}

    def rate(self, server: Server) -> float | None:
        """
        Return the limit of a server.

        :param server: a listed server.
        :return: requests per second, or None if it has no limit.
        """
        limit = self.get(server)
        return None if limit is None else limit.rate

    def get(self, server: Server) -> NamedLimit | None:
        """
        Return what a server last said about its limit.

        :param server: a listed server.
        :return: its limit, also one that has ended, or None if it never named one.
        """
        limit = self.limits.get(server.id)
        if limit is None or limit.incarnation != server.incarnation:
            return None
        return limit

    def observe(self, server: Server, rate: float | None, asked_at: float) -> bool:
        """
        Record what a response of a server says about its limit.

        Responses may overtake each other. A limit is raised or ended only by the
        response to a request that was sent after the limit was last named.

        :param server: server that responded.
        :param rate: requests per second, or None if the response names no limit.
        :param asked_at: when the request was sent, monotonic seconds.
        :return: whether the limit changed noticeably.
        """
        known = self.get(server)
        if rate is not None and rate > MAX_RATE:
            if known is None or known.rate != MAX_RATE:
                logger.warning(
                    "server {} names a limit of {} requests/s, bounded to {}",
                    server.id,
                    rate,
                    MAX_RATE,
                )
            rate = MAX_RATE
        if known is None and rate is None:
            return False
        if known is not None and _loosens(known.rate, rate):
            if asked_at < known.observed_at:
                return False
        elif known is not None and known.rate is None and rate is None:
            return False
        self.limits[server.id] = NamedLimit(
            incarnation=server.incarnation, rate=rate, observed_at=self.clock()
        )
        return self._note(server, rate)

    def pass_on(self, server: Server, next_run: Server, *, since: float) -> None:
        """
        Count a limit for the next run of a server, which named it.

        :param server: the server as it was listed before.
        :param next_run: the server as it is listed now.
        :param since: when the next run first responded, monotonic seconds.
        """
        known = self.get(server)
        if known is not None and known.observed_at >= since:
            self.limits[server.id] = replace(known, incarnation=next_run.incarnation)
            self._note(next_run, known.rate)

    def receive(self, server: Server, limit: NamedLimit) -> bool:
        """
        Record what a peer knows about the limit of a server, if it is newer.

        :param server: a listed server.
        :param limit: the peer's knowledge.
        :return: whether the limit changed noticeably.
        """
        rate = limit.rate
        valid = rate is None or 0 <= rate <= MAX_RATE
        if not valid or not math.isfinite(limit.observed_at):
            logger.warning("ignored a peer's limit of server {}: {}", server.id, limit)
            return False
        known = self.get(server)
        if limit.incarnation != server.incarnation:
            return False
        if known is not None and limit.observed_at <= known.observed_at:
            return False
        is_repeated = known is not None and known.rate == rate
        if is_repeated and may_be_copy(limit.observed_at, known.observed_at):
            return False
        if known is None and rate is None:
            return False
        observed_at = min(limit.observed_at, self.clock())
        self.limits[server.id] = replace(limit, observed_at=observed_at)
        return self._note(server, rate)

    def _note(self, server: Server, rate: float | None) -> bool:
        """Tell whether a rate differs noticeably from the one noted last."""
        incarnation, noted = self.noted_rates.get(server.id, (0, None))
        if incarnation != server.incarnation:
            noted = None
        if rate is None or noted is None:
            differs = rate != noted
        else:
            differs = abs(rate - noted) > MIN_RATE_CHANGE * noted
        if differs:
            self.noted_rates[server.id] = (server.incarnation, rate)
        return differs

    def sample(self, count: int) -> list[tuple[str, NamedLimit]]:
        """
        Return some of the limits at random, also ended ones.

        :param count: how many at most.
        :return: server IDs and limits.
        """
        self._forget_ended()
        items = list(self.limits.items())
        return random.sample(items, min(count, len(items)))

    def in_force(self) -> int:
        """Count the servers that have a limit."""
        return sum(limit.rate is not None for limit in self.limits.values())

    def forget_all_but(self, server_ids: Collection[str]) -> None:
        """
        Forget the limits of servers that are no longer listed.

        :param server_ids: IDs of the listed servers.
        """
        for table in (self.limits, self.noted_rates):
            for name in [name for name in table if name not in server_ids]:
                del table[name]

    def _forget_ended(self) -> None:
        cutoff = self.clock() - ENDED_RETENTION_SECONDS
        ended = [
            name
            for name, limit in self.limits.items()
            if limit.rate is None and limit.observed_at < cutoff
        ]
        for name in ended:
            del self.limits[name]


def _loosens(known: float | None, rate: float | None) -> bool:
    """Tell whether a limit would be raised or ended."""
    return known is not None and (rate is None or rate > known)
