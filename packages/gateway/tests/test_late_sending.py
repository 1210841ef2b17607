"""Tests that no request is first sent after its deadline by a process that is late."""

import asyncio

import pytest
from parallel_site import Pool, Site, turns
from virtual_time import Clock, virtual_time

from kumquatway_gateway.model import RouteKind, Server, Service
from kumquatway_gateway.relay._plain import PlainJob

TIMEOUT_SECONDS = 2.0


class _SlowPool(Pool):
    """Opens connections once it may."""

    def __init__(self):
        super().__init__()
        self.may_open = asyncio.Event()

    async def connect(self, key, address, timeout=0.3):
        await self.may_open.wait()
        return await super().connect(key, address, timeout)


def _site() -> Site:
    site = Site(timeout=TIMEOUT_SECONDS)
    site.pool = site.relay.pool = _SlowPool()
    return site


def _stream(site: Site):
    stream = site.job()
    return stream, stream.job


def _plain(site: Site, kind: RouteKind):
    server = Server(
        id="p0", service="plain", address="p0:80", data_centre="x", incarnation=1
    )
    site.fleet.update_servers({server.id: server})
    job = site.job(kind).job
    job.service = Service(name="plain", max_connections=100)
    router = site.relay.plain_router(job.service)
    return PlainJob(relay=site.relay, router=router, job=job), job


KINDS = {
    "stream": _stream,
    "safe": lambda site: _plain(site, RouteKind.SAFE),
    "unsafe": lambda site: _plain(site, RouteKind.UNSAFE),
}


@pytest.mark.parametrize("create", KINDS.values(), ids=KINDS)
class TestConnectionThatOpensAsTheDeadlinePasses:
    """
    A request was sent to a server after its deadline had passed.

    Load pattern: a process with too little processor time finds in one iteration that a
    connection has opened, and that the time of the request that waits for it is up. The
    request was sent before it was cancelled.
    """

    def _play(self, create, seconds_late: float):
        """Open connections in an iteration so late; return the job."""

        async def scenario(clock: Clock):
            site = _site()
            server, job = create(site)
            task = asyncio.create_task(server.run())
            await turns()
            clock.advance(TIMEOUT_SECONDS + seconds_late)
            site.pool.may_open.set()
            await turns()
            sent_to = list(job.sent_to)
            task.cancel()
            await asyncio.wait([task])
            return sent_to, job.caller.log, site.pool.opened

        with virtual_time() as clock:
            return asyncio.run(scenario(clock))

    @pytest.mark.parametrize("seconds_late", [0.0, 0.9])
    def test_it_is_not_sent_and_its_caller_is_told_so(self, create, seconds_late):
        sent_to, log, opened = self._play(create, seconds_late)
        assert sent_to == []
        assert [entry[:2] for entry in log] == [("respond", 503)]
        assert all(connection.transport.aborted for _, connection in opened)

    def test_it_is_sent_before(self, create):
        sent_to, _, _ = self._play(create, -0.1)
        assert len(sent_to) == 1
