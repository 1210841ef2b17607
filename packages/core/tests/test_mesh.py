"""Tests of the mesh over TCP connections, some through a faulty relay."""

import contextlib
from contextlib import asynccontextmanager

import anyio
import pytest
import zmq.asyncio
from anyio.lowlevel import checkpoint
from hypothesis import given, settings, strategies as st

from kumquatway_core import Verdict
from kumquatway_core.exceptions import WireError
from kumquatway_core.mesh import (
    AckDelayEstimator,
    Mesh,
    PeerState,
    _mesh,
    heartbeat_interval,
)
from kumquatway_core.mesh._heartbeats import (
    HEARTBEAT_BYTES,
    HEARTBEAT_BYTES_PER_SECOND,
    MIN_ACK_TIMEOUT,
)
from kumquatway_core.mesh._inbox import Inbox
from kumquatway_core.wire import Beat, Cancel, Steps, decode, encode
from kumquatway_fakes import Relay, free_address

TIMEOUT = 20.0  # seconds that a test waits for a condition


@pytest.fixture
def anyio_backend():
    return "asyncio"


def make_message(number: int) -> Cancel:
    return Cancel(items=((f"request-{number}", number),))


class Node:
    """A mesh that records received and lost messages and the states of its peers."""

    def __init__(self, *, address: str, incarnation: int = 1, bind: str | None = None):
        self.received: list = []
        self.lost: list = []
        self.states: list = []
        self.mesh = Mesh(
            address=address,
            bind=bind,
            incarnation=incarnation,
            handle=lambda sender, message: self.received.append(message),
            on_state=lambda peer: self.states.append(peer.state),
            on_lost=lambda peer, lost: self.lost.extend(lost),
        )


