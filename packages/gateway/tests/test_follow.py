"""Tests of when an entry reads the store, and when it relies on its peers."""

import asyncio
from types import SimpleNamespace

import msgspec
import pytest
from engines import layer_range, server

from kumquatway_core.exceptions import ConfigurationError, PlatformUnavailable
from kumquatway_gateway import ConfigurationDocument
from kumquatway_gateway._follow import (
    CONFIGURATION_MAX_AGE_SECONDS,
    SERVERS_MAX_AGE_SECONDS,
    SERVERS_WAIT_SECONDS,
    ConfigurationFollower,
    ServerFollower,
)
from kumquatway_gateway.fleet import REREGISTRATION_GRACE_SECONDS, Fleet
from kumquatway_gateway.model import ServerList
from kumquatway_gateway.peers import (
    ConfigurationCopy,
    Freshness,
    GossipMessage,
    ServersCopy,
    digest_servers,
)
from kumquatway_gateway.peers._copies import _to_record

PEER = "10.0.0.1:9"
PEERS = [f"10.0.1.{number}:9" for number in range(30)]


class _Clock:
    def __init__(self):
        self.now = 50.0

    def __call__(self) -> float:
        return self.now


def _store_time(clock: _Clock) -> float:
    """Return the time of the store's clock, which is not that of the entries."""
    return clock.now + 7000.0


def _message(freshness: Freshness, revision: int = 1) -> GossipMessage:
    return GossipMessage(
        incarnation=9,
        address=PEER,
        revision=revision,
        loads=(),
        health=(),
        layer_reports=(),
        leaving_servers=(),
        freshness=freshness,
    )


def _long_document() -> Freshness:
    """Return what a peer tells of a long configuration."""
    return Freshness(
        configuration_age=0.0,
        servers_digest=0,
        servers_age=0.0,
        document_bytes=200_000,
    )


class _CopyClient:
    """Returns copies of one peer's list of servers."""

    def __init__(self, clock: _Clock, *names: str, age: float = 0.0):
        self.clock = clock
        self.listed = _listed(*names)
        self.age = age
        self.lapsed: tuple[str, ...] = ()
        self.gap: tuple[float, float] | None = None
        self.requested: list[str] = []

    async def fetch_servers(self, address: str) -> ServersCopy:
        self.requested.append(address)
        records = tuple(_to_record(one) for one in self.listed.values())
        return ServersCopy(
            age=self.age,
            records=records,
            listed_at=_store_time(self.clock) - self.age,
            generation=1,
            lapsed=self.lapsed,
            gap=self.gap,
        )


def _listed(*names: str) -> dict:
    return {name: server(name, "a", "big", layer_range(0, 10)) for name in names}


