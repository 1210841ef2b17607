"""
Writes the log lines of a process to standard output from a bounded buffer.

A reader of the output that is slow or absent never blocks the process.
"""

import asyncio
import os
import stat
from collections import deque

DEFAULT_CAPACITY = 4000  # lines
FLUSH_PERIOD_SECONDS = 0.1
CHUNK_BYTES = 32 * 1024  # lines are joined to a chunk until it has this size


class LogLineBuffer:
    """
    A bounded buffer of log lines that drops less important lines first.

    :param descriptor: file descriptor to write to; a pipe or a socket is set to
        non-blocking mode.
    :param capacity: maximum number of lines kept while the reader does not read.
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
        Add a line.

        A full buffer drops an unimportant line near its start, or else its oldest line.

        :param line: line with its line break.
        :param important: whether the line reports a failure or a change in what the
            process assumes about other processes.
        """
        if len(self.lines) >= self.capacity:
            self._drop_line()
        self.lines.append((important, line))

    def _drop_line(self) -> None:
        self.dropped += 1
        for index, (important, _) in enumerate(self.lines):
            if not important:
                del self.lines[index]
                return
            if index > 64:  # a search of the whole buffer would take too long
                break
        self.lines.popleft()

    async def run(self) -> None:
        """Flush the buffer periodically until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_PERIOD_SECONDS)
            self.flush()

    def flush(self) -> None:
        """Write as much as the reader accepts now; drop all lines on an error."""
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