async def wait_until(condition) -> None:
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
    """Messages arrive in order and once, also across broken connections."""

    async def test_messages_arrive_in_order(self):
        local, remote = Node(address=free_address()), Node(address=free_address())
        sent = [make_message(number) for number in range(200)]
        async with running(local, remote):
            for outgoing in sent:
                local.mesh.send(remote.mesh.address, outgoing)
            await wait_until(lambda: len(remote.received) >= len(sent))
            assert remote.received == sent
            size = sum(len(encode(outgoing)) for outgoing in sent)
            assert local.mesh.traffic.sent >= len(sent)
            assert local.mesh.traffic.sent_bytes > size
            assert remote.mesh.traffic.received_bytes > size

    async def test_closing_an_idle_connection_loses_nothing(self):
        local, remote = Node(address=free_address()), Node(address=free_address())
        async with running(local, remote):
            for numbers in (range(3), range(3, 6)):
                for number in numbers:
                    local.mesh.send(remote.mesh.address, make_message(number))
                await wait_until(
                    lambda: not local.mesh.peer(remote.mesh.address).backlog()
                )
                local.mesh.close(remote.mesh.address)
            assert remote.received == [make_message(number) for number in range(6)]

    async def test_a_silent_link_loses_and_duplicates_nothing(self):
        local, remote, relay = make_relayed_nodes()
        async with running(local, remote, relay=relay):
            sent = []
            for burst in range(3):
                for number in range(20):
                    sent.append(make_message(burst * 100 + number))
                    local.mesh.send(remote.mesh.address, sent[-1])
                await wait_until(lambda: len(remote.received) >= 1)
                assert relay.silence() >= 1
                sent.append(make_message(burst * 100 + 50))
                local.mesh.send(remote.mesh.address, sent[-1])
                await wait_until(lambda: len(remote.received) >= len(sent))
            assert remote.received == sent
            assert relay.accepted > 1

    async def test_a_silent_idle_connection_is_replaced(self):
        local, remote, relay = make_relayed_nodes()
        async with running(local, remote, relay=relay):
            local.mesh.send(remote.mesh.address, make_message(1))
            await wait_until(lambda: remote.received)
            peer = local.mesh.peer(remote.mesh.address)
            await wait_until(lambda: not peer.backlog())
            before = peer.connection_count
            relay.silence()
            await wait_until(lambda: peer.connection_count > before)

    async def test_a_repeat_whose_acknowledgement_was_lost_is_acknowledged(self):
        local, remote, relay = make_relayed_nodes()
        async with running(local, remote, relay=relay):
            local.mesh.send(remote.mesh.address, make_message(1))
            await wait_until(lambda: remote.received)
            relay.silence()
            peer = local.mesh.peer(remote.mesh.address)
            await wait_until(lambda: peer.connection_count > 1)
            await wait_until(lambda: not peer.backlog())
            assert remote.received == [make_message(1)]
            assert PeerState.DOWN not in local.states

    async def test_frames_held_back_on_an_old_connection_take_no_replies(self):
        remote = Node(address=free_address())
        async with running(remote):
            inbox = remote.mesh.inbox
            newer, older = b"a:1|1|2", b"a:1|1|1"
            beat = encode(Beat(clock=0, sequence=1))
            for identity in (newer, older):
                await inbox._receive([identity, bytes(8), beat])
            (sender,) = inbox.senders.values()
            assert sender.identity == newer

    async def test_an_unsent_message_can_be_withdrawn(self):
        local = Node(address=free_address())
        async with running(local):
            peer = local.mesh.peer(free_address())
            outgoing = peer.send(make_message(1))
            await wait_until(lambda: peer.state is PeerState.DOWN)
            assert peer.withdraw(outgoing)

    async def test_a_sent_message_cannot_be_withdrawn(self):
        local, remote = Node(address=free_address()), Node(address=free_address())
        async with running(local, remote):
            peer = local.mesh.peer(remote.mesh.address)
            outgoing = peer.send(make_message(1))
            await wait_until(lambda: remote.received)
            assert not peer.withdraw(outgoing)

    async def test_a_process_that_ended_refuses_and_one_that_is_silent_does_not(self):
        local, remote, relay = make_relayed_nodes()
        ended = Node(address=free_address())
        async with running(local, remote, relay=relay):
            peers = [local.mesh.peer(n.mesh.address) for n in (remote, ended)]
            async with running(ended):
                await wait_until(lambda: all(peer.incarnation for peer in peers))
            relay.faults.delay = 10 * TIMEOUT
            relay.silence()
            await wait_until(lambda: all(p.state is PeerState.DOWN for p in peers))
            assert [peer.refused for peer in peers] == [False, True]
            addresses = [peer.address for peer in peers]
            assert [local.mesh.is_silent(a) for a in addresses] == [True, False]

    async def test_a_restart_is_seen_as_a_new_incarnation(self):
        local = Node(address=free_address())
        address = free_address()
        first = Node(address=address, incarnation=1)
        async with running(local):
            async with running(first):
                local.mesh.send(address, make_message(1))
                await wait_until(lambda: first.received)
            peer = local.mesh.peer(address)
            await wait_until(lambda: peer.state is PeerState.DOWN)
            second = Node(address=address, incarnation=2)
            async with running(second):
                local.mesh.send(address, make_message(2))
                await wait_until(lambda: peer.incarnation == 2)
                await wait_until(lambda: make_message(2) in second.received)
                assert make_message(1) not in second.received

    async def test_a_slow_link_goes_down_and_its_data_arrives_once(self):
        local, remote, relay = make_relayed_nodes()
        empty = Steps(items=())
        async with running(local, remote, relay=relay):
            local.mesh.send(remote.mesh.address, empty)
            await wait_until(lambda: remote.received)
            relay.faults.bytes_per_second = 2_000
            sent = [Cancel(items=(("x" * 4_000, number),)) for number in range(3)]
            for outgoing in sent:
                local.mesh.send(remote.mesh.address, outgoing)
            await wait_until(lambda: PeerState.DOWN in local.states)
            relay.faults.bytes_per_second = 0
            await wait_until(lambda: len(remote.received) >= 4)
            assert remote.received == [empty, *sent]

    async def test_a_failing_connection_does_not_affect_others(self):
        local, remote = Node(address=free_address()), Node(address=free_address())
        async with running(local, remote):
            broken = local.mesh.peer(free_address())
            broken.on_state = None
            local.mesh.send(remote.mesh.address, make_message(1))
            await wait_until(lambda: remote.received)
            await wait_until(lambda: broken.connection_count > 1)

    async def test_invalid_data_does_not_stop_the_mesh(self):
        local, remote = Node(address=free_address()), Node(address=free_address())
        async with running(local, remote):
            await send_invalid_data(remote.mesh.address)
            local.mesh.send(remote.mesh.address, make_message(7))
            await wait_until(lambda: make_message(7) in remote.received)
            assert remote.mesh.inbox.failed_messages >= 3

    async def test_a_full_queue_refuses_messages(self, monkeypatch):
        monkeypatch.setattr("kumquatway_core.mesh._peer.MAX_OUTBOX_BYTES", 1000)
        local = Node(address=free_address())
        async with running(local):
            peer = local.mesh.peer(free_address())
            results = [peer.send(make_message(number)) for number in range(200)]
            assert isinstance(results[-1], Verdict)
            assert results[-1].header_value() == "not-run"


