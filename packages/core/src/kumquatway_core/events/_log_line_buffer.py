"""
Lines.

A process's log lines on their way to standard output: bounded, and never waited for.
"""

import asyncio
import os
import stat
from collections import deque

DEFAULT_CAPACITY = 4000  # lines kept while the reader is slow
FLUSH_PERIOD_SECONDS = 0.1  # between writes
CHUNK_BYTES = 32 * 1024  # at most in one write


class LogLineBuffer:
    """
    A ring of lines that drops the less important ones first.

    :param descriptor: file descriptor that is written to.
    :param capacity: lines kept while nobody reads.
    """

    def __init__(self, *, descriptor: int = 1, capacity: int = DEFAULT_CAPACITY):
        self.descriptor = descriptor
        self.capacity = capacity
        self.lines: deque[tuple[bool, bytes]] = deque()
        self.unwritten = b""
        self.dropped = 0
        self.reported_dropped = 0
        mode = os.fstat(descriptor).st_mode
        if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
            os.set_blocking(descriptor, False)

    def put(self, line: bytes, *, important: bool = True) -> None:
        """
        Add a line; a full ring drops an old line that need not be kept, or the oldest.

        :param line: with its end.
        :param keep: whether it tells of a failure or of a change of belief.
        """
        if len(self.lines) >= self.capacity:
            self._drop_line()
        self.lines.append((important, line))

    def _drop_line(self) -> None:
        self.dropped += 1
        for index, (keep, _) in enumerate(self.lines):
            if not keep:
                del self.lines[index]
                return
            if index > 64:  # a search through the whole ring would cost too much
                break
        self.lines.popleft()

    async def run(self) -> None:
        """Write now and then, for ever."""
        while True:
            await asyncio.sleep(FLUSH_PERIOD_SECONDS)
            self.flush()

    def flush(self) -> None:
        """Write as much as the reader takes now."""
        while self.unwritten or self.lines:
            if not self.unwritten:
                self.unwritten = self._take_chunk()
            try:
                written = os.write(self.descriptor, self.unwritten)
            except BlockingIOError:
                return
            except OSError:
                self.unwritten = b""
                self.lines.clear()
                return
            self.unwritten = self.unwritten[written:]

    def _take_chunk(self) -> bytes:
        parts = []
        size = 0
        if self.dropped > self.reported_dropped:
            parts.append(
                b'{"lines_dropped":%d}\n' % (self.dropped - self.reported_dropped)
            )
            self.reported_dropped = self.dropped
        while self.lines and size < CHUNK_BYTES:
            _, line = self.lines.popleft()
            parts.append(line)
            size += len(line)
        return b"".join(parts)
