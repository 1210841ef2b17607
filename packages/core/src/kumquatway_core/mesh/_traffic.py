"""Counts the messages and bytes that a process sends and receives."""

from collections.abc import Sequence
from dataclasses import dataclass

FRAME_BYTES = 2  # header of a short ZeroMQ frame


@dataclass(kw_only=True, slots=True)
class Traffic:
    """
    Totals over all connections, without TCP and IP headers.

    :param sent: number of messages sent.
    :param sent_bytes: bytes sent, with frame headers.
    :param received: number of messages received.
    :param received_bytes: bytes received, with frame headers.
    """

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0

    def add_sent(self, frames: Sequence[bytes]) -> None:
        """
        Count a sent message.

        :param frames: frames of the message.
        """
        self.sent += 1
        self.sent_bytes += sum(map(len, frames)) + FRAME_BYTES * len(frames)

    def add_received(self, frames: Sequence[bytes]) -> None:
        """
        Count a received message.

        :param frames: frames of the message.
        """
        self.received += 1
        self.received_bytes += sum(map(len, frames)) + FRAME_BYTES * len(frames)
