"""Tests of who reads the store, and of what the others learn from their peers."""

import asyncio
from types import SimpleNamespace

import pytest
from engines import layer_range, server

from kumquatway_gateway._follow import (
    CONFIGURATION_MAX_AGE_SECONDS,
    SERVERS_MAX_AGE_SECONDS,
    ConfigurationFollower,
    ServerFollower,
)
from kumquatway_gateway.fleet import Fleet
from kumquatway_gateway.peers import (
    Freshness,
    GossipMessage,
    ServersCopy,
    digest_servers,
)
from kumquatway_gateway.peers._copies import _to_record

PEER = "10.0.0.1:9"


class _Clock:
    def __init__(self):
        self.now = 50.0

    def __call__(self) -> float:
        return self.now


def _word(fresh: Freshness, revision: int = 1) -> GossipMessage:
    return GossipMessage(
        incarnation=9,
        address=PEER,
        revision=revision,
        loads=(),
        health=(),
        layer_reports=(),
        leaving_servers=(),
        freshness=fresh,
    )


class _Copies:
    """A peer with a list."""

    def __init__(self, *names: str, age: float = 0.0, grace: float = 0.0):
        self.listed = _listed(*names)
        self.age = age
        self.grace = grace
        self.asked: list[str] = []

    async def fetch_servers(self, address: str) -> ServersCopy:
        self.asked.append(address)
        listed = tuple(_to_record(one) for one in self.listed.values())
        return ServersCopy(age=self.age, records=listed, grace=self.grace)


def _listed(*names: str) -> dict:
    return {name: server(name, "a", "big", layer_range(0, 10)) for name in names}


class TestServers:
    """The list of servers at an entry that does not hold the lease."""

    def setup_method(self):
        self.clock = _Clock()
        self.fleet = Fleet(clock=self.clock)
        self.copies = _Copies("s1", "s2")
        self.follower = ServerFollower(
            source=None, fleet=self.fleet, copies=self.copies, clock=self.clock
        )
        self.follower.reads_store = lambda: False

    def _hear(self, *names: str, read: float, grace: float = 0.0) -> None:
        stamp = digest_servers(_listed(*names))
        fresh = Freshness(
            configuration_age=0.0, servers_digest=stamp, servers_age=read, grace=grace
        )

        async def story():
            self.follower.receive(_word(fresh))
            if self.follower._fetching:
                await self.follower._fetching

        asyncio.run(story())

    def test_another_list_is_fetched_once(self):
        assert self.follower.seconds_until_read() == 0
        self._hear("s1", "s2", read=0.1)
        assert set(self.fleet.servers) == {"s1", "s2"}
        self._hear("s1", "s2", read=0.0)
        assert self.copies.asked == [PEER]

    def test_while_words_come_the_store_is_left_alone(self):
        self._hear("s1", "s2", read=0.0)
        for _ in range(10):
            self.clock.now += SERVERS_MAX_AGE_SECONDS - 0.2
            assert self.follower.seconds_until_read() > 0
            self._hear("s1", "s2", read=0.1)

    def test_without_a_new_word_the_store_is_read(self):
        self._hear("s1", "s2", read=0.0)
        self.clock.now += SERVERS_MAX_AGE_SECONDS
        assert self.follower.seconds_until_read() == 0

    def test_a_peer_without_the_store_is_no_reason_to_wait(self):
        self._hear("s1", "s2", read=0.0)
        self.clock.now += SERVERS_MAX_AGE_SECONDS
        self._hear("s1", "s2", read=SERVERS_MAX_AGE_SECONDS)
        assert self.follower.seconds_until_read() == 0

    def test_an_older_list_is_not_taken(self):
        self._hear("s1", "s2", read=0.0)
        self.copies.listed = _listed("s1")
        self.copies.age = 0.5
        self._hear("s1", read=0.5)
        assert set(self.fleet.servers) == {"s1", "s2"}

    def test_a_copy_may_be_older_than_the_word_that_told_of_it(self):
        self._hear("s1", "s2", read=0.2)
        self.clock.now += 0.1
        self.copies.listed = _listed("s1")
        self.copies.age = 0.4
        self._hear("s1", read=0.0)
        assert set(self.fleet.servers) == {"s1", "s2"}

    def test_who_holds_the_lease_reads_and_does_not_follow(self):
        self._hear("s1", "s2", read=0.1)
        self.follower.reads_store = lambda: True
        assert self.follower.seconds_until_read() == 0
        self._hear("s1", read=0.0)
        assert set(self.fleet.servers) == {"s1", "s2"}

    def test_who_holds_the_lease_follows_while_it_cannot_read(self):
        self.follower.reads_store = lambda: True
        self._hear("s1", "s2", read=0.1)
        assert set(self.fleet.servers) == {"s1", "s2"}

    def test_a_peers_grace_is_ones_own(self):
        self.copies.grace = 1.5
        self._hear("s1", "s2", read=0.0, grace=1.5)
        assert not self.follower.membership.is_up_to_date()
        assert set(self.follower.membership.update([])) == {"s1", "s2"}
        self.clock.now += 1.6
        assert self.follower.membership.update([]) == {}

    def test_an_outage_that_peers_saw_end_is_over(self):
        self._hear("s1", "s2", read=0.0)
        self.follower.membership.record_store_failure()
        self.clock.now += 5.0
        self._hear("s1", "s2", read=0.0)
        assert self.follower.membership.update([]) == {}


