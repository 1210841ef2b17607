"""Tests of the platform clients against fake services."""

import anyio
import httpx
import pytest

from kumquatway_core.exceptions import Conflict, PlatformUnavailable, ResponseLost
from kumquatway_core.platform import (
    ABSENT,
    VM,
    Channel,
    Expectation,
    Key,
    Objects,
    Put,
    Table,
    Transaction,
    VMList,
)
from kumquatway_core.platform._channel import MAX_POOL_AGE_SECONDS
from kumquatway_core.wire import VMState
from kumquatway_fakes import Faults, ObjectStore, TableService, VMListService

KEY = Key(table="t", key="a")


def channel_to(app, **options) -> Channel:
    return Channel(
        addresses=("http://store",),
        make_transport=lambda: httpx.ASGITransport(app=app),
        **options,
    )


def put_transaction(revision: int, value: bytes = b"v", key: str = "a") -> Transaction:
    return Transaction(
        expectations=(Expectation(table="t", key=key, revision=revision),),
        puts=(Put(table="t", key=key, value=value),),
    )


class TestTable:
    """Scans, transactions and the errors of failed calls."""

    def setup_method(self):
        self.service = TableService()
        self.table = Table(channel=channel_to(self.service.app, timeout=5.0))

    async def _scan_pages(self):
        for key in ("a", "b", "c"):
            await self.table.commit(put_transaction(ABSENT, key=key))
        first = await self.table.scan("t", limit=2)
        return first, await self.table.scan("t", after=first[-1].key)

    def test_scan_continues_after_last_key(self):
        first, second = anyio.run(self._scan_pages)
        assert [row.key for row in first + second] == ["a", "b", "c"]

    def test_conflict_reports_found_revisions_and_writes_nothing(self):
        revision = anyio.run(self.table.commit, put_transaction(ABSENT)).revisions[0]
        transaction = Transaction(
            expectations=put_transaction(ABSENT).expectations,
            puts=put_transaction(ABSENT, b"other").puts
            + put_transaction(ABSENT, key="b").puts,
        )
        with pytest.raises(Conflict) as error:
            anyio.run(self.table.commit, transaction)
        assert [found.revision for found in error.value.found] == [revision]
        assert self.service.get("t", "a").value == b"v"
        assert self.service.get("t", "b") is None

    def test_refused_call_writes_nothing(self):
        self.service.gate.faults = Faults(down=True)
        with pytest.raises(PlatformUnavailable):
            anyio.run(self.table.commit, put_transaction(ABSENT))
        assert self.service.get("t", "a") is None

    def test_lost_response_is_not_reported_as_refusal(self):
        self.service.gate.faults = Faults(lose_next=1)
        with pytest.raises(ResponseLost):
            anyio.run(self.table.commit, put_transaction(ABSENT))
        assert self.service.get("t", "a").value == b"v"

    def test_write_may_be_applied_after_its_response_was_lost(self):
        self.service.gate.faults = Faults(late_next=1)
        with pytest.raises(ResponseLost):
            anyio.run(self.table.commit, put_transaction(ABSENT))
        assert self.service.get("t", "a") is None
        self.service.gate.land()
        assert self.service.get("t", "a").value == b"v"

    def test_invalid_response_body_counts_as_lost_response(self):
        async def respond_with_invalid_body(scope, receive, send):
            await send({"type": "http.response.start", "status": 200, "headers": []})
            await send({"type": "http.response.body", "body": b"\xc1"})

        with pytest.raises(ResponseLost):
            anyio.run(
                Table(channel=channel_to(respond_with_invalid_body)).commit,
                put_transaction(ABSENT),
            )

    def test_503_of_a_proxy_counts_as_lost_response(self):
        async def proxy(scope, receive, send):
            await send({"type": "http.response.start", "status": 503, "headers": []})
            await send({"type": "http.response.body", "body": b"bad gateway"})

        with pytest.raises(ResponseLost):
            anyio.run(Table(channel=channel_to(proxy)).commit, put_transaction(ABSENT))


class TestChannel:
    """Connections that are refused, do not respond or are too old."""

    def test_call_after_timeout_uses_new_pool(self):
        service = TableService()
        service.gate.faults = Faults(lose_next=1, silent=True)
        channel = channel_to(service.app, timeout=0.05)
        table = Table(channel=channel)

        async def run():
            with pytest.raises(ResponseLost):
                await table.commit(put_transaction(ABSENT))
            assert channel.pool is None
            channel.timeout = 5.0
            return await table.read((KEY,))

        assert anyio.run(run)[0].value == b"v"

    def test_old_pool_is_replaced(self):
        now = 0.0
        channel = channel_to(TableService().app, clock=lambda: now)
        table = Table(channel=channel)

        async def run():
            nonlocal now
            await table.read((KEY,))
            first_pool = channel.pool
            await table.read((KEY,))
            assert channel.pool is first_pool
            now = MAX_POOL_AGE_SECONDS + 1
            await table.read((KEY,))
            assert channel.pool is not first_pool
            assert first_pool.client.is_closed

        anyio.run(run)

    def test_refused_connection_raises_unavailable_after_all_addresses(self):
        async def run():
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            await listener.aclose()
            address = f"http://127.0.0.1:{port}"
            channel = Channel(addresses=(address, address))
            with pytest.raises(PlatformUnavailable):
                await Table(channel=channel).commit(put_transaction(ABSENT))

        anyio.run(run)

    def test_call_without_response_ends_at_timeout(self):
        async def run():
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            address = (f"http://127.0.0.1:{port}",)
            channel = Channel(addresses=address, timeout=0.1)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, lambda stream: anyio.sleep_forever())
                with pytest.raises(ResponseLost):
                    await Table(channel=channel).commit(put_transaction(ABSENT))
                tasks.cancel_scope.cancel()

        anyio.run(run)


class TestObjects:
    """Reading, writing, listing and deleting objects."""

    def test_round_trip_retries_after_lost_response(self):
        store = ObjectStore()
        objects = Objects(channel=channel_to(store.app))

        async def run():
            store.gate.faults = Faults(lose_next=1)
            await objects.put("claims/a b", b"data")
            assert await objects.get("claims/a b") == b"data"
            assert await objects.list_names("claims/") == ("claims/a b",)
            await objects.delete("claims/a b")
            assert await objects.get("claims/a b") is None

        anyio.run(run)


class TestVMList:
    """Reading the VM list, which lags behind."""

    def test_change_appears_after_lag(self):
        now = 0.0
        service = VMListService(lag=5.0, clock=lambda: now)
        vms = VMList(channel=channel_to(service.app))
        service.put(VM(name="u1", address="127.0.0.1:1", data_centre="eupen"))
        now = 5.0
        service.leave("u1")
        listed = anyio.run(vms.read)
        assert listed.as_of == 5.0
        assert [vm.state for vm in listed.vms] == [VMState.LIVE]
        now = 10.0
        assert [vm.state for vm in anyio.run(vms.read).vms] == [VMState.LEAVING]
