"""
Choice.

Which chain takes a request, by the room that is left on each.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace

from kumquatway_gateway.chains._paths import Chain

# Of the room: requests grow into their tokens, so that a full chain holds less.
FULL_SHARE = 1.0
AWAY_COST = 0.2  # share of use that a chain elsewhere must be emptier by
CROSSING_COST = 0.6  # the same for each step between data centres
FAILURE_COST = 2.0  # the same where every request lately failed
PACE_COST = 0.25  # the same for each second that a usual request takes, alone
SLOW_COST = 1.0  # the same for each second that first events lately took


@dataclass(frozen=True, kw_only=True, slots=True)
class ChainLoad:
    """
    What is in progress on a chain, over all entries.

    :param tokens: of the requests, with their answers.
    :param requests: their count.
    :param first_event: time to the first event lately, seconds.
    :param failures: share of requests that lately got no first event.
    """

    tokens: float = 0.0
    requests: int = 0
    first_event_seconds: float = 0.0
    failure_rate: float = 0.0

    def plus(self, other: "ChainLoad") -> "ChainLoad":
        """
        Add what is in progress elsewhere.

        :param other: on the same chain.
        :return: the sum; what was lately seen stays this one's.
        """
        return replace(
            self,
            tokens=self.tokens + other.tokens,
            requests=self.requests + other.requests,
        )


EMPTY = ChainLoad()


def choose_chain(
    chains: Iterable[Chain],
    loads: dict[str, ChainLoad],
    *,
    tokens: float,
    slots: int,
    home: str,
    avoid: Collection[str] = (),
) -> Chain | None:
    """
    Choose the chain that is used least, a near one on near equal terms.

    Load pattern: a third of the capacity goes in an instant, and the rest has to take
    its requests without evicting those that run: a chain without room is not taken.

    :param chains: that could serve.
    :param loads: by id of the first server.
    :param tokens: that the request needs.
    :param slots: requests that a first server takes at once.
    :param home: the entry's data centre.
    :param avoid: ids of servers that must not take part.
    :return: the chain, or None where none has room.
    """
    best = None
    best_cost = float("inf")
    for chain in chains:
        load = loads.get(chain.first_server.id, EMPTY)
        if load.requests >= slots or chain.token_capacity <= 0:
            continue
        if load.requests and load.tokens + tokens > chain.token_capacity * FULL_SHARE:
            continue
        if any(part.server.id in avoid for part in chain.stages):
            continue
        cost = _cost(chain, load, tokens, home)
        if cost < best_cost:
            best, best_cost = chain, cost
    return best


def _cost(chain: Chain, load: ChainLoad, tokens: float, home: str) -> float:
    used = (load.tokens + tokens) / chain.token_capacity
    away = AWAY_COST if chain.data_centre != home else 0.0
    return (
        used
        + away
        + CROSSING_COST * chain.crossings
        + FAILURE_COST * load.failure_rate
        + PACE_COST * chain.request_seconds
        + SLOW_COST * max(load.first_event_seconds, chain.prefill_seconds)
    )
