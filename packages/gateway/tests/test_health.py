"""Tests of which servers the health checker marks as down."""

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


class _FakeEngineClient:
    """A client for model servers whose responses the test chooses."""

    def __init__(self):
        self.unresponsive: set[str] = set()
        self.not_ready: set[str] = set()
        self.refusing_connections: set[str] = set()
        self.failures_left: dict[str, int] = {}
        self.slowdowns: dict[str, float] = {}
        self.stalled_on: dict[str, str] = {}
        self.probed: list[str] = []

    async def accepts_work(self, target: Server, path: str, timeout: float) -> bool:
        assert path == "/ready"
        if target.id in self.unresponsive:
            raise FetchFailed(
                f"{target.address}: no response within {timeout} s", sent=True
            )
        return target.id not in self.not_ready

    async def report(self, target: Server, timeout: float) -> ServerReport:
        self.probed.append(target.id)
        failures_left = self.failures_left.get(target.id, 0)
        if failures_left:
            self.failures_left[target.id] = failures_left - 1
        if target.id in self.unresponsive or failures_left:
            raise FetchFailed(
                f"{target.address}: no response within {timeout} s", sent=True
            )
        if target.id in self.refusing_connections:
            raise FetchFailed(
                f"{target.address}: connection refused", sent=False, refused=True
            )
        address = self.stalled_on.get(target.id)
        return ServerReport(
            incarnation=target.incarnation,
            layers=target.layers,
            sequence=1,
            busy=False,
            running=0,
            waiting=0,
            slowdown=self.slowdowns.get(target.id, 1.0),
            stalled=(StalledRequest(request="r", address=address),) if address else (),
        )


class _Deployment:
    """A fleet of two data centres with one chain of five servers each."""

    def __init__(self):
        self.engines = _FakeEngineClient()
        self.events: list = []
        self.fleet = Fleet(emit=self.events.append)
        servers = [
            server(
                f"{data_centre}{number}",
                data_centre,
                "big",
                layer_range(16 * number, 16 * number + 16),
            )
            for data_centre in "ab"
            for number in range(5)
        ]
        self.fleet.update_servers({server.id: server for server in servers})
        self.health_checker = HealthChecker(
            fleet=self.fleet,
            engines=self.engines,
            pool=ConnectionPool(),
            is_model_server=lambda server: True,
            health_path=lambda server: "/ready",
        )

    def chain(self, data_centre: str = "a") -> Chain:
        servers = [
            server
            for server in self.fleet.servers.values()
            if server.data_centre == data_centre
        ]
        stages = tuple(Stage(server=server, layers=server.layers) for server in servers)
        return Chain(
            stages=stages,
            token_capacity=1.0,
            request_seconds=1.0,
            prefill_seconds=0.1,
            crossings=0,
        )

    async def wait_for_checks(self) -> None:
        while self.health_checker.tasks:
            await asyncio.gather(*self.health_checker.tasks)

    def down_servers(self) -> set[str]:
        return {name for name, status in self.fleet.health.items() if status.down}


def run(scenario) -> None:
    asyncio.run(scenario(_Deployment()))


