"""
Mesh.

One bound socket, and one peer for each address that this process sends to.
"""

import time
from collections.abc import Callable

import anyio
import zmq
import zmq.asyncio
from loguru import logger

from kumquatway_core import Verdict
from kumquatway_core.mesh._inbox import Inbox, Sender
from kumquatway_core.mesh._peer import OutgoingMessage, Peer, PeerState
from kumquatway_core.mesh._traffic import Traffic
from kumquatway_core.wire import Message

IDLE_TIMEOUT = 120.0  # seconds without use after which a peer is closed
IDLE_CHECK_INTERVAL = 10.0  # seconds

Handler = Callable[[Sender, Message], None]


def zero_clock() -> int:
    """
    Stand in for a hybrid logical clock.

    :return: 0.
    """
    return 0


class Mesh:
    """
    The messages of one process.

    :param address: `host:port` where others reach this process; also its name.
    :param bind: `host:port` to listen at, if that differs.
    :param incarnation: this life of the process; higher than any before.
    :param handle: called with each message, once and in order for each sender.
    :param on_state: called at each change of a peer's state.
    :param on_lost: called with messages whose receiver restarted.
    :param hlc: reads the hybrid logical clock.
    :param merge: takes in the clock of another process.
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
        """Serve until cancelled; started once the address is bound."""
        self.socket.bind(f"tcp://{self.bind}")
        try:
            async with anyio.create_task_group() as group:
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
        Send a message; it never blocks.

        :param address: of the receiver.
        :param message: what to send.
        :return: the parcel, or a verdict of `not_run` if the queue is full.
        """
        return self.peer(address).send(message)

    def peer(self, address: str) -> Peer:
        """
        Find or open the connection to an address.

        :param address: of the other process.
        :return: its peer.
        """
        peer = self.peers.get(address)
        if peer is None:
            peer = self._open(address)
        peer.last_used = self.clock()
        return peer

    def close(self, address: str) -> None:
        """
        Close the connection to an address until something is sent there.

        :param address: of the other process.
        """
        logger.debug("closing the idle connection to {}", address)
        peer = self.peers.pop(address)
        self.closed_peers[address] = peer
        peer.close()

    def is_down(self, address: str) -> bool:
        """
        Tell whether an address is known not to answer.

        :param address: of the other process.
        :return: False also if nothing is known.
        """
        peer = self.peers.get(address)
        return peer is not None and peer.state is PeerState.DOWN

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
