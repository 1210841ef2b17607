"""
Tests of what entries tell each other again and again.

A datagram is on its way for a while, and the ages in it do not count that.
"""

import asyncio
from types import SimpleNamespace

import pytest

from kumquatway_gateway._follow import (
    CONFIGURATION_MAX_AGE_SECONDS,
    ConfigurationFollower,
)
from kumquatway_gateway.peers import Freshness, GossipMessage

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