class TestCheckChain:
    """Checks of a chain that stopped sending events."""

    def test_unresponsive_server_is_marked_down(self):
        async def scenario(deployment):
            deployment.engines.unresponsive.add("a2")
            deployment.health_checker.check_chain(deployment.chain())
            await deployment.wait_for_checks()
            assert deployment.down_servers() == {"a2"}
            assert not deployment.fleet.is_up(deployment.fleet.servers["a2"])

        run(scenario)

    def test_timeout_is_ignored_if_the_process_ran_late(self):
        async def scenario(deployment):
            deployment.engines.unresponsive.add("a2")
            deployment.health_checker.ran_late_at = float("inf")
            deployment.health_checker.check_chain(deployment.chain())
            await deployment.wait_for_checks()
            assert deployment.down_servers() == set()
            deployment.health_checker.ran_late_at = float("-inf")
            deployment.health_checker.checked_at.clear()
            deployment.health_checker.check_chain(deployment.chain())
            await deployment.wait_for_checks()
            assert deployment.down_servers() == {"a2"}

        run(scenario)

    def test_refused_connection_counts_even_if_the_process_ran_late(self):
        async def scenario(deployment):
            deployment.engines.refusing_connections.add("a2")
            deployment.health_checker.ran_late_at = float("inf")
            deployment.health_checker.check_chain(deployment.chain())
            await deployment.wait_for_checks()
            assert deployment.down_servers() == {"a2"}

        run(scenario)

    def test_timeout_does_not_prove_that_the_server_process_ended(self):
        async def scenario(deployment):
            deployment.engines.unresponsive.add("a2")
            deployment.health_checker.check_chain(deployment.chain())
            await deployment.wait_for_checks()
            assert not deployment.fleet.has_ended("a2")

        run(scenario)

    def test_refused_connection_proves_that_the_server_process_ended(self):
        async def scenario(deployment):
            deployment.engines.refusing_connections.add("a2")
            deployment.health_checker.check_chain(deployment.chain())
            await deployment.wait_for_checks()
            assert deployment.fleet.has_ended("a2")
            assert not deployment.fleet.has_ended("a1")
            assert not deployment.fleet.has_ended("never listed")

        run(scenario)

    def test_single_failed_probe_is_ignored(self):
        async def scenario(deployment):
            deployment.engines.failures_left["a2"] = 1
            deployment.health_checker.check_chain(deployment.chain())
            await deployment.wait_for_checks()
            assert deployment.down_servers() == set()

        run(scenario)

    def test_no_server_is_marked_down_if_none_responds(self):
        """Load pattern: the link of the entry is saturated, and no response arrives."""

        async def scenario(deployment):
            deployment.engines.unresponsive.update(deployment.fleet.servers)
            deployment.health_checker.check_chain(deployment.chain())
            await deployment.wait_for_checks()
            assert deployment.down_servers() == set()

        run(scenario)

    def test_all_servers_of_a_data_centre_can_be_down(self):
        async def scenario(deployment):
            deployment.engines.unresponsive.update(f"a{n}" for n in range(5))
            deployment.health_checker.check_chain(deployment.chain())
            await deployment.wait_for_checks()
            assert deployment.down_servers() == {f"a{n}" for n in range(5)}

        run(scenario)

    def test_checks_by_many_streams_of_a_chain_are_merged(self):
        async def scenario(deployment):
            for _ in range(50):
                deployment.health_checker.check_chain(deployment.chain())
            await deployment.wait_for_checks()
            assert len(deployment.engines.probed) == 5

        run(scenario)

    def test_server_that_another_server_waits_for_is_checked(self):
        async def scenario(deployment):
            deployment.engines.unresponsive.add("b3")
            deployment.engines.stalled_on["a0"] = "b3:80"
            deployment.health_checker.check_chain(deployment.chain())
            await deployment.wait_for_checks()
            assert deployment.down_servers() == {"b3"}

        run(scenario)

    def test_reported_slowdown_is_recorded(self):
        async def scenario(deployment):
            deployment.engines.slowdowns["a1"] = 12.0
            deployment.health_checker.check_chain(deployment.chain())
            await deployment.wait_for_checks()
            assert deployment.fleet.slowdown(deployment.fleet.servers["a1"]) == 12.0
            assert any(event.state == "slow" for event in deployment.events[10:])

        run(scenario)


class TestCheckAcceptsWork:
    """Load pattern: a server shuts down, and the server list does not show it yet."""

    def _refuse(self, deployment) -> Server:
        server = deployment.fleet.servers["a2"]
        deployment.health_checker.check_accepts_work(server)
        return server

    def test_server_that_is_not_ready_gets_no_work(self):
        async def scenario(deployment):
            deployment.engines.not_ready.add("a2")
            server = self._refuse(deployment)
            await deployment.wait_for_checks()
            assert not deployment.fleet.is_up(server)

        run(scenario)

    def test_requests_on_a_server_that_is_not_ready_continue(self):
        async def scenario(deployment):
            deployment.engines.not_ready.add("a2")
            server = self._refuse(deployment)
            await deployment.wait_for_checks()
            assert deployment.fleet.is_responding(server)
            assert not deployment.fleet.has_ended("a2")

        run(scenario)

    def test_full_server_stays_up(self):
        async def scenario(deployment):
            server = self._refuse(deployment)
            await deployment.wait_for_checks()
            assert deployment.fleet.is_up(server)

        run(scenario)

    def test_unresponsive_server_is_marked_down(self):
        async def scenario(deployment):
            deployment.engines.unresponsive.add("a2")
            server = self._refuse(deployment)
            await deployment.wait_for_checks()
            assert not deployment.fleet.is_responding(server)

        run(scenario)


