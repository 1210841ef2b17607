"""Tests of who is taken for down, and who is not."""

import asyncio
import random

from engines import layer_range, server

from kumquatway_gateway.chains import Chain, Stage
from kumquatway_gateway.fleet import Fleet
from kumquatway_gateway.http1 import ConnectionPool, FetchFailed
from kumquatway_gateway.model import Server
from kumquatway_gateway.relay import HealthChecker, ServerReport, StalledRequest
from kumquatway_gateway.relay._health import (
    RECHECK_INTERVAL_SECONDS,
    REFUSAL_EXPIRY_SECONDS,
)


class _Engines:
    """Model servers, some of which do not answer."""

    def __init__(self):
        self.silent: set[str] = set()
        self.leaving: set[str] = set()
        self.refusing: set[str] = set()
        self.failures: dict[str, int] = {}
        self.paces: dict[str, float] = {}
        self.stalled: dict[str, str] = {}
        self.asked: list[str] = []

    async def accepts_work(self, one: Server, path: str, timeout: float) -> bool:
        assert path == "/well"
        if one.id in self.silent:
            raise FetchFailed(f"{one.address}: {timeout} s passed", sent=True)
        return one.id not in self.leaving

    async def report(self, one: Server, timeout: float) -> ServerReport:
        self.asked.append(one.id)
        left = self.failures.get(one.id, 0)
        if left:
            self.failures[one.id] = left - 1
        if one.id in self.silent or left:
            raise FetchFailed(f"{one.address}: {timeout} s passed", sent=True)
        if one.id in self.refusing:
            raise FetchFailed(f"{one.address}: refused", sent=False, refused=True)
        address = self.stalled.get(one.id)
        return ServerReport(
            incarnation=one.incarnation,
            layers=one.layers,
            sequence=1,
            busy=False,
            running=0,
            waiting=0,
            slowdown=self.paces.get(one.id, 1.0),
            stalled=(StalledRequest(request="r", address=address),) if address else (),
        )


class _Site:
    def __init__(self):
        self.engines = _Engines()
        self.events: list = []
        self.fleet = Fleet(emit=self.events.append)
        members = [
            server(
                f"{centre}{number}",
                centre,
                "big",
                layer_range(16 * number, 16 * number + 16),
            )
            for centre in "ab"
            for number in range(5)
        ]
        self.fleet.update_servers({one.id: one for one in members})
        self.health_checker = HealthChecker(
            fleet=self.fleet,
            engines=self.engines,
            pool=ConnectionPool(),
            is_model_server=lambda one: True,
            health_path=lambda one: "/well",
        )

    def chain(self, centre: str = "a") -> Chain:
        members = [s for s in self.fleet.servers.values() if s.data_centre == centre]
        parts = tuple(Stage(server=one, layers=one.layers) for one in members)
        return Chain(
            stages=parts,
            token_capacity=1.0,
            request_seconds=1.0,
            prefill_seconds=0.1,
            crossings=0,
        )

    async def settle(self) -> None:
        while self.health_checker.tasks:
            await asyncio.gather(*self.health_checker.tasks)

    def down(self) -> set[str]:
        return {name for name, mark in self.fleet.health.items() if mark.down}


def play(story) -> None:
    asyncio.run(story(_Site()))


class TestExamine:
    """A chain that fell silent."""

    def test_the_one_that_does_not_answer_is_down(self):
        async def story(site):
            site.engines.silent.add("a2")
            site.health_checker.check_chain(site.chain())
            await site.settle()
            assert site.down() == {"a2"}
            assert not site.fleet.is_up(site.fleet.servers["a2"])

        play(story)

    def test_a_process_that_ran_late_proves_nothing(self):
        async def story(site):
            site.engines.silent.add("a2")
            site.health_checker.ran_late_at = float("inf")
            site.health_checker.check_chain(site.chain())
            await site.settle()
            assert site.down() == set()
            site.health_checker.ran_late_at = float("-inf")
            site.health_checker.checked_at.clear()
            site.health_checker.check_chain(site.chain())
            await site.settle()
            assert site.down() == {"a2"}

        play(story)

    def test_but_a_refused_connection_does(self):
        async def story(site):
            site.engines.refusing.add("a2")
            site.health_checker.ran_late_at = float("inf")
            site.health_checker.check_chain(site.chain())
            await site.settle()
            assert site.down() == {"a2"}

        play(story)

    def test_silence_is_no_proof_that_a_life_is_over(self):
        async def story(site):
            site.engines.silent.add("a2")
            site.health_checker.check_chain(site.chain())
            await site.settle()
            assert not site.fleet.has_ended("a2")

        play(story)

    def test_a_refused_connection_is(self):
        async def story(site):
            site.engines.refusing.add("a2")
            site.health_checker.check_chain(site.chain())
            await site.settle()
            assert site.fleet.has_ended("a2")
            assert not site.fleet.has_ended("a1")
            assert not site.fleet.has_ended("never listed")

        play(story)

    def test_one_lost_packet_is_nothing(self):
        async def story(site):
            site.engines.failures["a2"] = 1
            site.health_checker.check_chain(site.chain())
            await site.settle()
            assert site.down() == set()

        play(story)

    def test_where_nobody_answers_the_own_link_is_at_fault(self):
        """Load pattern: an entry behind a full link tells nobody that all are down."""

        async def story(site):
            site.engines.silent.update(site.fleet.servers)
            site.health_checker.check_chain(site.chain())
            await site.settle()
            assert site.down() == set()

        play(story)

    def test_all_of_a_data_centre_may_be_down(self):
        async def story(site):
            site.engines.silent.update(f"a{n}" for n in range(5))
            site.health_checker.check_chain(site.chain())
            await site.settle()
            assert site.down() == {f"a{n}" for n in range(5)}

        play(story)

    def test_many_streams_of_a_chain_ask_once(self):
        async def story(site):
            for _ in range(50):
                site.health_checker.check_chain(site.chain())
            await site.settle()
            assert len(site.engines.asked) == 5

        play(story)

    def test_who_another_server_waits_for_is_asked(self):
        async def story(site):
            site.engines.silent.add("b3")
            site.engines.stalled["a0"] = "b3:80"
            site.health_checker.check_chain(site.chain())
            await site.settle()
            assert site.down() == {"b3"}

        play(story)

    def test_the_pace_is_noted(self):
        async def story(site):
            site.engines.paces["a1"] = 12.0
            site.health_checker.check_chain(site.chain())
            await site.settle()
            assert site.fleet.slowdown(site.fleet.servers["a1"]) == 12.0
            assert any(event.state == "slow" for event in site.events[10:])

        play(story)


