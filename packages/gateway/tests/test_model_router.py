"""Tests of how a model router accounts for its chains and their requests."""

from engines import ENGINE, layer_range, server

from kumquatway_gateway.chains import ChainLoad
from kumquatway_gateway.fleet import Fleet
from kumquatway_gateway.relay import ModelRouter
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

    def test_new_chain_counts_requests_of_the_former_chain(self):
        replacement = server("replacement", "x", "big", layer_range(0, 16))
        del self.servers["s0"]
        self.fleet.update_servers({**self.servers, "replacement": replacement})
        [chain] = self.router.chains()
        assert chain.first_server == replacement
        assert self.router.loads()["replacement"].tokens == 1400.0


class TestMaxWaitingTokens:
    """A request that no chain can hold does not wait."""

    def _router(self, servers) -> ModelRouter:
        fleet = Fleet()
        fleet.update_servers(servers)
        return ModelRouter(
            service="model", engine=ENGINE, fleet=fleet, home="x", peer_loads=dict
        )

    def test_is_the_capacity_of_the_largest_chain(self):
        servers = {"s": server("s", "x", "big", layer_range(0, 20))}
        servers |= {
            f"s{start}": server(f"s{start}", "x", "big", layer_range(start, start + 20))
            for start in range(20, 80, 20)
        }
        router = self._router(servers)
        (chain,) = router.chains()
        assert router.max_waiting_tokens() == chain.token_capacity > 0

    def test_any_request_waits_for_the_first_chain(self):
        assert self._router({}).max_waiting_tokens() == float("inf")
