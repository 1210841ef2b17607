"""Tests of the limits that servers name, and of the permits that keep them."""

import asyncio

import pytest
from engines import ENGINE, layer_range, server
from replays import Clock

from kumquatway_gateway.duties import Placer
from kumquatway_gateway.fleet import Fleet
from kumquatway_gateway.limits import (
    MAX_RATE,
    PERMIT_SECONDS,
    IssuerRanking,
    NamedLimit,
    NamedLimits,
    Permits,
)
from kumquatway_gateway.limits._bucket import RateBucket
from kumquatway_gateway.limits._messages import (
    PermitRequest,
    PermitResponse,
    decode,
    encode,
)
from kumquatway_gateway.limits._permits import RESPONSE_SECONDS
from kumquatway_gateway.model import Server, ServerNotice
from kumquatway_gateway.relay import ModelRouter, PlainRouter
from kumquatway_gateway.waiting import MAX_WAIT_SECONDS, Waiter


def _plain_server(name: str, incarnation: int = 1) -> Server:
    return Server(
        id=name,
        service="plain",
        address=f"{name}:80",
        data_centre="x",
        incarnation=incarnation,
    )


def _limit(rate: float | None) -> ServerNotice:
    return ServerNotice(max_request_rate=rate)


class TestNamedLimits:
    """What is known of the limits of servers."""

    def setup_method(self):
        self.clock = Clock()
        self.clock.now = 10.0
        self.limits = NamedLimits(clock=self.clock)
        self.server = _plain_server("one")

    def test_overtaken_response_does_not_end_or_raise_a_limit(self):
        self.limits.observe(self.server, 2.0, asked_at=9.9)
        for rate in (None, 50.0):
            assert not self.limits.observe(self.server, rate, asked_at=9.8)
            assert self.limits.rate(self.server) == 2.0

    def test_response_to_a_later_request_ends_it(self):
        self.limits.observe(self.server, 2.0, asked_at=9.9)
        self.clock.now = 10.5
        assert self.limits.observe(self.server, None, asked_at=10.1)
        assert self.limits.rate(self.server) is None

    def test_lower_limit_counts_at_once(self):
        self.limits.observe(self.server, 2.0, asked_at=9.9)
        assert self.limits.observe(self.server, 1.0, asked_at=9.0)
        assert self.limits.rate(self.server) == 1.0

    def test_restarted_server_with_the_same_limit_is_announced(self):
        assert self.limits.observe(_plain_server("one"), 2.0, self.clock.now)
        restarted = _plain_server("one", incarnation=2)
        assert self.limits.observe(restarted, 2.0, self.clock.now)
        assert not self.limits.observe(restarted, 2.0, self.clock.now)

    def test_restart_of_the_server_ends_it(self):
        self.limits.observe(self.server, 2.0, asked_at=9.9)
        assert self.limits.rate(_plain_server("one", incarnation=2)) is None

    @pytest.mark.parametrize("rate", [1e9, float("inf")])
    def test_absurd_limit_is_bounded(self, rate):
        self.limits.observe(self.server, rate, asked_at=9.9)
        assert self.limits.rate(self.server) == MAX_RATE

    def test_newer_word_of_a_peer_wins(self):
        self.limits.observe(self.server, 2.0, asked_at=9.9)
        for rate, at, result in ((1.0, 9.0, 2.0), (None, 9.5, 2.0), (None, 10.5, None)):
            limit = NamedLimit(incarnation=1, rate=rate, observed_at=at)
            self.limits.receive(self.server, limit)
            assert self.limits.rate(self.server) == result

    @pytest.mark.parametrize("rate", [-1.0, float("nan"), float("inf"), 1e9])
    def test_invalid_limit_of_a_peer_is_ignored(self, rate):
        limit = NamedLimit(incarnation=1, rate=rate, observed_at=9.0)
        assert not self.limits.receive(self.server, limit)
        assert self.limits.rate(self.server) is None

    @pytest.mark.parametrize("at", [float("nan"), float("inf"), float("-inf")])
    def test_invalid_time_of_a_peer_is_ignored(self, at):
        limit = NamedLimit(incarnation=1, rate=1.0, observed_at=at)
        assert not self.limits.receive(self.server, limit)
        assert self.limits.rate(self.server) is None

    def test_slightly_changing_limit_is_announced_once(self):
        changes = [
            self.limits.observe(self.server, 2.0 + n / 100, asked_at=10.0)
            for n in range(10)
        ]
        assert changes == [True] + [False] * 9


