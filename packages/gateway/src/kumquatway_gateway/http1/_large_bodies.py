"""Bounds the memory of all large response bodies together."""

from typing import Protocol

LARGE_BODY_BYTES = 1024 * 1024  # smaller ones do not count
MAX_LARGE_BODIES_BYTES = 32 * 1024 * 1024


class LargeBody(Protocol):
    """A response body that is being buffered."""

    def buffered_bytes(self) -> int:
        """Return its size so far."""

    def give_up(self) -> None:
        """Free the body, and discard it from the large bodies."""


class LargeBodies:
    """
    The large response bodies that are being buffered.

    Load pattern: servers in trouble send bodies without end to many requests at once.
    Each body is within its own limit.
    """

    def __init__(self):
        self.bodies: set[LargeBody] = set()

    def observe(self, body: LargeBody) -> None:
        """
        Record that a body has grown; give up the largest if all are too large.

        :param body: the body; ignored while it is not large.
        """
        if body.buffered_bytes() <= LARGE_BODY_BYTES:
            return
        self.bodies.add(body)
        while self._total_bytes() > MAX_LARGE_BODIES_BYTES:
            max(self.bodies, key=lambda one: one.buffered_bytes()).give_up()

    def discard(self, body: LargeBody) -> None:
        """Forget a body that has ended."""
        self.bodies.discard(body)

    def _total_bytes(self) -> int:
        return sum(body.buffered_bytes() for body in self.bodies)