def make_relayed_nodes() -> tuple[Node, Node, Relay]:
    public, bound = free_address(), free_address()
    local = Node(address=free_address())
    remote = Node(address=public, bind=bound)
    return local, remote, Relay(listen=public, target=bound)


async def send_invalid_data(address: str) -> None:
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


class TestMessageWithoutEnd:
    """The connection of a sender whose message is too long is closed early."""

    # ZMTP 3.0 (RFC 23): the greeting, a READY command, and the head of a long frame.
    GREETING = (
        b"\xff" + bytes(8) + b"\x7f\x03\x00" + b"NULL".ljust(20, b"\0") + bytes(32)
    )
    READY = b"\x04\x1c\x05READY\x0bSocket-Type\x00\x00\x00\x06DEALER"
    LONG_FRAME = b"\x02" + (1 << 30).to_bytes(8, "big")

    async def greet(self, stream: anyio.abc.SocketStream) -> None:
        """Exchange what comes before messages."""
        await stream.send(self.GREETING + self.READY)
        received = b""
        while b"ROUTER" not in received:
            received += await stream.receive()

    @pytest.mark.anyio
    async def test_it_is_closed_before_the_message_ends(self):
        node = Node(address=free_address())
        host, _, port = node.mesh.address.rpartition(":")
        async with running(node):
            stream = await anyio.connect_tcp(host, int(port))
            async with stream:
                await self.greet(stream)
                await stream.send(self.LONG_FRAME)
                closed = False
                with anyio.move_on_after(1.0):
                    try:
                        while True:
                            await stream.receive()
                    except (anyio.EndOfStream, anyio.BrokenResourceError):
                        closed = True
        assert closed

    @pytest.mark.anyio
    async def test_parts_without_end_are_not_kept(self, monkeypatch):
        monkeypatch.setattr(_mesh, "MAX_MESSAGE_BYTES", 100_000)
        node = Node(address=free_address())
        host, _, port = node.mesh.address.rpartition(":")
        part = b"\x03" + (1 << 16).to_bytes(8, "big") + bytes(1 << 16)
        sent = 0
        async with running(node):
            stream = await anyio.connect_tcp(host, int(port))
            async with stream:
                await self.greet(stream)
                with (
                    anyio.move_on_after(10.0),
                    contextlib.suppress(anyio.BrokenResourceError),
                ):
                    while sent < 64 << 20:  # more than the kernel holds
                        await stream.send(part)
                        sent += len(part)
        assert sent < 64 << 20

    @pytest.mark.anyio
    async def test_sound_senders_are_served_meanwhile(self, monkeypatch):
        monkeypatch.setattr(_mesh, "MAX_MESSAGE_BYTES", 100_000)
        local, remote = Node(address=free_address()), Node(address=free_address())
        host, _, port = remote.mesh.address.rpartition(":")
        part = b"\x03" + (1 << 16).to_bytes(8, "big") + bytes(1 << 16)

        async def send_without_end() -> None:
            while True:
                with contextlib.suppress(anyio.BrokenResourceError):
                    async with await anyio.connect_tcp(host, int(port)) as stream:
                        await self.greet(stream)
                        while True:
                            await stream.send(part)

        async with running(local, remote) as group:
            group.start_soon(send_without_end)
            sent = [make_message(number) for number in range(100)]
            for message in sent:
                local.mesh.send(remote.mesh.address, message)
                await anyio.sleep(0.01)
            await wait_until(lambda: len(remote.received) >= len(sent))
            assert local.mesh.peer(remote.mesh.address).connection_count == 1
        assert remote.received == sent


