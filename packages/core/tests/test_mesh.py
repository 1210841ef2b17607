"""Tests of the mesh over real connections, with a link that fails."""

from contextlib import asynccontextmanager

import anyio
import pytest
import zmq.asyncio
from hypothesis import given, settings, strategies as st

from kumquatway_core import Verdict
from kumquatway_core.exceptions import WireError
from kumquatway_core.mesh import AckDelayEstimator, Mesh, PeerState, heartbeat_interval
from kumquatway_core.mesh._heartbeats import (
    HEARTBEAT_BYTES,
    HEARTBEAT_BYTES_PER_SECOND,
    MIN_ACK_TIMEOUT,
)
from kumquatway_core.wire import Cancel, Steps, decode, encode
from kumquatway_fakes import Relay, free_address

TIMEOUT = 20.0  # seconds until a test gives up


@pytest.fixture
def anyio_backend():
    return "asyncio"


def message(number: int) -> Cancel:
    return Cancel(items=((f"request-{number}", number),))


class Node:
    """A mesh that writes down what it takes in."""

    def __init__(self, *, address: str, incarnation: int = 1, bind: str | None = None):
        self.taken: list = []
        self.lost: list = []
        self.states: list = []
        self.mesh = Mesh(
            address=address,
            bind=bind,
            incarnation=incarnation,
            handle=lambda source, found: self.taken.append(found),
            on_state=lambda peer: self.states.append(peer.state),
            on_lost=lambda peer, lost: self.lost.extend(lost),
        )


async def until(condition) -> None:
    with anyio.fail_after(TIMEOUT):
        while not condition():
            await anyio.sleep(0.01)


@asynccontextmanager
async def running(*nodes: Node, relay: Relay | None = None):
    async with anyio.create_task_group() as group:
        if relay is not None:
            await group.start(relay.run)
        for node in nodes:
            await group.start(node.mesh.run)
        yield group
        group.cancel_scope.cancel()


@pytest.mark.anyio
class TestMesh:
    """Messages arrive in order and once, across broken connections."""

    async def test_messages_arrive_in_order(self):
        near, far = Node(address=free_address()), Node(address=free_address())
        sent = [message(number) for number in range(200)]
        async with running(near, far):
            for found in sent:
                near.mesh.send(far.mesh.address, found)
            await until(lambda: len(far.taken) >= len(sent))
            assert far.taken == sent
            size = sum(len(encode(found)) for found in sent)
            assert near.mesh.traffic.sent >= len(sent)
            assert near.mesh.traffic.sent_bytes > size
            assert far.mesh.traffic.received_bytes > size

    async def test_nothing_is_lost_after_an_idle_connection_was_closed(self):
        near, far = Node(address=free_address()), Node(address=free_address())
        async with running(near, far):
            for numbers in (range(3), range(3, 6)):
                for number in numbers:
                    near.mesh.send(far.mesh.address, message(number))
                await until(lambda: not near.mesh.peer(far.mesh.address).backlog())
                near.mesh.close(far.mesh.address)
            assert far.taken == [message(number) for number in range(6)]

    async def test_silence_loses_and_doubles_nothing(self):
        near, far, relay = through_relay()
        async with running(near, far, relay=relay):
            sent = []
            for burst in range(3):
                for number in range(20):
                    sent.append(message(burst * 100 + number))
                    near.mesh.send(far.mesh.address, sent[-1])
                await until(lambda: len(far.taken) >= 1)
                assert relay.silence() >= 1
                sent.append(message(burst * 100 + 50))
                near.mesh.send(far.mesh.address, sent[-1])
                await until(lambda: len(far.taken) >= len(sent))
            assert far.taken == sent
            assert relay.accepted > 1

    async def test_an_unused_silent_connection_is_noticed_too(self):
        near, far, relay = through_relay()
        async with running(near, far, relay=relay):
            near.mesh.send(far.mesh.address, message(1))
            await until(lambda: far.taken)
            peer = near.mesh.peer(far.mesh.address)
            await until(lambda: not peer.backlog())
            before = peer.connection_count
            relay.silence()
            await until(lambda: peer.connection_count > before)

    async def test_a_message_to_nobody_can_be_taken_back(self):
        near = Node(address=free_address())
        async with running(near):
            peer = near.mesh.peer(free_address())
            parcel = peer.send(message(1))
            await until(lambda: peer.state is PeerState.DOWN)
            assert peer.withdraw(parcel)

    async def test_a_message_that_left_cannot_be_taken_back(self):
        near, far = Node(address=free_address()), Node(address=free_address())
        async with running(near, far):
            peer = near.mesh.peer(far.mesh.address)
            parcel = peer.send(message(1))
            await until(lambda: far.taken)
            assert not peer.withdraw(parcel)

    async def test_a_restart_is_a_new_incarnation(self):
        near = Node(address=free_address())
        address = free_address()
        first = Node(address=address, incarnation=1)
        async with running(near):
            async with running(first):
                near.mesh.send(address, message(1))
                await until(lambda: first.taken)
            peer = near.mesh.peer(address)
            await until(lambda: peer.state is PeerState.DOWN)
            second = Node(address=address, incarnation=2)
            async with running(second):
                near.mesh.send(address, message(2))
                await until(lambda: peer.incarnation == 2)
                await until(lambda: message(2) in second.taken)
                assert message(1) not in second.taken

    async def test_a_narrow_link_is_down_and_its_data_arrives_once(self):
        near, far, relay = through_relay()
        big = Steps(items=())
        async with running(near, far, relay=relay):
            near.mesh.send(far.mesh.address, big)
            await until(lambda: far.taken)
            relay.faults.bytes_per_second = 2_000
            sent = [Cancel(items=(("x" * 4_000, number),)) for number in range(3)]
            for found in sent:
                near.mesh.send(far.mesh.address, found)
            await until(lambda: PeerState.DOWN in near.states)
            relay.faults.bytes_per_second = 0
            await until(lambda: len(far.taken) >= 4)
            assert far.taken == [big, *sent]

    async def test_a_failing_connection_leaves_the_others_alone(self):
        near, far = Node(address=free_address()), Node(address=free_address())
        async with running(near, far):
            broken = near.mesh.peer(free_address())
            broken.on_state = None
            near.mesh.send(far.mesh.address, message(1))
            await until(lambda: far.taken)
            await until(lambda: broken.connection_count > 1)

    async def test_garbage_ends_nothing(self):
        near, far = Node(address=free_address()), Node(address=free_address())
        async with running(near, far):
            await send_garbage(far.mesh.address)
            near.mesh.send(far.mesh.address, message(7))
            await until(lambda: message(7) in far.taken)
            assert far.mesh.inbox.failed_messages >= 3

    async def test_a_full_queue_refuses(self, monkeypatch):
        monkeypatch.setattr("kumquatway_core.mesh._peer.MAX_OUTBOX_BYTES", 1000)
        near = Node(address=free_address())
        async with running(near):
            peer = near.mesh.peer(free_address())
            results = [peer.send(message(number)) for number in range(200)]
            assert isinstance(results[-1], Verdict)
            assert results[-1].header_value() == "not-run"


