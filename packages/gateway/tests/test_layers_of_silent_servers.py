"""Tests that placement changes no server in use for a second of silence."""

from types import SimpleNamespace

import pytest
from engines import ENGINE, layer_range, server
from test_gossip import _Clock

from kumquatway_gateway.chains import ChainLoad
from kumquatway_gateway.duties import Placer
from kumquatway_gateway.fleet import Fleet
from kumquatway_gateway.relay import SILENCE_SECONDS, ModelRouter
from kumquatway_gateway.waiting import Waiter

# No neighbour of "x" has room for its layers, but all servers together have.
SPANS = {
    "a": (0, 10),
    "b": (10, 28),
    "x": (28, 34),
    "c": (34, 52),
    "d": (52, 62),
    "e": (62, 80),
}

# The neighbours of "x" together have room for its layers while they are idle.
ROOMY_SPANS = {
    "a": (0, 14),
    "b": (14, 28),
    "x": (28, 34),
    "c": (34, 48),
    "d": (48, 62),
    "e": (62, 76),
    "f": (76, 80),
}


class _Placement:
    """A placer that records its orders instead of sending them."""

    def __init__(self, clock: _Clock, spans: dict[str, tuple[int, int]] = SPANS):
        self.peer_loads: dict[str, ChainLoad] = {}
        self.fleet = Fleet(clock=clock)
        self.servers = {
            name: server(name, "x", "big", layer_range(*held))
            for name, held in spans.items()
        }
        self.fleet.update_servers(self.servers)
        self.router = ModelRouter(
            service="model",
            engine=ENGINE,
            fleet=self.fleet,
            home="x",
            peer_loads=lambda: self.peer_loads,
            clock=clock,
        )
        self.placer = Placer(
            lease=SimpleNamespace(fencing_number_if_held=lambda margin: 1),
            engines=None,
            fleet=self.fleet,
            health_checker=None,
            routers=lambda: [self.router],
            notify_peers=lambda: None,
            is_held_by_peer=lambda: False,
            fenced=True,
            emit=lambda event: None,
            clock=clock,
        )
        self.placer._spawn = lambda coroutine: coroutine.close()

    def place(self) -> set[str]:
        """Plan once; return the servers that have orders."""
        self.placer._record_fleet_changes()
        self.placer._place(self.router)
        return set(self.placer.pending)


class TestOnlyChainWithASilentServer:
    """
    The layers of servers with living requests were reassigned at once.

    Load pattern: a small deployment has one chain. A server of it falls silent for a
    second and goes on; its requests do so too.
    """

    def setup_method(self):
        self.clock = _Clock()
        self.placement = _Placement(self.clock)
        assert self.placement.router.chains()
        assert not self.placement.place()

    def _mark(self, **status) -> None:
        self.clock.now += 0.1
        self.placement.fleet.set_health(
            self.placement.servers["x"], reason="test", **status
        )

    def test_keeps_its_layers_for_a_second(self):
        self._mark(down=True)
        assert not self.placement.router.chains()
        assert not self.placement.place()
        self.clock.now += 1.2
        assert not self.placement.place()
        self._mark(down=False)
        assert not self.placement.place()

    def test_is_replaced_if_the_silence_lasts(self):
        self._mark(down=True)
        assert not self.placement.place()
        since = self.clock.now
        while self.clock.now + 0.1 < since + SILENCE_SECONDS:
            self._mark(down=True)  # checked once more
            assert not self.placement.place()
        self.clock.now = since + SILENCE_SECONDS
        assert self.placement.place()

    @pytest.mark.parametrize("status", [{"ended": True}, {"refuses_work": True}])
    def test_is_replaced_at_once_if_it_certainly_does_not_serve(self, status):
        self._mark(down=True, **status)
        assert self.placement.place()


class TestMemoryOfRequestsOnASilentChain:
    """
    Layers were loaded into the memory of requests that go on.

    Load pattern: a server falls silent for a second under load. Its neighbours have the
    memory for its layers only without the requests that wait for it.
    """

    def setup_method(self):
        self.clock = _Clock()
        self.placement = _Placement(self.clock, ROOMY_SPANS)
        assert self.placement.router.chains()
        assert not self.placement.place()

    def _begin_requests(self, entry: str) -> None:
        waiter = Waiter(
            account="a", priority=1, tokens=40_000.0, arrived=0.0, deadline=1.0
        )
        if entry == "this":
            assert self.placement.router.claim(waiter)
        elif entry == "a peer":
            load = ChainLoad(tokens=waiter.tokens, requests=1)
            self.placement.peer_loads["a"] = load

    def _mark(self, **status) -> None:
        self.clock.now += 0.1
        self.placement.fleet.set_health(
            self.placement.servers["x"], reason="test", **status
        )

    @pytest.mark.parametrize("entry", ["this", "a peer"])
    def test_is_not_used_for_a_second(self, entry):
        self._begin_requests(entry)
        self._mark(down=True)
        assert not self.placement.place()
        self.clock.now += 1.2
        assert not self.placement.place()
        self._mark(down=False)
        assert not self.placement.place()

    @pytest.mark.parametrize("entry", ["this", "a peer"])
    def test_is_used_if_the_silence_lasts(self, entry):
        self._begin_requests(entry)
        self._mark(down=True)
        assert not self.placement.place()
        self.clock.now += SILENCE_SECONDS
        assert self.placement.place()

    @pytest.mark.parametrize("entry", ["this", "a peer"])
    def test_is_used_at_once_if_the_server_has_certainly_ended(self, entry):
        self._begin_requests(entry)
        self._mark(down=True, ended=True)
        assert self.placement.place() == {"b", "c"}

    def test_is_used_at_once_if_there_are_none(self):
        self._mark(down=True)
        assert self.placement.place() == {"b", "c"}
