"""Tests of what servers say about themselves in their responses."""

import asyncio

import pytest
from engines import ENGINE, layer_range, server
from replays import Clock

from kumquatway_gateway.fleet import MAX_PAUSE_SECONDS, Fleet, Pauses
from kumquatway_gateway.http1 import ConnectionPool
from kumquatway_gateway.model import Server, ServerNotice, ServerState
from kumquatway_gateway.relay import HealthChecker, ModelRouter, PlainRouter
from kumquatway_gateway.waiting import MAX_WAIT_SECONDS, Waiter

LEAVING = ServerNotice(leaving=True)


def _pause(seconds: float) -> ServerNotice:
    return ServerNotice(pause_seconds=seconds)


def _plain_server(name: str, incarnation: int = 1) -> Server:
    return Server(
        id=name,
        service="plain",
        address=f"{name}:80",
        data_centre="x",
        incarnation=incarnation,
        slots=6,
    )


class _Servers:
    """A fleet of two plain servers."""

    def __init__(self):
        self.clock = Clock()
        self.events: list = []
        self.fleet = Fleet(emit=self.events.append, clock=self.clock)
        self.one, self.two = _plain_server("one"), _plain_server("two")
        self.list_servers(self.one, self.two)
        self.router = PlainRouter(service="plain", fleet=self.fleet, home="x")
        self.told: list[str] = []
        self.fleet.on_local_change = lambda: self.told.append("peers")

    def list_servers(self, *servers: Server) -> None:
        self.fleet.update_servers({server.id: server for server in servers})


class TestLeaving:
    """A server that says in a response that it leaves."""

    def setup_method(self):
        self.site = _Servers()
        self.site.fleet.record_notice(self.site.one, LEAVING)

    def test_gets_no_new_work_and_peers_are_told_once(self):
        fleet = self.site.fleet
        assert not fleet.is_up(self.site.one)
        assert self.site.router.pick() is self.site.two
        assert self.site.router.pick({"two"}) is None
        fleet.record_notice(self.site.one, LEAVING)
        assert self.site.told == ["peers"]
        leaving = [e for e in self.site.events if e.state == "leaving"]
        assert [event.vm for event in leaving] == ["one"]

    def test_finishes_its_requests(self):
        assert self.site.fleet.is_responding(self.site.one)

    def test_is_forgotten_with_the_incarnation(self):
        restarted = _plain_server("one", incarnation=2)
        self.site.list_servers(restarted, self.site.two)
        assert self.site.fleet.is_up(restarted)
        self.site.fleet.record_notice(restarted, LEAVING)
        assert not self.site.fleet.is_up(restarted)

    def test_of_an_older_incarnation_does_not_count(self):
        restarted = _plain_server("one", incarnation=2)
        self.site.list_servers(restarted, self.site.two)
        self.site.fleet.record_notice(self.site.one, LEAVING)
        assert self.site.fleet.is_up(restarted)

    def test_same_as_a_registration_that_says_so(self):
        listed = Server(
            id="two",
            service="plain",
            address="two:80",
            data_centre="x",
            incarnation=1,
            state=ServerState.LEAVING,
        )
        self.site.list_servers(self.site.one, listed)
        fleet = self.site.fleet
        assert fleet.is_leaving(self.site.one)
        assert fleet.is_leaving(listed)


class TestLimits:
    """A server that names the request rate that it takes from all entries."""

    def test_time_line_tells_when_a_limit_is_named_and_when_it_ends(self):
        site = _Servers()
        for rate in (2.0, 2.0, 1.5, None, None):
            notice = ServerNotice(max_request_rate=rate)
            site.fleet.record_notice(site.one, notice)
        states = [(e.vm, e.state) for e in site.events if "limited" in e.state]
        assert states == [("one", "limited")] * 2 + [("one", "unlimited")]

    def test_limit_stays_if_a_response_does_not_tell(self):
        site = _Servers()
        site.fleet.record_notice(site.one, ServerNotice(max_request_rate=2.0))
        site.clock.now += 1.0
        site.fleet.record_notice(site.one, ServerNotice(limit_is_unknown=True))
        assert site.fleet.limits.rate(site.one) == 2.0


