"""Bounds the memory of all request bodies together."""

from collections.abc import Callable

SMALL_BODY_BYTES = 64 * 1024  # up to here, a body does not queue behind larger ones
LARGE_BODIES_SHARE = 0.75  # of the bound; the rest is for small ones


class BodyShare:
    """
    What one request body takes of the bound.

    :param size: declared size in bytes, 0 if it is unknown.
    :param on_admitted: called when a body that had to wait may be read.
    :ivar received: bytes that have arrived.
    :ivar held: bytes that count; of a body that may be read, those to come too.
    :ivar admitted: whether the body may be read; else it waits, or is refused.
    :ivar refused: whether it would wait for too long.
    """

    __slots__ = ("admitted", "held", "on_admitted", "received", "refused", "size")

    def __init__(self, *, size: int, on_admitted: Callable[[], None]):
        self.size = size
        self.on_admitted = on_admitted
        self.received = self.held = 0
        self.admitted = self.refused = False

    def is_small(self) -> bool:
        """Tell whether the body is small, as far as it is known."""
        return self.size <= SMALL_BODY_BYTES


class RequestBodies:
    """
    Decides which request bodies are read, which wait, and which are refused.

    Load pattern: many callers send large bodies at once, each within its own limit.
    Those that fit are read; as many again wait, in the order of their arrival; others
    are refused at once, since they would wait for long. If none is admitted, the first
    one goes on whatever its size, so at least one always does.

    :param max_bytes: bound on all bodies, from the first byte to the end of the answer.
    """

    def __init__(self, *, max_bytes: float = float("inf")):
        self.max_bytes = max_bytes
        self.held = 0  # bytes of all bodies that count
        self.admitted: set[BodyShare] = set()
        self.waiting: list[BodyShare] = []

    def begin(self, size: int, on_admitted: Callable[[], None]) -> BodyShare:
        """
        Begin to count a body; it is then admitted, waiting or refused.

        :param size: declared size in bytes, 0 if it is unknown.
        :param on_admitted: called when a body that had to wait may be read.
        """
        share = BodyShare(size=size, on_admitted=on_admitted)
        if not self._is_behind_others(share) and self._fits(share):
            self._admit(share)
        elif _demand(*self.waiting, share) > self.max_bytes:
            share.refused = True
        else:
            self.waiting.append(share)
        return share

    def receive(self, share: BodyShare, size: int) -> None:
        """
        Count bytes that have arrived; a body of unknown size may then have to wait.

        :param share: of a body that was not refused.
        :param size: number of further bytes.
        """
        share.received += size
        share.size = max(share.size, share.received)
        if not share.admitted:
            self._hold(share, share.received)
        elif share.held >= share.size or self._fits(share):
            self._hold(share, share.size)
        else:
            self._hold(share, share.received)
            share.admitted = False
            self.admitted.discard(share)
            self.waiting.insert(0, share)

    def complete(self, share: BodyShare) -> bool:
        """
        Tell whether a request whose body has arrived whole may be served.

        :param share: of the body; it counts until it is discarded.
        :return: False if the body was not admitted, and does not fit now either.
        """
        if share in self.waiting and self._fits(share):
            self.waiting.remove(share)
            self._admit(share)
        return share.admitted

    def discard(self, share: BodyShare) -> None:
        """
        Forget a body that is no longer held, and let others go on.

        :param share: of the body; nothing happens the second time.
        """
        self._hold(share, 0)
        self.admitted.discard(share)
        if share in self.waiting:
            self.waiting.remove(share)
        share.admitted = False
        self._admit_waiting()

    def _admit_waiting(self) -> None:
        is_behind = False
        for share in tuple(self.waiting):
            if not (is_behind and not share.is_small()) and self._fits(share):
                self.waiting.remove(share)
                self._admit(share)
                share.on_admitted()
            else:
                is_behind = is_behind or not share.is_small()

    def _admit(self, share: BodyShare) -> None:
        share.admitted = True
        self.admitted.add(share)
        self._hold(share, share.size)

    def _hold(self, share: BodyShare, size: int) -> None:
        self.held += size - share.held
        share.held = size

    def _is_behind_others(self, share: BodyShare) -> bool:
        """Tell whether a body has to queue; small ones do not."""
        return not share.is_small() and any(not one.is_small() for one in self.waiting)

    def _fits(self, share: BodyShare) -> bool:
        """Tell whether all of a body fits, or no other one is read or served."""
        if not self.admitted - {share}:
            return True
        room = self.max_bytes * (1.0 if share.is_small() else LARGE_BODIES_SHARE)
        return self.held - share.held + share.size <= room


def _demand(*shares: BodyShare) -> int:
    """Return the bytes that bodies will need; the size of some is yet unknown."""
    return sum(max(share.size, SMALL_BODY_BYTES) for share in shares)
