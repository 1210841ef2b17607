"""
Tests of what entries tell each other again and again.

A datagram is on its way for a while, and the ages in it do not count that.
"""

import asyncio
from dataclasses import replace
from types import SimpleNamespace

import msgspec
import pytest
from engines import layer_range, server

from kumquatway_fakes import free_address
from kumquatway_gateway._follow import (
    CONFIGURATION_MAX_AGE_SECONDS,
    ConfigurationFollower,
)
from kumquatway_gateway.fleet import Fleet
from kumquatway_gateway.model import LayerReport, ServerNotice
from kumquatway_gateway.peers import Freshness, Gossip, GossipMessage
from kumquatway_gateway.peers._gossip import SEND_PERIOD_SECONDS, _encoder
from kumquatway_gateway.peers._lateness import PERIOD_SECONDS
from kumquatway_gateway.quarantine import Quarantine, Suspect

WAY_SECONDS = 0.05
GENERATION = 1


class _Clock:
    def __init__(self):
        self.now = 50.0

    def __call__(self) -> float:
        return self.now


class _Store:
    """Confirms the configuration, by a clock of its own, until the test is over."""

    def __init__(self, clock: _Clock):
        self.clock = clock
        self.generation = GENERATION
        self.read_at = 0.0
        self.polls = 0

    async def poll(self, wait: float) -> None:
        self.polls += 1
        if self.polls == 2:
            raise asyncio.CancelledError
        self.read_at = self.clock.now + 7000.0


class _Entry:
    """An entry that follows the configuration and does not hold the lease."""

    def __init__(self, name: str, clock: _Clock):
        self.name = name
        self.clock = clock
        self.relay = SimpleNamespace(configuration_confirmed_at=float("-inf"))
        self.follower = ConfigurationFollower(
            source=_Store(clock),
            relay=self.relay,
            copies=None,
            emit=lambda event: None,
            clock=clock,
        )
        self.follower.reads_store = lambda: False

    def read(self) -> None:
        """Read the store once."""
        self.follower.reads_store = lambda: True
        with pytest.raises(asyncio.CancelledError):
            asyncio.run(self.follower.run())
        self.follower.reads_store = lambda: False

    def age(self) -> float:
        return self.clock.now - self.relay.configuration_confirmed_at

    def message(self) -> GossipMessage:
        generation, configured_at = self.follower.confirmed
        freshness = Freshness(
            configuration_age=self.age(),
            servers_digest=0,
            servers_age=0.0,
            configuration_at=configured_at,
            configuration_generation=generation,
        )
        return GossipMessage(
            incarnation=9,
            address=self.name,
            revision=0,
            loads=(),
            health=(),
            layer_reports=(),
            leaving_servers=(),
            freshness=freshness,
        )


class TestConfirmationThatGrowsYounger:
    """Entries that confirmed each other's copies hardly read the store any more."""

    def setup_method(self):
        self.clock = _Clock()
        self.first = _Entry("10.0.0.1:9", self.clock)
        self.second = _Entry("10.0.0.2:9", self.clock)

    def _pass_on(self, sender: _Entry, receiver: _Entry) -> None:
        message = sender.message()
        self.clock.now += WAY_SECONDS
        receiver.follower.receive(message)

    def test_the_store_is_read_in_time(self):
        """As in an outage of the store, or of the link of the entry that reads it."""
        self.first.read()
        read_at = self.clock.now
        while self.second.follower.seconds_until_read() or self.clock.now == read_at:
            self._pass_on(self.first, self.second)
            self._pass_on(self.second, self.first)
            assert self.clock.now - read_at < 10.0
        assert self.clock.now - read_at < CONFIGURATION_MAX_AGE_SECONDS + 0.2
        assert self.first.age() == pytest.approx(self.clock.now - read_at)

    def test_a_later_reading_confirms(self):
        self.first.read()
        self._pass_on(self.first, self.second)
        self.clock.now += 1.0
        self.first.follower.source.polls = 0
        self.first.read()
        self._pass_on(self.first, self.second)
        assert self.second.age() == pytest.approx(0.0)

    def test_a_store_that_came_back_with_an_earlier_clock_confirms(self):
        self.first.read()
        self._pass_on(self.first, self.second)
        self.clock.now += 1.0
        store = self.first.follower.source
        store.polls, store.generation = 0, GENERATION + 1
        self.first.read()
        generation, configured_at = self.first.follower.confirmed
        self.first.follower.confirmed = (generation, configured_at - 60.0)
        self._pass_on(self.first, self.second)
        assert self.second.age() == pytest.approx(0.0)

    def test_a_peer_of_an_older_release_confirms_nothing(self):
        """It does not tell when the store had its configuration."""
        self.first.relay.configuration_confirmed_at = self.clock.now
        self._pass_on(self.first, self.second)
        assert self.second.follower.seconds_until_read() == 0


