"""Tests of `GroupCommit`."""

import asyncio

import anyio
import httpx

from kumquatway_core.exceptions import PlatformUnavailable, ResponseLost
from kumquatway_core.platform import (
    ABSENT,
    Applied,
    Change,
    Channel,
    GroupCommit,
    Key,
    Raced,
    Table,
    Unapplied,
    Unknown,
)
from kumquatway_fakes import Faults, TableService


def make_change(key: str, value: bytes = b"v", expected: int = ABSENT) -> Change:
    return Change(key=Key(table="t", key=key), expected_revision=expected, value=value)


class TestGroupCommit:
    """Batches of changes and the outcome of each change."""

    def setup_method(self):
        self.service = TableService()
        channel = Channel(
            addresses=("http://store",),
            make_transport=lambda: httpx.ASGITransport(app=self.service.app),
        )
        self.group = GroupCommit(table=Table(channel=channel), window=0.0)
        self.runner = asyncio.Runner()

    def teardown_method(self):
        self.runner.close()

    def submit(self, *changes: Change) -> list:
        outcomes = [None] * len(changes)

        async def submit_one(index):
            outcomes[index] = await self.group.submit(changes[index])

        async def run():
            with anyio.fail_after(10):
                async with anyio.create_task_group() as running:
                    running.start_soon(self.group.run)
                    async with anyio.create_task_group() as tasks:
                        for index in range(len(changes)):
                            tasks.start_soon(submit_one, index)
                    running.cancel_scope.cancel()

        self.runner.run(run())
        return outcomes

    def test_many_changes_share_one_transaction(self):
        outcomes = self.submit(*(make_change(str(number)) for number in range(100)))
        assert all(isinstance(outcome, Applied) for outcome in outcomes)
        assert self.service.gate.counts["writes"] == 1

    def test_conflict_affects_only_its_own_row(self):
        self.submit(make_change("a", b"first"))
        raced, applied = self.submit(make_change("a", b"second"), make_change("b"))
        assert isinstance(raced, Raced)
        assert raced.row.value == b"first"
        assert isinstance(applied, Applied)

    def test_changes_of_one_row_are_committed_in_order(self):
        first, second = self.submit(
            make_change("a", b"first"), make_change("a", b"second")
        )
        assert isinstance(first, Applied)
        assert isinstance(second, Raced)

    def test_retry_after_lost_response_recognizes_own_write(self):
        self.service.gate.faults = Faults(lose_next=1)
        outcomes = self.submit(make_change("a"), make_change("b"))
        assert all(isinstance(outcome, Applied) for outcome in outcomes)
        row = self.service.get("t", "b")
        assert outcomes[1].revision == row.revision

    def test_lost_response_and_conflict_in_one_batch(self):
        self.submit(make_change("a", b"first"))
        self.service.gate.faults = Faults(lose_next=1)
        raced, applied = self.submit(make_change("a", b"second"), make_change("b"))
        assert isinstance(raced, Raced)
        assert isinstance(applied, Applied)

    def test_refused_change_is_unapplied(self):
        self.service.gate.faults = Faults(down=True)
        assert isinstance(self.submit(make_change("a"))[0], Unapplied)

    def test_outcome_is_unknown_after_all_responses_lost(self):
        self.service.gate.faults = Faults(late_next=9)
        assert isinstance(self.submit(make_change("a"))[0], Unknown)

    def test_outcome_is_unknown_if_retry_is_refused(self):
        errors = iter((ResponseLost("reset"), PlatformUnavailable("down")))

        async def commit(transaction, generation):
            raise next(errors)

        self.group.table.commit = commit
        assert isinstance(self.submit(make_change("a"))[0], Unknown)

    def test_outcome_is_unknown_if_conflict_cannot_be_read_after_lost_response(self):
        self.submit(make_change("a", b"first"))
        self.service.gate.faults = Faults(lose_next=1)

        async def read(keys):
            raise PlatformUnavailable("down")

        self.group.table.read = read
        unknown, applied = self.submit(make_change("a", b"second"), make_change("b"))
        assert isinstance(unknown, Unknown)
        assert isinstance(applied, Applied)

    def test_stopped_group_commit_settles_queued_changes(self):
        async def run():
            async with anyio.create_task_group() as tasks:
                with anyio.CancelScope() as scope:
                    tasks.start_soon(self.group.submit, make_change("a"))
                    await anyio.wait_all_tasks_blocked()
                    scope.cancel()
                    await self.group.run()

        self.runner.run(run())
        assert not self.group.queue

    def test_batch_size_is_limited_in_bytes(self):
        big = b"x" * 700_000
        self.submit(make_change("a", big), make_change("b", big))
        assert self.service.gate.counts["writes"] == 2