class TestServers:
    """The list of servers at an entry that does not hold the lease."""

    def setup_method(self):
        self.clock = _Clock()
        self.fleet = Fleet(clock=self.clock)
        self.copies = _CopyClient(self.clock, "s1", "s2")
        self.follower = ServerFollower(
            source=None, fleet=self.fleet, copies=self.copies, clock=self.clock
        )
        self.follower.reads_store = lambda: False

    def _receive(self, *names: str, age: float, gap: tuple | None = None) -> None:
        digest = digest_servers(_listed(*names))
        freshness = Freshness(
            configuration_age=0.0,
            servers_digest=digest,
            servers_age=age,
            listed_at=_store_time(self.clock) - age,
            generation=1,
            gap=gap,
        )

        async def receive():
            self.follower.receive(_message(freshness))
            if self.follower._fetching:
                await self.follower._fetching

        asyncio.run(receive())

    def test_new_list_is_fetched_once(self):
        assert self.follower.seconds_until_read() == 0
        self._receive("s1", "s2", age=0.1)
        assert set(self.fleet.servers) == {"s1", "s2"}
        self._receive("s1", "s2", age=0.0)
        assert self.copies.requested == [PEER]

    def test_store_is_not_read_while_recent_messages_arrive(self):
        self._receive("s1", "s2", age=0.0)
        for _ in range(10):
            self.clock.now += SERVERS_MAX_AGE_SECONDS - 0.2
            assert self.follower.seconds_until_read() > 0
            self._receive("s1", "s2", age=0.1)

    def test_store_is_read_when_the_last_message_is_too_old(self):
        self._receive("s1", "s2", age=0.0)
        self.clock.now += SERVERS_MAX_AGE_SECONDS
        assert self.follower.seconds_until_read() == 0

    def test_message_of_a_peer_with_an_old_list_does_not_defer_the_read(self):
        self._receive("s1", "s2", age=0.0)
        self.clock.now += SERVERS_MAX_AGE_SECONDS
        self._receive("s1", "s2", age=SERVERS_MAX_AGE_SECONDS)
        assert self.follower.seconds_until_read() == 0

    def test_older_list_is_not_adopted(self):
        self._receive("s1", "s2", age=0.0)
        self.copies.listed = _listed("s1")
        self.copies.age = 0.5
        self._receive("s1", age=0.5)
        assert set(self.fleet.servers) == {"s1", "s2"}

    def test_copy_that_is_older_than_its_announcement_is_not_adopted(self):
        self._receive("s1", "s2", age=0.2)
        self.clock.now += 0.1
        self.copies.listed = _listed("s1")
        self.copies.age = 0.4
        self._receive("s1", age=0.0)
        assert set(self.fleet.servers) == {"s1", "s2"}

    def test_lease_holder_reads_the_store_and_ignores_peers(self):
        self._receive("s1", "s2", age=0.1)
        self.follower.reads_store = lambda: True
        assert self.follower.seconds_until_read() == 0
        self._receive("s1", age=0.0)
        assert set(self.fleet.servers) == {"s1", "s2"}

    def test_lease_holder_adopts_a_peers_list_if_it_cannot_read_the_store(self):
        self.follower.reads_store = lambda: True
        self._receive("s1", "s2", age=0.1)
        assert set(self.fleet.servers) == {"s1", "s2"}

    def _read(self, *names: str) -> set[str]:
        """Let this entry read the store; return the IDs of the servers in use."""
        found = ServerList(
            servers=_listed(*names), listed_at=_store_time(self.clock), generation=1
        )
        self.follower._update(found, self.clock.now)
        return set(self.fleet.servers)

    def test_grace_period_of_a_peer_is_adopted(self):
        end = _store_time(self.clock) - REREGISTRATION_GRACE_SECONDS + 1.5
        self.copies.gap = gap = (end - 4.0, end)
        self.copies.lapsed = ("s2",)
        self._receive("s1", age=0.0, gap=gap)
        assert not self.follower.membership.is_up_to_date()
        assert set(self.fleet.servers) == {"s1", "s2"}
        self.clock.now += 0.9
        assert self._read("s1") == {"s1", "s2"}
        self.clock.now += 0.7
        assert self._read("s1") == {"s1"}

    def test_what_a_peer_keeps_is_fetched_though_its_list_is_older(self):
        """This entry has started and read the store after the outage."""
        end = _store_time(self.clock) - 0.3
        self._read("s1")
        self.copies.lapsed = ("s2",)
        self.copies.gap = gap = (end - 4.0, end)
        self.copies.age = 0.3
        self._receive("s1", age=0.3, gap=gap)
        assert set(self.fleet.servers) == {"s1", "s2"}
        self._receive("s1", age=0.3, gap=gap)
        assert self.copies.requested == [PEER]

    def test_what_a_peer_keeps_is_fetched_though_its_list_is_the_same(self):
        """This entry has started after the outage, and the peer read a bit later."""
        self._read("s1")
        self.clock.now += 0.1
        end = _store_time(self.clock)
        self.copies.lapsed = ("s2",)
        self.copies.gap = gap = (end - 4.0, end)
        self._receive("s1", age=0.0, gap=gap)
        assert set(self.fleet.servers) == {"s1", "s2"}

    def test_lists_of_peers_that_follow_each_other_show_that_there_is_no_outage(self):
        """The store turns this entry away and serves its peers."""
        self._receive("s1", "s2", age=0.0)
        for _ in range(10):
            self.clock.now += 0.5
            self._receive("s1", "s2", age=0.1)
        assert self._read() == set()

    def test_copy_that_is_as_old_as_the_outage_does_not_end_it(self):
        """Such a copy made an entry drop servers that lapsed, and its chains."""
        self._receive("s1", "s2", age=0.0)
        for _ in range(9):
            self.clock.now += 0.5
            age = self.clock.now - 50.0
            self.copies.age = age
            self._receive("s1", "s2", age=age)
        self.clock.now += 0.1
        assert self._read() == {"s1", "s2"}
        assert not self.follower.membership.is_up_to_date()

    def test_short_list_of_a_peer_after_an_outage_drops_no_server(self):
        self._receive("s1", "s2", age=0.0)
        self.clock.now += 5.0
        self.copies.listed = _listed("s1")
        self._receive("s1", age=0.1)
        assert set(self.fleet.servers) == {"s1", "s2"}

    def test_copy_does_not_grow_younger_as_it_is_passed_on(self):
        self._receive("s1", "s2", age=0.0)
        listed_at = _store_time(self.clock)
        digest = digest_servers(_listed("s1", "s2"))
        for _ in range(20):
            self.clock.now += 0.1
            freshness = Freshness(
                configuration_age=0.0,
                servers_digest=digest,
                servers_age=max(0.0, self.follower.age() - 0.05),
                listed_at=listed_at,
                generation=1,
            )
            self.follower.receive(_message(freshness))
        assert self.follower.age() == pytest.approx(2.0)
        assert self.follower.seconds_until_read() == 0

    def test_list_of_an_older_release_is_adopted_only_as_the_first(self):
        """It does not tell when the store had its list."""
        freshness = Freshness(configuration_age=0.0, servers_digest=9, servers_age=0.0)

        async def receive():
            self.follower.receive(_message(freshness))
            if self.follower._fetching:
                await self.follower._fetching

        asyncio.run(receive())
        assert set(self.fleet.servers) == {"s1", "s2"}
        self._read("s1")
        self.clock.now += 3.0
        asyncio.run(receive())
        assert self.copies.requested == [PEER]

    def test_read_that_hung_in_an_outage_does_not_prolong_the_grace_period(self):
        """A peer has read the list before it fails."""
        self._receive("s1", "s2", age=0.0)
        self.clock.now += 4.0
        test = self

        class Source:
            async def poll(_, wait: float) -> ServerList:
                test.clock.now += 0.3
                test._read("s1")
                test.clock.now += 0.3
                raise PlatformUnavailable("silent")

        self.follower.source = Source()
        self.follower.reads_store = lambda: True

        async def run_until_failure():
            task = asyncio.create_task(self.follower.run())
            await asyncio.sleep(0.01)
            task.cancel()

        asyncio.run(run_until_failure())
        for seconds in (0.4, 0.8):
            self.clock.now += seconds
            assert self._read("s1") == {"s1", "s2"}
        self.clock.now += 0.9
        assert self._read("s1") == {"s1"}

    def test_outdated_list_is_not_waited_for(self):
        waits: list[float] = []

        class Source:
            async def poll(_, wait: float) -> ServerList:
                waits.append(wait)
                if len(waits) == 2:
                    raise asyncio.CancelledError
                return ServerList(servers={}, listed_at=1.0)

        self.follower.source = Source()
        self.follower.reads_store = lambda: True
        with pytest.raises(asyncio.CancelledError):
            asyncio.run(self.follower.run())
        assert waits == [0.0, SERVERS_WAIT_SECONDS]


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

    def _receive(self, revision: int, age: float) -> None:
        freshness = Freshness(
            configuration_age=age,
            servers_digest=0,
            servers_age=0.0,
            configuration_at=_store_time(self.clock) - age,
            configuration_generation=1,
        )
        self.follower.receive(_message(freshness, revision))

    def test_newer_revision_is_fetched(self):
        self._receive(5, 0.0)
        assert self.fetched == [PEER]
        assert self.follower.seconds_until_read() == 0

    def _receive_long_document(self, revision: int) -> None:
        self.follower.receive(_message(_long_document(), revision))

    def test_long_document_is_read_from_the_store_if_there_are_many_peers(self):
        self.follower.peers = lambda: [PEER] * 26
        self._receive_long_document(5)
        assert self.fetched == []
        assert self.follower._newer_in_store.is_set()

    def test_long_document_is_fetched_from_a_peer_if_few_or_in_an_outage(self):
        self.follower.peers = lambda: [PEER] * 2
        self._receive_long_document(5)
        self.follower.peers = lambda: [PEER] * 26
        self.follower.outage_since = self.clock.now
        self._receive_long_document(6)
        assert self.fetched == [PEER, PEER]

    def test_message_with_the_same_revision_confirms_the_configuration(self):
        self._receive(0, 0.3)
        assert self.relay.configuration_confirmed_at == self.clock.now - 0.3
        remaining = CONFIGURATION_MAX_AGE_SECONDS - 0.3
        assert self.follower.seconds_until_read() == pytest.approx(remaining)

    def test_message_with_an_older_confirmation_changes_nothing(self):
        self._receive(0, 0.3)
        self._receive(0, 2.0)
        assert self.relay.configuration_confirmed_at == self.clock.now - 0.3

    def test_message_with_an_older_revision_confirms_nothing(self):
        self.follower.document = SimpleNamespace(revision=3)
        self._receive(2, 0.0)
        assert self.follower.seconds_until_read() == 0

    def test_store_is_polled_when_the_last_confirmation_is_too_old(self):
        self._receive(0, 0.0)
        self.clock.now += CONFIGURATION_MAX_AGE_SECONDS
        assert self.follower.seconds_until_read() == 0

    def test_store_is_polled_during_an_outage_despite_recent_messages(self):
        self._receive(0, 0.0)
        self.follower.outage_since = self.clock.now
        assert self.follower.seconds_until_read() == 0


