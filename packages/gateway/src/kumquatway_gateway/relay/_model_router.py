"""Assigns the requests of a model service to chains, with a queue for full chains."""

import time
from collections.abc import Callable, Collection
from dataclasses import dataclass, replace

from kumquatway_core.events import ChainsChanged, Event
from kumquatway_gateway.chains import (
    CandidateServer,
    Chain,
    ChainLoad,
    Stage,
    choose_chain,
    find_chains,
    loaded_request_seconds,
)
from kumquatway_gateway.fleet import Fleet
from kumquatway_gateway.limits import TRIAL_RATE
from kumquatway_gateway.model import Engine, GenerationSize
from kumquatway_gateway.relay._durations import Durations
from kumquatway_gateway.waiting import AdmissionQueue, Waiter

FIRST_EVENT_WEIGHT = 0.2  # of the newest time to the first event in the average
FAILURE_WEIGHT = 0.3  # of the newest outcome in a chain's failure rate
MIN_RATE_SHARE = 0.5  # least expected throughput, as a share of the chains' maximum
NO_LOAD = ChainLoad()
UNKNOWN_OUTPUT_FACTOR = 3.0  # of the mean output, the longest that is assumed
STATISTICS_EXPIRY_SECONDS = 3.0  # after which first events and failures are ignored


@dataclass(kw_only=True, slots=True, eq=False)
class Claim:
    """Token capacity of a chain that is reserved for one request."""

    chain: Chain
    waiter: Waiter
    released: bool = False


@dataclass(kw_only=True, slots=True)
class _ChainUse:
    """The claims on a chain, and the sum of their tokens."""

    chain: Chain
    requests: int = 0
    tokens: float = 0.0