class TestRateBucket:
    """How many requests a rate allows."""

    def test_burst_after_a_quiet_time_is_bounded(self):
        clock = Clock()
        bucket = RateBucket(clock=clock)
        clock.now = 1000.0
        assert bucket.take(100, 10.0) == 2

    @pytest.mark.parametrize("rate", [0.2, 1.0, 7.0, 300.0])
    def test_all_that_the_rate_allows_may_be_sent(self, rate):
        clock = Clock()
        bucket = RateBucket(clock=clock)
        sent = 0
        for _ in range(10_000):
            clock.now += 0.01
            sent += bucket.take(16, rate)
        assert rate * 100 <= sent <= rate * 100 + 1 + 0.1 * rate


class _Entries:
    """The permits of some entries, with messages that arrive at once or not at all."""

    def __init__(self, count: int, clock: Clock):
        self.clock = clock
        self.silent: set[str] = set()
        self.names = [f"10.0.0.{n}:9" for n in range(count)]
        self.fleets = {name: Fleet(clock=clock) for name in self.names}
        self.permits = {name: self._create(name) for name in self.names}
        self.server = _plain_server("one")
        clock.now = 100.0
        for fleet in self.fleets.values():
            fleet.update_servers({"one": self.server})
        ranking = self.permits[self.names[0]].ranking.ranking(self.server)
        self.issuer, self.standby, self.last = ranking[:3]

    def _create(self, name: str) -> Permits:
        fleet = self.fleets[name]
        fleet.permits = Permits(
            limits=fleet.limits,
            find_server=fleet.find_server,
            learn=fleet.update_limit,
            address=name,
            addresses=lambda: set(self.names) - {name},
            send=lambda address, data: self._deliver(name, address, data),
            clock=self.clock,
            random=lambda: 0.5,
        )
        return fleet.permits

    def _deliver(self, sender: str, address: str, data: bytes) -> None:
        if not {sender, address} & self.silent:
            self.permits[address].receive(data)

    def name_limit(self, rate: float | None, entry: str) -> None:
        self.clock.now += 0.001
        self.fleets[entry].record_notice(self.server, _limit(rate))