class _SlowStore:
    """Sends a long document for 2 s, and says 2 s later that it is the newest one."""

    generation = 1
    read_at = 0.0

    def __init__(self, clock: _Clock):
        self.clock = clock
        self.calls = 0

    async def poll(self, wait: float) -> ConfigurationDocument | None:
        self.calls += 1
        if self.calls == 3:
            raise asyncio.CancelledError
        self.clock.now += 2.0
        return ConfigurationDocument(revision=5, data=b"") if self.calls == 1 else None


class TestLongTransfer:
    """The store may have a newer configuration by the end of a long transfer."""

    def setup_method(self):
        self.clock = _Clock()
        self.start = self.clock.now
        self.confirmed: list[float] = []
        self.relay = SimpleNamespace(configuration_confirmed_at=float("-inf"))
        self.follower = ConfigurationFollower(
            source=_SlowStore(self.clock),
            relay=self.relay,
            copies=None,
            emit=lambda event: None,
            clock=self.clock,
        )
        self.follower.apply_from_store = self._apply

    def _apply(self, document: ConfigurationDocument) -> bool:
        self.confirmed.append(self.relay.configuration_confirmed_at)
        return False

    def test_the_document_is_confirmed_as_of_its_request(self):
        with pytest.raises(asyncio.CancelledError):
            asyncio.run(self.follower.run())
        assert self.confirmed == [self.start]
        assert self.relay.configuration_confirmed_at == self.start + 4.0