class TestResponseToARequestToTheRunBefore:
    """A server starts again under its ID, and the list names its next run meanwhile."""

    def setup_method(self):
        self.site = _Servers()
        self.restarted = _plain_server("one", incarnation=2)
        self.site.list_servers(self.restarted, self.site.two)

    def test_does_not_end_a_pause(self):
        self.site.fleet.record_notice(self.restarted, _pause(5.0))
        self.site.fleet.record_notice(self.site.one, _pause(1.0))
        self.site.clock.now += 4.9
        assert self.site.fleet.pauses.is_paused(self.restarted)

    def test_does_not_end_a_limit(self):
        fleet = self.site.fleet
        sent_at = self.site.clock.now
        self.site.clock.now += 1.0
        fleet.record_notice(self.restarted, ServerNotice(max_request_rate=2.0))
        fleet.record_notice(self.site.one, ServerNotice(max_request_rate=5.0), sent_at)
        assert fleet.limits.rate(self.restarted) == 2.0

    def test_may_come_from_the_next_run(self):
        self.site.fleet.record_notice(self.site.one, _pause(5.0))
        assert self.site.fleet.pauses.is_paused(self.restarted)


class TestRunThatTheListDoesNotNameYet:
    """A server has ended, started again under its ID, and responds."""

    def setup_method(self):
        self.site = _Servers()
        self.fleet = self.site.fleet
        self.restarted = _plain_server("one", incarnation=2)

    def respond_again(self) -> None:
        one = self.site.one
        self.fleet.set_health(one, down=True, ended=True, reason="refused")
        self.site.clock.now += 0.3
        self.fleet.set_health(one, down=False, reason="responds again")
        self.site.clock.now += 0.1

    def list_next_run(self) -> None:
        self.site.clock.now += 0.5
        self.site.list_servers(self.restarted, self.site.two)

    def test_has_its_pause_once_it_is_listed(self):
        self.respond_again()
        self.fleet.record_notice(self.site.one, _pause(5.0))
        self.list_next_run()
        assert self.fleet.pauses.is_paused(self.restarted)

    def test_has_its_limit_once_it_is_listed(self):
        self.respond_again()
        notice = ServerNotice(max_request_rate=2.0)
        self.fleet.record_notice(self.site.one, notice)
        self.list_next_run()
        assert self.fleet.limits.rate(self.restarted) == 2.0

    def test_has_no_pause_of_the_run_before(self):
        self.fleet.record_notice(self.site.one, _pause(5.0))
        self.site.clock.now += 0.1
        self.respond_again()
        self.list_next_run()
        assert not self.fleet.pauses.is_paused(self.restarted)

    def test_has_no_limit_of_the_run_before(self):
        notice = ServerNotice(max_request_rate=2.0)
        self.fleet.record_notice(self.site.one, notice)
        self.site.clock.now += 0.1
        self.respond_again()
        self.list_next_run()
        assert self.fleet.limits.rate(self.restarted) is None


class TestPauses:
    """Bookkeeping of the pauses that servers ask for."""

    def setup_method(self):
        self.clock = Clock()
        self.pauses = Pauses(clock=self.clock)
        self.server = _plain_server("one")

    def test_ends_by_itself(self):
        assert self.pauses.start(self.server, 2.0)
        self.clock.now = 1.99
        assert self.pauses.is_paused(self.server)
        self.clock.now = 2.0
        assert not self.pauses.is_paused(self.server)

    def test_shorter_one_does_not_end_a_longer_one(self):
        self.pauses.start(self.server, 5.0)
        assert not self.pauses.start(self.server, 1.0)
        assert self.pauses.end(self.server) == 5.0

    def test_restart_of_the_server_ends_it(self):
        self.pauses.start(self.server, 5.0)
        assert not self.pauses.is_paused(_plain_server("one", incarnation=2))

    @pytest.mark.parametrize("seconds", [1e9, float("inf")])
    def test_absurd_time_is_limited(self, seconds):
        self.pauses.start(self.server, seconds)
        assert self.pauses.end(self.server) == MAX_PAUSE_SECONDS

    def test_one_health_check_each(self):
        assert all(self.pauses.may_check(self.server) for _ in range(5))
        self.pauses.start(self.server, 5.0)
        assert self.pauses.may_check(self.server)
        assert not self.pauses.may_check(self.server)
        self.clock.now = 5.0
        assert self.pauses.may_check(self.server)


