"""Tests of claims: single cases, and a state machine with several entries."""

import asyncio
import itertools

import anyio
import httpx
import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from kumquatway_core import MAY_HAVE_RUN, NOT_RUN, RAN, Reason
from kumquatway_core.claims import (
    RETENTION_SECONDS,
    AlreadyClaimed,
    Answer,
    Claims,
    ClaimState,
    ClaimSweeper,
    Finished,
    Granted,
    Refused,
    WriteResult,
    _claims,
    _rows,
    _sweep,
)
from kumquatway_core.exceptions import PlatformUnavailable
from kumquatway_core.leases import Lease
from kumquatway_core.platform import (
    Channel,
    GroupCommit,
    Objects,
    Put,
    Table,
    Transaction,
)
from kumquatway_fakes import Faults, ObjectStore, TableService

ANSWER = Answer(status=200, body=b"seat 7")
KEYS = ("k1", "k2")
ONE_IN_FOUR = st.sampled_from((False, False, False, True))


class _Platform:
    """The fake table service and object store, and entries that claim in them."""

    def __init__(self):
        self.now = 0.0
        self.ids = map(str, itertools.count())
        self.service = TableService()
        self.store = ObjectStore()
        self.table = Table(channel=self.channel(self.service.app))
        self.objects = Objects(channel=self.channel(self.store.app))

    def channel(self, app) -> Channel:
        return Channel(
            addresses=("http://store",),
            make_transport=lambda: httpx.ASGITransport(app=app),
        )

    def entry(self) -> Claims:
        return Claims(
            table=self.table,
            objects=self.objects,
            clock=lambda: self.now,
            make_id=lambda: next(self.ids),
            group=GroupCommit(table=self.table, window=0.0),
        )

    def row(self, key="k1"):
        row_key = _rows.row_key("vinoteca", key)
        row = self.service.get(_rows.TABLE, row_key)
        return _rows.decode_row(row.value) if row else None


def claim(entry: Claims, attempt: str, key="k1", digest="d"):
    return entry.claim(
        account="vinoteca", key=key, digest=digest, upstream="desk-1", attempt=attempt
    )