class _Talker:
    """An entry that knows one server, and talks about it by a clock of its own."""

    def __init__(self, name: str, clock: _Clock, clock_lead: float = 0.0):
        self.clock = clock
        self.clock_lead = clock_lead
        self.fleet = Fleet(clock=self.read_clock)
        self.server = server("s1", "a", "big", layer_range(0, 10))
        self.fleet.update_servers({"s1": self.server})
        self.quarantine = Quarantine(fleet=self.fleet, clock=self.read_clock)
        self.copies: list[Freshness] = []
        self.gossip = Gossip(
            quarantine=self.quarantine,
            address=name,
            incarnation=1,
            fleet=self.fleet,
            own_loads=dict,
            revision=lambda: 1,
            freshness=lambda: Freshness(
                configuration_age=0.1, servers_digest=5, servers_age=0.2
            ),
            on_message=lambda message: self.copies.append(message.freshness),
            clock=self.read_clock,
        )

    def read_clock(self) -> float:
        return self.clock.now + self.clock_lead

    def observe(self, *, down: bool) -> None:
        """Observe the server."""
        self.fleet.set_health(self.server, down=down, reason="test")

    def is_up(self) -> bool:
        return self.fleet.is_up(self.server)

    def message(self) -> bytes:
        return _encoder.encode(self.gossip._build_message())

    def receive(self, data: bytes) -> None:
        self.gossip.datagram_received(data, ("x", 1))


