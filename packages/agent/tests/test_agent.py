"""Tests of an agent as a whole, beside a stand-in."""

import random

import anyio
import msgspec
import pytest
import zmq
import zmq.asyncio

from kumquatway_agent import Agent
from kumquatway_agent._reap import ENTRY_SILENCE, reap
from kumquatway_core import Reason
from kumquatway_core.engine import EngineState
from kumquatway_core.http import serve
from kumquatway_core.leases import PLANNER_LEASE, LeaseRow
from kumquatway_core.mesh import Mesh, PeerState
from kumquatway_core.platform import Channel, Put, Table, Transaction
from kumquatway_core.settings import AgentSettings, EngineSettings, PlatformSettings
from kumquatway_core.wire import (
    Call,
    CallReply,
    Cancel,
    Drain,
    GeneratedToken,
    Holding,
    Message,
    Order,
    OrderReply,
    Pieces,
    Stage,
    Status,
    StepItem,
    Steps,
    StreamSetup,
    Subscribe,
    Trouble,
    VMState,
    encode,
)
from kumquatway_fakes import Engine, Relay, Speed, TableService, answer, engine_app
from kumquatway_fakes.fleet import free_address

pytestmark = pytest.mark.anyio
LIMIT = 10.0  # seconds
LAYERS = 4
PROMPT = b"pass"
TOKENS = 12
SILENCE = 0.5  # seconds
GARBAGE = 200  # messages by each way
EXPECTED = answer(prompt=PROMPT, layers=LAYERS, model="m", max_tokens=TOKENS)[0]
HELD = Holding(model="m", version="1", first=0, end=LAYERS)


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Rig:
    """One agent over an engine that holds a whole model, and an entry's mesh."""

    def __init__(self):
        self.engine = Engine(holdings=(HELD,))
        self.table = TableService()
        engine, tables = free_address(), free_address()
        self.listeners = {engine: engine_app(self.engine), tables: self.table.app}
        platform = PlatformSettings(
            tables=(f"http://{tables}",), objects=("http://127.0.0.1:9",), vms="http://"
        )
        settings = AgentSettings(
            vm="vm-1",
            data_centre="dc1",
            mesh_address=free_address(),
            http_address=free_address(),
            platform=platform,
            accelerator="any",
            engine=EngineSettings(url=f"http://{engine}"),
            shutdown_s=4.0,
        )
        self.agent = Agent(settings=settings)
        self.address = settings.mesh_address
        self.got: list[Message] = []
        self.entry = Mesh(
            address=free_address(),
            incarnation=1,
            handle=lambda source, message: self.got.append(message),
        )

    async def start(self, group) -> None:
        for address, app in self.listeners.items():
            group.start_soon(serve, app, address)
        await group.start(self.entry.run)
        await group.start(self.agent.run)
        while not isinstance(await self.agent.engine.state(), EngineState):
            await anyio.sleep(0.01)
        self.send(Subscribe(address=self.entry.address))
        await self.until(lambda: self.status().holdings == (HELD,))

    def send(self, message: Message) -> None:
        self.entry.send(self.address, message)

    def replies(self) -> list[OrderReply]:
        return [m for m in self.got if isinstance(m, OrderReply)]

    def troubles(self) -> list[Trouble]:
        return [m for m in self.got if isinstance(m, Trouble)]

    def status(self) -> Status:
        return next(m for m in reversed(self.got) if isinstance(m, Status))

    async def until(self, condition) -> None:
        with anyio.fail_after(LIMIT):
            while True:
                try:
                    if condition():
                        return
                except StopIteration:
                    pass
                await anyio.sleep(0.01)

    def open_stream(self, request: str, tokens: int = TOKENS) -> None:
        stage = Stage(
            vm="vm-1",
            address=self.address,
            incarnation=self.agent.incarnation,
            first=0,
            end=LAYERS,
        )
        open = StreamSetup(
            request=request,
            attempt=1,
            route=(stage,),
            entry=self.entry.address,
            model="m",
            version="1",
            adapter="",
            prompt_tokens=len(PROMPT),
            end_position=len(PROMPT) + tokens,
            seed=0,
            priority=0,
        )
        item = StepItem(
            request=request,
            attempt=1,
            stage=0,
            layer=0,
            position=0,
            count=len(PROMPT),
            data=b"".join(byte.to_bytes(4, "little") for byte in PROMPT),
            setup=open,
        )
        self.send(Steps(items=(item,)))

    def pieces(self, request: str) -> list[GeneratedToken]:
        return [
            piece
            for message in self.got
            if isinstance(message, Pieces)
            for piece in message.items
            if piece.request == request
        ]

    async def answer(self, request: str) -> tuple[str, ...]:
        await self.until(lambda: self.pieces(request)[-1:] and self.ended(request))
        return tuple(piece.text for piece in self.pieces(request))

    def ended(self, request: str) -> bool:
        return bool(self.pieces(request)[-1].finish)


