"""Tests of what entries tell each other, lost and late words included."""

from engines import layer_range, server

from kumquatway_gateway.chains import ChainLoad
from kumquatway_gateway.fleet import Fleet
from kumquatway_gateway.model import LayerReport, ServerState
from kumquatway_gateway.peers import Freshness, Gossip
from kumquatway_gateway.peers._gossip import (
    LOAD_EXPIRY_SECONDS,
    MAX_TARGETS,
    PEER_FAILURE_SECONDS,
    REPEAT_SECONDS,
    GossipMessage,
    _encoder,
)


class _Clock:
    def __init__(self):
        self.now = 50.0

    def __call__(self) -> float:
        return self.now


class _Wire:
    """Keeps what is sent, by target."""

    def __init__(self):
        self.sent: list[tuple[str, bytes]] = []

    def sendto(self, data: bytes, target: tuple[str, int]) -> None:
        self.sent.append((f"{target[0]}:{target[1]}", data))


class _Entry:
    def __init__(self, name: str, life: int, clock: _Clock):
        self.fleet = Fleet(clock=clock)
        one = server("s1", "a", "big", layer_range(0, 10))
        self.fleet.update_servers({"s1": one})
        self.loads: dict[str, ChainLoad] = {}
        self.revision = 1
        self.fresh = Freshness(configuration_age=0.1, servers_digest=5, servers_age=0.2)
        self.words: list[GossipMessage] = []
        self.gossip = Gossip(
            address=name,
            incarnation=life,
            fleet=self.fleet,
            own_loads=lambda: self.loads,
            revision=lambda: self.revision,
            freshness=lambda: self.fresh,
            on_message=self.words.append,
            clock=clock,
        )
        self.gossip.transport = _Wire()

    def word(self) -> bytes:
        return _encoder.encode(self.gossip._build_message())

    def hear(self, data: bytes) -> None:
        self.gossip.datagram_received(data, ("x", 1))


