"""Decides which entry issues the permits for a server."""

import hashlib
import heapq
import time
from collections.abc import Callable, Collection
from dataclasses import dataclass

from kumquatway_gateway.model import Server

MAX_CANDIDATES = 8  # entries that may issue the permits of one server
FAILURES_TO_SKIP = 2  # requests in a row without a response
MIN_SKIP_SECONDS = 0.5  # for which an entry that does not respond is passed over
MAX_SKIP_SECONDS = 4.0


@dataclass(kw_only=True, slots=True)
class _Failures:
    """Requests in a row that an entry did not respond to."""

    count: int = 0
    skipped_until: float = float("-inf")


class IssuerRanking:
    """
    Ranks the entries for each server by a hash, the same in all entries.

    The first entry of the ranking that responds issues the permits. An entry that does
    not respond is passed over for a while.

    :param address: address of this entry for peers, `host:port`.
    :param addresses: returns the addresses of the other entries, in a set that only
        grows or is replaced.
    :param clock: monotonic seconds.
    """

    def __init__(
        self,
        *,
        address: str,
        addresses: Callable[[], Collection[str]],
        clock: Callable[[], float] = time.monotonic,
    ):
        self.address = address
        self.addresses = addresses
        self.clock = clock
        self.failures: dict[str, _Failures] = {}  # by address
        self._ranked: Collection[str] = ()
        self._ranked_count = 0
        self._rankings: dict[str, tuple[str, ...]] = {}  # by server ID

    def issuer(self, server: Server) -> str:
        """
        Return the entry to ask for the permits of a server.

        :param server: a listed server.
        :return: its address; this entry's own if no candidate before it responds.
        """
        ranking = self.ranking(server)
        for address in ranking:
            if address == self.address or not self.is_skipped(address):
                return address
        return self.address

    def ranking(self, server: Server) -> tuple[str, ...]:
        """
        Return the candidates for issuing the permits of a server, the first one first.

        :param server: a listed server.
        :return: addresses, at most `MAX_CANDIDATES`.
        """
        addresses = self.addresses()
        if addresses is not self._ranked or len(addresses) != self._ranked_count:
            self._ranked, self._ranked_count = addresses, len(addresses)
            self._rankings.clear()
            for address in [a for a in self.failures if a not in addresses]:
                del self.failures[address]
        ranking = self._rankings.get(server.id)
        if ranking is None:
            ranking = tuple(
                heapq.nlargest(
                    MAX_CANDIDATES,
                    {*addresses, self.address},
                    key=lambda a: _weight(a, server.id),
                )
            )
            self._rankings[server.id] = ranking
        return ranking

    def superiors(self, server: Server) -> tuple[str, ...]:
        """
        Return the candidates that rank before this entry.

        :param server: a listed server.
        :return: addresses.
        """
        ranking = self.ranking(server)
        if self.address not in ranking:
            return ranking
        return ranking[: ranking.index(self.address)]

    def is_skipped(self, address: str) -> bool:
        """
        Tell whether an entry is passed over, as it did not respond.

        :param address: its address.
        """
        failures = self.failures.get(address)
        return failures is not None and self.clock() < failures.skipped_until

    def is_silent(self, address: str) -> bool:
        """
        Tell whether an entry left the last requests without a response.

        :param address: its address.
        """
        failures = self.failures.get(address)
        return failures is not None and failures.count >= FAILURES_TO_SKIP

    def record_failure(self, address: str) -> None:
        """
        Record that an entry did not respond to a request in time.

        :param address: its address.
        """
        failures = self.failures.setdefault(address, _Failures())
        failures.count += 1
        if failures.count >= FAILURES_TO_SKIP:
            doublings = min(10, failures.count - FAILURES_TO_SKIP)
            skip = min(MAX_SKIP_SECONDS, MIN_SKIP_SECONDS * 2**doublings)
            failures.skipped_until = self.clock() + skip

    def record_alive(self, address: str) -> None:
        """
        Record that a message of an entry arrived.

        :param address: its address.
        """
        self.failures.pop(address, None)

    def forget_all_but(self, server_ids: Collection[str]) -> None:
        """
        Forget the rankings for servers that are no longer listed.

        :param server_ids: IDs of the listed servers.
        """
        for name in [name for name in self._rankings if name not in server_ids]:
            del self._rankings[name]


def _weight(address: str, server_id: str) -> bytes:
    key = f"{address}\n{server_id}".encode()
    return hashlib.blake2b(key, digest_size=8).digest()