class TestClaims:
    """Which attempt may dispatch, and what later attempts get."""

    def setup_method(self):
        self.platform = _Platform()
        self.a = self.platform.entry()
        self.b = self.platform.entry()

    def run(self, scenario):
        async def main():
            with anyio.fail_after(30):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self.a.group.run)
                    tasks.start_soon(self.b.group.run)
                    await scenario()
                    tasks.cancel_scope.cancel()

        anyio.run(main)

    def set_faults(self, **faults):
        self.platform.service.gate.faults = Faults(**faults)

    def test_one_of_two_attempts_through_two_entries_is_granted(self):
        async def scenario():
            results = await asyncio.gather(claim(self.a, "1"), claim(self.b, "2"))
            assert sum(isinstance(result, Granted) for result in results) == 1
            refused = next(result for result in results if isinstance(result, Refused))
            assert refused.verdict.ran is MAY_HAVE_RUN
            assert refused.verdict.reason is Reason.IN_PROGRESS
            assert refused.holder.upstream == "desk-1"

        self.run(scenario)

    def test_a_completed_key_returns_the_stored_answer(self):
        async def scenario():
            granted = await claim(self.a, "1")
            assert await self.a.complete(granted.claim, ANSWER) is WriteResult.STORED
            assert await claim(self.b, "2") == Finished(answer=ANSWER)

        self.run(scenario)

    @pytest.mark.parametrize("state", ["claimed", "finished", "released"])
    def test_a_key_with_another_body_is_refused_in_every_state(self, state):
        async def scenario():
            granted = await claim(self.a, "1")
            if state == "finished":
                await self.a.complete(granted.claim, ANSWER)
            if state == "released":
                await self.a.abandon(granted.claim)
            refused = await claim(self.b, "2", digest="other")
            assert refused.verdict.ran is NOT_RUN
            assert refused.verdict.status() == 422

        self.run(scenario)

    def test_an_abandoned_key_can_be_claimed_again(self):
        async def scenario():
            granted = await claim(self.a, "1")
            assert await self.a.abandon(granted.claim) is WriteResult.STORED
            assert isinstance(await claim(self.b, "2"), Granted)

        self.run(scenario)

    def test_a_second_claim_of_an_attempt_does_not_release_the_first(self):
        async def scenario():
            await claim(self.a, "1")
            assert isinstance(await claim(self.a, "1"), AlreadyClaimed)
            self.set_faults(lose_next=9)
            assert isinstance(await claim(self.a, "1"), Refused)
            self.set_faults()
            assert await self.a.flush_pending_writes() == 0
            assert self.platform.row().state is ClaimState.CLAIMED

        self.run(scenario)

    def test_an_outage_refuses_and_says_not_run(self):
        async def scenario():
            self.set_faults(down=True)
            refused = await claim(self.a, "1")
            assert refused.verdict.ran is NOT_RUN
            assert refused.verdict.reason is Reason.STORE_DOWN
            assert refused.verdict.retry_after is not None
            assert not self.a.pending_writes

        self.run(scenario)

    def test_a_claim_with_a_lost_response_is_granted(self):
        async def scenario():
            self.set_faults(lose_next=1)
            assert isinstance(await claim(self.a, "1"), Granted)

        self.run(scenario)

    def test_a_claim_with_unknown_outcome_blocks_other_entries_until_released(self):
        async def scenario():
            self.set_faults(lose_next=9)
            refused = await claim(self.a, "1")
            assert refused.verdict.ran is NOT_RUN
            self.set_faults()
            assert (await claim(self.b, "2")).verdict.ran is MAY_HAVE_RUN
            assert await self.a.flush_pending_writes() == 0
            assert isinstance(await claim(self.b, "3"), Granted)

        self.run(scenario)

    def test_a_claim_with_unknown_outcome_is_taken_over_by_its_own_entry(self):
        async def scenario():
            self.set_faults(lose_next=9)
            await claim(self.a, "1")
            self.set_faults()
            assert isinstance(await claim(self.a, "2"), Granted)
            assert await self.a.flush_pending_writes() == 0
            assert self.platform.row().attempt == "2"

        self.run(scenario)

    def test_a_late_claim_fails_after_its_release(self):
        async def scenario():
            self.set_faults(late_next=9)
            await claim(self.a, "1")
            self.set_faults()
            await self.a.flush_pending_writes()
            self.platform.service.gate.land()
            assert isinstance(await claim(self.b, "2"), Granted)

        self.run(scenario)

    def test_a_cancelled_claim_is_released(self):
        async def scenario():
            with anyio.move_on_after(0) as scope:
                await claim(self.a, "1")
            assert scope.cancelled_caught
            await anyio.wait_all_tasks_blocked()
            assert await self.a.flush_pending_writes() == 0
            assert isinstance(await claim(self.b, "2"), Granted)

        self.run(scenario)

    def test_a_claim_that_is_cancelled_after_its_write_is_released(self):
        submit = self.a.group.submit

        async def scenario():
            with anyio.CancelScope() as scope:

                async def submit_then_cancel(change):
                    await submit(change)
                    scope.cancel()
                    await anyio.lowlevel.checkpoint()

                self.a.group.submit = submit_then_cancel
                await claim(self.a, "1")
            assert self.platform.row().state is ClaimState.CLAIMED
            self.a.group.submit = submit
            assert await self.a.flush_pending_writes() == 0
            assert isinstance(await claim(self.b, "2"), Granted)

        self.run(scenario)

    def test_a_claim_that_takes_too_long_is_released(self, monkeypatch):
        monkeypatch.setattr(_claims, "CLAIM_TIMEOUT_SECONDS", 0.0)

        async def scenario():
            refused = await claim(self.a, "1")
            assert refused.verdict.reason is Reason.STORE_DOWN
            assert self.a.pending_writes

        self.run(scenario)

    def test_a_completion_in_an_outage_is_stored_later(self):
        async def scenario():
            granted = await claim(self.a, "1")
            self.set_faults(down=True)
            assert await self.a.complete(granted.claim, ANSWER) is WriteResult.LATER
            assert await self.a.flush_pending_writes() == 1
            self.set_faults()
            assert await self.a.flush_pending_writes() == 0
            assert await claim(self.b, "2") == Finished(answer=ANSWER)

        self.run(scenario)

    def test_a_request_that_ran_is_not_taken_over_while_its_answer_is_pending(self):
        async def scenario():
            granted = await claim(self.a, "1")
            self.set_faults(down=True)
            await self.a.complete(granted.claim, ANSWER)
            self.set_faults()
            assert (await claim(self.a, "2")).verdict.ran is MAY_HAVE_RUN

        self.run(scenario)

    def test_a_large_answer_is_kept_in_the_object_store(self):
        large = Answer(status=200, body=b"x" * (_claims.MAX_INLINE_BYTES + 1))

        async def scenario():
            granted = await claim(self.a, "1")
            await self.a.complete(granted.claim, large)
            assert self.platform.row().answer is None
            assert await claim(self.b, "2") == Finished(answer=large)
            self.platform.store.gate.faults = Faults(down=True)
            refused = await claim(self.b, "3")
            assert refused.verdict.ran is RAN
            assert refused.verdict.reason is Reason.STORE_DOWN

        self.run(scenario)

    def test_a_request_whose_answer_was_not_stored_is_reported_as_ran(self):
        large = Answer(status=200, body=b"x" * (_claims.MAX_INLINE_BYTES + 1))

        async def scenario():
            granted = await claim(self.a, "1")
            self.platform.store.gate.faults = Faults(down=True)
            await self.a.complete(granted.claim, large)
            refused = await claim(self.b, "2")
            assert refused.verdict.ran is RAN
            assert refused.verdict.reason is Reason.ANSWER_GONE

        self.run(scenario)

    def test_claims_are_refused_while_too_many_writes_are_pending(self, monkeypatch):
        monkeypatch.setattr(_claims, "MAX_PENDING_WRITES", 1)

        async def scenario():
            self.set_faults(lose_next=9)
            await claim(self.a, "1")
            self.set_faults()
            refused = await claim(self.a, "2", key="k2")
            assert refused.verdict.reason is Reason.STORE_DOWN
            assert self.platform.row("k2") is None

        self.run(scenario)

    def test_an_unreadable_row_is_never_overwritten(self):
        async def scenario():
            row_key = _rows.row_key("vinoteca", "k1")
            put = Put(table=_rows.TABLE, key=row_key, value=b"\xc1")
            await self.platform.table.commit(Transaction(puts=(put,)))
            assert (await claim(self.a, "1")).verdict.ran is MAY_HAVE_RUN

        self.run(scenario)

    @pytest.mark.parametrize("data", [b"\xc1", b"\x91" * 5000])
    def test_an_unreadable_row_holds_up_no_pending_write_of_other_keys(self, data):
        async def scenario():
            self.set_faults(lose_next=9)
            await claim(self.a, "1")
            await claim(self.a, "2", key="k2")
            self.set_faults()
            unreadable = Put(
                table=_rows.TABLE, key=_rows.row_key("vinoteca", "k1"), value=data
            )
            await self.platform.table.commit(Transaction(puts=(unreadable,)))
            assert await self.a.flush_pending_writes() == 1
            assert self.platform.row("k2").state is ClaimState.RELEASED

        self.run(scenario)

    def test_a_stored_answer_that_arrives_cut_is_not_gone(self):
        large = Answer(status=200, body=b"x" * (_claims.MAX_INLINE_BYTES + 1))

        async def scenario():
            granted = await claim(self.a, "1")
            await self.a.complete(granted.claim, large)
            [(name, stored)] = self.platform.store.objects.items()
            self.platform.store.objects[name] = stored[:-1]
            refused = await claim(self.b, "2")
            assert refused.verdict.reason is Reason.STORE_DOWN
            assert refused.verdict.retry_after
            self.platform.store.objects[name] = stored
            assert (await claim(self.b, "3")).answer == large
            del self.platform.store.objects[name]
            assert (await claim(self.b, "4")).verdict.reason is Reason.ANSWER_GONE

        self.run(scenario)


