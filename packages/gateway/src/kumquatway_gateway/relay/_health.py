"""Checks which servers respond and accept work, and records it in the fleet."""

import asyncio
import contextlib
import random
import time
from collections.abc import Callable, Iterable

from loguru import logger

from kumquatway_gateway.chains import Chain
from kumquatway_gateway.fleet import Fleet, HealthStatus
from kumquatway_gateway.http1 import ConnectionPool, FetchFailed, Unreachable
from kumquatway_gateway.model import LayerReport, Server
from kumquatway_gateway.relay._engine_client import EngineClient, ServerReport

PROBE_TIMEOUT_SECONDS = 0.12  # 50 round trips to a server
CONFIRMING_SERVERS = 2  # other servers probed before a server is marked down
MIN_CHECK_INTERVAL_SECONDS = 0.25  # between two checks of the same chain or server
REFUSAL_EXPIRY_SECONDS = 6.0  # until a server that refuses work is tried again
PERMIT_PATIENCE_SECONDS = 0.2  # for a permit to probe a server that has a limit
RECHECK_INTERVAL_SECONDS = 0.8  # between probes of a server that is down or slow
RECHECKS_PER_INTERVAL = 3  # probes of each server that is down, over all entries


class HealthChecker:
    """
    Checks servers that are suspected to be down, and rechecks those that are.

    :param fleet: records the health, the layers and the slowdown of servers.
    :param engines: client for model servers.
    :param pool: connects to servers of plain services.
    :param is_model_server: returns whether a server is a model server.
    :param health_path: returns the HTTP path of a server's readiness check.
    :param entry_count: returns the number of entries, which share the rechecks.
    :param clock: monotonic seconds.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        engines: EngineClient,
        pool: ConnectionPool,
        is_model_server: Callable[[Server], bool],
        health_path: Callable[[Server], str],
        entry_count: Callable[[], int] = lambda: 1,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.fleet = fleet
        self.engines = engines
        self.pool = pool
        self.is_model_server = is_model_server
        self.health_path = health_path
        self.entry_count = entry_count
        self.clock = clock
        self.checked_at: dict[str, float] = {}  # by server ID
        self.ran_late_at = float("-inf")  # when the event loop was last delayed
        self.tasks: set[asyncio.Task] = set()

    def check_chain(self, chain: Chain) -> None:
        """
        Start a check of all servers of a chain, unless one started just before.

        :param chain: the chain that stopped sending events.
        """
        key = chain.first_server.id
        now = self.clock()
        if now - self.checked_at.get(key, float("-inf")) < MIN_CHECK_INTERVAL_SECONDS:
            return
        self.checked_at[key] = now
        for stage in chain.stages:
            self.checked_at[stage.server.id] = now
        self._start_task(self._check_servers([stage.server for stage in chain.stages]))

    def check_server(self, server: Server) -> None:
        """
        Start a check of one server, unless one started just before.

        :param server: the server that did not respond.
        """
        if self._is_due(server):
            self._start_task(self._check(server))

    def check_accepts_work(self, server: Server) -> None:
        """
        Start a readiness check of a model server, unless one started just before.

        Load pattern: servers are drained one after the other, unannounced or while the
        store is unreachable. For seconds, each refuses all new work, and so does every
        chain through it, while its reports show no problem.

        :param server: the server that refused a request.
        """
        if self._is_due(server):
            self._start_task(self._check_accepts_work(server))

    def _is_due(self, server: Server) -> bool:
        now = self.clock()
        if (
            now - self.checked_at.get(server.id, float("-inf"))
            < MIN_CHECK_INTERVAL_SECONDS
        ):
            return False
        self.checked_at[server.id] = now
        return True

    async def run_rechecks(self) -> None:
        """Recheck servers that are down or slow at regular intervals; never returns."""
        while True:
            await asyncio.sleep(RECHECK_INTERVAL_SECONDS)
            self.recheck_servers()

    def recheck_servers(self) -> None:
        """
        Start probes of this entry's share of the servers that are down or slow.

        Load pattern: some servers are slow or down for a long time, and many entries
        would probe each of them continually. So each entry probes a server that is down
        with a probability that falls with the number of entries, and skips a slow one
        that was recently observed. An entry that finds a server healthy tells its
        peers.
        """
        probability = RECHECKS_PER_INTERVAL / max(1, self.entry_count())
        for server_id, status in list(self.fleet.health.items()):
            server = self.fleet.servers.get(server_id)
            if status.down and server is not None and random.random() < probability:
                if not self.fleet.pauses.may_check(server):
                    continue
                self._start_task(self.recheck_server(server))
        now = self.clock()
        for server_id, slowdown in list(self.fleet.slowdowns.items()):
            server = self.fleet.servers.get(server_id)
            if server is None or not self.fleet.is_slow(server):
                continue
            if now - slowdown.observed_at >= RECHECK_INTERVAL_SECONDS / 2:
                self.check_server(server)
        cutoff = now - MIN_CHECK_INTERVAL_SECONDS
        for server_id in [key for key, at in self.checked_at.items() if at < cutoff]:
            del self.checked_at[server_id]

    async def _check_servers(self, servers: Iterable[Server]) -> None:
        await asyncio.gather(*(self._check(server) for server in servers))

    async def _check(self, server: Server) -> None:
        """
        Mark a server down if two probes of it fail while other servers respond.

        Load pattern: a small entry loads a long configuration, or its CPU core is
        saturated. It then reads responses late although they arrived in time, and must
        not tell its peers that all servers are down.
        """
        started_at = self.clock()
        if not self.fleet.pauses.may_check(server):
            return
        if not await self._may_probe(server):
            return
        failure = await self._probe_failure(server)
        if failure is None:
            return
        if not failure.refused and not await self._may_probe(server):
            return
        failure, others_respond = await asyncio.gather(
            self._probe_failure(server), self._other_servers_respond(server)
        )
        if failure is None or server.id not in self.fleet.servers:
            return
        if not others_respond:
            logger.warning(
                "server not marked down, as no other server responded either: {}",
                failure,
            )
            return
        if not failure.refused and self.ran_late_at >= started_at:
            logger.info(
                "server not marked down, as this process ran late during the check: {}",
                failure,
            )
            return
        self.fleet.set_health(
            server, down=True, reason=str(failure), ended=failure.refused
        )
        self.pool.close_idle(server.id)

    async def _may_probe(self, server: Server) -> bool:
        """Take a permit for a probe; those of plain servers send no request."""
        if not self.is_model_server(server):
            return True
        return await self.fleet.permits.take(server, PERMIT_PATIENCE_SECONDS)

    async def _probe_failure(self, server: Server) -> FetchFailed | Unreachable | None:
        """Probe a server and return the error, or None if it responded."""
        try:
            await self._probe(server)
        except (FetchFailed, Unreachable) as error:
            return error
        return None

    async def _other_servers_respond(self, suspect: Server) -> bool:
        """
        Probe other servers, to tell a failed server from a failed link of this entry.

        Servers in other data centres are preferred.

        Load pattern: the link of an entry is saturated or cut, and no server's response
        arrives. The entry must not tell its peers that the servers are down.

        :return: True if one responds, or if there is no other server to probe.
        """
        others = [
            server
            for server in self.fleet.servers.values()
            if self.fleet.is_up(server)
            and server.id not in self.checked_at
            and not self.fleet.pauses.is_paused(server)
            and not self.fleet.permits.needs(server)
        ]
        others.sort(key=lambda other: other.data_centre == suspect.data_centre)
        preferred = others[: max(CONFIRMING_SERVERS, len(others) // 2)]
        if not preferred:
            return True
        chosen = random.sample(preferred, min(CONFIRMING_SERVERS, len(preferred)))
        failures = await asyncio.gather(
            *(self._probe_failure(server) for server in chosen)
        )
        return None in failures

    async def _check_accepts_work(self, server: Server) -> None:
        # The server just said that it accepts no work, and for how long.
        if self.fleet.pauses.is_paused(server):
            return
        if not await self.fleet.permits.take(server, PERMIT_PATIENCE_SECONDS):
            return
        try:
            accepts_work = await self._accepts_work(server)
        except FetchFailed:
            await self._check(server)
            return
        if not accepts_work:
            reason = "server responds, but does not accept new work"
            self.fleet.set_health(server, down=True, refuses_work=True, reason=reason)

    async def _accepts_work(self, server: Server) -> bool:
        path = self.health_path(server)
        return await self.engines.accepts_work(server, path, PROBE_TIMEOUT_SECONDS)

    async def recheck_server(self, server: Server) -> None:
        """
        Probe a server that is down, and mark it up if it responds or accepts work.

        A silent server that refuses connections now has ended.

        :param server: a server with a health status in the fleet.
        """
        status = self.fleet.health[server.id]
        if status.refuses_work:
            await self._recheck_refusing(server, status)
            return
        if not await self._may_probe(server):
            return
        failure = await self._probe_failure(server)
        if failure is None:
            self.fleet.set_health(server, down=False, reason="server responds again")
        elif failure.refused and not status.ended:
            await self._check(server)

    async def _probe(self, server: Server) -> None:
        if not self.is_model_server(server):
            connection = await self.pool.connect(
                "", server.address, PROBE_TIMEOUT_SECONDS
            )
            connection.abandon()
            return
        report = await self.engines.report(server, PROBE_TIMEOUT_SECONDS)
        self.record_report(server, report)

    def record_report(
        self, server: Server, report: ServerReport, *, loaded: int = 0
    ) -> None:
        """
        Record a server's report in the fleet.

        Starts a check of each server that the reported requests are stalled on.

        :param server: the server that sent the report.
        :param report: its state.
        :param loaded: number of layers that occupy its memory, where that is more than
            it offers.
        """
        layer_report = LayerReport(
            incarnation=report.incarnation,
            layers=report.layers,
            sequence=report.sequence,
            busy=report.busy,
            reported_at=self.clock(),
            loaded=loaded,
        )
        generation_before = self.fleet.generation
        self.fleet.update_layers(server.id, layer_report)
        self.fleet.update_slowdown(
            server.id, server.incarnation, report.slowdown, self.clock()
        )
        if self.fleet.generation != generation_before:
            self.fleet.on_local_change()
        for stalled in report.stalled:
            other = self.fleet.by_address.get(stalled.address)
            if other is not None and other.id != server.id:
                self.check_server(other)

    async def _recheck_refusing(self, server: Server, status: HealthStatus) -> None:
        # A server may report itself as not ready long after it has recovered.
        if self.clock() - status.observed_at > REFUSAL_EXPIRY_SECONDS:
            self.fleet.set_health(
                server, down=False, reason="refusal of work expired; trying again"
            )
            return
        if not await self.fleet.permits.take(server, PERMIT_PATIENCE_SECONDS):
            return
        with contextlib.suppress(FetchFailed):
            if await self._accepts_work(server):
                self.fleet.set_health(
                    server, down=False, reason="server accepts work again"
                )

    def _start_task(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