class TestEntryThatWasHeldUp:
    """It took messages that had waited for it for news, and told its peers so."""

    def setup_method(self):
        self.clock = _Clock()
        self.observer = _Talker("10.0.0.1:9", self.clock)
        self.held_up = _Talker("10.0.0.2:9", self.clock, clock_lead=3000.0)
        self.other = _Talker("10.0.0.3:9", self.clock, clock_lead=400.0)
        self._talk()

    def _talk(self) -> None:
        """Let all entries hear each other."""
        entries = (self.observer, self.held_up, self.other)
        for sender in entries:
            message = sender.message()
            for receiver in entries:
                receiver.receive(message)

    @pytest.mark.parametrize("was_down", [True, False])
    def test_a_server_is_as_it_was_seen_last(self, was_down):
        """A server that recovered was down again, and one that was lost was up."""
        self.clock.now += 1.0
        self.observer.observe(down=not was_down)
        self.clock.now += 1.0
        self.observer.observe(down=was_down)
        waiting = self.observer.message()
        self.clock.now += 3.0
        self.observer.observe(down=not was_down)
        self.other.receive(self.observer.message())
        self.clock.now += 2.0
        self.held_up.receive(waiting)
        self.other.receive(self.held_up.message())
        assert self.other.is_up() is was_down
        self.held_up.receive(self.other.message())
        assert self.held_up.is_up() is was_down

    def test_a_crash_stays_known_though_its_server_was_up_before(self):
        self.observer.observe(down=True)
        self.clock.now += 1.0
        self.observer.observe(down=False)
        waiting = self.observer.message()
        self.clock.now += 1.0
        self.other.fleet.set_health(
            self.other.server, down=True, reason="test", ended=True
        )
        self.other.quarantine.record_unanswered(
            (self.other.server,), frozenset({"part"}), self.clock.now, broken_off=True
        )
        assert self.other.quarantine.evidence.crashes
        self.clock.now += 2.0
        self.held_up.receive(waiting)
        self.other.receive(self.held_up.message())
        self.other.quarantine.confirm_crashes()
        assert self.other.quarantine.evidence.crashes

    def test_layers_that_the_list_has_replaced_stay_replaced(self):
        report = LayerReport(
            incarnation=self.observer.server.incarnation,
            layers=layer_range(0, 5),
            sequence=1,
            busy=False,
            reported_at=self.observer.read_clock(),
        )
        self.observer.fleet.update_layers("s1", report)
        waiting = self.observer.message()
        self.other.receive(waiting)
        self.clock.now += 3.0
        listed = replace(self.other.server, layers=layer_range(5, 10))
        self.other.fleet.update_servers({"s1": listed})
        assert self.other.fleet.layers(listed) == layer_range(5, 10)
        self.clock.now += 2.0
        self.held_up.receive(waiting)
        self.other.receive(self.held_up.message())
        assert self.other.fleet.layers(listed) == layer_range(5, 10)

    def test_a_live_peer_is_not_taken_for_gone(self):
        """The lease was taken from a holder whose messages waited."""

        async def scenario():
            self.held_up.gossip.address = free_address()
            running = asyncio.create_task(self.held_up.gossip.run())
            await asyncio.sleep(0.05)
            self.clock.now += 5.0
            assert not self.held_up.gossip.is_gone(1)
            await asyncio.sleep(2 * SEND_PERIOD_SECONDS)
            assert not self.held_up.gossip.is_gone(1)
            for _ in range(3):
                self.clock.now += 0.6
                await asyncio.sleep(SEND_PERIOD_SECONDS + 0.1)
            assert self.held_up.gossip.is_gone(1)
            running.cancel()

        asyncio.run(scenario())

    def test_copies_of_the_store_are_as_old_as_they_are(self):
        waiting = self.observer.message()
        self.clock.now += 5.0
        self.held_up.receive(waiting)
        freshness = self.held_up.copies[-1]
        assert freshness.configuration_age == pytest.approx(5.1)
        assert freshness.servers_age == pytest.approx(5.2)

    def test_a_loss_is_noticed_at_once(self):
        self.held_up.receive(self.observer.message())
        self.clock.now += 5.0
        self.observer.observe(down=True)
        message = self.observer.message()
        self.clock.now += WAY_SECONDS
        self.held_up.receive(message)
        assert not self.held_up.is_up()

    def test_a_clock_that_stood_still_is_trusted_again(self):
        """As that of a VM that was moved."""
        self.observer.clock_lead = -8.0
        for _ in range(int(2 * PERIOD_SECONDS / SEND_PERIOD_SECONDS) + 1):
            self.clock.now += SEND_PERIOD_SECONDS
            self.held_up.receive(self.observer.message())
        assert self.held_up.copies[-1].configuration_age == pytest.approx(0.1)

    def test_a_message_of_an_older_release_counts_as_in_time(self):
        self.observer.observe(down=True)
        message = self.observer.gossip._build_message()
        old = _encoder.encode(message)
        self.clock.now += WAY_SECONDS
        fields = msgspec.msgpack.decode(old)
        self.held_up.receive(msgspec.msgpack.encode(fields[:-1]))
        assert not self.held_up.is_up()
        assert self.held_up.copies[-1].configuration_age == pytest.approx(0.1)


def _talk(entries: list[_Talker], seconds: float) -> None:
    """Let two entries exchange messages."""
    first, second = entries
    end = first.clock.now + seconds
    while first.clock.now < end:
        for sender, receiver in ((first, second), (second, first)):
            message = sender.message()
            first.clock.now += WAY_SECONDS
            receiver.receive(message)


class TestSurvivalThatGrowsYounger:
    """A request that got through once was taken for harmless after later crashes."""

    def setup_method(self):
        self.clock = _Clock()
        self.entries = [_Talker(f"10.0.0.{n}:9", self.clock) for n in (1, 2)]
        self.crashes = 0

    def _crash(self) -> None:
        """Let both entries know of the end of another server, of the same request."""
        self.crashes += 1
        suspect = Suspect(features=frozenset({"=a"}), seconds=0.1)
        for entry in self.entries:
            entry.quarantine.receive_crash((f"s{self.crashes}", 1), [suspect], 0.0)

    def _counted(self) -> list[int]:
        return [len(e.quarantine.evidence.crashes_of("=a")) for e in self.entries]

    def test_crashes_after_it_count(self):
        self._crash()
        self._crash()
        _talk(self.entries, 1.0)
        self.entries[0].quarantine.traffic.record_survival(("=a",), 0.5)
        _talk(self.entries, 1.0)
        assert self._counted() == [0, 0]
        self._crash()
        self._crash()
        _talk(self.entries, 20.0)
        assert self._counted() == [2, 2]

    def test_a_later_one_counts(self):
        self._crash()
        self._crash()
        self.entries[0].quarantine.traffic.record_survival(("=a",), 0.5)
        _talk(self.entries, 1.0)
        self._crash()
        self.clock.now += 0.1
        self.entries[0].quarantine.traffic.record_survival(("=a",), 0.5)
        _talk(self.entries, 1.0)
        assert self._counted() == [0, 0]


