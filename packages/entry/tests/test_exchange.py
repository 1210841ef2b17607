"""Tests of limits over entries that talk over the mesh."""

import hashlib

import anyio
import httpx
import pytest

from kumquatway._demo import Deployment, Layout
from kumquatway.admission import Ask, EntryAdmission, Exchange, Ticket
from kumquatway.admission._split import owner_of
from kumquatway_core import Reason, not_run
from kumquatway_core.mesh import Mesh
from kumquatway_core.text import Account, Text
from kumquatway_core.wire import AccountDemand, Demands, Grants
from kumquatway_fakes import free_address

KEY = "test-key"
DIGEST = hashlib.sha256(KEY.encode()).hexdigest()
RATE = 100.0
STEP = 0.01  # seconds of the injected clock
WAIT = 20  # seconds
SOURCE = f"""
name = "test"
[services.desk]
[accounts.guests]
keys = ["{DIGEST}"]
requests_per_second = 1.0
"""

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Entries:
    """Admissions of some entries, each with a mesh of its own."""

    def __init__(self, group, count=2):
        self.now = 0.0
        self.group = group
        self.addresses = tuple(sorted(free_address() for _ in range(count)))
        account = Account(keys=(), requests_per_second=RATE, tokens_per_second=1e9)
        self.text = Text(name="test", accounts={"guests": account})
        self.nodes = {}
        self.meshes = {}

    async def start(self, *addresses):
        for address in addresses or self.addresses:
            self.nodes[address] = await self._start(address)

    async def _start(self, address):
        mesh = Mesh(address=address, incarnation=1, handle=lambda *_: None)
        node = EntryAdmission(
            address=address,
            text=lambda: self.text,
            entries=lambda: self.addresses,
            send=mesh.send,
            clock=lambda: self.now,
        )
        handlers = {Demands: node.take_demands, Grants: node.take_grants}
        mesh.inbox.handle = lambda _, message: handlers[type(message)](message)
        await self.group.start(mesh.run)
        return node

    async def run(self, seconds, rates):
        """Offer each entry requests; return how many were admitted."""
        allowed = 0
        owed = [0.0] * len(rates)
        for step in range(round(seconds / STEP)):
            self.now += STEP
            if step % 100 == 0:
                for node in self.nodes.values():
                    await node.split.round()
            for index, node in enumerate(self.nodes.values()):
                owed[index] += rates[index] * STEP
                while owed[index] >= 1:
                    owed[index] -= 1
                    allowed += self._offer(node)
        return allowed

    def _offer(self, node):
        got = node.admission.offer(Ask(account="guests", target="m"), print)
        if isinstance(got, Ticket):
            got.close()
        return isinstance(got, Ticket)


class TestTwoEntries:
    """A rate that holds over two entries."""

    async def test_it_holds_without_a_message_for_each_request(self):
        async with anyio.create_task_group() as group:
            entries = Entries(group)
            await entries.start()
            await entries.run(5.0, (350, 50))
            asked = sum(node.exchange.asked for node in entries.nodes.values())
            allowed = await entries.run(20.0, (350, 50))
            assert allowed / 20.0 / RATE == pytest.approx(1.0, abs=0.05)
            parts = [node.split.share("guests") for node in entries.nodes.values()]
            assert parts[0] > 3 * parts[1]
            # Only the entry that is not the owner asks, once in each of 20 rounds.
            asked = sum(n.exchange.asked for n in entries.nodes.values()) - asked
            assert asked == 20
            group.cancel_scope.cancel()

    async def test_entries_that_are_cut_off_have_even_parts(self):
        async with anyio.create_task_group() as group:
            entries = Entries(group)
            owner = owner_of("guests", entries.addresses)
            cut_off = next(a for a in entries.addresses if a != owner)
            await entries.start(cut_off)
            entries.nodes[cut_off].exchange.timeout = 0.01
            allowed = await entries.run(10.0, (400,))
            # The overdraft of an account that is not split yet ends with a round.
            assert allowed / 10.0 / RATE == pytest.approx(0.5, abs=0.15)
            assert entries.nodes[cut_off].split.share("guests") == 0.5
            assert not entries.nodes[cut_off].exchange.waiting
            group.cancel_scope.cancel()

    async def test_one_that_stands_alone_has_the_whole_and_asks_nobody(self):
        async with anyio.create_task_group() as group:
            entries = Entries(group, 1)
            await entries.start()
            allowed = await entries.run(10.0, (400,))
            (node,) = entries.nodes.values()
            assert allowed / 10.0 / RATE == pytest.approx(1.0, abs=0.25)
            assert node.exchange.asked == 0
            group.cancel_scope.cancel()


class TestExchange:
    """Questions and answers that do not fit each other."""

    ITEMS = (AccountDemand(account="a", demand=1.0, current_share=0.5),)

    @pytest.mark.parametrize(
        "bad",
        [
            lambda n: Grants(shares=(0.5,), round_number=n + 1),
            lambda n: Grants(shares=(), round_number=n),
            lambda n: Grants(shares=(7.0,), round_number=n),
            lambda n: Grants(shares=(float("nan"),), round_number=n),
        ],
    )
    async def test_a_bad_answer_is_dropped(self, bad):
        def send(address, demands):
            exchange.take(bad(demands.round_number))
            exchange.take(Grants(shares=(0.25,), round_number=demands.round_number))

        exchange = Exchange(send=send)
        demands = Demands(entry="me", items=self.ITEMS)
        assert (await exchange.ask("other", demands)).shares == (0.25,)

    async def test_a_late_answer_is_dropped(self):
        sent = []
        exchange = Exchange(send=lambda _, message: sent.append(message), timeout=0)
        assert await exchange.ask("o", Demands(entry="me", items=self.ITEMS)) is None
        exchange.take(Grants(shares=(0.5,), round_number=sent[0].round_number))
        assert not exchange.waiting

    async def test_an_owner_without_a_connection_is_silent(self):
        verdict = not_run(Reason.OVERLOADED)
        exchange = Exchange(send=lambda *_: verdict, timeout=WAIT)
        assert await exchange.ask("o", Demands(entry="me", items=self.ITEMS)) is None


class TestDeployment:
    """Entries of a deployment that share an account's limit."""

    async def test_they_know_each_other_and_split_the_rate(self):
        layout = Layout(entries=2, pipelines=(), services={"desk": 1}, admin_key=DIGEST)
        deployment = Deployment(source=SOURCE, layout=layout)
        async with anyio.create_task_group() as group:
            await group.start(deployment.run)
            splits = [entry.admission.split for entry in deployment.entries]
            with anyio.fail_after(WAIT):
                while not self.is_split(splits):
                    for entry in deployment.entries:
                        await self.read(entry.settings.caller_address)
            deployment.stop()

    def is_split(self, splits):
        parts = [split.parts.get("guests") for split in splits]
        return all(parts) and sum(part.part for part in parts) <= 1 + 1e-9

    async def read(self, address):
        headers = {"Authorization": f"Bearer {KEY}"}
        async with httpx.AsyncClient(headers=headers, timeout=WAIT) as http:
            await http.get(f"http://{address}/services/desk/seats")