class ModelRouter:
    """
    Assigns the requests of one model service to chains.

    Loads and statistics of a chain are kept under the ID of its first server.

    :param service: name of the service.
    :param engine: parameters of the model and its engine.
    :param fleet: state of the servers.
    :param home: data centre of this entry.
    :param peer_loads: returns the loads of other entries, by ID of the first server.
    :param emit: receives events.
    :param clock: monotonic seconds.
    """

    def __init__(
        self,
        *,
        service: str,
        engine: Engine,
        fleet: Fleet,
        home: str,
        peer_loads: Callable[[], dict[str, ChainLoad]],
        emit: Callable[[Event], None] = lambda event: None,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.service = service
        self.engine = engine
        self.fleet = fleet
        self.home = home
        self.peer_loads = peer_loads
        self.emit = emit
        self.clock = clock
        self.own_loads: dict[str, ChainLoad] = {}
        self.claims: set[Claim] = set()
        # By identity: the requests of a burst are on few chains, and share them.
        self._uses: dict[int, _ChainUse] = {}
        # The average and when it was last updated, by ID of the first server.
        self.first_event_seconds: dict[str, tuple[float, float]] = {}
        self.failure_rates: dict[str, tuple[float, float]] = {}
        self.queue: AdmissionQueue[Claim] = AdmissionQueue(
            claim=self.claim,
            release=self.give_back,
            places=self.places,
            min_rate=self.min_token_rate,
            blocked_seconds=self.seconds_blocked,
            max_rate=self.max_token_rate,
            can_serve=self.can_serve,
            clock=clock,
        )
        # Time by which requests that begin now have to end, by `clock`.
        self.end_by = float("inf")
        # Of the estimated durations, how many times longer requests took.
        self.delays = Durations(mean=1.0, deviation=0.1)
        self._chains: tuple[Chain, ...] = ()
        self._former_chains: dict[str, Chain] = {}  # by ID of the first server
        self._generation = -1
        self._avoid_until = 0.0

    def chains(self) -> tuple[Chain, ...]:
        """
        Return the chains that can serve requests now.

        They are computed anew when the fleet changes or a server is no longer avoided.

        :return: chains that have no server in common.
        """
        now = self.clock()
        if self._generation != self.fleet.generation or now > self._avoid_until:
            self._generation = self.fleet.generation
            chains_before = self._chains
            self._keep_former(chains_before)
            self._chains = find_chains(self.engine, self._candidates(now))
            if _stages(chains_before) != _stages(self._chains):
                self._emit_chains_changed()
        return self._chains

    def _keep_former(self, chains: tuple[Chain, ...]) -> None:
        """Keep chains that peers may have requests on, as long as they are listed."""
        self._former_chains.update((chain.first_server.id, chain) for chain in chains)
        for first_id in self._former_chains.keys() - self.fleet.servers.keys():
            del self._former_chains[first_id]

    def _emit_chains_changed(self) -> None:
        self.emit(
            ChainsChanged(
                service=self.service,
                chains=tuple(format_chain(chain) for chain in self._chains),
                detail="" if self._chains else "no server holds some of the layers",
            )
        )

    def estimate_tokens(self, size: GenerationSize | None) -> float:
        """
        Estimate the tokens that a request occupies in the KV cache.

        :param size: size of the prompt and the output, or None where it is unknown.
        :return: tokens.
        """
        if size is None:
            return self.engine.mean_prompt_tokens + self.engine.mean_output_tokens
        output_tokens = size.output_tokens_hint or self.engine.mean_output_tokens
        return size.prompt_tokens + min(size.max_output_tokens, output_tokens)

    def token_counts(self, size: GenerationSize | None) -> tuple[float, float]:
        """
        Return the tokens of a request's prompt, and the most tokens of its answer.

        :param size: size of the prompt and the output, or None where it is unknown.
        """
        if size is None:
            longest = UNKNOWN_OUTPUT_FACTOR * self.engine.mean_output_tokens
            return self.engine.mean_prompt_tokens, longest
        return size.prompt_tokens, size.max_output_tokens

    def claim(
        self,
        waiter: Waiter,
        avoid: frozenset[str] = frozenset(),
        *,
        reserved: frozenset[str] = frozenset(),
    ) -> Claim | None:
        """
        Reserve capacity of a chain for a request.

        :param waiter: the request.
        :param avoid: IDs of servers that the chain must not contain, beside those that
            the request avoids anyway.
        :param reserved: IDs of first servers whose chains others wait for.
        :return: the claim, or None if no chain has enough free capacity, or the first
            servers of those that have it are at their limits.
        """
        chain = self._choose_permitted_chain(waiter, avoid | waiter.avoid, reserved)
        if chain is None:
            return None
        self._add_load(chain.first_server.id, waiter.tokens, 1)
        self.queue.begin_service(waiter)
        claim = Claim(chain=chain, waiter=waiter)
        self.claims.add(claim)
        self._count_use(chain, waiter.tokens, 1)
        return claim

    def _choose_permitted_chain(
        self, waiter: Waiter, avoid: frozenset[str], reserved: frozenset[str]
    ) -> Chain | None:
        """
        Choose a chain, and take a permit if its first server has a limit.

        Load pattern: all first servers have limits. Of the chains without a permit in
        hand, only the best one is asked for: the permits of the others would expire.
        """
        permits = self.fleet.permits
        allowed = [
            chain
            for chain in self.chains()
            if chain.first_server.id not in reserved
            and _may_use(chain, waiter, avoid)
            and not self._seconds_exhausted(chain)
        ]
        if not allowed:
            return None
        loads = self.loads()
        chains = [
            chain for chain in allowed if self._ends_in_time(chain, waiter, loads)
        ]
        has_asked = False
        while chains:
            chain = choose_chain(
                chains,
                loads,
                tokens=waiter.tokens,
                slots=self.engine.slots,
                home=self.home,
                avoid=avoid,
            )
            if chain is None:
                return None
            first = chain.first_server
            if not has_asked or permits.is_ready(first):
                if permits.try_take(first):
                    return chain
                has_asked = True
            chains.remove(chain)
        return None

    def places(self, waiter: Waiter) -> frozenset[str]:
        """
        Return the chains that a request may use, whether they have room or not.

        :param waiter: the request.
        :return: IDs of their first servers.
        """
        return frozenset(
            chain.first_server.id
            for chain in self.chains()
            if _may_use(chain, waiter, waiter.avoid)
        )

    def give_back(self, claim: Claim) -> None:
        """
        Release a claim for which no request was sent.

        :param claim: a claim returned by `claim`.
        """
        self.fleet.permits.give_back(claim.chain.first_server)
        self.release(claim)

    def _seconds_exhausted(self, chain: Chain) -> float:
        return self.fleet.permits.seconds_exhausted(chain.first_server)

    def release(self, claim: Claim) -> None:
        """
        Release the capacity that a claim reserved; does nothing the second time.

        :param claim: a claim returned by `claim`.
        """
        if claim.released:
            return
        claim.released = True
        self.claims.discard(claim)
        self._count_use(claim.chain, -claim.waiter.tokens, -1)
        self._add_load(claim.chain.first_server.id, -claim.waiter.tokens, -1)
        self.queue.end_service(claim.waiter)

    def _count_use(self, chain: Chain, tokens: float, requests: int) -> None:
        """Count claims on a chain that begin, or end if the numbers are negative."""
        use = self._uses.setdefault(id(chain), _ChainUse(chain=chain))
        use.tokens += tokens
        use.requests += requests
        if not use.requests:
            del self._uses[id(chain)]

    def servers_in_use(self) -> set[str]:
        """
        Return the servers of current chains and of chains with requests in progress.

        :return: IDs of the servers.
        """
        chains = [use.chain for use in self._uses.values()]
        chains += self.chains()
        return {stage.server.id for chain in chains for stage in chain.stages}

    def tokens_by_server(self, silent: Collection[str] = ()) -> dict[str, float]:
        """
        Sum the tokens of the requests that run through each server, over all entries.

        Chains with a server that does not respond are left out, because their requests
        move to other chains, unless the server may only be silent.

        :param silent: IDs of servers that may go on with their requests.
        :return: tokens by server ID.
        """
        by_first = {chain.first_server.id: chain for chain in self.chains()}
        used_tokens: dict[str, float] = {}
        for use in self._uses.values():
            by_first.setdefault(use.chain.first_server.id, use.chain)
            if self._may_progress(use.chain, silent):
                _add_tokens(used_tokens, use.chain, use.tokens)
        if silent:
            by_first = self._former_chains | by_first
        for first_id, load in self.peer_loads().items():
            chain = by_first.get(first_id)
            if chain is not None and self._may_progress(chain, silent):
                _add_tokens(used_tokens, chain, load.tokens)
        return used_tokens

    def _may_progress(self, chain: Chain, silent: Collection[str]) -> bool:
        """Tell whether the requests on a chain go on, or may do so."""
        servers = [stage.server for stage in chain.stages]
        return all(
            server.id in silent or self.fleet.is_responding(server)
            for server in servers
        )

    def loads(self) -> dict[str, ChainLoad]:
        """
        Sum the loads of the chains over all entries.

        Load pattern: a new chain contains servers that requests of a former chain still
        run through. The server with the least free capacity bounds the chain's.

        :return: loads by ID of the chain's first server.
        """
        total = dict(self.own_loads)
        for server_id, load in self.peer_loads().items():
            total[server_id] = total.get(server_id, ChainLoad()).plus(load)
        used_tokens = self.tokens_by_server()
        for chain in self.chains():
            tokens = _tokens_used(chain, used_tokens)
            load = total.get(chain.first_server.id, ChainLoad())
            if tokens > load.tokens:
                requests = max(1, load.requests)
                total[chain.first_server.id] = ChainLoad(
                    tokens=tokens, requests=requests
                )
        now = self.clock()
        for server_id in self.first_event_seconds.keys() | self.failure_rates.keys():
            load = total.get(server_id, ChainLoad())
            total[server_id] = ChainLoad(
                tokens=load.tokens,
                requests=load.requests,
                first_event_seconds=_unexpired(
                    self.first_event_seconds.get(server_id), now
                ),
                failure_rate=_unexpired(self.failure_rates.get(server_id), now),
            )
        return total

    def record_first_event(self, chain: Chain, seconds: float) -> None:
        """
        Record the time that a chain took to send the first event of a request.

        :param chain: the chain that served the request.
        :param seconds: from sending the request to the first event.
        """
        previous, _ = self.first_event_seconds.get(
            chain.first_server.id, (seconds, 0.0)
        )
        average = previous + FIRST_EVENT_WEIGHT * (seconds - previous)
        self.first_event_seconds[chain.first_server.id] = (average, self.clock())
        self._record_outcome(chain, 0.0)

    def record_failure(self, chain: Chain) -> None:
        """
        Record that a chain sent no event for a request.

        :param chain: the chain that the request was sent to.
        """
        self._record_outcome(chain, 1.0)

    def record_recovery(self, chain: Chain) -> None:
        """
        Record that a chain went on after a silence that counted as a failure.

        :param chain: the chain.
        """
        self._record_outcome(chain, 0.0)

    def _record_outcome(self, chain: Chain, failed: float) -> None:
        rate, _ = self.failure_rates.get(chain.first_server.id, (0.0, 0.0))
        rate += FAILURE_WEIGHT * (failed - rate)
        self.failure_rates[chain.first_server.id] = (rate, self.clock())

    def mean_first_event(self, chain: Chain) -> float:
        """
        Return the moving average of a chain's time to the first event.

        :param chain: a chain of this service.
        :return: seconds; the chain's estimated prefill time before any measurement.
        """
        recorded = self.first_event_seconds.get(chain.first_server.id)
        return recorded[0] if recorded else chain.prefill_seconds

    def estimate_seconds(
        self, chain: Chain, waiter: Waiter, load: ChainLoad = NO_LOAD
    ) -> float:
        """
        Estimate how long a request takes on a chain.

        :param chain: the chain.
        :param waiter: the request.
        :param load: the chain's other requests, over all entries.
        :return: seconds from sending it to the end of its answer.
        """
        return loaded_request_seconds(
            self.engine,
            chain,
            load,
            prompt_tokens=waiter.prompt_tokens,
            output_tokens=waiter.max_output_tokens,
        )

    def estimate_claim(self, claim: Claim, load: ChainLoad) -> float:
        """
        Estimate how long a request takes on the chain that it claimed.

        :param claim: its claim.
        :param load: the chain's requests over all entries, this one among them.
        :return: seconds.
        """
        others = replace(
            load,
            tokens=max(0.0, load.tokens - claim.waiter.tokens),
            requests=max(0, load.requests - 1),
        )
        return self.estimate_seconds(claim.chain, claim.waiter, others)

    def _ends_in_time(
        self, chain: Chain, waiter: Waiter, loads: dict[str, ChainLoad]
    ) -> bool:
        """
        Tell whether a request that begins on a chain now ends before the exit.

        Load pattern: a rolling restart under load. Callers send their next requests on
        connections that they keep open, while this entry finishes what it has. What it
        accepts and cuts at its exit may have run; what it refuses is served elsewhere.
        """
        if not self._has_to_end(waiter):
            return True
        load = loads.get(chain.first_server.id, NO_LOAD)
        seconds = self.estimate_seconds(chain, waiter, load)
        delay = max(1.0, self.delays.upper_bound())
        return self.clock() + seconds * delay < self.end_by

    def _has_to_end(self, waiter: Waiter) -> bool:
        """Tell whether a request is to end before this entry's exit."""
        return not waiter.begun and self.end_by != float("inf")

    def record_duration(self, estimate: float, seconds: float) -> None:
        """
        Record how long a request took that was estimated when it was sent.

        :param estimate: seconds, as `estimate_seconds` returned them.
        :param seconds: how long it took.
        """
        if estimate > 0:
            self.delays.observe(seconds / estimate)

    def can_serve(self, waiter: Waiter) -> bool:
        """
        Tell whether a request can be served once others have ended.

        :param waiter: the request.
        :return: False if no server can hold it, or it would not end before the exit.
        """
        # Chains of the moment may be small; an idle one takes a request of any size.
        if waiter.tokens > self.engine.max_kv_tokens:
            return False
        chains = self.chains()
        loads = self.loads() if self._has_to_end(waiter) else {}
        return not chains or any(
            self._ends_in_time(chain, waiter, loads) for chain in chains
        )

    def min_token_rate(self) -> float:
        """
        Estimate the least rate at which this entry's requests complete when healthy.

        :return: tokens per second: this entry's share of the chains' throughput.
        """
        total_rate = sum(self._token_rate(chain) for chain in self.chains())
        return MIN_RATE_SHARE * self._own_share() * total_rate

    def _own_share(self) -> float:
        """Return this entry's share of the tokens in progress over all entries."""
        own_tokens = sum(load.tokens for load in self.own_loads.values())
        peer_tokens = sum(load.tokens for load in self.peer_loads().values())
        total = own_tokens + peer_tokens
        return own_tokens / total if total else 1.0

    def max_token_rate(self) -> float:
        """
        Estimate the rate that the limits of the chains' first servers allow this entry.

        :return: tokens per second; infinite if a chain has no limit.
        """
        rates = [self._limited_token_rate(chain) for chain in self.chains()]
        if not rates or float("inf") in rates:
            return float("inf")
        return sum(rates) * (self._own_share() or 1.0)

    def _token_rate(self, chain: Chain) -> float:
        """Estimate the throughput of a chain, tokens per second."""
        return min(
            chain.token_capacity / chain.request_seconds,
            self._limited_token_rate(chain),
        )

    def _limited_token_rate(self, chain: Chain) -> float:
        """Return the tokens per second that the first server's limit allows."""
        limit = self.fleet.limits.rate(chain.first_server)
        if limit is None:
            return float("inf")
        request_tokens = self.engine.mean_prompt_tokens + self.engine.mean_output_tokens
        return max(limit, TRIAL_RATE) * request_tokens

    def retry_delay(self) -> float:
        """
        Estimate after which time a refused caller should retry.

        :return: seconds.
        """
        blocked = self.seconds_blocked()
        if blocked:
            return blocked
        if not self.chains():
            return 1.0 + self.engine.load_seconds / 10
        return max(0.3, self.queue.expected_wait())

    def seconds_blocked(self) -> float:
        """
        Return for how long servers let no chain serve, by a pause or by their limit.

        :return: seconds until the first chain may serve again; 0 if one may serve now,
            or if there is none for another reason.
        """
        if self.chains():
            return min(self._seconds_exhausted(chain) for chain in self.chains())
        now = self.clock()
        pauses = self.fleet.pauses
        ends = [
            pauses.end(server)
            for server in self.fleet.servers.values()
            if server.service == self.service
            and self.fleet.is_up(server)
            and pauses.is_paused(server)
        ]
        return max(0.0, min(ends) - now) if ends else 0.0

    def _add_load(self, server_id: str, tokens: float, requests: int) -> None:
        load = self.own_loads.get(server_id, ChainLoad())
        remaining = load.requests + requests
        if remaining <= 0:
            self.own_loads.pop(server_id, None)
            return
        self.own_loads[server_id] = ChainLoad(
            tokens=max(0.0, load.tokens + tokens), requests=remaining
        )

    def _candidates(self, now: float) -> list[CandidateServer]:
        candidates = []
        avoid_until = float("inf")
        for server in self.fleet.servers.values():
            if server.service != self.service or not self.fleet.is_up(server):
                continue
            if self.fleet.is_avoided(server):
                avoid_until = min(avoid_until, self.fleet.avoided_until[server.id])
                continue
            if self.fleet.pauses.is_paused(server):
                avoid_until = min(avoid_until, self.fleet.pauses.end(server))
                continue
            candidates.append(
                CandidateServer(
                    server=server,
                    layers=self.fleet.layers(server),
                    slowdown=self.fleet.slowdown(server),
                    layers_in_memory=self.fleet.loaded(server),
                    limited=self.fleet.permits.needs(server),
                )
            )
        self._avoid_until = avoid_until
        return candidates


def _may_use(chain: Chain, waiter: Waiter, avoid: Collection[str]) -> bool:
    """Tell whether a request may use a chain, whatever its load."""
    if waiter.only is not None and chain.first_server.id not in waiter.only:
        return False
    return not any(stage.server.id in avoid for stage in chain.stages)


def _tokens_used(chain: Chain, used_tokens: dict[str, float]) -> float:
    """Return the used capacity of a chain, bounded by its fullest server, in tokens."""
    free = min(
        p.token_capacity - used_tokens.get(p.server.id, 0.0) for p in chain.stages
    )
    return max(0.0, chain.token_capacity - free)


def _add_tokens(used_tokens: dict[str, float], chain: Chain, tokens: float) -> None:
    for stage in chain.stages:
        used_tokens[stage.server.id] = used_tokens.get(stage.server.id, 0.0) + tokens


def _stages(chains: tuple[Chain, ...]) -> tuple[tuple[Stage, ...], ...]:
    return tuple(chain.stages for chain in chains)


def format_chain(chain: Chain) -> str:
    """
    Format a chain for log lines and events.

    :param chain: the chain.
    :return: addresses and layer ranges of its stages, and its token capacity.
    """
    stages = (
        f"{stage.server.address}={stage.layers.start}-{stage.layers.stop}"
        for stage in chain.stages
    )
    return f"{' '.join(stages)}, room {chain.token_capacity:.0f}"


def _unexpired(recorded: tuple[float, float] | None, now: float) -> float:
    """Return a recorded value, or 0 if there is none or it has expired."""
    if recorded is None or now - recorded[1] > STATISTICS_EXPIRY_SECONDS:
        return 0.0
    return recorded[0]