class TestRecheck:
    """Rechecks of servers that are down or slow."""

    def test_server_that_is_not_ready_is_tried_again_after_a_while(self):
        """Load pattern: healthy servers keep reporting that they are not ready."""

        async def scenario(deployment):
            server = deployment.fleet.servers["a2"]
            deployment.engines.not_ready.add("a2")
            deployment.fleet.set_health(
                server, down=True, refuses_work=True, reason="test"
            )
            now = deployment.health_checker.clock() + REFUSAL_EXPIRY_SECONDS + 0.1
            deployment.health_checker.clock = lambda: now
            await deployment.health_checker.recheck_server(server)
            assert deployment.fleet.is_up(server)

        run(scenario)

    def test_server_that_responds_stays_down_until_it_is_ready(self):
        async def scenario(deployment):
            server = deployment.fleet.servers["a2"]
            deployment.engines.not_ready.add("a2")
            deployment.fleet.set_health(
                server, down=True, refuses_work=True, reason="test"
            )
            await deployment.health_checker.recheck_server(server)
            assert not deployment.fleet.is_up(server)
            deployment.engines.not_ready.clear()
            await deployment.health_checker.recheck_server(server)
            assert deployment.fleet.is_up(server)

        run(scenario)

    def test_server_that_fell_silent_and_ends_is_known_to_have_ended(self):
        """Its VM refuses connections once its process has ended."""

        async def scenario(deployment):
            deployment.fleet.set_health(
                deployment.fleet.servers["a2"], down=True, reason="test"
            )
            deployment.engines.refusing_connections.add("a2")
            deployment.health_checker.recheck_servers()
            await deployment.wait_for_checks()
            assert deployment.fleet.has_ended("a2")

        run(scenario)

    def test_server_that_refuses_to_one_entry_alone_has_not_ended(self):
        """A link of this entry that is cut may refuse in place of all servers."""

        async def scenario(deployment):
            deployment.fleet.set_health(
                deployment.fleet.servers["a2"], down=True, reason="test"
            )
            deployment.engines.refusing_connections.update(deployment.fleet.servers)
            deployment.health_checker.recheck_servers()
            await deployment.wait_for_checks()
            assert not deployment.fleet.has_ended("a2")

        run(scenario)

    def test_entries_share_the_probes_of_a_server_that_is_down(self):
        async def scenario(deployment):
            deployment.engines.unresponsive.add("a2")
            deployment.fleet.set_health(
                deployment.fleet.servers["a2"], down=True, reason="test"
            )
            for _ in range(20):
                deployment.health_checker.recheck_servers()
                await deployment.wait_for_checks()
            assert deployment.engines.probed.count("a2") == 20
            deployment.engines.probed.clear()
            deployment.health_checker.entry_count = lambda: 30
            random_state = random.getstate()
            random.seed(1)
            for _ in range(200):
                deployment.health_checker.recheck_servers()
                await deployment.wait_for_checks()
            random.setstate(random_state)
            assert 0 < deployment.engines.probed.count("a2") < 60

        run(scenario)

    def test_slow_server_that_another_entry_just_probed_is_skipped(self):
        async def scenario(deployment):
            now = deployment.health_checker.clock()
            deployment.fleet.update_slowdown(
                "a2", deployment.fleet.servers["a2"].incarnation, 6.0, now
            )
            deployment.health_checker.recheck_servers()
            await deployment.wait_for_checks()
            assert deployment.engines.probed == []
            deployment.health_checker.clock = lambda: now + RECHECK_INTERVAL_SECONDS
            deployment.health_checker.recheck_servers()
            await deployment.wait_for_checks()
            assert deployment.engines.probed == ["a2"]

        run(scenario)

    def test_server_that_responds_again_is_marked_up(self):
        async def scenario(deployment):
            deployment.fleet.set_health(
                deployment.fleet.servers["a2"], down=True, reason="test"
            )
            task = asyncio.create_task(deployment.health_checker.run_rechecks())
            async with asyncio.timeout(10):
                while deployment.down_servers():
                    await asyncio.sleep(0.02)
            task.cancel()
            assert deployment.fleet.is_up(deployment.fleet.servers["a2"])

        run(scenario)