class TestPermits:
    """Entries that ask each other for permits."""

    def setup_method(self):
        self.clock = Clock()
        self.entries = _Entries(3, self.clock)
        self.server = self.entries.server

    def _take(self, entry: str) -> bool:
        """Take a permit; a request for one is answered at once."""
        permits = self.entries.permits[entry]
        return permits.try_take(self.server) or permits.try_take(self.server)

    def test_restarted_server_is_not_exhausted(self):
        entries = self.entries
        entries.name_limit(1.0, entries.last)
        while self._take(entries.last):
            pass
        permits = entries.permits[entries.last]
        assert permits.seconds_exhausted(self.server)
        restarted = _plain_server("one", incarnation=2)
        entries.fleets[entries.last].update_servers({"one": restarted})
        entries.fleets[entries.last].record_notice(restarted, _limit(1.0))
        assert not permits.seconds_exhausted(restarted)
        assert not permits.is_short(restarted)

    def test_none_is_needed_without_a_limit(self):
        assert all(self._take(self.entries.last) for _ in range(100))

    def test_issuer_learns_of_the_limit_from_who_asks(self):
        entries = self.entries
        entries.name_limit(1.0, entries.last)
        assert self._take(entries.last)
        assert not self._take(entries.last)
        assert entries.fleets[entries.issuer].limits.rate(self.server) == 1.0
        assert not self._take(entries.issuer)

    def test_who_asks_learns_of_its_end_from_the_issuer(self):
        entries = self.entries
        entries.name_limit(1.0, entries.last)
        assert self._take(entries.last)
        entries.name_limit(None, entries.issuer)
        self.clock.now += 10.0
        assert self._take(entries.last)
        assert not entries.permits[entries.last].needs(self.server)

    def test_issuer_that_does_not_respond_is_passed_over(self):
        entries = self.entries
        entries.name_limit(1.0, entries.last)
        entries.silent.add(entries.issuer)
        permits = entries.permits[entries.last]
        for _ in range(2):
            assert not permits.try_take(self.server)
            self.clock.now += RESPONSE_SECONDS
            permits.check()
        assert self._take(entries.last)

    def test_standby_issues_less_until_it_finds_the_issuer_silent_too(self):
        entries = self.entries
        entries.name_limit(1.0, entries.last)
        entries.name_limit(1.0, entries.standby)
        standby = entries.permits[entries.standby]
        asker = entries.permits[entries.last]
        for _ in range(2):
            asker.ranking.record_failure(entries.issuer)
        assert standby.issuer._share(self.server) == 0.3
        entries.silent.add(entries.issuer)
        assert self._take(entries.last)
        for _ in range(3):
            self.clock.now += RESPONSE_SECONDS
            standby.check()
            asker.accounts.clear()
            self._take(entries.last)
        assert standby.issuer._share(self.server) == 1.0
        standby.ranking.record_alive(entries.issuer)
        assert standby.issuer._share(self.server) == 0.3

    def test_unused_permit_expires(self):
        entries = self.entries
        entries.name_limit(1.0, entries.last)
        permits = entries.permits[entries.last]
        assert self._take(entries.last)
        permits.give_back(self.server)
        self.clock.now += PERMIT_SECONDS
        entries.silent.add(entries.issuer)
        assert not permits.try_take(self.server)

    @pytest.mark.parametrize("data", [b"", b"\xc1", b"\xc1\x90", b"\xc1junk" * 100])
    def test_malformed_message_is_ignored(self, data):
        for permits in self.entries.permits.values():
            permits.receive(data)

    @pytest.mark.parametrize(
        ("count", "wait"), [(-5, -1.0), (10**6, 1e300), (0, float("nan"))]
    )
    def test_absurd_response_is_bounded(self, count, wait):
        entries = self.entries
        entries.name_limit(1.0, entries.last)
        entries.silent.add(entries.issuer)
        permits = entries.permits[entries.last]
        permits.try_take(self.server)
        response = PermitResponse(
            sender=entries.issuer,
            number=permits.accounts["one"].question.number,
            server="one",
            incarnation=1,
            count=count,
            wait=wait,
            rate=1.0,
            age=0.0,
        )
        permits.receive(encode(response))
        assert len(permits.accounts["one"].in_hand) <= 1
        assert 0 <= permits.seconds_exhausted(self.server) <= 8

    @pytest.mark.parametrize(
        ("count", "rate", "age"),
        [(10**6, 1.0, 0.0), (-1, 1.0, 0.0), (1, -1.0, 0.0), (1, 1.0, float("nan"))],
    )
    def test_absurd_request_is_bounded(self, count, rate, age):
        entries = self.entries
        entries.name_limit(1.0, entries.issuer)
        sent: list[bytes] = []
        issuer = entries.permits[entries.issuer]
        issuer.send = lambda address, data: sent.append(data)
        request = PermitRequest(
            sender=entries.last,
            number=1,
            server="one",
            incarnation=1,
            count=count,
            rate=rate,
            age=age,
        )
        issuer.receive(encode(request))
        assert 0 <= decode(sent[0]).count <= 1
        assert entries.fleets[entries.issuer].limits.rate(self.server) == 1.0

    def test_request_for_an_unlisted_server_is_denied_and_kept_nowhere(self):
        entries = self.entries
        issuer = entries.permits[entries.issuer]
        sent: list[bytes] = []
        issuer.send = lambda address, data: sent.append(data)
        for number in range(100):
            request = PermitRequest(
                sender=entries.last,
                number=number,
                server=f"unknown{number}",
                incarnation=1,
                count=1,
                rate=1.0,
                age=0.0,
            )
            issuer.receive(encode(request))
        assert {decode(data).count for data in sent} == {0}
        assert not issuer.issuer.accounts
        assert not issuer.accounts


