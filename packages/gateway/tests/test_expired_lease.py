"""Tests that no order is sent under a lease that ran out before it."""

import asyncio
from types import SimpleNamespace

import pytest
from engines import layer_range, server

from kumquatway_fakes import free_address
from kumquatway_gateway.duties import Placer
from kumquatway_gateway.duties._placer import _PendingOrder
from kumquatway_gateway.fleet import Fleet
from kumquatway_gateway.http1 import ConnectionPool, Fetcher, FetchFailed, Listener
from kumquatway_gateway.model import LayerReport, Limits
from kumquatway_gateway.placement import Purpose
from kumquatway_gateway.relay import OrderOutcome

FENCING_NUMBER = 7


class _Lease:
    """A lease that runs out when the test says so."""

    def __init__(self):
        self.held = True

    def fencing_number_if_held(self, margin: float) -> int | None:
        return FENCING_NUMBER if self.held else None


class _Engines:
    """A server that answers no order; the lease runs out meanwhile."""

    def __init__(self, lease: _Lease):
        self.lease = lease
        self.sent = 0

    async def order_layers(self, server, layers, *, fence, sequence, is_permitted):
        if not is_permitted():
            return OrderOutcome.WITHDRAWN
        self.sent += 1
        self.lease.held = False
        return OrderOutcome.UNKNOWN

    async def report(self, server, timeout):
        return SimpleNamespace(
            incarnation=0,
            layers=layer_range(0, 0),
            sequence=0,
            busy=False,
            slowdown=1.0,
        )


def _report(fleet: Fleet) -> LayerReport:
    """Return the report of a server that has begun no order."""
    return LayerReport(
        incarnation=0,
        layers=layer_range(0, 0),
        sequence=0,
        busy=False,
        reported_at=fleet.clock(),
    )


def _placer(lease: _Lease, engines: _Engines, fleet: Fleet) -> Placer:
    health = SimpleNamespace(
        check_server=lambda server: None,
        record_report=lambda server, report, loaded=0: fleet.update_layers(
            server.id, _report(fleet)
        ),
    )
    return Placer(
        lease=lease,
        engines=engines,
        fleet=fleet,
        health_checker=health,
        routers=list,
        notify_peers=lambda: None,
        is_held_by_peer=lambda: False,
        fenced=False,
        emit=lambda event: None,
    )


class TestLeaseThatRunsOut:
    """The process is paused, or a server is silent, between two copies of an order."""

    def test_no_further_copy_is_sent(self):
        lease = _Lease()
        engines = _Engines(lease)
        fleet = Fleet()
        target = server("s1", "a", "big", layer_range(0, 0))
        fleet.update_servers({"s1": target})
        placer = _placer(lease, engines, fleet)
        placer.pending["s1"] = _PendingOrder(
            service=target.service,
            incarnation=target.incarnation,
            layers=layer_range(0, 4),
            sequence=0,
            layers_to_load=4,
            purpose=Purpose.GAP,
            due=0.0,
            lost_at=0.0,
        )
        asyncio.run(placer._carry_out(target))
        assert engines.sent == 1
        assert placer.pending == {}


class _ExpiredLease:
    """A lease that expired, and of which no other holder was read."""

    duration = 3.0

    def fencing_number_if_held(self, margin: float) -> int | None:
        return None

    def uncontested_fencing_number(self) -> int | None:
        return FENCING_NUMBER

    async def acquire_or_renew(self) -> bool:
        return False

    def is_held(self) -> bool:
        return False


class TestEntryThatHeldTheLease:
    """It went on as the store's outage had ended for all others, and two ordered."""

    def setup_method(self):
        self.now = 100.0
        self.lease = _ExpiredLease()
        self.placer = _placer(self.lease, None, Fleet())
        self.placer.fenced = True
        self.placer.clock = lambda: self.now

    def _ask_the_store(self) -> None:
        async def ask():
            task = asyncio.create_task(self.placer.maintain_lease())
            await asyncio.sleep(0)
            task.cancel()

        asyncio.run(ask())

    def test_it_goes_on_while_the_store_is_away(self):
        self._ask_the_store()
        assert self.placer._fencing_number() == FENCING_NUMBER

    def test_it_orders_nothing_while_a_peer_holds_the_lease(self):
        self._ask_the_store()
        self.placer.is_held_by_peer = lambda: True
        assert self.placer._fencing_number() is None
        self.placer.is_held_by_peer = lambda: False
        assert self.placer._fencing_number() == FENCING_NUMBER

    def test_it_asks_the_store_first_after_it_was_held_up(self):
        self._ask_the_store()
        self.now += 5.0
        assert self.placer._fencing_number() is None
        self._ask_the_store()
        assert self.placer._fencing_number() == FENCING_NUMBER

    def test_it_does_not_tell_peers_that_it_holds_the_lease(self):
        """They would not ask the store for it."""
        self.placer.holds_lease = True
        assert not self.placer.has_duty()


class TestFetch:
    """A call that is permitted at first, and no longer once it is connected."""

    def test_sends_nothing(self):
        async def scenario():
            received = []

            async def serve(caller, incoming):
                received.append(incoming)
                caller.respond(200, [], b"", keep_alive=True)

            listener = Listener(limits=Limits, serve=serve)
            address = free_address()
            await listener.start(address)
            pool = ConnectionPool()
            fetcher = Fetcher(pool=pool)
            with pytest.raises(FetchFailed) as raised:
                await fetcher.fetch(
                    address, "POST", "/order", is_permitted=lambda: False
                )
            assert not raised.value.sent
            await fetcher.fetch(address, "GET", "/after")
            assert [incoming.target for incoming in received] == ["/after"]
            pool.close()
            listener.close()

        asyncio.run(scenario())
