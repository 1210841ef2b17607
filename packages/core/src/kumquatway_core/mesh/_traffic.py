"""
Traffic.

Counts what a process sends and takes in.
"""

from collections.abc import Sequence
from dataclasses import dataclass

FRAME_BYTES = 2  # header of a short frame


@dataclass(kw_only=True, slots=True)
class Traffic:
    """
    Totals over all connections, without the headers of TCP and IP.

    :param sent: messages.
    :param received: messages.
    """

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0

    def add_sent(self, frames: Sequence[bytes]) -> None:
        """
        Count a message that leaves.

        :param frames: on the wire.
        """
        self.sent += 1
        self.sent_bytes += sum(map(len, frames)) + FRAME_BYTES * len(frames)

    def add_received(self, frames: Sequence[bytes]) -> None:
        """
        Count a message that arrived.

        :param frames: on the wire.
        """
        self.received += 1
        self.received_bytes += sum(map(len, frames)) + FRAME_BYTES * len(frames)