class TestRefusal:
    """Load pattern: a server leaves, and the list does not say so yet."""

    def _refuse(self, site) -> Server:
        server = site.fleet.servers["a2"]
        site.health_checker.check_accepts_work(server)
        return server

    def test_one_that_says_that_it_takes_no_work_gets_none(self):
        async def story(site):
            site.engines.leaving.add("a2")
            server = self._refuse(site)
            await site.settle()
            assert not site.fleet.is_up(server)

        play(story)

    def test_what_runs_there_goes_on(self):
        async def story(site):
            site.engines.leaving.add("a2")
            server = self._refuse(site)
            await site.settle()
            assert site.fleet.is_responding(server)
            assert not site.fleet.has_ended("a2")

        play(story)

    def test_one_that_is_only_full_stays(self):
        async def story(site):
            server = self._refuse(site)
            await site.settle()
            assert site.fleet.is_up(server)

        play(story)

    def test_one_that_does_not_answer_is_examined(self):
        async def story(site):
            site.engines.silent.add("a2")
            server = self._refuse(site)
            await site.settle()
            assert not site.fleet.is_responding(server)

        play(story)


class TestRecheck:
    """Servers that are down."""

    def test_one_that_only_says_that_it_takes_no_work_is_tried_again(self):
        """Load pattern: servers that are well say for long that they are not."""

        async def story(site):
            server = site.fleet.servers["a2"]
            site.engines.leaving.add("a2")
            site.fleet.set_health(server, down=True, refuses_work=True, reason="test")
            now = site.health_checker.clock() + REFUSAL_EXPIRY_SECONDS + 0.1
            site.health_checker.clock = lambda: now
            await site.health_checker.recheck_server(server)
            assert site.fleet.is_up(server)

        play(story)

    def test_one_that_answers_but_takes_no_work_stays_down(self):
        async def story(site):
            server = site.fleet.servers["a2"]
            site.engines.leaving.add("a2")
            site.fleet.set_health(server, down=True, refuses_work=True, reason="test")
            await site.health_checker.recheck_server(server)
            assert not site.fleet.is_up(server)
            site.engines.leaving.clear()
            await site.health_checker.recheck_server(server)
            assert site.fleet.is_up(server)

        play(story)

    def test_many_entries_share_the_probes_of_a_server_that_is_down(self):
        async def story(site):
            site.engines.silent.add("a2")
            site.fleet.set_health(site.fleet.servers["a2"], down=True, reason="test")
            for _ in range(20):
                site.health_checker.recheck_servers()
                await site.settle()
            assert site.engines.asked.count("a2") == 20
            site.engines.asked.clear()
            site.health_checker.entry_count = lambda: 30
            drawn = random.getstate()
            random.seed(1)
            for _ in range(200):
                site.health_checker.recheck_servers()
                await site.settle()
            random.setstate(drawn)
            assert 0 < site.engines.asked.count("a2") < 60

        play(story)

    def test_a_slow_server_that_another_entry_just_asked_is_not_asked(self):
        async def story(site):
            now = site.health_checker.clock()
            site.fleet.update_slowdown(
                "a2", site.fleet.servers["a2"].incarnation, 6.0, now
            )
            site.health_checker.recheck_servers()
            await site.settle()
            assert site.engines.asked == []
            site.health_checker.clock = lambda: now + RECHECK_INTERVAL_SECONDS
            site.health_checker.recheck_servers()
            await site.settle()
            assert site.engines.asked == ["a2"]

        play(story)

    def test_who_answers_again_is_up(self):
        async def story(site):
            site.fleet.set_health(site.fleet.servers["a2"], down=True, reason="test")
            task = asyncio.create_task(site.health_checker.run_rechecks())
            async with asyncio.timeout(10):
                while site.down():
                    await asyncio.sleep(0.02)
            task.cancel()
            assert site.fleet.is_up(site.fleet.servers["a2"])

        play(story)
