"""Tests of the configuration of entries that share a store and tell each other."""

import hashlib
import threading

import anyio
import httpx
import pytest

from kumquatway._demo import Deployment, Layout
from kumquatway._entry import Entry
from kumquatway.configuration import Configuration, Parser, _parser
from kumquatway_core.exceptions import PlatformUnavailable, ResponseLost
from kumquatway_core.platform import Channel, Table
from kumquatway_core.revisions import Accepted, InDoubt, NotStored, RacedEdit, Revisions
from kumquatway_core.settings import EntrySettings
from kumquatway_core.wire import RevisionCopy, RevisionSeen
from kumquatway_fakes import Faults, TableService, free_address

WAIT = 20  # seconds
KEY = "test-key"
DIGEST = hashlib.sha256(KEY.encode()).hexdigest()
SOURCE = f"""
name = "test"
[services.desk]
[accounts.guests]
keys = ["{DIGEST}"]
"""

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


def named(name: str) -> str:
    return f'name = "{name}"\n'


class Entries:
    """Configurations of some entries, whose messages arrive at once."""

    def __init__(self, count):
        self.service = TableService()
        self.events = []
        self.cut_off = set()
        self.by_address = {}
        for index in range(count):
            self.by_address[str(index)] = self._make(str(index))

    def _make(self, address):
        channel = Channel(
            addresses=("http://store",),
            make_transport=lambda: httpx.ASGITransport(app=self.service.app),
        )
        parser = Parser()
        return Configuration(
            revisions=Revisions(table=Table(channel=channel), validate=parser.check),
            parser=parser,
            address=address,
            peers=lambda: sorted(self.by_address.keys() - {address}),
            send=lambda to, message: self._send(address, to, message),
            emit=self.events.append,
        )

    def _send(self, sender, to, message):
        if not self.cut_off & {sender, to}:
            peer = self.by_address[to]
            handlers = {RevisionSeen: peer.take_seen, RevisionCopy: peer.take_copy}
            handlers[type(message)](message)

    async def run(self, use):
        """Run the entries without their polls of the store."""
        async with anyio.create_task_group() as group:
            for entry in self.by_address.values():
                group.start_soon(entry.take_copies)
                group.start_soon(entry.resolve_doubts, 0.01)
            await use(*self.by_address.values())
            group.cancel_scope.cancel()

    def names(self):
        texts = [entry.text for entry in self.by_address.values()]
        return [text.name if text else "" for text in texts]

    async def until(self, *names):
        with anyio.fail_after(WAIT):
            while self.names() != list(names):
                await anyio.sleep(0.005)