async def with_rig(use) -> None:
    rig = Rig()
    async with anyio.create_task_group() as group:
        await rig.start(group)
        await use(rig)
        group.cancel_scope.cancel()


def garbage(random: random.Random, entry: str) -> list[bytes]:
    """Make a multipart message: noise, half a message, or one with odd values."""
    odd = StreamSetup(
        request="r",
        attempt=-1,
        route=(),
        entry="nowhere",
        model="",
        version="",
        adapter="",
        prompt_tokens=-5,
        end_position=-9,
        seed=-1,
        priority=0,
    )
    item = StepItem(
        request="r", attempt=1, stage=-7, layer=9, position=-1, count=0, data=b"x"
    )
    call = Call(
        call="c",
        request="r",
        entry=entry,
        service="",
        incarnation=0,
        method="\n",
        path="",
        headers=(),
        body=b"",
        timeout=-1.0,
        idempotent=True,
    )
    odd_item = StepItem(
        request="r",
        attempt=-1,
        stage=0,
        layer=0,
        position=0,
        count=2**40,
        data=b"",
        setup=odd,
    )
    whole = random.choice(
        [
            encode(Steps(items=(item, odd_item))),
            encode(Cancel(items=(("", -1),))),
            encode(call),
            random.randbytes(random.randrange(60)),
        ]
    )
    data = random.choice([whole, whole[: random.randrange(len(whole) + 1)]])
    head = random.choice([bytes(7) + b"\x01", b"", random.randbytes(8)])
    return random.choice([[head, data], [data], [head, data, data], [b"", b""]])


