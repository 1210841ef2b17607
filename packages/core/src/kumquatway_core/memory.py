"""
Bounds what a process holds in memory for others, over all of its readers.

Load pattern: servers in trouble send bytes without end to many requests at once. Each
response is within its own limit, and all of them together exhaust the memory.
"""

import ctypes
import gc
from collections.abc import Callable, Hashable

OBJECT_BYTES = 64  # that a small object takes besides its content, on average
LARGE_BLOCK_BYTES = 128 * 1024
_M_MMAP_THRESHOLD = -3  # of mallopt(3)


def return_large_blocks() -> None:
    """
    Have the C library give large blocks back to the system once they are freed.

    By default it does so until the first of them is freed, and then keeps others up to
    its size. A C library that does not know the option is left as it is.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(_M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)


def exempt_from_collection() -> None:
    """
    Exempt the objects that exist now from collections of garbage.

    For a process that has started: what it has imported and built stays to its end.
    Each full collection would go through all of it, while nothing else runs.
    """
    gc.collect()
    gc.freeze()


class MemoryShare:
    """
    What one reader holds, as part of a budget.

    :param sender: who sent it; the shares of one sender are judged together.
    :param give_up: frees what is held, and ends its transfer.
    :ivar size: in bytes.
    """

    __slots__ = ("give_up", "sender", "size")

    def __init__(self, *, sender: Hashable, give_up: Callable[[], None]):
        self.sender = sender
        self.give_up = give_up
        self.size = 0


class MemoryBudget:
    """
    The memory that readers of a process may hold together.

    While they hold more, the sender that takes most of it loses its largest share.

    :param max_bytes: bound on all shares, in bytes.
    :ivar held: bytes of all shares.
    """

    def __init__(self, *, max_bytes: float):
        self.max_bytes = max_bytes
        self.held = 0
        self._shares: set[MemoryShare] = set()

    def begin(self, sender: Hashable, give_up: Callable[[], None]) -> MemoryShare:
        """
        Return an empty share.

        :param sender: who sends what will be held.
        :param give_up: called when the share is given up; its size is 0 by then.
        """
        return MemoryShare(sender=sender, give_up=give_up)

    def resize(self, share: MemoryShare, size: int) -> None:
        """
        Count what a reader holds now; give up the largest shares beyond the bound.

        :param share: of the reader.
        :param size: in bytes, 0 once nothing is held.
        """
        self._count(share, size)
        while self.held > self.max_bytes:
            largest = self._largest()
            self._count(largest, 0)
            largest.give_up()

    def _count(self, share: MemoryShare, size: int) -> None:
        self.held += size - share.size
        share.size = size
        if size:
            self._shares.add(share)
        else:
            self._shares.discard(share)

    def _largest(self) -> MemoryShare:
        """Return the largest share of the sender that holds most in all."""
        totals: dict[Hashable, int] = {}
        for share in self._shares:
            totals[share.sender] = totals.get(share.sender, 0) + share.size
        return max(self._shares, key=lambda one: (totals[one.sender], one.size))