class TestEntries:
    """What two and three entries make of edits."""

    async def test_an_edit_is_in_force_on_all_without_a_poll(self):
        entries = Entries(3)

        async def use(one, two, three):
            await one.propose(named("a"), 0, "ana")
            await entries.until("a", "a", "a")
            await three.propose(named("b"), 1, "bob")
            await entries.until("b", "b", "b")
            assert [event.source for event in entries.events].count("peer") == 4

        await entries.run(use)

    async def test_of_racing_operators_one_wins(self):
        entries = Entries(2)

        async def use(one, two):
            edits = []

            async def edit(entry, name):
                edits.append(await entry.propose(named(name), 0, name))

            async with anyio.create_task_group() as group:
                group.start_soon(edit, one, "a")
                group.start_soon(edit, two, "b")
            (won,) = [edit for edit in edits if isinstance(edit, Accepted)]
            (lost,) = [edit for edit in edits if isinstance(edit, RacedEdit)]
            assert (lost.expected, lost.found) == (0, 1)
            name = won.revision.head.author
            await entries.until(name, name)
            (record,) = await one.revisions.audit()
            assert record.head.author == name

        await entries.run(use)

    async def test_a_lost_answer_is_an_accepted_edit(self):
        entries = Entries(2)

        async def use(one, two):
            entries.service.gate.faults = Faults(lose_next=1)
            assert isinstance(await one.propose(named("a"), 0, "ana"), Accepted)
            await entries.until("a", "a")
            assert len(await two.revisions.audit()) == 1

        await entries.run(use)

    @pytest.mark.parametrize("landed", [True, False])
    async def test_an_edit_in_doubt_is_resolved_once_the_store_is_back(self, landed):
        entries = Entries(2)

        async def use(one, two):
            commit = one.revisions.table.commit
            outage = anyio.Event()

            async def fail(transaction, generation):
                if not outage.is_set():
                    outage.set()
                    if landed:
                        await commit(transaction)
                    entries.service.gate.faults = Faults(down=True)
                    raise ResponseLost("reset")
                if entries.service.gate.faults.down:
                    raise PlatformUnavailable("down")
                return await commit(transaction)

            one.revisions.table.commit = fail
            assert isinstance(await one.propose(named("a"), 0, "ana"), InDoubt)
            assert entries.names() == ["", ""]
            entries.service.gate.faults = Faults()
            await entries.until("a", "a")
            assert not one.doubts
            assert len(await two.revisions.audit()) == 1

        await entries.run(use)

    async def test_an_edit_in_doubt_that_lost_a_race_is_dropped(self):
        entries = Entries(2)

        async def use(one, two):
            commit = one.revisions.table.commit

            async def fail(transaction, generation):
                raise errors.pop() if errors else PlatformUnavailable("down")

            errors = [ResponseLost("reset")]
            one.revisions.table.commit = fail
            entries.cut_off = {"0"}
            assert isinstance(await one.propose(named("a"), 0, "ana"), InDoubt)
            assert isinstance(await two.propose(named("b"), 0, "bob"), Accepted)
            assert one.doubts
            one.revisions.table.commit = commit
            entries.cut_off = set()
            with anyio.fail_after(WAIT):
                while one.doubts:
                    await anyio.sleep(0.005)
            one.tell_peers()
            await entries.until("b", "b")

        await entries.run(use)

    async def test_an_outage_leaves_the_last_revision_and_takes_no_edit(self):
        entries = Entries(2)

        async def use(one, two):
            entries.service.gate.faults = Faults(down=True)
            assert isinstance(await one.propose(named("a"), 0, "ana"), NotStored)
            entries.service.gate.faults = Faults()
            await one.propose(named("a"), 0, "ana")
            await entries.until("a", "a")
            entries.service.gate.faults = Faults(down=True)
            assert isinstance(await two.propose(named("b"), 1, "bob"), NotStored)
            await two.replica.poll(two.revisions)
            assert entries.names() == ["a", "a"]
            entries.service.gate.faults = Faults()
            assert isinstance(await two.propose(named("b"), 1, "bob"), Accepted)
            await entries.until("b", "b")

        await entries.run(use)

    async def test_the_store_goes_down_right_after_acceptance(self):
        entries = Entries(3)

        async def use(one, two, three):
            entries.cut_off = {"2"}
            await one.propose(named("a"), 0, "ana")
            entries.service.gate.faults = Faults(down=True)
            await entries.until("a", "a", "")
            entries.cut_off = set()
            three.tell_peers()
            await entries.until("a", "a", "a")

        await entries.run(use)

    async def test_a_revision_never_goes_back(self):
        entries = Entries(2)

        async def use(one, two):
            await one.propose(named("a"), 0, "ana")
            old = one.replica.current
            await one.propose(named("b"), 1, "ana")
            await entries.until("b", "b")
            await two._offer(old, "peer")
            two.take_seen(RevisionSeen(address="0", number=1))
            two.take_copy(RevisionCopy(number=9, data=b"broken"))
            await two.replica.poll(two.revisions)
            assert (two.number(), two.text.name) == (2, "b")
            numbers = [event.revision for event in entries.events]
            assert sorted(numbers) == [1, 1, 2, 2] and numbers[-1] == 2

        await entries.run(use)

    async def test_a_text_is_parsed_once_on_each_entry_and_off_the_loop(
        self, monkeypatch
    ):
        threads = []

        def parse(source, name):
            threads.append(threading.get_ident())
            return real(source, name)

        real = _parser.parse
        monkeypatch.setattr(_parser, "parse", parse)
        entries = Entries(2)

        async def use(one, two):
            await one.propose(named("a"), 0, "ana")
            await entries.until("a", "a")

        await entries.run(use)
        assert len(threads) == 2
        assert threading.get_ident() not in threads


class TestBornInAnOutage:
    """An entry that starts while the store does not answer."""

    async def test_it_takes_the_text_from_a_seed_and_serves(self):
        layout = Layout(entries=1, pipelines=(), services={"desk": 1}, admin_key=DIGEST)
        deployment = Deployment(source=SOURCE, layout=layout)
        async with anyio.create_task_group() as group:
            await group.start(deployment.run)
            deployment.table.gate.faults = Faults(down=True)
            settings = EntrySettings(
                name="late",
                data_centre="local",
                mesh_address=free_address(),
                caller_address=free_address(),
                admin_address=free_address(),
                platform=deployment.platform,
                admin_keys=(DIGEST,),
                seeds=(deployment.entries[0].settings.mesh_address,),
            )
            await group.start(Entry(settings=settings).run)
            with anyio.fail_after(WAIT):
                while await self.status(settings.caller_address) != 200:
                    await anyio.sleep(0.05)
            group.cancel_scope.cancel()

    async def status(self, address) -> int:
        headers = {"Authorization": f"Bearer {KEY}"}
        async with httpx.AsyncClient(headers=headers, timeout=WAIT) as http:
            try:
                answer = await http.get(f"http://{address}/services/desk/seats")
            except httpx.TransportError:
                return 0
        return answer.status_code