class TestWaitingForPermits:
    """Requests that wait for a permit."""

    def setup_method(self):
        self.entries = _Entries(3, Clock())
        self.server = self.entries.server
        self.permits = self.entries.permits[self.entries.last]
        self.entries.name_limit(1.0, self.entries.last)
        self.entries.silent.add(self.entries.issuer)

    async def _wait(self) -> asyncio.Task:
        task = asyncio.create_task(self.permits.take(self.server, 5.0))
        await asyncio.sleep(0)
        assert not task.done()
        return task

    def test_go_on_when_the_limit_ends(self):
        async def scenario():
            task = await self._wait()
            self.entries.name_limit(None, self.entries.last)
            self.permits.check()
            assert await task

        asyncio.run(scenario())

    def test_are_refused_when_the_server_is_gone(self):
        async def scenario():
            task = await self._wait()
            self.entries.fleets[self.entries.last].update_servers({})
            assert not await task

        asyncio.run(scenario())

    def test_are_refused_at_once_if_there_will_be_no_permit_in_time(self):
        async def scenario():
            self.permits.try_take(self.server)
            self.permits.accounts["one"].exhausted_until = self.entries.clock.now + 6
            assert not await self.permits.take(self.server, 5.0)

        asyncio.run(scenario())

    def test_give_their_permit_back_if_they_are_cancelled(self):
        async def scenario():
            task = await self._wait()
            account = self.permits.accounts["one"]
            account.waiters[0].future.set_result(True)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            assert self.permits.try_take(self.server)

        asyncio.run(scenario())


class TestRanking:
    """Which entry issues the permits of a server."""

    def test_is_the_same_in_all_entries_and_spreads_the_servers(self):
        names = [f"10.0.{n}.1:9" for n in range(100)]
        servers = [_plain_server(f"s{n}") for n in range(200)]
        rankings = [
            IssuerRanking(address=name, addresses=lambda: names, clock=Clock())
            for name in names[:5]
        ]
        issuers = [tuple(r.issuer(s) for s in servers) for r in rankings]
        assert len(set(issuers)) == 1
        assert len(set(issuers[0])) > 60

    def test_silent_entries_are_tried_again(self):
        clock = Clock()
        names = ["10.0.0.1:9", "10.0.0.2:9"]
        ranking = IssuerRanking(
            address="10.0.0.3:9", addresses=lambda: names, clock=clock
        )
        target = next(
            s
            for s in (_plain_server(f"s{n}") for n in range(50))
            if ranking.issuer(s) == names[0]
        )
        for _ in range(20):
            ranking.record_failure(names[0])
        assert ranking.issuer(target) != names[0]
        clock.now += 4.0
        assert ranking.issuer(target) == names[0]


class TestPlainService:
    """Plain servers with a limit, in an entry without peers."""

    def setup_method(self):
        self.clock = Clock()
        self.fleet = Fleet(clock=self.clock)
        self.one, self.two = _plain_server("one"), _plain_server("two")
        self.fleet.update_servers({"one": self.one, "two": self.two})
        self.router = PlainRouter(service="plain", fleet=self.fleet, home="x")

    def _exhaust(self, target: Server) -> None:
        self.fleet.record_notice(target, _limit(1.0))
        while self.fleet.permits.try_take(target):
            pass

    def test_other_servers_get_what_one_does_not_take(self):
        self._exhaust(self.one)
        assert {self.router.pick().id for _ in range(20)} == {"two"}

    def test_what_no_server_takes_is_refused_with_the_time(self):
        self._exhaust(self.one)
        self._exhaust(self.two)
        assert self.router.pick() is None
        assert 0.5 < self.router.seconds_blocked() <= 1.0
        self.clock.now += 1.0
        assert self.router.pick() is not None


