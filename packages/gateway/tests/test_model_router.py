"""Tests of how a model router accounts for its chains and their requests."""

import asyncio
from dataclasses import replace
from random import Random

import pytest
from engines import ENGINE, layer_range, server

from kumquatway_gateway.chains import ChainLoad
from kumquatway_gateway.fleet import Fleet
from kumquatway_gateway.relay import ModelRouter
from kumquatway_gateway.relay._durations import Durations
from kumquatway_gateway.waiting import Waiter


def _waiter() -> Waiter:
    return Waiter(account="a", priority=1, tokens=900.0, arrived=0.0, deadline=1.0)


class TestServersInUse:
    """
    Servers that placement must not change.

    Load pattern: a chain moves to other servers under load.
    """

    def setup_method(self):
        ranges = {f"s{start}": (start, start + 16) for start in range(0, 80, 16)}
        ranges["spare"] = (64, 80)
        self.fleet = Fleet()
        servers = {
            name: server(name, "x", "big", layer_range(*bounds))
            for name, bounds in ranges.items()
        }
        self.fleet.update_servers(servers)
        self.router = ModelRouter(
            service="model",
            engine=ENGINE,
            fleet=self.fleet,
            home="x",
            peer_loads=dict,
        )

    def test_spare_server_with_the_same_layers_is_not_in_use(self):
        assert len(self.router.servers_in_use()) == 5

    def test_request_keeps_servers_of_a_former_chain_in_use(self):
        claim = self.router.claim(_waiter())
        last_server = claim.chain.stages[-1].server
        self.fleet.avoid(last_server)
        assert len(self.router.servers_in_use()) == 6
        self.router.release(claim)
        assert last_server.id not in self.router.servers_in_use()
        assert len(self.router.servers_in_use()) == 5


class TestTokensByServer:
    """
    KV cache in use.

    Load pattern: missing layers are loaded elsewhere while requests still run.
    """

    def setup_method(self):
        ranges = {f"s{start}": (start, start + 16) for start in range(0, 80, 16)}
        self.servers = {
            name: server(name, "x", "big", layer_range(*bounds))
            for name, bounds in ranges.items()
        }
        self.fleet = Fleet()
        self.fleet.update_servers(self.servers)
        self.peer_loads = {"s0": ChainLoad(tokens=500.0, requests=1)}
        self.router = ModelRouter(
            service="model",
            engine=ENGINE,
            fleet=self.fleet,
            home="x",
            peer_loads=lambda: self.peer_loads,
        )
        self.router.claim(_waiter())

    def test_requests_of_all_entries_are_counted(self):
        assert self.router.tokens_by_server() == dict.fromkeys(self.servers, 1400.0)

    def test_requests_continue_if_one_server_is_no_longer_listed(self):
        del self.servers["s48"]
        self.fleet.update_servers(self.servers)
        assert self.router.chains() == ()
        assert self.router.tokens_by_server()["s32"] == 1400.0

    def test_no_request_continues_if_one_server_does_not_respond(self):
        self.fleet.set_health(self.servers["s48"], down=True, reason="test")
        assert self.router.tokens_by_server() == {}

    def test_a_choice_costs_the_same_however_many_requests_run(self, monkeypatch):
        looked_at = []
        is_responding = self.fleet.is_responding

        def spy(server):
            looked_at.append(server.id)
            return is_responding(server)

        monkeypatch.setattr(self.fleet, "is_responding", spy)
        counts = []
        for _ in range(20):
            looked_at.clear()
            assert self.router.claim(replace(_waiter(), tokens=1.0))
            counts.append(len(looked_at))
        assert counts == [counts[0]] * 20

    def test_requests_that_end_are_counted_no_longer(self):
        claims = [self.router.claim(replace(_waiter(), tokens=9.0)) for _ in range(2)]
        self.router.release(claims[0])
        assert self.router.tokens_by_server()["s0"] == 1409.0
        self.router.release(claims[1])
        assert self.router.tokens_by_server()["s0"] == 1400.0

    def test_new_chain_counts_requests_of_the_former_chain(self):
        replacement = server("replacement", "x", "big", layer_range(0, 16))
        del self.servers["s0"]
        self.fleet.update_servers({**self.servers, "replacement": replacement})
        [chain] = self.router.chains()
        assert chain.first_server == replacement
        assert self.router.loads()["replacement"].tokens == 1400.0


def _router(servers: dict, clock=lambda: 0.0, **fields) -> ModelRouter:
    fleet = Fleet()
    fleet.update_servers(servers)
    options = {"peer_loads": dict, "clock": clock, **fields}
    return ModelRouter(service="model", engine=ENGINE, fleet=fleet, home="x", **options)


def _whole_model(name: str = "s") -> dict:
    return {
        f"{name}{start}": server(
            f"{name}{start}", "x", "big", layer_range(start, start + 16)
        )
        for start in range(0, 80, 16)
    }