def through_relay() -> tuple[Node, Node, Relay]:
    shown, real = free_address(), free_address()
    near = Node(address=free_address())
    far = Node(address=shown, bind=real)
    return near, far, Relay(listen=shown, target=real)


async def send_garbage(address: str) -> None:
    host, _, port = address.rpartition(":")
    async with await anyio.connect_tcp(host, int(port)) as stream:
        await stream.send(b"GET / HTTP/1.1\r\n\r\n" + bytes(range(256)))
    context = zmq.asyncio.Context()
    dealer = context.socket(zmq.DEALER)
    dealer.setsockopt(zmq.IDENTITY, b"127.0.0.1:1|1|1")
    dealer.connect(f"tcp://{address}")
    await dealer.send_multipart([b"one frame"])
    await dealer.send_multipart([bytes(8), b"\xff\xff"])
    await dealer.send_multipart([bytes(8), b"\x91", b"three"])
    await anyio.sleep(0.2)
    context.destroy(linger=500)


class TestBounds:
    """How often connections are proved, and when they are in doubt."""

    @given(peers=st.integers(1, 2000))
    @settings(derandomize=True)
    def test_beats_stay_in_their_budget(self, peers):
        spent = peers * HEARTBEAT_BYTES / heartbeat_interval(peers)
        longest = HEARTBEAT_BYTES * peers / 2.0
        assert spent <= max(HEARTBEAT_BYTES_PER_SECOND, longest) * 1.001

    def test_a_slow_link_is_not_in_doubt(self):
        delay = AckDelayEstimator()
        for _ in range(50):
            delay.add_sample(0.6, 100)
        assert delay.timeout(0.0, 100) > 0.6

    def test_the_bound_doubles_until_an_acknowledgement(self):
        delay = AckDelayEstimator()
        delay.add_sample(0.01, 100)
        assert not delay.record_timeout()
        assert delay.record_timeout()
        assert delay.timeout(0.0, 0) == 2 * MIN_ACK_TIMEOUT
        delay.add_sample(0.01, 100)
        assert delay.timeout(0.0, 0) == MIN_ACK_TIMEOUT


class TestWire:
    """Bytes that are no message are refused, whatever they are."""

    @given(data=st.binary(max_size=200))
    @settings(derandomize=True, max_examples=300)
    def test_any_bytes_are_a_message_or_refused(self, data):
        try:
            found = decode(data)
        except WireError:
            return
        assert decode(encode(found)) == found
