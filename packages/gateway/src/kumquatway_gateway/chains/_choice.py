"""Choose the chain that serves a request, by load, distance and recent failures."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace

from kumquatway_gateway.chains._paths import Chain

# Share of a chain's token capacity that requests may reserve. Requests grow into their
# reservation, so a fully reserved chain uses less than this.
MAX_RESERVED_SHARE = 1.0

# Costs are in shares of token capacity: 0.2 means that another chain is preferred until
# its used share is higher by 0.2.
REMOTE_COST = 0.2  # the chain starts in another data centre
CROSSING_COST = 0.6  # per hop between data centres
FAILURE_COST = 2.0  # multiplied by the recent failure rate
DURATION_COST = 0.25  # per second that an average request takes on an idle chain
FIRST_EVENT_COST = 1.0  # per second of recent first-event time, or of prefill


@dataclass(frozen=True, kw_only=True, slots=True)
class ChainLoad:
    """
    Requests in progress on a chain, from all entries.

    :param tokens: tokens that the requests reserve, including their answers.
    :param requests: number of requests.
    :param first_event_seconds: recent time to the first event, seconds.
    :param failure_rate: share of recent requests that got no first event.
    """

    tokens: float = 0.0
    requests: int = 0
    first_event_seconds: float = 0.0
    failure_rate: float = 0.0

    def plus(self, other: "ChainLoad") -> "ChainLoad":
        """
        Add the requests that another entry has in progress.

        :param other: load of the same chain.
        :return: a load with the summed tokens and requests, and with the first event
            time and failure rate of this load.
        """
        return replace(
            self,
            tokens=self.tokens + other.tokens,
            requests=self.requests + other.requests,
        )

    def scaled(self, factor: float) -> "ChainLoad":
        """
        Multiply the requests.

        :param factor: what the tokens and requests are multiplied by.
        :return: the load; its first event time and failure rate stay.
        """
        if factor == 1.0:
            return self
        return replace(
            self, tokens=self.tokens * factor, requests=round(self.requests * factor)
        )


NO_LOAD = ChainLoad()


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
    Choose the chain with the lowest cost among those with free capacity.

    An idle chain accepts a request of any size.

    Load pattern: a third of the capacity is lost in an instant and the remaining chains
    get its requests. A chain without free capacity is not chosen, because it would
    evict requests that are running.

    :param chains: chains that can serve the request.
    :param loads: load of each chain, by ID of its first server.
    :param tokens: tokens that the request needs.
    :param slots: number of requests that a first server runs at once.
    :param home: data centre of this entry.
    :param avoid: IDs of servers that the chain must not contain.
    :return: the chain, or None if no chain has free capacity.
    """
    best = None
    best_cost = float("inf")
    for chain in chains:
        load = loads.get(chain.first_server.id, NO_LOAD)
        if load.requests >= slots or chain.token_capacity <= 0:
            continue
        if (
            load.requests
            and load.tokens + tokens > chain.token_capacity * MAX_RESERVED_SHARE
        ):
            continue
        if any(stage.server.id in avoid for stage in chain.stages):
            continue
        cost = _cost(chain, load, tokens, home)
        if cost < best_cost:
            best, best_cost = chain, cost
    return best


def _cost(chain: Chain, load: ChainLoad, tokens: float, home: str) -> float:
    used_share = (load.tokens + tokens) / chain.token_capacity
    remote_cost = REMOTE_COST if chain.data_centre != home else 0.0
    return (
        used_share
        + remote_cost
        + CROSSING_COST * chain.crossings
        + FAILURE_COST * load.failure_rate
        + DURATION_COST * chain.request_seconds
        + FIRST_EVENT_COST * max(load.first_event_seconds, chain.prefill_seconds)
    )
