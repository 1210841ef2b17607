"""
Doctor.

Finds out which servers of a chain that fell silent do not answer.
"""

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

PROBE_TIMEOUT_SECONDS = 0.12  # 50 times the way to a server and back
CONFIRMING_SERVERS = 2  # other servers asked before a server is taken for down
MIN_CHECK_INTERVAL_SECONDS = 0.25  # between two examinations of a chain
REFUSAL_EXPIRY_SECONDS = (
    6.0  # after which one that says it takes no work is tried again
)
RECHECK_INTERVAL_SECONDS = 0.8  # between probes of a server that is down or slow
RECHECKS_PER_INTERVAL = 3  # of a server that is down, over all entries, in that time


class HealthChecker:
    """
    Examines servers on suspicion, and those that are down from time to time.

    :param fleet: gets the marks.
    :param engines: asks model servers.
    :param pool: connects to plain servers.
    :param is_model: tells whether a server is a model server.
    :param health_path: gives where a server says whether it takes work.
    :param entries: gives the number of entries, which share the work.
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
        self.checked_at: dict[str, float] = {}
        self.ran_late_at = float("-inf")  # when this process last ran late
        self.tasks: set[asyncio.Task] = set()

    def check_chain(self, chain: Chain) -> None:
        """
        Ask all servers of a chain whether they are there, soon after each other once.

        :param chain: one that fell silent.
        """
        key = chain.first_server.id
        now = self.clock()
        if now - self.checked_at.get(key, float("-inf")) < MIN_CHECK_INTERVAL_SECONDS:
            return
        self.checked_at[key] = now
        for part in chain.stages:
            self.checked_at[part.server.id] = now
        self._spawn(self._check_servers([part.server for part in chain.stages]))

    def check_server(self, server: Server) -> None:
        """
        Ask one server whether it is there.

        :param server: one that did not answer.
        """
        if self._is_due(server):
            self._spawn(self._check(server))

    def check_accepts_work(self, server: Server) -> None:
        """
        Ask a model server whether it takes work at all.

        Load pattern: servers are emptied one after the other, unannounced or while the
        store is away. Each refuses all new work for seconds, and every chain through
        it, while its reports look well.

        :param server: one that refused a request.
        """
        if self._is_due(server):
            self._spawn(self._check_accepts_work(server))

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
        """Probe the servers that are down or slow, for ever."""
        while True:
            await asyncio.sleep(RECHECK_INTERVAL_SECONDS)
            self.recheck_servers()

    def recheck_servers(self) -> None:
        """
        Probe servers that are down or slow, where no other entry is likely to.

        Load pattern: some servers are slow or gone for long, and many entries would
        each ask all of them all the time. One that finds a server well tells the rest.
        """
        share = RECHECKS_PER_INTERVAL / max(1, self.entry_count())
        for name, mark in list(self.fleet.health.items()):
            server = self.fleet.servers.get(name)
            if mark.down and server is not None and random.random() < share:
                self._spawn(self.recheck_server(server))
        now = self.clock()
        for name, note in list(self.fleet.slowdowns.items()):
            server = self.fleet.servers.get(name)
            if server is None or not self.fleet.is_slow(server):
                continue
            if now - note.observed_at >= RECHECK_INTERVAL_SECONDS / 2:
                self.check_server(server)
        cutoff = now - MIN_CHECK_INTERVAL_SECONDS
        for name in [n for n, at in self.checked_at.items() if at < cutoff]:
            del self.checked_at[name]

    async def _check_servers(self, servers: Iterable[Server]) -> None:
        await asyncio.gather(*(self._check(server) for server in servers))

    async def _check(self, server: Server) -> None:
        """
        Mark a server down if it does not answer while others do.

        Load pattern: a small entry takes a long configuration, or has all of its core
        used. Answers that came in time are read late, and its peers must not hear
        that every server is gone.
        """
        began = self.clock()
        if await self._probe_failure(server) is None:
            return
        failure, witnessed = await asyncio.gather(
            self._probe_failure(server), self._do_other_servers_answer(server)
        )
        if failure is None or server.id not in self.fleet.servers:
            return
        if not witnessed:
            logger.warning("{}, but no other server answers either", failure)
            return
        if not failure.refused and self.ran_late_at >= began:
            logger.info("{}, but this process ran late", failure)
            return
        self.fleet.set_health(
            server, down=True, reason=str(failure), ended=failure.refused
        )
        self.pool.close_idle(server.id)

    async def _probe_failure(self, server: Server) -> FetchFailed | Unreachable | None:
        """Probe a server; gives what went wrong, or None."""
        try:
            await self._probe(server)
        except (FetchFailed, Unreachable) as error:
            return error
        return None

    async def _do_other_servers_answer(self, suspect: Server) -> bool:
        """
        Tell whether other servers answer, so that the own link is not at fault.

        Load pattern: an entry behind a full or cut link hears from nobody. It must not
        tell its peers that the servers are gone.
        """
        others = [
            server
            for server in self.fleet.servers.values()
            if self.fleet.is_up(server) and server.id not in self.checked_at
        ]
        others.sort(key=lambda one: one.data_centre == suspect.data_centre)
        elsewhere = others[: max(CONFIRMING_SERVERS, len(others) // 2)]
        if not elsewhere:
            return True
        chosen = random.sample(elsewhere, min(CONFIRMING_SERVERS, len(elsewhere)))
        failures = await asyncio.gather(*(self._probe_failure(one) for one in chosen))
        return None in failures

    async def _check_accepts_work(self, server: Server) -> None:
        try:
            takes_work = await self._accepts_work(server)
        except FetchFailed:
            await self._check(server)
            return
        if not takes_work:
            reason = "it answers, but takes no work"
            self.fleet.set_health(server, down=True, refuses_work=True, reason=reason)

    async def _accepts_work(self, server: Server) -> bool:
        path = self.health_path(server)
        return await self.engines.accepts_work(server, path, PROBE_TIMEOUT_SECONDS)

    async def recheck_server(self, server: Server) -> None:
        """
        Ask a server that is down whether it is up again.

        :param server: with a mark.
        """
        mark = self.fleet.health[server.id]
        if mark.refuses_work:
            await self._recheck_refusing(server, mark)
        elif await self._probe_failure(server) is None:
            self.fleet.set_health(server, down=False, reason="it answers again")

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
        Take a report into what is believed of the fleet.

        :param server: that it came from.
        :param report: what it says.
        :param loaded: layers that take memory, where more than it offers.
        """
        held = LayerReport(
            incarnation=report.incarnation,
            layers=report.layers,
            sequence=report.sequence,
            busy=report.busy,
            reported_at=self.clock(),
            loaded=loaded,
        )
        before = self.fleet.generation
        self.fleet.update_layers(server.id, held)
        self.fleet.update_slowdown(
            server.id, server.incarnation, report.slowdown, self.clock()
        )
        if self.fleet.generation != before:
            self.fleet.on_local_change()
        for stalled in report.stalled:
            other = self.fleet.by_address.get(stalled.address)
            if other is not None and other.id != server.id:
                self.check_server(other)

    async def _recheck_refusing(self, server: Server, mark: HealthStatus) -> None:
        # What a server says of its health may be wrong for long.
        if self.clock() - mark.observed_at > REFUSAL_EXPIRY_SECONDS:
            self.fleet.set_health(server, down=False, reason="it may take work again")
            return
        with contextlib.suppress(FetchFailed):
            if await self._accepts_work(server):
                self.fleet.set_health(server, down=False, reason="it takes work again")

    def _spawn(self, work) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
