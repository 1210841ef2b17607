"""Exchanges messages with other processes: one bound socket, one peer per address."""

import time
from collections.abc import Callable

import anyio
import zmq
import zmq.asyncio
from loguru import logger

from kumquatway_core import Verdict
from kumquatway_core.mesh._connection import SEQUENCE_BYTES
from kumquatway_core.mesh._guard import (
    BACKLOG,
    PART_BYTES,
    guarding,
    private_endpoint,
)
from kumquatway_core.mesh._inbox import Inbox, Sender
from kumquatway_core.mesh._peer import OutgoingMessage, Peer, PeerState
from kumquatway_core.mesh._traffic import Traffic
from kumquatway_core.wire import MAX_MESSAGE_BYTES, Message

MAX_WAITING_MESSAGES = 16  # of each sender, in the queue of the socket
OVERHEAD_BYTES = SEQUENCE_BYTES + 2 * PART_BYTES  # of a message
IDLE_TIMEOUT = 120.0  # seconds without use after which a peer is closed
IDLE_CHECK_INTERVAL = 10.0  # seconds

Handler = Callable[[Sender, Message], None]


def zero_clock() -> int:
    """
    Return zero, for processes without a hybrid logical clock.

    :return: 0.
    """
    return 0


class Mesh:
    """
    Sends and receives the messages of one process.

    :param address: `host:port` where others reach this process; it also
        identifies the process.
    :param incarnation: incarnation of this process, higher than any earlier one.
    :param handle: called with each sender and message, once and in order for
        each sender.
    :param bind: `host:port` to listen on, if it differs from `address`.
    :param on_state: called with a peer at each change of its state.
    :param on_lost: called with a peer that restarted and the messages that its
        earlier incarnation did not acknowledge.
    :param hlc: returns the hybrid logical clock of this process.
    :param merge_hlc: called with the hybrid logical clock of another process.
    :param clock: returns the monotonic time in seconds.
    """

    def __init__(
        self,
        *,
        address: str,
        incarnation: int,
        handle: Handler,
        bind: str | None = None,
        on_state: Callable[[Peer], None] = lambda peer: None,
        on_lost: Callable[[Peer, list[Message]], None] = lambda peer, lost: None,
        hlc: Callable[[], int] = zero_clock,
        merge_hlc: Callable[[int], None] = lambda clock: None,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.address = address
        self.bind = bind or address
        self.incarnation = incarnation
        self.on_state = on_state
        self.on_lost = on_lost
        self.hlc = hlc
        self.merge_hlc = merge_hlc
        self.clock = clock
        self.peers: dict[str, Peer] = {}
        self.closed_peers: dict[str, Peer] = {}
        self.traffic = Traffic()
        self.context = zmq.asyncio.Context()
        self.socket = self.context.socket(zmq.ROUTER)
        self.socket.setsockopt(zmq.SNDHWM, 0)
        # Longer ones are not read; without it they are kept until they end.
        self.socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        self.socket.setsockopt(zmq.RCVHWM, MAX_WAITING_MESSAGES)
        self.socket.setsockopt(zmq.BACKLOG, BACKLOG)
        self.inbox = Inbox(
            socket=self.socket,
            incarnation=incarnation,
            handle=handle,
            hlc=hlc,
            merge_hlc=merge_hlc,
            clock=clock,
            traffic=self.traffic,
        )
        self._group: anyio.abc.TaskGroup | None = None

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Run until cancelled; reports as started once the socket is bound."""
        endpoint = private_endpoint()
        self.socket.bind(endpoint)
        try:
            async with (
                guarding(self.bind, endpoint, MAX_MESSAGE_BYTES + OVERHEAD_BYTES),
                anyio.create_task_group() as group,
            ):
                self._group = group
                for peer in self.peers.values():
                    group.start_soon(peer.run)
                group.start_soon(self._close_idle)
                task_status.started()
                await self.inbox.run()
        finally:
            self._group = None
            self.context.destroy(linger=0)

    def send(self, address: str, message: Message) -> OutgoingMessage | Verdict:
        """
        Queue a message for an address, without blocking.

        :param address: `host:port` of the receiver.
        :param message: message to send.
        :return: the queued message, or a `not_run` verdict if the queue is full.
        """
        return self.peer(address).send(message)

    def peer(self, address: str) -> Peer:
        """
        Find the peer for an address, or open one.

        :param address: `host:port` of the other process.
        :return: its peer.
        """
        peer = self.peers.get(address)
        if peer is None:
            peer = self._open(address)
        peer.last_used = self.clock()
        return peer

    def close(self, address: str) -> None:
        """
        Close the peer for an address; it is opened again when next needed.

        :param address: `host:port` of the other process.
        """
        logger.debug("closing the idle connection to {}", address)
        peer = self.peers.pop(address)
        self.closed_peers[address] = peer
        peer.close()

    def is_down(self, address: str) -> bool:
        """
        Check whether an address is known to be unreachable.

        :param address: `host:port` of the other process.
        :return: False also if there is no peer for the address.
        """
        peer = self.peers.get(address)
        return peer is not None and peer.state is PeerState.DOWN

    def is_silent(self, address: str) -> bool:
        """
        Check whether an address does not answer, and does not refuse either.

        :param address: `host:port` of the other process.
        :return: False also if there is no peer for the address.
        """
        return self.is_down(address) and not self.peers[address].refused

    def _open(self, address: str) -> Peer:
        peer = Peer(
            context=self.context,
            address=address,
            identity=f"{self.address}|{self.incarnation}",
            count_peers=lambda: len(self.peers),
            count_streaming_peers=self._count_streaming_peers,
            hlc=self.hlc,
            on_state=self.on_state,
            on_lost=self.on_lost,
            clock=self.clock,
            traffic=self.traffic,
        )
        if address in self.closed_peers:
            peer.continue_from(self.closed_peers.pop(address))
        self.peers[address] = peer
        if self._group is not None:
            self._group.start_soon(peer.run)
        return peer

    def _count_streaming_peers(self) -> int:
        return sum(peer.is_streaming() for peer in self.peers.values())

    async def _close_idle(self) -> None:
        while True:
            await anyio.sleep(IDLE_CHECK_INTERVAL)
            now = self.clock()
            for address, peer in list(self.peers.items()):
                if now - peer.last_used > IDLE_TIMEOUT and not peer.backlog():
                    self.close(address)