class TestConfiguration:
    """The configuration at an entry that does not hold the lease."""

    def setup_method(self):
        self.clock = _Clock()
        self.relay = SimpleNamespace(configuration_confirmed_at=float("-inf"))
        self.follower = ConfigurationFollower(
            source=None,
            relay=self.relay,
            copies=None,
            emit=lambda event: None,
            clock=self.clock,
        )
        self.follower.reads_store = lambda: False
        self.fetched: list[str] = []
        self.follower.fetch_from = self.fetched.append

    def _hear(self, revision: int, confirmed: float) -> None:
        fresh = Freshness(
            configuration_age=confirmed, servers_digest=0, servers_age=0.0
        )
        self.follower.receive(_word(fresh, revision))

    def test_a_newer_revision_is_fetched(self):
        self._hear(5, 0.0)
        assert self.fetched == [PEER]
        assert self.follower.seconds_until_read() == 0

    def _hear_long(self, revision: int) -> None:
        fresh = Freshness(
            configuration_age=0.0,
            servers_digest=0,
            servers_age=0.0,
            document_bytes=200_000,
        )
        self.follower.receive(_word(fresh, revision))

    def test_a_long_one_that_many_want_is_fetched_from_the_store(self):
        self.follower.peers = lambda: [PEER] * 26
        self._hear_long(5)
        assert self.fetched == []
        assert self.follower._newer_in_store.is_set()

    def test_from_the_peer_where_few_want_it_or_the_store_is_away(self):
        self.follower.peers = lambda: [PEER] * 2
        self._hear_long(5)
        self.follower.peers = lambda: [PEER] * 26
        self.follower.outage_since = self.clock.now
        self._hear_long(6)
        assert self.fetched == [PEER, PEER]

    def test_a_revision_that_was_refused_is_not_fetched_again(self):
        self.follower.rejected_revision = 5
        self._hear(5, 0.0)
        assert self.fetched == []

    def test_the_same_revision_is_confirmed(self):
        self._hear(0, 0.3)
        assert self.relay.configuration_confirmed_at == self.clock.now - 0.3
        left = CONFIGURATION_MAX_AGE_SECONDS - 0.3
        assert self.follower.seconds_until_read() == pytest.approx(left)

    def test_an_older_word_takes_nothing_back(self):
        self._hear(0, 0.3)
        self._hear(0, 2.0)
        assert self.relay.configuration_confirmed_at == self.clock.now - 0.3

    def test_an_older_revision_confirms_nothing(self):
        self.follower.document = SimpleNamespace(revision=3)
        self._hear(2, 0.0)
        assert self.follower.seconds_until_read() == 0

    def test_without_a_new_word_the_store_is_asked(self):
        self._hear(0, 0.0)
        self.clock.now += CONFIGURATION_MAX_AGE_SECONDS
        assert self.follower.seconds_until_read() == 0

    def test_an_entry_that_lost_the_store_asks_until_it_is_back(self):
        self._hear(0, 0.0)
        self.follower.outage_since = self.clock.now
        assert self.follower.seconds_until_read() == 0