class TestRefusalThatGrowsYounger:
    """A server that refused work once was not tried again for long."""

    def setup_method(self):
        self.clock = _Clock()
        self.entries = [_Talker(f"10.0.0.{n}:9", self.clock) for n in (1, 2)]

    def _refuse(self) -> None:
        first = self.entries[0]
        first.fleet.set_health(first.server, down=True, refuses_work=True, reason="")

    def _ages(self) -> list[float]:
        now = self.clock.now
        return [now - e.fleet.health["s1"].observed_at for e in self.entries]

    def test_it_is_as_old_as_it_is(self):
        self._refuse()
        _talk(self.entries, 10.0)
        assert min(self._ages()) == pytest.approx(10.0, abs=2 * WAY_SECONDS)

    def test_a_later_one_counts(self):
        self._refuse()
        _talk(self.entries, 3.0)
        self._refuse()
        _talk(self.entries, 2.0)
        assert max(self._ages()) < 2.5

    def test_a_recovery_ends_it_at_once(self):
        self._refuse()
        _talk(self.entries, 0.3)
        self.entries[1].observe(down=False)
        _talk(self.entries, 0.1)
        assert all(entry.is_up() for entry in self.entries)


class TestLimitThatGrowsYounger:
    """Answers that showed the end of a server's limit seemed to be from before it."""

    def setup_method(self):
        self.clock = _Clock()
        self.entries = [_Talker(f"10.0.0.{n}:9", self.clock) for n in (1, 2)]

    def _name(self, rate: float | None, asked_at: float) -> None:
        first = self.entries[0]
        notice = ServerNotice(max_request_rate=rate)
        first.fleet.record_notice(first.server, notice, asked_at)

    def _rates(self) -> list[float | None]:
        return [entry.fleet.limits.rate(entry.server) for entry in self.entries]

    def test_it_ends_with_an_answer_that_took_a_while(self):
        self._name(5.0, self.clock.now)
        _talk(self.entries, 5.0)
        self._name(None, self.clock.now - 2.0)
        _talk(self.entries, 1.0)
        assert self._rates() == [None, None]

    def test_an_answer_from_before_it_does_not_end_it(self):
        self._name(5.0, self.clock.now)
        _talk(self.entries, 1.0)
        self._name(None, self.clock.now - 2.0)
        _talk(self.entries, 1.0)
        assert self._rates() == [5.0, 5.0]


class TestSlownessThatGrowsYounger:
    """Nobody looked whether a slow server still was, as it seemed just observed."""

    def setup_method(self):
        self.clock = _Clock()
        self.entries = [_Talker(f"10.0.0.{n}:9", self.clock) for n in (1, 2)]

    def _observe(self, factor: float) -> None:
        fleet = self.entries[0].fleet
        incarnation = self.entries[0].server.incarnation
        fleet.update_slowdown("s1", incarnation, factor, fleet.clock())

    def _ages(self) -> list[float]:
        now = self.clock.now
        return [now - e.fleet.slowdowns["s1"].observed_at for e in self.entries]

    def test_it_is_as_old_as_it_is(self):
        self._observe(4.0)
        _talk(self.entries, 3.0)
        assert min(self._ages()) == pytest.approx(3.0, abs=2 * WAY_SECONDS)

    def test_a_later_one_counts(self):
        self._observe(4.0)
        _talk(self.entries, 3.0)
        self._observe(4.0)
        _talk(self.entries, 1.0)
        assert max(self._ages()) < 1.2

    def test_another_factor_counts_at_once(self):
        self._observe(4.0)
        _talk(self.entries, 0.1)
        self._observe(1.0)
        _talk(self.entries, 0.1)
        assert not any(e.fleet.is_slow(e.server) for e in self.entries)
