"""Tests of what a router knows of its chains and of the requests on them."""

from engines import ENGINE, layer_range, server

from kumquatway_gateway.chains import ChainLoad
from kumquatway_gateway.fleet import Fleet
from kumquatway_gateway.relay import ModelRouter
from kumquatway_gateway.waiting import Waiter


def _waiter() -> Waiter:
    return Waiter(account="a", priority=1, tokens=900.0, arrived=0.0, deadline=1.0)


class TestUsed:
    """Servers that a plan must leave alone. Load pattern: a chain moves under load."""

    def setup_method(self):
        spans = {f"s{start}": (start, start + 16) for start in range(0, 80, 16)}
        spans["spare"] = (64, 80)
        self.fleet = Fleet()
        members = {
            name: server(name, "x", "big", layer_range(*held))
            for name, held in spans.items()
        }
        self.fleet.update_servers(members)
        self.router = ModelRouter(
            service="model",
            engine=ENGINE,
            fleet=self.fleet,
            home="x",
            peer_loads=dict,
        )

    def test_of_two_that_hold_the_same_one_is_idle(self):
        assert len(self.router.servers_in_use()) == 5

    def test_a_request_keeps_its_servers_used_after_the_chain_has_moved(self):
        claim = self.router.claim(_waiter())
        last = claim.chain.stages[-1].server
        self.fleet.avoid(last)
        assert len(self.router.servers_in_use()) == 6
        self.router.release(claim)
        assert last.id not in self.router.servers_in_use()
        assert len(self.router.servers_in_use()) == 5


class TestTokensThrough:
    """Request memory in use. Load pattern: a gap is filled beside what still runs."""

    def setup_method(self):
        spans = {f"s{start}": (start, start + 16) for start in range(0, 80, 16)}
        self.members = {
            name: server(name, "x", "big", layer_range(*held))
            for name, held in spans.items()
        }
        self.fleet = Fleet()
        self.fleet.update_servers(self.members)
        self.elsewhere = {"s0": ChainLoad(tokens=500.0, requests=1)}
        self.router = ModelRouter(
            service="model",
            engine=ENGINE,
            fleet=self.fleet,
            home="x",
            peer_loads=lambda: self.elsewhere,
        )
        self.router.claim(_waiter())

    def test_the_requests_of_all_entries_count(self):
        assert self.router.tokens_by_server() == dict.fromkeys(self.members, 1400.0)

    def test_they_go_on_through_a_server_that_is_no_longer_listed(self):
        del self.members["s48"]
        self.fleet.update_servers(self.members)
        assert self.router.chains() == ()
        assert self.router.tokens_by_server()["s32"] == 1400.0

    def test_nothing_goes_on_through_one_that_does_not_answer(self):
        self.fleet.set_health(self.members["s48"], down=True, reason="test")
        assert self.router.tokens_by_server() == {}

    def test_a_chain_laid_anew_has_the_room_that_requests_of_before_leave(self):
        again = server("again", "x", "big", layer_range(0, 16))
        del self.members["s0"]
        self.fleet.update_servers({**self.members, "again": again})
        [chain] = self.router.chains()
        assert chain.first_server == again
        assert self.router.loads()["again"].tokens == 1400.0
