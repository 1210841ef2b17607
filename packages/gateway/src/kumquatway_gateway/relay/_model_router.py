"""
Models.

The chains of one model service, what is in progress on them, and who waits.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass

from kumquatway_core.events import ChainsChanged, Event
from kumquatway_gateway.chains import (
    CandidateServer,
    Chain,
    ChainLoad,
    Stage,
    choose_chain,
    find_chains,
)
from kumquatway_gateway.fleet import Fleet
from kumquatway_gateway.model import Engine, GenerationSize
from kumquatway_gateway.waiting import AdmissionQueue, Waiter

FIRST_EVENT_WEIGHT = 0.2  # weight of the newest first event in the average
FAILURE_WEIGHT = 0.3  # weight of the newest outcome in a first server's failure rate
MIN_RATE_SHARE = 0.5  # of what the chains carry at best, that they carry at least
STATISTICS_EXPIRY_SECONDS = 3.0  # after which a slow first event no longer counts


@dataclass(kw_only=True, slots=True, eq=False)
class Claim:
    """Room on a chain for one request."""

    chain: Chain
    waiter: Waiter
    released: bool = False


class ModelRouter:
    """
    Gives requests of a service their chains.

    :param service: its name.
    :param fleet: the servers.
    :param home: this entry's data centre.
    :param elsewhere: gives what other entries have in progress, by first server.
    :param emit: takes events.
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
        self.first_event_seconds: dict[str, tuple[float, float]] = {}
        self.failure_rates: dict[str, tuple[float, float]] = {}
        self.queue: AdmissionQueue[Claim] = AdmissionQueue(
            claim=self.claim,
            release=self.release,
            min_rate=self.min_token_rate,
            clock=clock,
        )
        self._chains: tuple[Chain, ...] = ()
        self._generation = -1
        self._avoid_until = 0.0

    def chains(self) -> tuple[Chain, ...]:
        """
        Give the chains that can serve now.

        :return: those that share no server.
        """
        now = self.clock()
        if self._generation != self.fleet.generation or now > self._avoid_until:
            self._generation = self.fleet.generation
            before = self._chains
            self._chains = find_chains(self.engine, self._candidates(now))
            if _parts(before) != _parts(self._chains):
                self._emit_chains_changed()
        return self._chains

    def _emit_chains_changed(self) -> None:
        self.emit(
            ChainsChanged(
                service=self.service,
                chains=tuple(format_chain(chain) for chain in self._chains),
                detail="" if self._chains else "some layers are held nowhere",
            )
        )

    def estimate_tokens(self, prompt: GenerationSize | None) -> float:
        """
        Estimate the tokens that a request holds in memory.

        :param prompt: its size, if it was told.
        :return: tokens.
        """
        if prompt is None:
            return self.engine.mean_prompt_tokens + self.engine.mean_output_tokens
        answer = prompt.output_tokens_hint or self.engine.mean_output_tokens
        return prompt.prompt_tokens + min(prompt.max_output_tokens, answer)

    def claim(
        self, waiter: Waiter, avoid: frozenset[str] = frozenset()
    ) -> Claim | None:
        """
        Reserve room for a request.

        :param waiter: the request.
        :param avoid: ids of servers that must not take part.
        :return: the claim, or None where no chain has room.
        """
        chain = choose_chain(
            self.chains(),
            self.loads(),
            tokens=waiter.tokens,
            slots=self.engine.slots,
            home=self.home,
            avoid=avoid,
        )
        if chain is None:
            return None
        self._add_load(chain.first_server.id, waiter.tokens, 1)
        self.queue.begin_service(waiter)
        claim = Claim(chain=chain, waiter=waiter)
        self.claims.add(claim)
        return claim

    def release(self, claim: Claim) -> None:
        """
        Give room back.

        :param claim: one that was given; a second time does nothing.
        """
        if claim.released:
            return
        claim.released = True
        self.claims.discard(claim)
        self._add_load(claim.chain.first_server.id, -claim.waiter.tokens, -1)
        self.queue.end_service(claim.waiter)

    def servers_in_use(self) -> set[str]:
        """
        Give the servers that chains go through, or requests of before still do.

        :return: their ids.
        """
        chains = {claim.chain for claim in self.claims}
        chains.update(self.chains())
        return {part.server.id for chain in chains for part in chain.stages}

    def tokens_by_server(self) -> dict[str, float]:
        """
        Sum up the requests that run through each server, over all entries.

        Chains with a server that does not answer are left out: what ran there moves.

        :return: tokens by id of the server.
        """
        by_first = {chain.first_server.id: chain for chain in self.chains()}
        through: dict[str, float] = {}
        for claim in self.claims:
            by_first.setdefault(claim.chain.first_server.id, claim.chain)
            self._add_tokens(through, claim.chain, claim.waiter.tokens)
        for first, load in self.peer_loads().items():
            if first in by_first:
                self._add_tokens(through, by_first[first], load.tokens)
        return through

    def _add_tokens(
        self, through: dict[str, float], chain: Chain, tokens: float
    ) -> None:
        servers = [part.server for part in chain.stages]
        if not all(self.fleet.is_responding(server) for server in servers):
            return
        for server in servers:
            through[server.id] = through.get(server.id, 0.0) + tokens

    def loads(self) -> dict[str, ChainLoad]:
        """
        Sum up what is in progress over all entries.

        Load pattern: a chain is laid anew, and takes in servers through which the
        requests of another one still run. Its room is that of its fullest server.

        :return: loads by id of the first server.
        """
        total = dict(self.own_loads)
        for name, load in self.peer_loads().items():
            total[name] = total.get(name, ChainLoad()).plus(load)
        through = self.tokens_by_server()
        for chain in self.chains():
            tokens = _tokens_used(chain, through)
            load = total.get(chain.first_server.id, ChainLoad())
            if tokens > load.tokens:
                requests = max(1, load.requests)
                total[chain.first_server.id] = ChainLoad(
                    tokens=tokens, requests=requests
                )
        now = self.clock()
        for name in self.first_event_seconds.keys() | self.failure_rates.keys():
            load = total.get(name, ChainLoad())
            total[name] = ChainLoad(
                tokens=load.tokens,
                requests=load.requests,
                first_event_seconds=_unexpired(self.first_event_seconds.get(name), now),
                failure_rate=_unexpired(self.failure_rates.get(name), now),
            )
        return total

    def record_first_event(self, chain: Chain, seconds: float) -> None:
        """
        Note how long a chain took to the first event.

        :param chain: that served.
        :param seconds: from sending to the first event.
        """
        before, _ = self.first_event_seconds.get(chain.first_server.id, (seconds, 0.0))
        average = before + FIRST_EVENT_WEIGHT * (seconds - before)
        self.first_event_seconds[chain.first_server.id] = (average, self.clock())
        self._record_outcome(chain, 0.0)

    def record_failure(self, chain: Chain) -> None:
        """
        Note that a chain left a request without a first event.

        :param chain: that was sent the request.
        """
        self._record_outcome(chain, 1.0)

    def _record_outcome(self, chain: Chain, failed: float) -> None:
        rate, _ = self.failure_rates.get(chain.first_server.id, (0.0, 0.0))
        rate += FAILURE_WEIGHT * (failed - rate)
        self.failure_rates[chain.first_server.id] = (rate, self.clock())

    def mean_first_event(self, chain: Chain) -> float:
        """
        Give the time that a chain lately took to its first event.

        :param chain: that serves.
        :return: seconds.
        """
        found = self.first_event_seconds.get(chain.first_server.id)
        return found[0] if found else chain.prefill_seconds

    def max_duration(self, output_tokens: int | None) -> float:
        """
        Estimate how long a request takes at most.

        :param answer: the most tokens of its answer, or None where that is unknown.
        :return: seconds, infinite where no chain is there.
        """
        tokens = (
            self.engine.mean_output_tokens * 3
            if output_tokens is None
            else output_tokens
        )
        slowest = max((c.request_seconds for c in self.chains()), default=float("inf"))
        times = tokens / max(1.0, self.engine.mean_output_tokens)
        return slowest * max(1.0, times)

    def min_token_rate(self) -> float:
        """
        Estimate the tokens of this entry that leave in a second when all is well.

        :return: this entry's share of what the chains carry.
        """
        whole = sum(
            chain.token_capacity / chain.request_seconds for chain in self.chains()
        )
        own = sum(load.tokens for load in self.own_loads.values())
        other = sum(load.tokens for load in self.peer_loads().values())
        share = own / (own + other) if own + other else 1.0
        return MIN_RATE_SHARE * share * whole

    def retry_delay(self) -> float:
        """
        Estimate when a refused caller finds room.

        :return: seconds.
        """
        if not self.chains():
            return 1.0 + self.engine.load_seconds / 10
        return max(0.3, self.queue.expected_wait())

    def _add_load(self, name: str, tokens: float, requests: int) -> None:
        load = self.own_loads.get(name, ChainLoad())
        left = load.requests + requests
        if left <= 0:
            self.own_loads.pop(name, None)
            return
        self.own_loads[name] = ChainLoad(
            tokens=max(0.0, load.tokens + tokens), requests=left
        )

    def _candidates(self, now: float) -> list[CandidateServer]:
        holders = []
        until = float("inf")
        for server in self.fleet.servers.values():
            if server.service != self.service or not self.fleet.is_up(server):
                continue
            if self.fleet.is_avoided(server):
                until = min(until, self.fleet.avoided_until[server.id])
                continue
            holders.append(
                CandidateServer(
                    server=server,
                    layers=self.fleet.layers(server),
                    slowdown=self.fleet.slowdown(server),
                    layers_in_memory=self.fleet.loaded(server),
                )
            )
        self._avoid_until = until
        return holders


def _tokens_used(chain: Chain, through: dict[str, float]) -> float:
    """Give what is used of a chain's room, by its fullest server."""
    left = min(p.token_capacity - through.get(p.server.id, 0.0) for p in chain.stages)
    return max(0.0, chain.token_capacity - left)


def _parts(chains: tuple[Chain, ...]) -> tuple[tuple[Stage, ...], ...]:
    return tuple(chain.stages for chain in chains)


def format_chain(chain: Chain) -> str:
    """
    Write a chain for people.

    :param chain: any chain.
    :return: its parts and its room.
    """
    parts = (
        f"{part.server.address}={part.layers.start}-{part.layers.stop}"
        for part in chain.stages
    )
    return f"{' '.join(parts)}, room {chain.token_capacity:.0f}"


def _unexpired(noted: tuple[float, float] | None, now: float) -> float:
    """Give a noted value, or 0 where it is old."""
    if noted is None or now - noted[1] > STATISTICS_EXPIRY_SECONDS:
        return 0.0
    return noted[0]