class TestSweep:
    """Expired claims are deleted page by page."""

    def test_only_expired_claims_are_deleted_page_by_page(self, monkeypatch):
        monkeypatch.setattr(_sweep, "PAGE_ROWS", 2)
        platform = _Platform()
        entry = platform.entry()
        lease = Lease(table=platform.table, name="sweep", holder="a")
        sweep = ClaimSweeper(
            table=platform.table,
            objects=platform.objects,
            lease=lease,
            clock=lambda: platform.now,
        )

        async def main():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(entry.group.run)
                for number in range(3):
                    await claim(entry, f"old {number}", key=f"old {number}")
                platform.now = RETENTION_SECONDS
                await claim(entry, "young", key="young")
                tasks.cancel_scope.cancel()
            assert await sweep.sweep_page()
            while await sweep.sweep_page():
                pass
            assert platform.row("old 0") is not None
            platform.now += _sweep.MAX_CLOCK_SKEW_SECONDS + 1
            while await sweep.sweep_page():
                pass
            remaining = {key.key for key in platform.service.rows}
            assert remaining == {_rows.row_key("vinoteca", "young")}

        anyio.run(main)

    @pytest.mark.parametrize("hour", ["", "x", "\xb2", "9" * 5000])
    def test_an_object_without_an_hour_keeps_no_other_one(self, hour):
        platform = _Platform()
        lease = Lease(table=platform.table, name="sweep", holder="a")
        sweep = ClaimSweeper(
            table=platform.table,
            objects=platform.objects,
            lease=lease,
            clock=lambda: platform.now,
        )
        stray = f"{_rows.OBJECT_PREFIX}{hour}/k/t"
        expired = f"{_rows.OBJECT_PREFIX}{0:0{_rows.HOUR_DIGITS}}/k/t"
        platform.store.objects |= {stray: b"", expired: b""}
        platform.now = 2 * RETENTION_SECONDS
        anyio.run(sweep.sweep_page)
        assert list(platform.store.objects) == [stray]

    def test_an_answer_without_a_row_is_deleted_by_its_hour(self):
        platform = _Platform()
        entry = platform.entry()
        large = Answer(status=200, body=b"x" * (_claims.MAX_INLINE_BYTES + 1))
        lease = Lease(table=platform.table, name="sweep", holder="a")
        sweep = ClaimSweeper(
            table=platform.table,
            objects=platform.objects,
            lease=lease,
            clock=lambda: platform.now,
        )

        async def main():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(entry.group.run)
                granted = await claim(entry, "1")
                platform.service.gate.faults = Faults(down=True)
                assert await entry.complete(granted.claim, large) is WriteResult.LATER
                tasks.cancel_scope.cancel()
            platform.service.gate.faults = Faults()
            platform.now = RETENTION_SECONDS + _sweep.MAX_CLOCK_SKEW_SECONDS
            await sweep.sweep_page()
            assert len(platform.store.objects) == 1
            platform.now += _rows.HOUR_SECONDS + 1
            await sweep.sweep_page()
            assert not platform.store.objects

        anyio.run(main)

    def test_only_the_holder_of_the_lease_sweeps(self, monkeypatch):
        monkeypatch.setattr(_sweep, "PASS_INTERVAL_SECONDS", 0.0)
        platform = _Platform()
        sweeps = [
            ClaimSweeper(
                table=platform.table,
                objects=platform.objects,
                lease=Lease(table=platform.table, name="sweep", holder=holder),
                clock=lambda: platform.now,
            )
            for holder in ("a", "b")
        ]
        stepped = []

        def record(sweep):
            async def sweep_page():
                stepped.append(sweep.lease.holder)
                return False

            sweep.sweep_page = sweep_page

        async def main():
            with anyio.fail_after(10):
                async with anyio.create_task_group() as tasks:
                    for sweep in sweeps:
                        record(sweep)
                        tasks.start_soon(sweep.run)
                    while len(stepped) < 5:
                        await anyio.sleep(0)
                    tasks.cancel_scope.cancel()

        anyio.run(main)
        assert len(set(stepped)) == 1

    def test_a_sweeper_continues_after_an_outage(self, monkeypatch):
        monkeypatch.setattr(_sweep, "PASS_INTERVAL_SECONDS", 0.0)
        platform = _Platform()
        lease = Lease(table=platform.table, name="sweep", holder="a")
        sweep = ClaimSweeper(
            table=platform.table, objects=platform.objects, lease=lease
        )

        errors = iter((PlatformUnavailable("down"),))
        stepped = anyio.Event()

        async def sweep_page():
            for error in errors:
                raise error
            stepped.set()

        async def main():
            sweep.sweep_page = sweep_page
            with anyio.fail_after(10):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(sweep.run)
                    await stepped.wait()
                    tasks.cancel_scope.cancel()

        anyio.run(main)


