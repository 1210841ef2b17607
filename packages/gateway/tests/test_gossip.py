"""Tests of the gossip between entries, including lost and late messages."""

import random

import pytest
from engines import layer_range, server

from kumquatway_gateway.chains import ChainLoad
from kumquatway_gateway.fleet import Fleet
from kumquatway_gateway.model import LayerRange, LayerReport, ServerState
from kumquatway_gateway.peers import Freshness, Gossip
from kumquatway_gateway.peers._gossip import (
    LOAD_EXPIRY_SECONDS,
    MAX_TARGETS,
    PEER_EXPIRY_SECONDS,
    PEER_FAILURE_SECONDS,
    REPEAT_SECONDS,
    SEND_PERIOD_SECONDS,
    GossipMessage,
    _encoder,
)
from kumquatway_gateway.quarantine import Quarantine


class _Clock:
    def __init__(self):
        self.now = 50.0

    def __call__(self) -> float:
        return self.now


class _Transport:
    """Records the datagrams that are sent, with their targets."""

    def __init__(self):
        self.sent: list[tuple[str, bytes]] = []

    def sendto(self, data: bytes, target: tuple[str, int]) -> None:
        self.sent.append((f"{target[0]}:{target[1]}", data))


class _Entry:
    def __init__(self, name: str, incarnation: int, clock: _Clock):
        self.fleet = Fleet(clock=clock)
        listed = server("s1", "a", "big", layer_range(0, 10))
        self.fleet.update_servers({"s1": listed})
        self.loads: dict[str, ChainLoad] = {}
        self.revision = 1
        self.freshness = Freshness(
            configuration_age=0.1, servers_digest=5, servers_age=0.2
        )
        self.messages: list[GossipMessage] = []
        self.quarantine = Quarantine(fleet=self.fleet, clock=clock)
        self.gossip = Gossip(
            quarantine=self.quarantine,
            address=name,
            incarnation=incarnation,
            fleet=self.fleet,
            own_loads=lambda: self.loads,
            revision=lambda: self.revision,
            freshness=lambda: self.freshness,
            on_message=self.messages.append,
            clock=clock,
        )
        self.gossip.transport = _Transport()

    def message(self) -> bytes:
        return _encoder.encode(self.gossip._build_message())

    def receive(self, data: bytes) -> None:
        self.gossip.datagram_received(data, ("x", 1))


