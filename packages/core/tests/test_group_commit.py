"""Tests of the group commit."""

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


def change(key: str, value: bytes = b"v", expected: int = ABSENT) -> Change:
    return Change(key=Key(table="t", key=key), expected_revision=expected, value=value)


class TestGroupCommit:
    """Many rows in one transaction, and what became of each."""

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

        async def one(index):
            outcomes[index] = await self.group.submit(changes[index])

        async def run():
            with anyio.fail_after(10):
                async with anyio.create_task_group() as running:
                    running.start_soon(self.group.run)
                    async with anyio.create_task_group() as tasks:
                        for index in range(len(changes)):
                            tasks.start_soon(one, index)
                    running.cancel_scope.cancel()

        self.runner.run(run())
        return outcomes

    def test_many_changes_share_a_transaction(self):
        outcomes = self.submit(*(change(str(number)) for number in range(100)))
        assert all(isinstance(outcome, Applied) for outcome in outcomes)
        assert self.service.gate.counts["writes"] == 1

    def test_a_conflict_takes_only_its_own_row_out(self):
        self.submit(change("a", b"first"))
        raced, applied = self.submit(change("a", b"second"), change("b"))
        assert isinstance(raced, Raced)
        assert raced.row.value == b"first"
        assert isinstance(applied, Applied)

    def test_two_changes_of_one_row_go_one_after_the_other(self):
        first, second = self.submit(change("a", b"first"), change("a", b"second"))
        assert isinstance(first, Applied)
        assert isinstance(second, Raced)

    def test_a_lost_answer_is_resolved_by_the_change_meeting_itself(self):
        self.service.gate.faults = Faults(lose_next=1)
        outcomes = self.submit(change("a"), change("b"))
        assert all(isinstance(outcome, Applied) for outcome in outcomes)
        row = self.service.get("t", "b")
        assert outcomes[1].revision == row.revision

    def test_a_lost_answer_beside_a_conflict_keeps_them_apart(self):
        self.submit(change("a", b"first"))
        self.service.gate.faults = Faults(lose_next=1)
        raced, applied = self.submit(change("a", b"second"), change("b"))
        assert isinstance(raced, Raced)
        assert isinstance(applied, Applied)

    def test_a_refusal_is_certain(self):
        self.service.gate.faults = Faults(down=True)
        assert isinstance(self.submit(change("a"))[0], Unapplied)

    def test_answers_lost_again_and_again_leave_a_doubt(self):
        self.service.gate.faults = Faults(late_next=9)
        assert isinstance(self.submit(change("a"))[0], Unknown)

    def test_a_refusal_after_a_lost_answer_leaves_a_doubt(self):
        errors = iter((ResponseLost("reset"), PlatformUnavailable("down")))

        async def commit(transaction):
            raise next(errors)

        self.group.table.commit = commit
        assert isinstance(self.submit(change("a"))[0], Unknown)

    def test_a_conflict_that_cannot_be_read_after_a_lost_answer_is_a_doubt(self):
        self.submit(change("a", b"first"))
        self.service.gate.faults = Faults(lose_next=1)

        async def read(keys):
            raise PlatformUnavailable("down")

        self.group.table.read = read
        unknown, applied = self.submit(change("a", b"second"), change("b"))
        assert isinstance(unknown, Unknown)
        assert isinstance(applied, Applied)

    def test_a_stopped_group_commit_leaves_nobody_waiting(self):
        async def run():
            async with anyio.create_task_group() as tasks:
                with anyio.CancelScope() as scope:
                    tasks.start_soon(self.group.submit, change("a"))
                    await anyio.wait_all_tasks_blocked()
                    scope.cancel()
                    await self.group.run()

        self.runner.run(run())
        assert not self.group.queue

    def test_a_batch_is_bounded_in_bytes(self):
        big = b"x" * 700_000
        self.submit(change("a", big), change("b", big))
        assert self.service.gate.counts["writes"] == 2