class TestPlainService:
    """
    Plain servers that ask for a pause.

    Load pattern: servers crawl, and turn requests away until they have caught up.
    """

    def setup_method(self):
        self.site = _Servers()

    def test_others_serve_meanwhile(self):
        self.site.fleet.record_notice(self.site.one, _pause(30.0))
        assert {self.site.router.pick().id for _ in range(20)} == {"two"}
        self.site.clock.now = 30.0
        assert {self.site.router.pick({"two"}).id} == {"one"}

    def test_peers_have_pauses_of_their_own(self):
        self.site.fleet.record_notice(self.site.one, _pause(30.0))
        assert not self.site.told

    def test_if_all_are_paused_callers_return_when_the_first_is_back(self):
        self.site.fleet.record_notice(self.site.one, _pause(30.0))
        self.site.fleet.record_notice(self.site.two, _pause(4.0))
        assert self.site.router.pick() is None
        self.site.clock.now = 1.0
        assert self.site.router.seconds_blocked() == 3.0


class TestModelService:
    """Model servers that ask for a pause."""

    def setup_method(self):
        self.clock = Clock()
        self.fleet = Fleet(clock=self.clock)
        self.stages = {
            name: server(name, "x", "big", layer_range(start, start + 16))
            for name, start in [(f"s{start}", start) for start in range(0, 80, 16)]
        }
        self.fleet.update_servers(self.stages)
        self.router = ModelRouter(
            service="model",
            engine=ENGINE,
            fleet=self.fleet,
            home="x",
            peer_loads=dict,
            clock=self.clock,
        )

    def _waiter(self) -> Waiter:
        deadline = self.clock.now + MAX_WAIT_SECONDS
        return Waiter(
            account="a",
            priority=1,
            tokens=900.0,
            arrived=self.clock.now,
            deadline=deadline,
        )

    def test_chains_leave_it_out_until_the_pause_ends(self):
        assert len(self.router.chains()) == 1
        self.fleet.record_notice(self.stages["s0"], _pause(3.0))
        assert not self.router.chains()
        self.clock.now = 3.01
        assert len(self.router.chains()) == 1

    def test_a_spare_server_serves_meanwhile(self):
        spare = server("spare", "x", "big", layer_range(0, 16))
        self.fleet.update_servers({**self.stages, "spare": spare})
        self.fleet.record_notice(self.stages["s0"], _pause(60.0))
        [chain] = self.router.chains()
        assert chain.first_server is spare

    def test_what_cannot_be_served_is_refused_at_once_with_the_time(self):
        async def scenario():
            self.fleet.record_notice(self.stages["s0"], _pause(10.0))
            self.clock.now = 2.0
            assert await self.router.queue.admit(self._waiter()) is None
            assert self.router.retry_delay() == 8.0

        asyncio.run(scenario())

    def test_a_short_pause_is_waited_for(self):
        async def scenario():
            self.fleet.record_notice(self.stages["s0"], _pause(0.5))
            waiting = asyncio.create_task(self.router.queue.admit(self._waiter()))
            await asyncio.sleep(0)
            assert not waiting.done()
            self.clock.now = 0.51
            self.router.queue.admit_waiting()
            claim = await waiting
            assert claim.chain.first_server.id == "s0"

        asyncio.run(scenario())


class TestHealthChecks:
    """Health checks of servers that asked for a pause."""

    def test_checks_stay_within_the_pause(self):
        class Engines:
            def __init__(self):
                self.probed: list[str] = []

            async def accepts_work(self, target, path, timeout):
                self.probed.append(target.id)
                return False

        async def scenario():
            engines = Engines()
            fleet = Fleet()
            target = server("s0", "x", "big", layer_range(0, 16))
            fleet.update_servers({"s0": target})
            checker = HealthChecker(
                fleet=fleet,
                engines=engines,
                pool=ConnectionPool(),
                is_model_server=lambda server: True,
                health_path=lambda server: "/ready",
            )
            fleet.set_health(target, down=True, refuses_work=True, reason="refused")
            fleet.record_notice(target, _pause(60.0))
            checker.check_accepts_work(target)
            for _ in range(20):
                checker.recheck_servers()
                await asyncio.gather(*checker.tasks)
            assert len(engines.probed) <= 1

        asyncio.run(scenario())
