"""
Calls.

Sends a call to an upstream of a plain service and waits for its reply.
"""

import secrets
from collections.abc import Callable
from dataclasses import dataclass, replace

import anyio

from kumquatway.membership import Member
from kumquatway_core import (
    MAY_HAVE_RUN,
    NOT_RUN,
    RAN,
    Reason,
    Verdict,
    may_have_run as doubt,
    not_run,
)
from kumquatway_core.mesh import Mesh, OutgoingMessage, Peer
from kumquatway_core.wire import Call, CallReply, Message

ID_BYTES = 8
NO_CONNECTION = "no connection to the upstream's agent"
RANS = {"ran": RAN, "not-run": NOT_RUN, "may-have-run": MAY_HAVE_RUN}


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceAsk:
    """
    What a caller wants of a plain service.

    :param path: with its query.
    :param timeout: seconds.
    """

    request: str
    service: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    timeout: float
    idempotent: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """What a service answered."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class _Waiting:
    """A call that waits for its reply."""

    def __init__(self, *, address: str, service: str, idempotent: bool):
        self.address = address
        self.service = service
        self.idempotent = idempotent
        self.peer: Peer | None = None
        self.parcel: OutgoingMessage | None = None
        self.done = anyio.Event()
        self.result: Answer | Verdict | None = None

    def sent_again(self) -> bool:
        return self.parcel is not None and self.parcel.send_count > 1

    def settle(self, result: Answer | Verdict) -> None:
        if self.result is None:
            self.result = result
            self.done.set()


class Calls:
    """
    Every call in flight.

    :param entry: address of this entry.
    :param mesh: sends to agents.
    :param has_other: tells whether a service has an upstream at another address.
    """

    def __init__(
        self,
        *,
        entry: str,
        mesh: Mesh,
        has_other: Callable[[str, str], bool] = lambda service, address: True,
    ):
        self.entry = entry
        self.mesh = mesh
        self.has_other = has_other
        self.waiting: dict[str, _Waiting] = {}

    async def send(self, ask: ServiceAsk, member: Member) -> Answer | Verdict:
        """
        Send a call to one upstream.

        :param ask: what the caller wants.
        :param member: the upstream.
        :return: its answer, or the verdict.
        """
        call = secrets.token_hex(ID_BYTES)
        waiting = _Waiting(
            address=member.address, service=ask.service, idempotent=ask.idempotent
        )
        self.waiting[call] = waiting
        try:
            return await self._send(call, ask, member, waiting)
        finally:
            del self.waiting[call]

    def take_reply(self, reply: CallReply) -> None:
        """
        Take in a reply; one that nobody waits for is dropped.

        :param reply: as received.
        """
        waiting = self.waiting.get(reply.call)
        if waiting is None:
            return
        result = _result(reply)
        if isinstance(result, Verdict) and waiting.sent_again():
            result = _doubted(result)
        waiting.settle(result)

    def lose(self, lost: list[Message]) -> None:
        """
        Take in that messages went to an incarnation that is gone.

        :param lost: as the mesh reports them.
        """
        for message in lost:
            waiting = self.waiting.get(getattr(message, "call", ""))
            if waiting is not None:
                waiting.settle(doubt(Reason.RESET, "the agent restarted"))

    def lose_address(self, address: str, detail: str) -> None:
        """
        Take in that an agent restarted.

        :param address: of the agent.
        :param detail: one line for people.
        """
        for waiting in self.waiting.values():
            if waiting.address == address:
                waiting.settle(doubt(Reason.RESET, detail))

    def lose_peer(self, address: str) -> None:
        """
        Take in that an agent does not answer.

        A call that never left is settled as not run. One that left is given up
        only if another upstream may run it too, or the agent has ended: one that
        is silent may come back with its reply.

        :param address: of the agent.
        """
        for waiting in self.waiting.values():
            if waiting.address != address or waiting.parcel is None:
                continue
            if waiting.peer.withdraw(waiting.parcel):
                waiting.settle(not_run(Reason.UNREACHABLE, NO_CONNECTION))
            elif waiting.idempotent and self._is_lost(waiting):
                waiting.settle(doubt(Reason.SILENCE, "the agent does not answer"))

    def _is_lost(self, waiting: _Waiting) -> bool:
        other = self.has_other(waiting.service, waiting.address)
        return other or waiting.peer.refused

    async def _send(
        self, call: str, ask: ServiceAsk, member: Member, waiting: _Waiting
    ) -> Answer | Verdict:
        message = Call(
            call=call,
            request=ask.request,
            entry=self.entry,
            service=ask.service,
            incarnation=member.status.incarnation,
            method=ask.method,
            path=ask.path,
            headers=ask.headers,
            body=ask.body,
            timeout=ask.timeout,
            idempotent=ask.idempotent,
        )
        peer = self.mesh.peer(member.address)
        parcel = peer.send(message)
        if isinstance(parcel, Verdict):
            return parcel
        waiting.peer = peer
        waiting.parcel = parcel
        with anyio.move_on_after(ask.timeout):
            await waiting.done.wait()
        if waiting.result is not None:
            return waiting.result
        if peer.withdraw(parcel):
            return not_run(Reason.UNREACHABLE, NO_CONNECTION)
        return doubt(Reason.DEADLINE, "no answer within the bound")


def _doubted(verdict: Verdict) -> Verdict:
    # The copy that was refused may not be the only one that arrived: an agent
    # that restarted between two copies knows nothing of the first.
    if verdict.ran is not NOT_RUN:
        return verdict
    return replace(verdict, ran=MAY_HAVE_RUN, retry_after=None)


def _result(reply: CallReply) -> Answer | Verdict:
    if reply.status:
        return Answer(status=reply.status, headers=reply.headers, body=reply.body)
    return Verdict(
        ran=RANS[reply.verdict], reason=Reason(reply.reason), detail=reply.detail
    )
