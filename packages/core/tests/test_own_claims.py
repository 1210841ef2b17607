"""Tests of claims in a store that comes back from a copy that is some seconds old."""

import asyncio
import itertools

import httpx
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from kumquatway_core import MAY_HAVE_RUN, NOT_RUN, RAN
from kumquatway_core.claims import (
    Answer,
    Claims,
    ClaimState,
    Finished,
    Granted,
    Refused,
    _rows,
)
from kumquatway_core.claims._own_claims import (
    MAX_REMEMBERED_BYTES,
    REMEMBERED_SECONDS,
    RESTORE_SECONDS,
)
from kumquatway_core.platform import (
    Change,
    Channel,
    GroupCommit,
    Key,
    Objects,
    Table,
    Unapplied,
)
from kumquatway_fakes import ObjectStore, TableService

ANSWER = Answer(status=200, body=b"seat 7")
KEYS = ("k1", "k2")
PROBE = Key(table="other", key="row")


def _channel(app) -> Channel:
    return Channel(
        addresses=("http://store",),
        make_transport=lambda: httpx.ASGITransport(app=app),
    )


class _Entry:
    """One entry with a client of its own, so that it learns of a generation itself."""

    def __init__(self, site: "_Site"):
        self.site = site
        self.table = Table(channel=_channel(site.service.app))
        self.group = GroupCommit(table=self.table, window=0.0)
        self.claims = Claims(
            table=self.table,
            objects=Objects(channel=_channel(site.objects.app)),
            clock=lambda: site.now,
            make_id=lambda: next(site.ids),
            group=self.group,
            monotonic=lambda: site.now,
        )
        site.run(self._start())

    async def _start(self) -> None:
        self.task = asyncio.create_task(self.group.run())

    def claim(self, key: str = "k1"):
        attempt = next(self.site.ids)
        return self.site.run(
            self.claims.claim(
                account="vinoteca",
                key=key,
                digest="d",
                upstream="desk-1",
                attempt=attempt,
            )
        )

    def complete(self, granted: Granted):
        return self.site.run(self.claims.complete(granted.claim, ANSWER))

    def poll(self) -> None:
        """Read the store, as each entry does every two seconds, and write again."""
        self.site.run(self.table.read((PROBE,)))
        self.site.run(self.claims.flush_pending_writes())
        self.site.run(self.claims.restore_forgotten())


class _Site:
    """The table service, and entries on one clock."""

    def __init__(self, entries: int = 2):
        self.now = 0.0
        self.ids = map(str, itertools.count())
        self.service = TableService()
        self.objects = ObjectStore()
        self.runner = asyncio.Runner()
        self.entries = [_Entry(self) for _ in range(entries)]

    def run(self, coroutine):
        return self.runner.run(coroutine)

    def row(self, key: str = "k1"):
        row = self.service.get(_rows.TABLE, _rows.row_key("vinoteca", key))
        return _rows.decode_row(row.value) if row else None

    def pass_restore_time(self) -> None:
        """Every entry polls the store a few times within the time."""
        for _ in range(3):
            for entry in self.entries:
                entry.poll()
            self.now += RESTORE_SECONDS / 4
        self.now += RESTORE_SECONDS / 4