class TestManyMessages:
    """Messages that come faster than they are handled."""

    @pytest.mark.anyio
    async def test_few_are_kept_for_an_inbox_that_does_not_read(self):
        mesh = Node(address=free_address()).mesh
        mesh.socket.bind(f"tcp://{mesh.address}")
        host, _, port = mesh.address.rpartition(":")
        message = b"\x02" + (1 << 20).to_bytes(8, "big") + bytes(1 << 20)
        sent = 0
        try:
            async with await anyio.connect_tcp(host, int(port)) as stream:
                await TestMessageWithoutEnd().greet(stream)
                with anyio.move_on_after(1.0):
                    while sent < 64:  # more than the kernel holds
                        await stream.send(message)
                        sent += 1
        finally:
            mesh.context.destroy(linger=0)
        assert sent < 64

    @pytest.mark.anyio
    async def test_others_run_between_them(self):
        now = 0.0
        frames = [b"a:1|1|1", (1).to_bytes(8, "big"), encode(make_message(1))]

        class Socket:
            async def recv_multipart(self) -> list[bytes]:
                nonlocal now
                now += 0.001
                if now > 1.0:
                    await anyio.sleep_forever()
                return frames

            async def send_multipart(self, frames: list[bytes]) -> None:
                """Take an acknowledgement."""

        inbox = Inbox(
            socket=Socket(),
            incarnation=1,
            handle=lambda sender, message: None,
            hlc=int,
            merge_hlc=lambda clock: None,
            clock=lambda: now,
        )
        holds = []

        async def watch() -> None:
            while now <= 1.0:
                started = now
                await checkpoint()
                holds.append(now - started)

        async with anyio.create_task_group() as group:
            group.start_soon(inbox.run)
            await watch()
            group.cancel_scope.cancel()
        assert max(holds) < 0.1


class TestTimeouts:
    """Heartbeat intervals and acknowledgement timeouts."""

    @given(peers=st.integers(1, 2000))
    @settings(derandomize=True)
    def test_heartbeats_stay_within_their_budget(self, peers):
        rate = peers * HEARTBEAT_BYTES / heartbeat_interval(peers)
        rate_at_max_interval = HEARTBEAT_BYTES * peers / 2.0
        assert rate <= max(HEARTBEAT_BYTES_PER_SECOND, rate_at_max_interval) * 1.001

    def test_the_timeout_covers_the_delay_of_a_slow_link(self):
        delay = AckDelayEstimator()
        for _ in range(50):
            delay.add_sample(0.6, 100)
        assert delay.timeout(0.0, 100) > 0.6

    def test_the_timeout_doubles_until_an_acknowledgement(self):
        delay = AckDelayEstimator()
        delay.add_sample(0.01, 100)
        assert not delay.record_timeout()
        assert delay.record_timeout()
        assert delay.timeout(0.0, 0) == 2 * MIN_ACK_TIMEOUT
        delay.add_sample(0.01, 100)
        assert delay.timeout(0.0, 0) == MIN_ACK_TIMEOUT


class TestCodec:
    """Any bytes that are not a message raise `WireError`."""

    @given(data=st.binary(max_size=200))
    @settings(derandomize=True, max_examples=300)
    def test_any_bytes_decode_or_raise_wire_error(self, data):
        try:
            message = decode(data)
        except WireError:
            return
        assert decode(encode(message)) == message
