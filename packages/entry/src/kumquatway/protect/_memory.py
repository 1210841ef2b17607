"""
Memory bound.

Bounds the bytes that a process buffers for its requests.
"""

from collections.abc import Iterator
from contextlib import contextmanager

from kumquatway_core import Reason, Verdict, not_run


class MemoryBound:
    """
    Bytes reserved by the requests in progress.

    :param limit: the bound of the process, bytes.
    """

    def __init__(self, *, limit: int):
        self.limit = limit
        self.reserved = 0
        self.highest = 0

    def reserve(self, size: int) -> bool:
        """
        Reserve room before bytes are read.

        :param size: bytes.
        :return: False if the bound would be passed; nothing is reserved then.
        """
        if self.reserved + size > self.limit:
            return False
        self.reserved += size
        self.highest = max(self.highest, self.reserved)
        return True

    def release(self, size: int) -> None:
        """
        Give back room.

        :param size: bytes reserved before.
        """
        self.reserved -= size

    @contextmanager
    def hold(self, size: int) -> Iterator[Verdict | None]:
        """
        Reserve room for the length of a block.

        :param size: bytes.
        :return: None, or the verdict to answer if there is no room.
        """
        if not self.reserve(size):
            yield not_run(Reason.OVERLOADED, "no memory to buffer it", 1.0)
            return
        try:
            yield None
        finally:
            self.release(size)