class TestGossip:
    """Messages between two entries."""

    def setup_method(self):
        self.clock = _Clock()
        self.first = _Entry("10.0.0.1:9", 1, self.clock)
        self.second = _Entry("10.0.0.2:9", 2, self.clock)

    def test_loads_are_summed_and_expire(self):
        self.first.loads = {"s1": ChainLoad(tokens=500.0, requests=2)}
        self.second.receive(self.first.message())
        assert self.second.gossip.peer_loads()["s1"].tokens == 500
        self.clock.now += LOAD_EXPIRY_SECONDS + 0.1
        assert self.second.gossip.peer_loads() == {}

    @pytest.mark.parametrize("peers", [3, 29, 67])
    def test_loads_of_peers_that_were_not_heard_recently_are_estimated(self, peers):
        """Load pattern: of 67 peers, a message of 35 arrives within the expiry."""
        rng = random.Random(peers)
        senders = [
            _Entry(f"10.0.1.{number}:9", 100 + number, self.clock)
            for number in range(peers)
        ]
        for sender in senders:
            sender.loads = {"s1": ChainLoad(tokens=1000.0, requests=1)}
        estimates = []
        for tick in range(80):
            self.clock.now += SEND_PERIOD_SECONDS
            for sender in senders:
                if rng.random() < MAX_TARGETS / peers:
                    self.first.receive(sender.message())
            if tick >= 40:
                estimates.append(self.first.gossip.peer_loads()["s1"].tokens)
        mean = sum(estimates) / len(estimates)
        assert mean == pytest.approx(1000.0 * peers, rel=0.05)

    @pytest.mark.parametrize(("peers", "stopped"), [(3, 1), (7, 3)])
    def test_no_load_stands_for_peers_that_stopped(self, peers, stopped):
        """Load pattern: a rolling restart of a deployment with few entries."""
        senders = [
            _Entry(f"10.0.1.{number}:9", 100 + number, self.clock)
            for number in range(peers)
        ]
        for sender in senders:
            sender.loads = {"s1": ChainLoad(tokens=1000.0, requests=1)}
            self.first.receive(sender.message())
        self.clock.now += LOAD_EXPIRY_SECONDS + 0.1
        for sender in senders[stopped:]:
            self.first.receive(sender.message())
        total = self.first.gossip.peer_loads()["s1"].tokens
        assert total == 1000.0 * (peers - stopped)

    def test_repeated_health_status_is_applied_once(self):
        self.first.fleet.set_health(
            self.first.fleet.servers["s1"], down=True, reason="silent"
        )
        message = self.first.message()
        self.second.receive(message)
        self.second.receive(message)
        assert not self.second.fleet.is_up(self.second.fleet.servers["s1"])

    def test_late_message_does_not_undo_a_newer_health_status(self):
        self.first.fleet.set_health(
            self.first.fleet.servers["s1"], down=True, reason="silent"
        )
        delayed = self.first.message()
        self.clock.now += 0.5
        self.second.fleet.set_health(
            self.second.fleet.servers["s1"], down=False, reason="answers"
        )
        self.clock.now -= 0.1
        self.second.receive(delayed)
        assert self.second.fleet.is_up(self.second.fleet.servers["s1"])

    def _report_layers(self, layers: LayerRange, *, busy: bool = False) -> None:
        """Let the first entry know a report of the server."""
        report = LayerReport(
            incarnation=1,
            layers=layers,
            sequence=1,
            busy=busy,
            reported_at=self.clock.now,
        )
        self.first.fleet.update_layers("s1", report)

    def test_layer_reports_and_slowdowns_are_shared(self):
        self._report_layers(layer_range(0, 12))
        self.first.fleet.update_slowdown("s1", 1, 6.0, self.clock.now)
        self.second.receive(self.first.message())
        known = self.second.fleet.servers["s1"]
        assert self.second.fleet.layers(known) == layer_range(0, 12)
        assert self.second.fleet.slowdown(known) == 6.0

    def test_layer_reports_that_are_passed_on_do_not_outlive_the_list(self):
        """A list of servers shows the end of an order before the peers' messages do."""
        empty = server("s1", "a", "big", layer_range(0, 0))
        loaded = server("s1", "a", "big", layer_range(0, 10))
        entries = (self.first, self.second)
        for entry in entries:
            entry.fleet.update_servers({"s1": empty})
        self._report_layers(layer_range(0, 0), busy=True)
        for step in range(50):
            listed = empty if step < 15 else loaded
            messages = [entry.message() for entry in entries]
            self.clock.now += 0.1
            for entry, message in zip(entries, reversed(messages), strict=True):
                entry.fleet.update_servers({"s1": listed})
                entry.receive(message)
        for entry in entries:
            assert entry.fleet.layers(loaded) == layer_range(0, 10)

    def test_leaving_servers_are_shared(self):
        leaving = server("s1", "a", "big", layer_range(0, 10))
        fields = {name: getattr(leaving, name) for name in leaving.__slots__}
        fields["state"] = ServerState.LEAVING
        self.first.fleet.update_servers({"s1": type(leaving)(**fields)})
        self.second.receive(self.first.message())
        assert not self.second.fleet.is_up(self.second.fleet.servers["s1"])

    def test_freshness_is_passed_to_the_callback(self):
        self.first.revision = 5
        self.second.receive(self.first.message())
        [message] = self.second.messages
        assert (message.address, message.revision) == ("10.0.0.1:9", 5)
        assert message.freshness == self.first.freshness

    def test_lease_of_a_silent_peer_is_not_reported_as_held(self):
        self.second.receive(self.first.message())
        assert not self.second.gossip.is_lease_held_by_peer()
        self.first.gossip.has_duty = lambda: True
        self.second.receive(self.first.message())
        assert self.second.gossip.is_lease_held_by_peer()
        self.clock.now += PEER_FAILURE_SECONDS + 0.1
        assert not self.second.gossip.is_lease_held_by_peer()

    def test_a_peer_that_stops_tells_when_it_is_back(self):
        self.second.receive(self.first.message())
        assert self.second.gossip.peer_returns() == [0.0]
        self.first.gossip.back_in = lambda: 6.0
        self.second.receive(self.first.message())
        self.clock.now += 5.0
        assert self.second.gossip.peer_returns() == [1.0]
        self.clock.now += 2.0
        [overdue] = self.second.gossip.peer_returns()
        assert 0.0 < overdue < 1.0
        self.clock.now += PEER_EXPIRY_SECONDS
        assert self.second.gossip.peer_returns() == []

    def test_a_peer_that_fell_silent_without_notice_is_not_counted_as_serving(self):
        self.second.receive(self.first.message())
        self.clock.now += PEER_FAILURE_SECONDS + 0.1
        assert self.second.gossip.peer_returns() == []

    def test_own_and_invalid_datagrams_are_ignored(self):
        self.first.receive(self.first.message())
        self.first.receive(b"\x00garbage")
        assert not self.first.gossip.peers

    def test_previous_incarnation_of_a_peer_is_gone(self):
        self.second.receive(self.first.message())
        assert not self.second.gossip.is_gone(1)
        restarted = _Entry("10.0.0.1:9", 9, self.clock)
        self.second.receive(restarted.message())
        assert self.second.gossip.is_gone(1)
        assert not self.second.gossip.is_gone(9)

    def test_late_message_of_a_previous_incarnation_is_ignored(self):
        old = self.first.message()
        restarted = _Entry("10.0.0.1:9", 9, self.clock)
        self.second.receive(restarted.message())
        self.second.receive(old)
        assert not self.second.gossip.is_gone(9)

    def test_silent_peer_is_gone_and_unknown_peer_is_not(self):
        self.second.receive(self.first.message())
        self.clock.now += PEER_FAILURE_SECONDS + 0.1
        assert self.second.gossip.is_gone(1)
        assert not self.second.gossip.is_gone(77)

    def test_peers_that_started_in_the_same_microsecond_hear_each_other(self):
        """Load pattern: a deployment starts, and its entries do at the same time."""
        twin = _Entry("10.0.0.3:9", 1, self.clock)
        self.first.loads = {"s1": ChainLoad(tokens=500.0, requests=2)}
        twin.receive(self.first.message())
        assert twin.gossip.live_peers() == ["10.0.0.1:9"]
        assert twin.gossip.peer_loads()["s1"].tokens == 500

    def test_a_peer_is_not_gone_with_another_one_of_the_same_incarnation(self):
        twin = _Entry("10.0.0.3:9", 1, self.clock)
        self.second.receive(twin.message())
        self.clock.now += PEER_FAILURE_SECONDS + 0.1
        self.second.receive(self.first.message())
        assert not self.second.gossip.is_gone(1)
        self.clock.now += PEER_FAILURE_SECONDS + 0.1
        assert self.second.gossip.is_gone(1)

    def test_only_the_lease_holder_sends_to_more_than_a_few_peers(self):
        self.first.gossip.set_addresses({f"10.0.1.{n}:9" for n in range(30)})
        self.first.gossip._send(MAX_TARGETS)
        assert len(self.first.gossip.transport.sent) == MAX_TARGETS
        self.first.gossip.transport.sent.clear()
        self.first.gossip.has_duty = lambda: True
        self.first.gossip._send(MAX_TARGETS)
        assert len(self.first.gossip.transport.sent) == 30

    def test_usual_speed_is_not_sent(self):
        """Load pattern: every entry checks every server, and none is slow."""
        before = len(self.first.message())
        self.first.fleet.update_slowdown("s1", 1, 1.05, self.clock.now)
        assert len(self.first.message()) == before

    def test_recovery_from_a_slowdown_is_sent_for_some_time(self):
        self.first.fleet.update_slowdown("s1", 1, 6.0, self.clock.now)
        self.second.receive(self.first.message())
        self.clock.now += 1.0
        self.first.fleet.update_slowdown("s1", 1, 1.0, self.clock.now)
        self.second.receive(self.first.message())
        assert not self.second.fleet.is_slow(self.second.fleet.servers["s1"])
        self.clock.now += REPEAT_SECONDS + 0.1
        self.first.fleet.update_slowdown("s1", 1, 1.0, self.clock.now)
        assert not self.first.gossip._build_message().slowdowns

    def test_only_local_observations_are_sent_at_once(self):
        self.first.fleet.on_local_change = self.first.gossip.send_soon
        self.second.fleet.on_local_change = self.second.gossip.send_soon
        self.first.fleet.set_health(
            self.first.fleet.servers["s1"], down=True, reason="silent"
        )
        assert self.first.gossip._send_requested.is_set()
        self.second.receive(self.first.message())
        assert not self.second.fleet.is_up(self.second.fleet.servers["s1"])
        assert not self.second.gossip._send_requested.is_set()

    def test_messages_are_small(self):
        assert len(self.first.message()) < 200
        assert isinstance(self.first.gossip._build_message(), GossipMessage)