class TestTooLarge:
    """A request that no server can hold does not wait."""

    @pytest.mark.parametrize("servers", [{}, _whole_model()], ids=["none", "a chain"])
    def test_is_what_exceeds_the_memory_of_a_server(self, servers):
        router = _router(servers)
        most = ENGINE.max_kv_tokens
        assert router.can_serve(replace(_waiter(), tokens=most))
        assert not router.can_serve(replace(_waiter(), tokens=most + 1))

    def test_a_request_that_only_an_idle_chain_takes_waits(self):
        router = _router(_whole_model())
        (chain,) = router.chains()
        larger = replace(_waiter(), tokens=chain.token_capacity + 1)
        assert router.can_serve(larger)
        assert router.claim(larger) is not None


class TestShutdown:
    """Streams accepted after SIGTERM were cut at the exit (review/4)."""

    def setup_method(self):
        self.now = 100.0
        self.peer_loads: dict[str, ChainLoad] = {}
        self.router = _router(
            _whole_model(),
            clock=lambda: self.now,
            peer_loads=lambda: self.peer_loads,
        )
        (self.chain,) = self.router.chains()
        self.waiter = replace(
            _waiter(),
            prompt_tokens=ENGINE.mean_prompt_tokens,
            max_output_tokens=ENGINE.mean_output_tokens,
        )
        self.idle_seconds = self.router.estimate_seconds(self.chain, self.waiter)

    def _load(self, requests: int) -> None:
        load = ChainLoad(tokens=900.0 * requests, requests=requests)
        self.peer_loads = {self.chain.first_server.id: load}

    def _claim_with(self, seconds_left: float, **fields):
        self.router.end_by = self.now + seconds_left
        return self.router.claim(replace(self.waiter, **fields))

    def test_what_ends_on_an_idle_chain_does_not_end_on_a_loaded_one(self):
        bound = self.idle_seconds * self.router.delays.upper_bound()
        assert self._claim_with(1.1 * bound) is not None
        self._load(30)
        assert self._claim_with(1.1 * bound) is None
        assert not self.router.can_serve(self.waiter)

    def test_what_ends_on_a_loaded_chain_is_not_refused(self):
        self._load(30)
        load = self.peer_loads[self.chain.first_server.id]
        seconds = self.router.estimate_seconds(self.chain, self.waiter, load)
        assert self._claim_with(1.5 * seconds) is not None

    def test_an_estimate_that_was_too_low_is_learned(self):
        for _ in range(20):
            self.router.record_duration(1.0, 3.0)
        assert self._claim_with(2.5 * self.idle_seconds) is None
        assert self._claim_with(5.0 * self.idle_seconds) is not None

    def test_a_longer_answer_takes_longer(self):
        left = 2.0 * self.idle_seconds
        longer = 4 * ENGINE.mean_output_tokens
        assert self._claim_with(left, max_output_tokens=longer) is None
        assert self._claim_with(left) is not None

    def test_a_stream_that_has_begun_goes_on_as_far_as_it_gets(self):
        assert self._claim_with(0.0) is None
        assert self._claim_with(0.0, begun=True) is not None

    def test_a_request_that_waits_is_refused_once_it_would_end_too_late(self):
        async def scenario():
            self._load(1000)
            self.router.end_by = float("inf")
            waiter = replace(self.waiter, arrived=self.now, deadline=self.now + 1.2)
            waiting = asyncio.create_task(self.router.queue.admit(waiter))
            await asyncio.sleep(0)
            assert self.router.queue.waiting
            self.router.end_by = self.now + 0.01
            self.router.queue.admit_waiting()
            assert await waiting is None

        asyncio.run(scenario())

    def test_one_that_would_end_too_late_is_refused_at_once(self):
        async def scenario():
            self.router.end_by = self.now + 0.01
            waiter = replace(self.waiter, arrived=self.now, deadline=self.now + 1.2)
            assert await asyncio.wait_for(self.router.queue.admit(waiter), 0.5) is None

        asyncio.run(scenario())


class TestDurations:
    """The time within which nearly all requests end."""

    def test_starts_from_what_is_assumed(self):
        assert Durations(mean=0.1, deviation=0.1).upper_bound() == 0.5

    @pytest.mark.parametrize("seed", range(20))
    def test_covers_nearly_all(self, seed):
        random = Random(seed)
        durations = Durations(mean=0.1, deviation=0.1)
        late = 0
        for number in range(400):
            seconds = random.lognormvariate(0.0, 0.4)
            late += number >= 20 and seconds > durations.upper_bound()
            durations.observe(seconds)
        assert late <= 0.05 * 380

    def test_is_near_to_durations_that_are_equal(self):
        durations = Durations(mean=0.1, deviation=0.1)
        for _ in range(60):
            durations.observe(2.0)
        assert 2.0 <= durations.upper_bound() < 2.1
