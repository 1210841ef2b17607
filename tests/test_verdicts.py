"""Tests of the verdict of a plain call at each fault on its way."""

import contextlib
import itertools
import socket
from dataclasses import dataclass

import anyio
import pytest
from anyio.abc import SocketAttribute

from kumquatway.calls import Answer, Calls, Dispatcher, ServiceAsk
from kumquatway.membership import Member
from kumquatway.protect import RetryBudget
from kumquatway_agent.service import ServiceCaller
from kumquatway_core import MAY_HAVE_RUN, NOT_RUN, Reason, Verdict
from kumquatway_core.claims import Granted
from kumquatway_core.mesh import Mesh, OutgoingMessage, Peer, PeerState
from kumquatway_core.wire import Call, CallReply, Status, VMState
from kumquatway_fakes import reset_on_close
from kumquatway_fakes.fleet import free_address

pytestmark = pytest.mark.anyio
LIMIT = 10.0  # seconds
BOUND = 0.5  # seconds of a call that gets no answer
UNFRAMED_ANSWER = b"HTTP/1.1 200 X\r\n\r\nok"
ANSWER = b"HTTP/1.1 %d X\r\nContent-Length: 2\r\n\r\nok"
incarnations = itertools.count(1)


@pytest.fixture
def anyio_backend():
    return "asyncio"


@dataclass(frozen=True, kw_only=True, slots=True)
class Case:
    """A fault of the service, and what has to come of it."""

    fault: str
    outcome: object
    reason: Reason | None = None  # None where two reasons race
    executions: int = 0


CASES = (
    Case(fault="none", outcome=200, executions=1),
    Case(fault="status 500", outcome=500, executions=1),
    Case(fault="no listener", outcome=NOT_RUN, reason=Reason.UNREACHABLE),
    Case(fault="close at once", outcome=MAY_HAVE_RUN, reason=Reason.RESET),
    Case(fault="close", outcome=MAY_HAVE_RUN, reason=Reason.RESET, executions=1),
    Case(fault="reset", outcome=MAY_HAVE_RUN, reason=Reason.RESET, executions=1),
    Case(fault="half", outcome=MAY_HAVE_RUN, reason=Reason.RESET, executions=1),
    Case(fault="without length", outcome=200, executions=1),
    Case(
        fault="without length, reset",
        outcome=MAY_HAVE_RUN,
        reason=Reason.RESET,
        executions=1,
    ),
    Case(fault="endless", outcome=MAY_HAVE_RUN, reason=Reason.RESET, executions=1),
    Case(fault="silent", outcome=MAY_HAVE_RUN, executions=1),
    Case(fault="leaving", outcome=NOT_RUN, reason=Reason.SHUTTING_DOWN),
    Case(fault="other service", outcome=NOT_RUN, reason=Reason.REFUSED),
    Case(fault="older agent", outcome=NOT_RUN, reason=Reason.REFUSED),
    Case(fault="bad path", outcome=NOT_RUN, reason=Reason.BAD_REQUEST),
    Case(fault="no agent", outcome=NOT_RUN, reason=Reason.UNREACHABLE),
    Case(fault="dies", outcome=MAY_HAVE_RUN, reason=Reason.DEADLINE, executions=1),
    Case(fault="restarts", outcome=MAY_HAVE_RUN, reason=Reason.RESET, executions=1),
)


class Service:
    """A service that counts the requests that it read whole."""

    def __init__(self, *, fault: str):
        self.fault = fault
        self.executions = 0
        self.address = free_address()

    async def run(self, *, task_status) -> None:
        host, port = self.address.split(":")
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port)
        )
        task_status.started()
        await listener.serve(self._serve)

    async def _serve(self, stream) -> None:
        with contextlib.suppress(anyio.BrokenResourceError):
            await self._take(stream)

    async def _take(self, stream) -> None:
        async with stream:
            if self.fault == "close at once":
                return
            while b"\r\n\r\nbody" not in await stream.receive():
                pass
            self.executions += 1
            await self._answer(stream)
            if self.fault.endswith("reset"):
                await anyio.sleep(0.02)  # a reset may overtake what was sent before
                reset_on_close(stream.extra(SocketAttribute.raw_socket))

    async def _answer(self, stream) -> None:
        if self.fault in ("silent", "dies", "restarts"):
            await anyio.sleep_forever()
        if self.fault == "half":
            await stream.send(ANSWER[:30])
        elif self.fault == "endless":
            await stream.send(UNFRAMED_ANSWER)
            while True:
                await stream.send(b"x" * 65536)
        elif self.fault.startswith("without length"):
            await stream.send(UNFRAMED_ANSWER)
        elif self.fault not in ("close", "reset"):
            await stream.send(ANSWER % (500 if self.fault == "status 500" else 200))