class TestModelService:
    """Chains whose first servers have a limit, in an entry without peers."""

    def setup_method(self):
        self.clock = Clock()
        self.fleet = Fleet(clock=self.clock)
        servers = {
            f"{centre}{start}": server(
                f"{centre}{start}", centre, "big", layer_range(start, start + 16)
            )
            for centre in "xy"
            for start in range(0, 80, 16)
        }
        self.fleet.update_servers(servers)
        self.near, self.far = servers["x0"], servers["y0"]
        self.later = servers["x16"]
        self.router = ModelRouter(
            service="model",
            engine=ENGINE,
            fleet=self.fleet,
            home="x",
            peer_loads=dict,
            clock=self.clock,
        )

    def _waiter(self) -> Waiter:
        now = self.clock.now
        return Waiter(
            account="a",
            priority=1,
            tokens=900.0,
            arrived=now,
            deadline=now + MAX_WAIT_SECONDS,
        )

    def _first_servers(self, claims: int) -> list[str]:
        found = [self.router.claim(self._waiter()) for _ in range(claims)]
        return [claim.chain.first_server.id for claim in found if claim]

    def test_other_chains_get_what_one_does_not_take(self):
        self.fleet.record_notice(self.near, _limit(1.0))
        assert self._first_servers(5).count("x0") == 1

    def test_chains_begin_at_a_server_without_a_limit_if_one_holds_the_layers(self):
        spare = server("spare", "x", "big", layer_range(0, 16))
        self.fleet.update_servers({**self.fleet.servers, "spare": spare})
        before = {chain.first_server.id for chain in self.router.chains()}
        limited = self.fleet.servers[(before - {"y0"}).pop()]
        self.fleet.record_notice(limited, _limit(1.0))
        after = {chain.first_server.id for chain in self.router.chains()}
        assert after == {"x0", "spare", "y0"} - {limited.id}
        self.fleet.record_notice(limited, _limit(None))
        assert {chain.first_server.id for chain in self.router.chains()} == before

    def test_duration_of_a_chain_does_not_depend_on_a_limit(self):
        before = [chain.request_seconds for chain in self.router.chains()]
        self.fleet.record_notice(self.near, _limit(1.0))
        assert [c.request_seconds for c in self.router.chains()] == pytest.approx(
            before
        )

    def test_limit_is_short_while_permits_are_denied(self):
        permits = self.fleet.permits
        self.fleet.record_notice(self.near, _limit(2.0))
        assert not permits.is_short(self.near)
        self._first_servers(3)
        assert permits.is_short(self.near)
        self.clock.now += 3.0
        assert not permits.is_short(self.near)

    def test_placement_sees_a_server_whose_limit_is_short_as_slow(self):
        placer = Placer(
            lease=None,
            engines=None,
            fleet=self.fleet,
            health_checker=None,
            routers=lambda: [self.router],
            notify_peers=lambda: None,
            is_held_by_peer=lambda: False,
            fenced=False,
            emit=lambda event: None,
            clock=self.clock,
        )
        self.fleet.record_notice(self.near, _limit(1.0))
        self._first_servers(3)
        slow = [s.server.id for s in placer._snapshots(self.router) if s.slow]
        assert slow == ["x0"]

    def test_one_request_asks_for_the_permit_of_one_chain(self):
        sent: list[str] = []
        peer = "10.0.0.1:9"
        self.fleet.permits = Permits(
            limits=self.fleet.limits,
            find_server=self.fleet.find_server,
            learn=self.fleet.update_limit,
            address="10.0.0.2:9",
            addresses=lambda: {peer},
            send=lambda address, data: sent.append(decode(data).server),
            clock=self.clock,
        )
        self.fleet.permits.ranking.issuer = lambda server: peer
        for first in (self.near, self.far):
            self.fleet.record_notice(first, _limit(1.0))
        assert self.router.claim(self._waiter()) is None
        assert sent == ["x0"]

    def test_limit_of_a_later_stage_does_not_hold_back_a_chain(self):
        self.fleet.record_notice(self.later, _limit(1.0))
        assert "x0" in self._first_servers(3)

    def test_what_no_chain_takes_is_refused_at_once_with_the_time(self):
        async def scenario():
            for first in (self.near, self.far):
                self.fleet.record_notice(first, _limit(0.5))
            assert len(self._first_servers(5)) == 2
            assert await self.router.queue.admit(self._waiter()) is None
            assert 1.2 < self.router.retry_delay() <= 2.0

        asyncio.run(scenario())

    def test_expected_throughput_counts_what_the_limit_allows(self):
        without_limit = self.router.min_token_rate()
        self.fleet.record_notice(self.near, _limit(1.0))
        assert self.router.min_token_rate() < 0.6 * without_limit

    def test_requests_beyond_the_limits_are_refused_on_arrival(self):
        async def scenario():
            for first in (self.near, self.far):
                self.fleet.record_notice(first, _limit(1.0))
            self._first_servers(2)
            queue = self.router.queue
            waiting = []
            for _ in range(10):
                self.clock.now += 0.001
                waiting.append(asyncio.create_task(queue.admit(self._waiter())))
                await asyncio.sleep(0)
            refused = [task for task in waiting if task.done()]
            assert 7 <= len(refused) <= 9
            for task in waiting:
                task.cancel()
            await asyncio.gather(*waiting, return_exceptions=True)

        asyncio.run(scenario())
