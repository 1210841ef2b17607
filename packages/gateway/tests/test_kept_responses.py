"""Tests that failed responses stay within memory while other servers are asked."""

import asyncio
import tracemalloc

import pytest
from parallel_site import Site, turns, until
from virtual_time import run_in_virtual_time

from kumquatway_core.memory import MemoryBudget
from kumquatway_gateway.model import RouteKind, Server, Service
from kumquatway_gateway.relay._plain import PlainJob

BODY = bytes(800_000)
ERROR = b"HTTP/1.1 500 Error\r\nContent-Length: %d\r\n\r\n" % len(BODY) + BODY
REQUESTS = 8
MAX_BYTES = 3 * len(BODY)


def _site() -> Site:
    site = Site(timeout=3.0, slots=1000)
    site.fleet.update_servers(
        site.fleet.servers
        | {
            name: Server(
                id=name,
                service="plain",
                address=f"{name}:80",
                data_centre="x",
                incarnation=1,
            )
            for name in ("p0", "p1")
        }
    )
    site.pool.memory = MemoryBudget(max_bytes=MAX_BYTES)
    return site


def _plain_job(site: Site) -> PlainJob:
    job = site.job(RouteKind.SAFE).job
    job.service = Service(name="plain", max_connections=100)
    router = site.relay.plain_router(job.service)
    return PlainJob(relay=site.relay, router=router, job=job)


@pytest.mark.parametrize("make_job", [Site.job, _plain_job], ids=["stream", "plain"])
class TestErrorsOfServersBesideSilentOnes:
    """Complete errors counted nowhere while the next server was silent."""

    async def _play(self, site: Site, make_job) -> tuple[list, int]:
        """Return jobs at their second server, their tasks, and the memory taken."""
        playing = []
        opened = site.pool.opened
        tracemalloc.start()
        try:
            for _ in range(REQUESTS):
                job = make_job(site)
                playing.append((job, asyncio.create_task(job.run())))
            await until(lambda: len(opened) == REQUESTS)
            await turns()
            for number in range(REQUESTS):
                opened[number][1].data_received(ERROR)
                await turns()
            await until(lambda: len(opened) == 2 * REQUESTS)
            await turns()
            kept, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        return playing, kept

    def test_are_bounded_together(self, make_job):
        async def scenario():
            site = _site()
            playing, kept = await self._play(site, make_job)
            assert site.pool.memory.held == MAX_BYTES
            assert kept < MAX_BYTES + len(BODY)
            await asyncio.gather(*(task for _, task in playing))
            assert site.pool.memory.held == 0

        run_in_virtual_time(scenario)

    def test_are_relayed_unless_they_were_dropped(self, make_job):
        async def scenario():
            site = _site()
            playing, _ = await self._play(site, make_job)
            for _, connection in site.pool.opened:
                connection.connection_lost(ConnectionResetError())
            await asyncio.gather(*(task for _, task in playing))
            ends = [getattr(job, "job", job).caller.log[-1] for job, _ in playing]
            assert [end[0] for end in ends] == ["respond"] * REQUESTS
            relayed = [body for _, status, body in ends if status == 500]
            assert [bytes(body) for body in relayed] == [BODY] * 3
            told = {status for _, status, _ in ends} - {500}
            assert told <= {502, 504}

        run_in_virtual_time(scenario)