class Rig:
    """An entry's calls, an agent's caller and a service, over real sockets."""

    def __init__(self, *, group, fault: str):
        self.group = group
        self.fault = fault
        self.service = Service(fault=fault)
        self.agent_address = free_address()
        self.entry = Mesh(
            address=free_address(),
            incarnation=next(incarnations),
            handle=lambda source, message: self.calls.take_reply(message),
            on_state=self._on_state,
            on_lost=lambda peer, lost: self.calls.lose_address(peer.address, "anew"),
        )
        self.calls = Calls(entry=self.entry.address, mesh=self.entry)
        self.agent_scope = anyio.CancelScope()
        self.incarnation = 0

    async def start(self) -> None:
        if self.fault != "no listener":
            await self.group.start(self.service.run)
        await self.group.start(self.entry.run)
        if self.fault != "no agent":
            await self.group.start(self._run_agent)
            await self._connect()

    async def _connect(self) -> None:
        """Reach the agent once, so that a late first reply is not the fault."""
        peer = self.entry.peer(self.agent_address)
        with anyio.fail_after(LIMIT):
            while peer.state is not PeerState.UP:
                await anyio.sleep(0.01)

    async def call(self, *, timeout: float) -> Answer | Verdict:
        status = Status(
            vm="desk-0",
            address=self.agent_address,
            incarnation=self.incarnation - (self.fault == "older agent"),
            data_centre="dc1",
            accelerator="",
            state=VMState.LIVE,
            version=1,
        )
        member = Member(vm="desk-0", address=self.agent_address, status=status)
        return await self.calls.send(make_ask(self.fault, timeout), member)

    async def end_agent(self) -> None:
        """End the agent once the service has the call, and perhaps start it anew."""
        while not self.service.executions:
            await anyio.sleep(0.01)
        self.agent_scope.cancel()
        if self.fault == "restarts":
            while not is_free(self.agent_address):
                await anyio.sleep(0.01)
            self.agent_scope = anyio.CancelScope()
            await self.group.start(self._run_agent)

    async def _run_agent(self, *, task_status) -> None:
        self.incarnation = next(incarnations)
        mesh = Mesh(
            address=self.agent_address,
            incarnation=self.incarnation,
            handle=lambda source, message: group.start_soon(caller.take, message),
        )
        caller = ServiceCaller(
            name="desk",
            url=f"http://{self.service.address}",
            incarnation=self.incarnation,
            send=mesh.send,
        )
        caller.accepting = self.fault != "leaving"
        with self.agent_scope:
            async with anyio.create_task_group() as group:
                await group.start(mesh.run)
                task_status.started()

    def _on_state(self, peer: Peer) -> None:
        if peer.state is PeerState.DOWN:
            self.calls.lose_peer(peer.address)


def is_free(address: str) -> bool:
    host, port = address.split(":")
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, int(port)))
        except OSError:
            return False
    return True


def make_ask(fault: str = "", timeout: float = BOUND) -> ServiceAsk:
    return ServiceAsk(
        request="r1",
        service="bar" if fault == "other service" else "desk",
        method="POST",
        path="/a:b\x00" if fault == "bad path" else "/seats",
        headers=(),
        body=b"body",
        timeout=timeout,
        idempotent=False,
    )


class TestVerdicts:
    """Each fault gives the verdict that the bytes sent allow."""

    @pytest.mark.parametrize("case", CASES, ids=lambda case: case.fault)
    async def test_the_verdict_is_that_of_the_fault(self, case):
        async with anyio.create_task_group() as group:
            rig = Rig(group=group, fault=case.fault)
            await rig.start()
            silent = case.fault in ("silent", "dies")
            with anyio.fail_after(LIMIT):
                if case.fault in ("dies", "restarts"):
                    group.start_soon(rig.end_agent)
                outcome = await rig.call(timeout=BOUND if silent else LIMIT)
            if isinstance(case.outcome, int):
                assert isinstance(outcome, Answer), outcome
                assert outcome.status == case.outcome
            else:
                assert outcome.ran is case.outcome
                assert case.reason in (None, outcome.reason)
            assert rig.service.executions == case.executions
            group.cancel_scope.cancel()


class _SentPeer:
    """A peer whose parcels were sent some times; it refuses them as an agent does."""

    def __init__(self, *, sends: int, ran: str):
        self.sends = sends
        self.ran = ran
        self.calls: Calls | None = None

    def send(self, message: Call) -> OutgoingMessage:
        parcel = OutgoingMessage(message=message, sequence=1)
        parcel.send_count = self.sends
        reply = CallReply(call=message.call, verdict=self.ran, reason=Reason.REFUSED)
        self.group.start_soon(self._reply, reply)
        return parcel

    async def _reply(self, reply: CallReply) -> None:
        self.calls.take_reply(reply)


class _Claims:
    """Grants each claim and counts those given up."""

    def __init__(self):
        self.abandoned = 0

    async def claim(self, **asked) -> Granted:
        return Granted(claim=None)

    async def abandon(self, claim: None) -> None:
        self.abandoned += 1


class TestSentAgain:
    """A refusal proves nothing of a call that was sent more than once."""

    @pytest.mark.parametrize(
        ("sends", "ran", "abandoned"), [(1, NOT_RUN, 1), (2, MAY_HAVE_RUN, 0)]
    )
    async def test_a_claim_is_given_up_only_if_the_call_left_once(
        self, sends, ran, abandoned
    ):
        peer = _SentPeer(sends=sends, ran="not-run")
        claims = _Claims()
        async with anyio.create_task_group() as peer.group:
            calls = Calls(entry="e", mesh=_OnePeer(peer))
            peer.calls = calls
            member = Member(vm="desk-0", address="a", status=make_status())
            dispatcher = Dispatcher(
                calls=calls,
                claims=claims,
                usable=lambda: [member],
                background=lambda *args: None,
                budget=RetryBudget(),
            )
            outcome = await dispatcher._send_claimed(make_ask(), member, "a", "k")
        assert outcome.ran is ran
        assert claims.abandoned == abandoned


class _OnePeer:
    """A mesh with one peer."""

    def __init__(self, peer: _SentPeer):
        self.found = peer

    def peer(self, address: str) -> _SentPeer:
        return self.found


def make_status() -> Status:
    return Status(
        vm="desk-0",
        address="a",
        incarnation=1,
        data_centre="dc1",
        accelerator="",
        state=VMState.LIVE,
        version=1,
        service="desk",
    )