class ClaimsMachine(RuleBasedStateMachine):
    """Three entries that claim, dispatch, crash and are paused at any point."""

    def __init__(self):
        super().__init__()
        self.platform = _Platform()
        self.runner = asyncio.Runner()
        self.tasks: list[asyncio.Task] = []
        self.entries = [self.start() for _ in range(3)]
        self.attempts = itertools.count()
        self.granted: list[tuple[int, str, Granted]] = []
        self.runs = dict.fromkeys(KEYS, 0)
        self.done: dict[str, Answer] = {}

    def start(self) -> Claims:
        entry = self.platform.entry()

        async def spawn():
            self.tasks.append(asyncio.create_task(entry.group.run()))

        self.runner.run(spawn())
        return entry

    def teardown(self):
        self.runner.close()

    def check_result(self, which, key, result):
        if isinstance(result, Granted):
            assert self.runs[key] == 0
            self.granted.append((which, key, result))
        elif isinstance(result, Finished):
            assert result.answer == self.done[key]
        else:
            assert isinstance(result, Refused)
            assert result.verdict.ran is not RAN or self.runs[key] == 1

    @rule(which=st.integers(0, 2), key=st.sampled_from(KEYS))
    def claim(self, which, key):
        attempt = str(next(self.attempts))
        result = self.runner.run(claim(self.entries[which], attempt, key))
        self.check_result(which, key, result)

    @rule(key=st.sampled_from(KEYS))
    def claim_concurrently(self, key):
        async def claim_all():
            return await asyncio.gather(
                *(claim(entry, str(next(self.attempts)), key) for entry in self.entries)
            )

        for which, result in enumerate(self.runner.run(claim_all())):
            self.check_result(which, key, result)

    @rule(which=st.integers(0, 2), key=st.sampled_from(KEYS), turns=st.integers(0, 12))
    def cancel_a_claim(self, which, key, turns):
        async def cancelled():
            attempt = str(next(self.attempts))
            task = asyncio.create_task(claim(self.entries[which], attempt, key))
            for _ in range(turns):
                await asyncio.sleep(0)
            task.cancel()
            return (await asyncio.gather(task, return_exceptions=True))[0]

        result = self.runner.run(cancelled())
        if not isinstance(result, asyncio.CancelledError):
            self.check_result(which, key, result)

    @rule(data=st.data(), complete=st.booleans())
    def dispatch(self, data, complete):
        """A granted attempt runs, possibly late or after its entry was replaced."""
        if not self.granted:
            return
        which, key, granted = self.granted.pop(
            data.draw(st.integers(0, len(self.granted) - 1))
        )
        self.runs[key] += 1
        if complete:
            answer = Answer(status=200, body=granted.claim.row.attempt.encode())
            self.done[key] = answer
            self.runner.run(self.entries[which].complete(granted.claim, answer))

    @rule()
    def abandon(self):
        if self.granted:
            which, _, granted = self.granted.pop()
            self.runner.run(self.entries[which].abandon(granted.claim))

    @rule(which=st.integers(0, 2))
    def flush_pending_writes(self, which):
        self.runner.run(self.entries[which].flush_pending_writes())

    @rule(which=st.integers(0, 2))
    def replace_entry(self, which):
        self.entries[which] = self.start()

    @rule(
        lost=st.integers(0, 4),
        late=st.integers(0, 4),
        down=ONE_IN_FOUR,
    )
    def set_faults(self, lost, late, down):
        self.platform.service.gate.faults = Faults(
            down=down, lose_next=lost, late_next=late
        )

    @rule()
    def apply_late_writes(self):
        self.platform.service.gate.land()

    @invariant()
    def at_most_one_run(self):
        for key in KEYS:
            granted = sum(key == other for _, other, _ in self.granted)
            assert self.runs[key] + granted <= 1


TestClaimsMachine = ClaimsMachine.TestCase
TestClaimsMachine.settings = settings(
    max_examples=60, stateful_step_count=25, derandomize=True, deadline=None
)