class TestGossip:
    """Two entries."""

    def setup_method(self):
        self.clock = _Clock()
        self.one = _Entry("10.0.0.1:9", 1, self.clock)
        self.two = _Entry("10.0.0.2:9", 2, self.clock)

    def test_loads_add_up_and_age(self):
        self.one.loads = {"s1": ChainLoad(tokens=500.0, requests=2)}
        self.two.hear(self.one.word())
        assert self.two.gossip.peer_loads()["s1"].tokens == 500
        self.clock.now += LOAD_EXPIRY_SECONDS + 0.1
        assert self.two.gossip.peer_loads() == {}

    def test_a_mark_is_believed_once(self):
        self.one.fleet.set_health(
            self.one.fleet.servers["s1"], down=True, reason="silent"
        )
        word = self.one.word()
        self.two.hear(word)
        self.two.hear(word)
        assert not self.two.fleet.is_up(self.two.fleet.servers["s1"])

    def test_a_late_word_does_not_undo_a_newer_mark(self):
        self.one.fleet.set_health(
            self.one.fleet.servers["s1"], down=True, reason="silent"
        )
        late = self.one.word()
        self.clock.now += 0.5
        self.two.fleet.set_health(
            self.two.fleet.servers["s1"], down=False, reason="answers"
        )
        self.clock.now -= 0.1
        self.two.hear(late)
        assert self.two.fleet.is_up(self.two.fleet.servers["s1"])

    def test_reports_and_paces_are_shared(self):
        held = LayerReport(
            incarnation=1,
            layers=layer_range(0, 12),
            sequence=1,
            busy=False,
            reported_at=self.clock.now,
        )
        self.one.fleet.update_layers("s1", held)
        self.one.fleet.update_slowdown("s1", 1, 6.0, self.clock.now)
        self.two.hear(self.one.word())
        one = self.two.fleet.servers["s1"]
        assert self.two.fleet.layers(one) == layer_range(0, 12)
        assert self.two.fleet.slowdown(one) == 6.0

    def test_who_leaves_is_told(self):
        leaving = server("s1", "a", "big", layer_range(0, 10))
        fields = {name: getattr(leaving, name) for name in leaving.__slots__}
        fields["state"] = ServerState.LEAVING
        self.one.fleet.update_servers({"s1": type(leaving)(**fields)})
        self.two.hear(self.one.word())
        assert not self.two.fleet.is_up(self.two.fleet.servers["s1"])

    def test_how_new_the_peers_copies_are_is_passed_on(self):
        self.one.revision = 5
        self.two.hear(self.one.word())
        [word] = self.two.words
        assert (word.address, word.revision) == ("10.0.0.1:9", 5)
        assert word.freshness == self.one.fresh

    def test_who_holds_the_lease_is_known_while_it_speaks(self):
        self.two.hear(self.one.word())
        assert not self.two.gossip.is_lease_held_by_peer()
        self.one.gossip.has_duty = lambda: True
        self.two.hear(self.one.word())
        assert self.two.gossip.is_lease_held_by_peer()
        self.clock.now += PEER_FAILURE_SECONDS + 0.1
        assert not self.two.gossip.is_lease_held_by_peer()

    def test_own_words_and_garbage_are_nothing(self):
        self.one.hear(self.one.word())
        self.one.hear(b"\x00garbage")
        assert not self.one.gossip.peers

    def test_a_peers_old_life_is_gone(self):
        self.two.hear(self.one.word())
        assert not self.two.gossip.is_gone(1)
        again = _Entry("10.0.0.1:9", 9, self.clock)
        self.two.hear(again.word())
        assert self.two.gossip.is_gone(1)
        assert not self.two.gossip.is_gone(9)

    def test_a_word_of_an_old_life_that_comes_late_is_nothing(self):
        old = self.one.word()
        again = _Entry("10.0.0.1:9", 9, self.clock)
        self.two.hear(again.word())
        self.two.hear(old)
        assert not self.two.gossip.is_gone(9)

    def test_a_silent_peer_is_gone_and_an_unknown_one_is_not(self):
        self.two.hear(self.one.word())
        self.clock.now += PEER_FAILURE_SECONDS + 0.1
        assert self.two.gossip.is_gone(1)
        assert not self.two.gossip.is_gone(77)

    def test_in_a_large_deployment_a_few_are_told_but_all_by_who_holds_a_duty(self):
        self.one.gossip.set_addresses({f"10.0.1.{n}:9" for n in range(30)})
        self.one.gossip._send(MAX_TARGETS)
        assert len(self.one.gossip.transport.sent) == MAX_TARGETS
        self.one.gossip.transport.sent.clear()
        self.one.gossip.has_duty = lambda: True
        self.one.gossip._send(MAX_TARGETS)
        assert len(self.one.gossip.transport.sent) == 30

    def test_a_server_that_is_well_is_no_news(self):
        """Load pattern: every entry asks every server, and all are well."""
        before = len(self.one.word())
        self.one.fleet.update_slowdown("s1", 1, 1.05, self.clock.now)
        assert len(self.one.word()) == before

    def test_one_that_is_well_again_is(self):
        self.one.fleet.update_slowdown("s1", 1, 6.0, self.clock.now)
        self.two.hear(self.one.word())
        self.clock.now += 1.0
        self.one.fleet.update_slowdown("s1", 1, 1.0, self.clock.now)
        self.two.hear(self.one.word())
        assert not self.two.fleet.is_slow(self.two.fleet.servers["s1"])
        self.clock.now += REPEAT_SECONDS + 0.1
        self.one.fleet.update_slowdown("s1", 1, 1.0, self.clock.now)
        assert not self.one.gossip._build_message().slowdowns

    def test_only_what_was_seen_here_is_told_at_once(self):
        self.one.fleet.on_local_change = self.one.gossip.send_soon
        self.two.fleet.on_local_change = self.two.gossip.send_soon
        self.one.fleet.set_health(
            self.one.fleet.servers["s1"], down=True, reason="silent"
        )
        assert self.one.gossip._send_requested.is_set()
        self.two.hear(self.one.word())
        assert not self.two.fleet.is_up(self.two.fleet.servers["s1"])
        assert not self.two.gossip._send_requested.is_set()

    def test_words_are_small(self):
        assert len(self.one.word()) < 200
        assert isinstance(self.one.gossip._build_message(), GossipMessage)