class TestManyPeersWithANewerRevision:
    """
    An entry that the store refuses copied a long configuration from all peers at once.

    Load pattern: the store refuses a third of the entries, an operator adds 1,888
    routes, and dozens of the others announce them within a second. The copies share the
    link of the entry, so that none is whole in time.
    """

    def setup_method(self):
        self.requested: list[str] = []
        self.answers: dict[str, asyncio.Future] = {}
        self.applied: list[int] = []
        relay = SimpleNamespace(
            configuration_confirmed_at=0.0,
            configure=lambda found: self.applied.append(found.revision),
        )
        self.follower = ConfigurationFollower(
            source=_Source(), relay=relay, copies=self, emit=lambda event: None
        )
        self.follower.outage_since = 0.0

    async def fetch_configuration(self, address: str) -> ConfigurationCopy | None:
        self.requested.append(address)
        self.answers[address] = asyncio.get_running_loop().create_future()
        return await self.answers[address]

    async def _announce(self, *peers: str, revision: int = 9) -> None:
        for peer in peers:
            message = msgspec.structs.replace(
                _message(_long_document(), revision), address=peer
            )
            self.follower.receive(message)
        await asyncio.sleep(0)

    async def _answer(self, peer: str, revision: int | None) -> None:
        copy = None
        if revision is not None:
            copy = ConfigurationCopy(revision=revision, document=b"%d" % revision)
        self.answers[peer].set_result(copy)
        for _ in range(3):
            await asyncio.sleep(0)

    def test_are_not_all_copied_from_at_once(self):
        async def scenario():
            await self._announce(*PEERS)
            assert len(self.requested) == 2

        asyncio.run(scenario())

    def test_a_peer_that_does_not_answer_delays_nothing(self):
        async def scenario():
            await self._announce(*PEERS)
            await self._answer(self.requested[1], 9)
            assert self.applied == [9]

        asyncio.run(scenario())

    def test_another_peer_is_asked_after_one_that_had_gone(self):
        async def scenario():
            await self._announce(*PEERS)
            await self._answer(self.requested[0], None)
            await self._announce(*PEERS)
            assert len(self.requested) == 3

        asyncio.run(scenario())


