"""Tests of what callers of plain services are told at the deadline."""

import asyncio

import pytest
from parallel_site import Site, turns
from virtual_time import run_in_virtual_time

from kumquatway_gateway.model import RouteKind, Server, Service
from kumquatway_gateway.relay._plain import PlainJob

REFUSAL = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"
SERVERS = ("p0", "p1")


def _site() -> Site:
    site = Site(timeout=0.2)
    site.fleet.update_servers(
        {
            name: Server(
                id=name,
                service="plain",
                address=f"{name}:80",
                data_centre="x",
                incarnation=1,
            )
            for name in SERVERS
        }
    )
    return site


@pytest.mark.parametrize("kind", [RouteKind.SAFE, RouteKind.UNSAFE])
class TestDeadlineOfARefusedRequest:
    """A server has refused a request as not run, and its deadline passes."""

    def _status(self, kind: RouteKind, *, is_reachable: bool) -> int:
        """Return what the caller is told, with the other server silent or dark."""

        async def scenario():
            site = _site()
            job = site.job(kind).job
            job.service = Service(name="plain", max_connections=100)
            router = site.relay.plain_router(job.service)
            task = asyncio.create_task(
                PlainJob(relay=site.relay, router=router, job=job).run()
            )
            await turns()
            [(address, connection)] = site.pool.opened
            if not is_reachable:
                site.pool.hang |= {f"{name}:80" for name in SERVERS} - {address}
            connection.data_received(REFUSAL)
            await asyncio.wait([task])
            assert len(job.sent_to) == 1 + is_reachable
            [(_, status, _)] = job.caller.log
            return status

        return run_in_virtual_time(scenario)

    def test_is_told_that_it_has_not_run(self, kind):
        """It was told that it may have run."""
        assert self._status(kind, is_reachable=False) == 503

    def test_is_told_that_it_may_have_run_if_a_server_has_it(self, kind):
        assert self._status(kind, is_reachable=True) == 504
