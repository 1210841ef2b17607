"""
Connection.

One socket to one address, and the events of its transport.
"""

import itertools

import zmq
import zmq.asyncio
from zmq.utils.monitor import parse_monitor_message

from kumquatway_core.mesh._traffic import Traffic

RECONNECT_MS = 50
SEQUENCE_BYTES = 8
CLOSED_EVENTS = zmq.EVENT_DISCONNECTED
REFUSED_EVENTS = zmq.EVENT_CLOSED | zmq.EVENT_CONNECT_RETRIED

_numbers = itertools.count()


class Connection:
    """
    A DEALER and its monitor.

    :param context: of pyzmq.
    :param address: `host:port` of the other end.
    :param identity: unique among the connections to that end.
    :param traffic: counts the messages.
    :raises zmq.ZMQError: if the address is none.
    """

    def __init__(
        self,
        *,
        context: zmq.asyncio.Context,
        address: str,
        identity: str,
        traffic: Traffic | None = None,
    ):
        self.traffic = traffic or Traffic()
        self.socket = context.socket(zmq.DEALER)
        self.socket.setsockopt(zmq.IDENTITY, identity.encode())
        self.socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
        self.socket.setsockopt(zmq.SNDHWM, 0)
        # A name of our own: the library's default repeats with the descriptor.
        name = f"inproc://connection-{next(_numbers)}"
        self.socket.monitor(name, CLOSED_EVENTS | REFUSED_EVENTS)
        self.monitor_socket = context.socket(zmq.PAIR)
        self.monitor_socket.connect(name)
        try:
            self.socket.connect(f"tcp://{address}")
        except zmq.ZMQError:
            self.close()
            raise

    async def send(self, sequence: int, data: bytes) -> None:
        """
        Send a message.

        :param sequence: its place among the messages to the other end, 0 for none.
        :param data: encoded.
        """
        head = sequence.to_bytes(SEQUENCE_BYTES, "big")
        frames = [head, data]
        self.traffic.add_sent(frames)
        await self.socket.send_multipart(frames)

    async def receive(self) -> bytes:
        """
        Wait for an answer.

        :return: encoded.
        """
        frames = await self.socket.recv_multipart()
        self.traffic.add_received(frames)
        return frames[-1]

    async def wait_for_event(self, events: int) -> None:
        """
        Wait for an event of the transport.

        :param events: `CLOSED` or `REFUSED`.
        """
        while True:
            frames = await self.monitor_socket.recv_multipart()
            if parse_monitor_message(frames)["event"] & events:
                return

    def close(self) -> None:
        """Close both sockets; what was not sent is dropped."""
        self.socket.disable_monitor()
        self.monitor_socket.close(linger=0)
        self.socket.close(linger=0)