class _Source:
    """Decodes documents that consist of their revision."""

    def decode(self, document: bytes) -> SimpleNamespace:
        if not document.isdigit():
            raise ConfigurationError("not a number")
        return SimpleNamespace(revision=int(document))


class TestInvalidConfiguration:
    """An invalid copy of a configuration kept all later revisions out."""

    def setup_method(self):
        self.applied: list[int] = []
        self.copy = ConfigurationCopy(revision=9, document=b"garbage")
        self.requested: list[str] = []
        relay = SimpleNamespace(
            configuration_confirmed_at=0.0,
            configure=lambda found: self.applied.append(found.revision),
        )
        self.follower = ConfigurationFollower(
            source=_Source(), relay=relay, copies=self, emit=lambda event: None
        )

    async def fetch_configuration(self, address: str) -> ConfigurationCopy:
        self.requested.append(address)
        return self.copy

    def _receive(self, revision: int) -> None:
        async def receive():
            freshness = Freshness(
                configuration_age=0.0, servers_digest=0, servers_age=0.0
            )
            self.follower.receive(_message(freshness, revision))
            await asyncio.gather(*self.follower._tasks)

        asyncio.run(receive())

    def _store(self, revision: int, data: bytes | None = None) -> bool:
        text = b"%d" % revision if data is None else data
        return self.follower.apply_from_store(
            ConfigurationDocument(revision=revision, data=text)
        )

    @pytest.mark.parametrize("revision", [9, 2**53])
    def test_from_a_peer_costs_no_later_revision(self, revision):
        self.copy = ConfigurationCopy(revision=revision, document=b"garbage")
        self._receive(revision)
        assert self._store(2)
        assert self._store(9)
        assert self.applied == [2, 9]

    def test_from_the_store_costs_no_later_revision(self):
        assert not self._store(2**53, b"garbage")
        assert self._store(3)

    def test_a_sound_document_with_its_number_is_applied(self):
        self._receive(9)
        assert self._store(9)

    def test_is_not_fetched_again_and_the_store_is_asked(self):
        self._receive(9)
        self._receive(9)
        assert self.requested == [PEER]
        assert self.follower._newer_in_store.is_set()

    def test_a_copy_under_another_number_is_rejected(self):
        self.copy = ConfigurationCopy(revision=2**53, document=b"4")
        self._receive(2**53)
        assert self.follower.revision() == 0
        assert self._store(4)

    def test_is_logged_once(self):
        assert not self._store(9, b"garbage")
        assert not self._store(9, b"garbage")
        assert len(self.follower.rejected) == 1