class TestSharesOfManyEntries:
    """What all entries share in equal parts, such as the budget of retries."""

    @pytest.mark.parametrize("entries", [3, 30, 68, 380])
    def test_together_are_no_more_than_the_whole(self, entries):
        clock = _Clock()
        names = [f"10.0.{n // 250}.{n % 250}:9" for n in range(entries)]
        # Only the first entry is played: all others are heard as often as it is.
        first = _Entry(names[0], 1, clock)
        first.gossip.set_addresses(set(names))
        peers = [_Entry(name, 1, clock) for name in names[1:]]
        messages = [peer.message() for peer in peers]
        chance = min(1.0, MAX_TARGETS / (entries - 1))
        draw = random.Random(1).random
        counts = [first.gossip.count_entries()]
        while clock.now < 110.0:
            clock.now += SEND_PERIOD_SECONDS
            for message in messages:
                if draw() < chance:
                    first.receive(message)
            counts.append(first.gossip.count_entries())
        assert 0.95 * entries <= min(counts) <= max(counts) <= entries

    def test_entries_that_are_gone_are_not_counted_for_long(self):
        clock = _Clock()
        names = [f"10.0.0.{n}:9" for n in range(5)]
        first = _Entry(names[0], 1, clock)
        first.gossip.set_addresses(set(names))
        for name in names[1:]:
            first.receive(_Entry(name, 1, clock).message())
        clock.now += 8.1
        assert first.gossip.count_entries() == 1
