"""Tests of a plain call whose agent falls silent."""

import anyio
import pytest

from kumquatway.calls import Answer, Calls, ServiceAsk
from kumquatway.membership import Member
from kumquatway_core import MAY_HAVE_RUN, Reason
from kumquatway_core.mesh import OutgoingMessage
from kumquatway_core.wire import CallReply, Status, VMState

pytestmark = pytest.mark.anyio
ADDRESS = "agent"
LIMIT = 10.0  # seconds


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Agent:
    """Stands in for the mesh and its one peer, to which each message has left."""

    def __init__(self):
        self.refused = False
        self.messages: list = []

    def peer(self, address: str) -> "Agent":
        return self

    def send(self, message) -> OutgoingMessage:
        self.messages.append(message)
        outgoing = OutgoingMessage(message=message, sequence=len(self.messages))
        outgoing.send_count = 1
        return outgoing

    def withdraw(self, outgoing: OutgoingMessage) -> bool:
        return False


class Rig:
    """One call in flight."""

    def __init__(self, *, idempotent: bool = True, others: bool = False):
        self.agent = Agent()
        self.result = None
        self.calls = Calls(
            entry="entry", mesh=self.agent, has_other=lambda service, address: others
        )
        self.ask = ServiceAsk(
            request="r",
            service="desk",
            method="GET",
            path="/",
            headers=(),
            body=b"",
            timeout=LIMIT,
            idempotent=idempotent,
        )

    async def run(self) -> None:
        status = Status(
            vm="v",
            address=ADDRESS,
            incarnation=1,
            data_centre="d",
            accelerator="",
            state=VMState.LIVE,
            version=1,
        )
        member = Member(vm="v", address=ADDRESS, status=status)
        self.result = await self.calls.send(self.ask, member)

    def answer(self) -> None:
        (message,) = self.agent.messages
        reply = CallReply(call=message.call, verdict="ran", reason="none", status=200)
        self.calls.take_reply(reply)


class TestSilentAgent:
    """A call is given up where that helps, and not because its agent is silent."""

    @pytest.mark.parametrize("idempotent", [True, False])
    async def test_the_only_upstream_is_silent_and_its_answer_is_taken(
        self, idempotent
    ):
        rig = Rig(idempotent=idempotent)
        async with anyio.create_task_group() as group:
            group.start_soon(rig.run)
            await anyio.wait_all_tasks_blocked()
            rig.calls.lose_peer(ADDRESS)
            await anyio.wait_all_tasks_blocked()
            assert rig.result is None
            rig.answer()
        assert rig.result == Answer(status=200, headers=(), body=b"")

    @pytest.mark.parametrize(("others", "refused"), [(True, False), (False, True)])
    async def test_one_with_another_upstream_or_whose_agent_ended_is_given_up(
        self, others, refused
    ):
        rig = Rig(others=others)
        rig.agent.refused = refused
        async with anyio.create_task_group() as group:
            group.start_soon(rig.run)
            await anyio.wait_all_tasks_blocked()
            rig.calls.lose_peer(ADDRESS)
        assert (rig.result.ran, rig.result.reason) == (MAY_HAVE_RUN, Reason.SILENCE)
