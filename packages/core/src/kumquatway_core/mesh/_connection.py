"""A ZeroMQ socket connected to one address, with its transport events."""

import itertools

import zmq
import zmq.asyncio
from zmq.utils.monitor import parse_monitor_message

from kumquatway_core.mesh._traffic import Traffic
from kumquatway_core.wire import MAX_MESSAGE_BYTES

RECONNECT_MS = 50
SEQUENCE_BYTES = 8
CLOSED_EVENTS = zmq.EVENT_DISCONNECTED
REFUSED_EVENTS = zmq.EVENT_CLOSED | zmq.EVENT_CONNECT_RETRIED

_monitor_numbers = itertools.count()


class Connection:
    """
    A DEALER socket and the monitor of its transport events.

    :param context: pyzmq context of the process.
    :param address: `host:port` of the other end.
    :param identity: identity of the socket, unique among all connections to
        the other end.
    :param traffic: counter of the messages sent and received.
    :raises zmq.ZMQError: if the address is invalid.
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
        self.socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        # pyzmq derives its default endpoint from the file descriptor, which is
        # reused, so the endpoint would not be unique.
        endpoint = f"inproc://connection-{next(_monitor_numbers)}"
        self.socket.monitor(endpoint, CLOSED_EVENTS | REFUSED_EVENTS)
        self.monitor_socket = context.socket(zmq.PAIR)
        self.monitor_socket.connect(endpoint)
        try:
            self.socket.connect(f"tcp://{address}")
        except zmq.ZMQError:
            self.close()
            raise

    async def send(self, sequence: int, data: bytes) -> None:
        """
        Send a message.

        :param sequence: sequence number of the message, 0 if it has none.
        :param data: the encoded message.
        """
        header = sequence.to_bytes(SEQUENCE_BYTES, "big")
        frames = [header, data]
        self.traffic.add_sent(frames)
        await self.socket.send_multipart(frames)

    async def receive(self) -> bytes:
        """
        Wait for a message from the other end.

        :return: the encoded message.
        """
        frames = await self.socket.recv_multipart()
        self.traffic.add_received(frames)
        return frames[-1]

    async def wait_for_event(self, events: int) -> None:
        """
        Wait for a transport event.

        :param events: bit mask of events, `CLOSED_EVENTS` or `REFUSED_EVENTS`.
        """
        while True:
            frames = await self.monitor_socket.recv_multipart()
            if parse_monitor_message(frames)["event"] & events:
                return

    def close(self) -> None:
        """Close both sockets and drop unsent messages."""
        self.socket.disable_monitor()
        self.monitor_socket.close(linger=0)
        self.socket.close(linger=0)
