"""Tests of the copies that entries fetch from each other, over real connections."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
import pytest
from engines import layer_range, server

from kumquatway_fakes import free_address
from kumquatway_gateway.fleet import REREGISTRATION_GRACE_SECONDS, Membership
from kumquatway_gateway.http1 import ConnectionPool, Fetcher, Listener
from kumquatway_gateway.model import Limits, Server, ServerList
from kumquatway_gateway.peers import CopyClient, CopyServer

DOCUMENT = b"x" * 20_000
NESTED = b"\x91" * 5000


class _Peer:
    """An entry with a list of servers and a large configuration."""

    def __init__(self):
        self.sizes: list[int] = []
        self.servers = {
            name: server(name, "a", "big", layer_range(0, 10)) for name in ("s1", "s2")
        }
        self.listed = {"s1": self.servers["s1"]}
        self.membership = Membership()
        self._list(1000.0, self.servers)
        self._list(1005.0, self.listed)
        self.copy_server = CopyServer(
            revision=lambda: 7,
            document=lambda: DOCUMENT,
            membership=self.membership,
            read_at=lambda: 10.0,
            clock=lambda: self.now,
        )
        self.now = 10.5
        self.address = free_address()
        self.listener = Listener(limits=Limits, serve=self._serve)

    def _list(self, listed_at: float, servers: dict[str, Server]) -> None:
        self.membership.update(
            ServerList(servers=servers, listed_at=listed_at, generation=3)
        )

    async def _serve(self, caller, incoming) -> None:
        if self.copy_server.handles(incoming):
            self.copy_server.handle(caller, incoming)
        else:
            caller.respond(404, [], b"", keep_alive=False)


def run_scenario(scenario: Callable[[_Peer, CopyClient], Awaitable[None]]) -> None:
    async def run():
        peer = _Peer()
        await peer.listener.start(peer.address)
        pool = ConnectionPool()
        try:
            await scenario(peer, CopyClient(fetcher=Fetcher(pool=pool)))
        finally:
            pool.close()
            peer.listener.close()

    asyncio.run(run())


class TestCopies:
    """Load pattern: many entries fetch a list of servers that changes constantly."""

    def test_configuration(self):
        async def scenario(peer, client):
            copy = await client.fetch_configuration(peer.address)
            assert (copy.revision, copy.document) == (7, DOCUMENT)

        run_scenario(scenario)

    def test_servers_are_sent_without_the_configuration(self):
        async def scenario(peer, client):
            copy = await client.fetch_servers(peer.address)
            assert copy.server_list() == ServerList(
                servers=peer.listed, listed_at=1005.0, generation=3
            )
            assert copy.lapsed_servers() == {"s2": peer.servers["s2"]}
            assert copy.gap == (1000.0, 1005.0)
            assert copy.age == 0.5
            assert copy.grace == pytest.approx(REREGISTRATION_GRACE_SECONDS - 0.5)
            response = await client.fetcher.fetch(peer.address, "GET", "/copy/servers")
            assert len(response.body) < 500

        run_scenario(scenario)

    def test_peer_of_another_release_has_no_copies(self):
        async def scenario(peer, client):
            peer.copy_server.handles = lambda incoming: False
            assert await client.fetch_configuration(peer.address) is None
            assert await client.fetch_servers(peer.address) is None

        run_scenario(scenario)


class TestManyPeersThatAskAtOnce:
    """
    The first entries with a long configuration were asked for it by all at once.

    Load pattern: the store refuses a third of the entries, and 1,888 routes are
    published. What one entry sends on its link at once comes too late for all of them.
    """

    def _play(self, *waits: float) -> list[bool]:
        """Ask for the configuration after each wait; return whether it was sent."""
        sent = []

        async def scenario(peer, client):
            peer.copy_server.document = lambda: b"x" * 400_000
            for wait in waits:
                peer.now += wait
                copy = await client.fetch_configuration(peer.address)
                sent.append(copy is not None)

        run_scenario(scenario)
        return sent

    def test_get_what_the_slowest_link_carries_in_time(self):
        assert self._play(*[0.0] * 20).count(True) == 2

    def test_get_it_once_the_copies_before_have_left(self):
        assert self._play(0.0, 0.0, 0.0, 0.4, 0.0) == [True, True, False, True, False]

    def test_a_longer_one_is_sent_to_one(self):
        sent = []

        async def scenario(peer, client):
            peer.copy_server.document = lambda: b"x" * 3_000_000
            for _ in range(3):
                sent.append(await client.fetch_configuration(peer.address) is not None)

        run_scenario(scenario)
        assert sent == [True, False, False]


class TestInvalidCopy:
    """One invalid record of a peer's list cost the whole list."""

    def _fetch(self, copy: object):
        found = []

        async def scenario(peer, client):
            data = msgspec.msgpack.encode(copy) if copy is not NESTED else NESTED
            peer.copy_server.handle = lambda caller, incoming: caller.respond(
                200, [], data, keep_alive=True
            )
            found.append(await client.fetch_servers(peer.address))

        run_scenario(scenario)
        return found[0]

    @pytest.mark.parametrize(
        "record",
        [
            None,
            [],
            ["s2", "model", "x:1", "a", False, 2**64 - 1, "big", 0, 10, 1, 8],
            ["s2", "model", "x:1", "a", False, 1, "big", 0, 2**40, 1, 8],
        ],
    )
    def test_the_other_servers_hold(self, record):
        sound = ["s1", "model", "x:1", "a", False, 1, "big", 0, 10, 1, 8]
        copy = self._fetch([0.5, [record, sound], 0.0])
        assert list(copy.server_list().servers) == ["s1"]

    @pytest.mark.parametrize("age", [-1.0, float("nan")])
    def test_an_age_that_is_none(self, age):
        assert self._fetch([age, [], 0.0]) is None

    def test_nesting_raises_nothing(self):
        assert self._fetch(NESTED) is None