class TestForgottenClaims:
    """Claims that the store acknowledged and lost."""

    def setup_method(self):
        self.site = _Site()
        self.a, self.b = self.site.entries
        self.before = self.site.service.take_snapshot()

    def teardown_method(self):
        self.site.runner.close()

    def test_a_forgotten_key_is_not_granted_again(self):
        granted = self.a.claim()
        assert isinstance(granted, Granted)
        self.site.service.restore(self.before)
        refused = self.b.claim()
        assert isinstance(refused, Refused)
        assert refused.verdict.ran is NOT_RUN
        assert refused.verdict.retry_after
        self.site.pass_restore_time()
        refused = self.b.claim()
        assert isinstance(refused, Refused)
        assert refused.verdict.ran is MAY_HAVE_RUN

    def test_a_forgotten_answer_is_written_again(self):
        self.a.complete(self.a.claim())
        self.site.service.restore(self.before)
        self.site.pass_restore_time()
        assert self.b.claim() == Finished(answer=ANSWER)

    def test_an_older_state_of_a_claim_is_replaced(self):
        granted = self.a.claim()
        claimed = self.site.service.take_snapshot()
        self.a.complete(granted)
        self.site.service.restore(claimed)
        assert self.site.row().state is ClaimState.CLAIMED
        self.site.pass_restore_time()
        assert self.site.row().state is ClaimState.FINISHED

    def test_a_grant_that_shows_the_new_generation_is_none(self):
        """The entry learns from the response to its claim that claims were lost."""
        self.b.poll()
        self.a.claim()
        self.site.service.restore(self.before)
        assert isinstance(self.b.claim(), Refused)
        self.site.pass_restore_time()
        self.site.pass_restore_time()
        assert self.site.row().attempt != ""
        refused = self.b.claim()
        assert isinstance(refused, Refused)
        assert refused.verdict.ran is MAY_HAVE_RUN

    def test_an_entry_that_starts_afterwards_waits_too(self):
        self.a.claim()
        self.site.service.restore(self.before)
        late = _Entry(self.site)
        self.site.entries.append(late)
        assert isinstance(late.claim(), Refused)
        self.site.pass_restore_time()
        refused = late.claim()
        assert refused.verdict.ran is MAY_HAVE_RUN

    def test_new_keys_are_granted_after_the_wait(self):
        self.a.claim()
        self.site.service.restore(self.before)
        self.site.pass_restore_time()
        assert isinstance(self.b.claim("k2"), Granted)

    def test_a_store_that_lost_nothing_is_not_waited_for(self):
        late = _Entry(self.site)
        assert isinstance(late.claim(), Granted)

    def test_a_request_that_did_not_run_frees_its_key(self):
        granted = self.a.claim()
        self.site.run(self.a.claims.abandon(granted.claim))
        self.site.service.restore(self.before)
        self.site.pass_restore_time()
        assert isinstance(self.b.claim(), Granted)

    def test_a_completion_with_a_revision_of_the_lost_generation_is_written(self):
        granted = self.a.claim()
        self.site.service.restore(self.before)
        self.a.poll()
        self.a.complete(granted)
        self.site.pass_restore_time()
        assert self.site.row().state is ClaimState.FINISHED

    def test_a_conflict_with_a_new_holder_is_reported_and_left(self):
        granted = self.a.claim()
        self.site.service.restore(self.before)
        self.b.claims.own_claims.may_grant = lambda: True
        self.b.claim()
        other = self.site.row()
        self.a.poll()
        self.a.complete(granted)
        self.site.pass_restore_time()
        self.a.poll()
        assert not self.a.claims.own_claims.to_restore
        assert self.site.row() == other

    def test_what_is_remembered_is_bounded(self):
        own = self.a.claims.own_claims
        row = self.a.claim().claim.row
        large = Answer(status=200, body=b"x" * 30_000)
        for number in range(1000):
            key = Key(table="claims", key=str(number))
            own.remember(key, _rows.ClaimRow(**{**_fields(row), "answer": large}))
        assert own.size <= MAX_REMEMBERED_BYTES
        self.site.now += REMEMBERED_SECONDS + 1
        own.remember(Key(table="claims", key="last"), row)
        assert len(own.rows) == 1


def _fields(row: _rows.ClaimRow) -> dict:
    return {name: getattr(row, name) for name in row.__struct_fields__}


class TestGroupCommit:
    """Changes that expect a revision of a generation that the store has left."""

    def test_they_are_not_sent(self):
        site = _Site(entries=1)
        [entry] = site.entries
        entry.claim()
        site.service.restore(site.service.take_snapshot())
        entry.poll()
        row = site.service.get(_rows.TABLE, _rows.row_key("vinoteca", "k1"))
        change = Change(
            key=Key(table=row.table, key=row.key),
            expected_revision=row.revision,
            value=b"other",
            generation=1,
        )
        assert isinstance(site.run(entry.group.submit(change)), Unapplied)
        assert site.service.get(row.table, row.key) == row
        site.runner.close()


class OlderStoreMachine(RuleBasedStateMachine):
    """Two entries that live, while the store goes back a few seconds repeatedly."""

    def __init__(self):
        super().__init__()
        self.site = _Site()
        self.snapshot = self.site.service.take_snapshot()
        self.granted: list[tuple[_Entry, str, Granted]] = []
        self.runs = dict.fromkeys(KEYS, 0)

    def teardown(self):
        self.site.runner.close()

    @rule(which=st.integers(0, 1), key=st.sampled_from(KEYS))
    def claim(self, which, key):
        entry = self.site.entries[which]
        result = entry.claim(key)
        if isinstance(result, Granted):
            self.granted.append((entry, key, result))
        elif isinstance(result, Finished) or result.verdict.ran is RAN:
            assert self.runs[key] == 1

    @rule(abandon=st.booleans())
    def dispatch(self, abandon):
        if not self.granted:
            return
        entry, key, granted = self.granted.pop(0)
        if abandon:
            self.site.run(entry.claims.abandon(granted.claim))
            return
        self.runs[key] += 1
        entry.complete(granted)

    @rule()
    def take_snapshot(self):
        self.snapshot = self.site.service.take_snapshot()

    @rule()
    def restore_store(self):
        self.site.service.restore(self.snapshot)

    @rule(which=st.integers(0, 1))
    def poll(self, which):
        self.site.entries[which].poll()

    @rule()
    def pass_restore_time(self):
        """Copies are seconds old, so that older ones are not used afterwards."""
        self.site.pass_restore_time()
        self.snapshot = self.site.service.take_snapshot()

    @invariant()
    def at_most_once(self):
        assert all(count <= 1 for count in self.runs.values())


TestOlderStoreMachine = OlderStoreMachine.TestCase
TestOlderStoreMachine.settings = settings(
    max_examples=60, stateful_step_count=25, deadline=None
)