class TestAgent:
    """An agent serves whatever comes to its port, and leaves without a cut."""

    async def test_garbage_on_its_port_does_not_end_it(self):
        async def use(rig: Rig):
            source = random.Random(7)
            host, port = rig.address.split(":")
            for _ in range(GARBAGE):
                async with await anyio.connect_tcp(host, int(port)) as raw:
                    await raw.send(source.randbytes(source.randrange(1, 300)))
            context = zmq.asyncio.Context()
            for number in range(GARBAGE):
                socket = context.socket(zmq.DEALER)
                identity = [b"a|1|1", b"x", b"a|b|c", b"\xff|9|1"][number % 4]
                socket.setsockopt(zmq.IDENTITY, identity + b"%d" % number)
                socket.connect(f"tcp://{rig.address}")
                await socket.send_multipart(garbage(source, rig.entry.address))
                socket.close(linger=1000)
            context.destroy()
            rig.open_stream("r1")
            assert await rig.answer("r1") == EXPECTED
            assert rig.agent.supervisor.restarts == 0
            assert rig.status().state is VMState.LIVE

        await with_rig(use)

    async def test_a_drain_lets_a_stream_end_and_refuses_a_new_one(self):
        async def use(rig: Rig):
            rig.engine.faults.slow = 1.0
            rig.open_stream("r1")
            await rig.until(lambda: rig.pieces("r1"))
            rig.send(Drain(vm="vm-1", leave=True))
            await rig.until(lambda: rig.status().state is VMState.LEAVING)
            rig.open_stream("r2")
            assert await rig.answer("r1") == EXPECTED
            assert not rig.pieces("r2")
            rig.send(Drain(vm="vm-1", leave=False))
            await rig.until(lambda: rig.status().state is VMState.LIVE)
            rig.open_stream("r3")
            assert await rig.answer("r3") == EXPECTED

        await with_rig(use)

    async def test_a_stream_that_is_too_long_is_handed_over_before_the_end(self):
        async def use(rig: Rig):
            rig.engine.speed = Speed(layer_us=1e6)
            rig.open_stream("r1")
            await rig.until(lambda: rig.agent.stage.streams.streams)
            rig.agent.leave()
            await rig.until(lambda: rig.troubles())
            (trouble,) = rig.troubles()
            assert trouble.reason == Reason.SHUTTING_DOWN
            rig.send(Cancel(items=(("r1", 1),)))
            await rig.until(lambda: rig.agent._group is None)

        await with_rig(use)

    async def test_a_reply_for_an_entry_that_is_silent_outlasts_the_agents_end(self):
        async def use(rig: Rig):
            got: list[Message] = []
            public, bound = free_address(), free_address()
            relay = Relay(listen=public, target=bound)
            entry = Mesh(
                address=public,
                bind=bound,
                incarnation=1,
                handle=lambda source, message: got.append(message),
            )
            replies = [CallReply(call=str(n), verdict="ran", reason="") for n in (1, 2)]
            async with anyio.create_task_group() as group:
                await group.start(relay.run)
                await group.start(entry.run)
                peer = rig.agent.mesh.peer(public)
                peer.send(replies[0])
                await rig.until(lambda: got == replies[:1] and not peer.backlog())
                relay.faults.refusing = True
                relay.silence()
                await rig.until(lambda: peer.state is PeerState.DOWN)
                peer.send(replies[1])
                rig.agent.leave()
                await anyio.sleep(SILENCE)
                relay.faults.refusing = False
                await rig.until(lambda: rig.agent._group is None)
                assert got == replies
                group.cancel_scope.cancel()

        await with_rig(use)

    async def test_a_failure_to_free_slots_ends_no_stream(self, monkeypatch):
        async def use(rig: Rig):
            cancel = rig.agent.engine.cancel
            failures = ["a fault of the test"]

            async def fail_once(names):
                if failures:
                    raise RuntimeError(failures.pop())
                return await cancel(names)

            rig.engine.speed = Speed(layer_us=20_000)
            rig.open_stream("r1")
            await rig.until(lambda: rig.pieces("r1"))
            monkeypatch.setattr(rig.agent.engine, "cancel", fail_once)
            rig.agent._free(("r0.1.0",))
            assert await rig.answer("r1") == EXPECTED
            assert not failures
            assert not rig.troubles()

        await with_rig(use)

    async def test_an_order_changes_what_entries_hear(self):
        async def use(rig: Rig):
            row = LeaseRow(holder="a", fencing_number=3, duration=10.0, order_bound=0.0)
            await put_lease(rig, row)
            for number in (2, 3):
                order = Order(
                    order=str(number),
                    vm="vm-1",
                    fencing_number=number,
                    load=False,
                    holding=HELD,
                    timeout=5.0,
                )
                rig.send(order)
            await rig.until(lambda: len(rig.replies()) == 2)
            assert rig.status().holdings == ()
            assert [(r.order, r.done) for r in rig.replies()] == [
                ("2", False),
                ("3", True),
            ]
            assert [order.fencing_number for order in rig.engine.orders] == [3]

        await with_rig(use)

    async def test_a_broken_engine_is_told_and_so_is_its_recovery(self):
        async def use(rig: Rig):
            rig.engine.faults.refusing = True
            await rig.until(lambda: rig.status().state is VMState.SICK)
            rig.engine.faults.refusing = False
            await rig.until(lambda: rig.status().state is VMState.LIVE)
            rig.open_stream("r1")
            assert await rig.answer("r1") == EXPECTED

        await with_rig(use)

    async def test_the_streams_of_a_silent_entry_end(self):
        async def use(rig: Rig):
            rig.engine.faults.hung = True
            rig.open_stream("r1")
            streams = rig.agent.stage.streams.streams
            await rig.until(lambda: streams)
            now = next(iter(streams.values())).touched
            stage, inbox = rig.agent.stage, rig.agent.mesh.inbox
            assert reap(stage=stage, inbox=inbox, now=now) == 0
            later = now + LIMIT + ENTRY_SILENCE
            assert reap(stage=stage, inbox=inbox, now=later) == 1

        await with_rig(use)


async def put_lease(rig: Rig, row: LeaseRow) -> None:
    table = Table(channel=Channel(addresses=rig.agent.settings.platform.tables))
    put = Put(table="leases", key=PLANNER_LEASE, value=msgspec.msgpack.encode(row))
    await table.commit(Transaction(puts=(put,)))
