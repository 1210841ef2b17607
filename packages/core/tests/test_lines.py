"""Tests of the buffer of log lines, with readers that are slow or absent."""

import os

from kumquatway_core.events import LogLineBuffer


class TestLogLineBuffer:
    """Buffering of log lines before a pipe."""

    def _open(self, capacity: int = 100) -> tuple[LogLineBuffer, int]:
        reader, writer = os.pipe()
        return LogLineBuffer(descriptor=writer, capacity=capacity), reader

    def _read(self, reader: int) -> bytes:
        os.set_blocking(reader, False)
        data = b""
        try:
            while piece := os.read(reader, 1 << 20):
                data += piece
        except BlockingIOError:
            pass
        return data

    def test_lines_are_written_in_order(self):
        lines, reader = self._open()
        lines.put(b"one\n")
        lines.put(b"two\n")
        lines.flush()
        assert self._read(reader) == b"one\ntwo\n"

    def test_slow_reader_causes_only_dropped_lines(self):
        lines, reader = self._open(capacity=1000)
        for number in range(20_000):
            lines.put(b"%d %s\n" % (number, b"x" * 100))
            lines.flush()
        assert lines.dropped > 0
        assert len(lines.lines) <= 1000
        first = self._read(reader)
        lines.flush()
        output = first + self._read(reader)
        while lines.lines or lines.unwritten:
            lines.flush()
            output += self._read(reader)
        assert b'{"lines_dropped":' in output
        assert output.endswith(b"x\n")

    def test_less_important_lines_are_dropped_first(self):
        lines, reader = self._open(capacity=3)
        lines.put(b"refused\n")
        lines.put(b"usual 1\n", important=False)
        lines.put(b"usual 2\n", important=False)
        lines.put(b"failed\n")
        lines.flush()
        assert self._read(reader) == b'{"lines_dropped":1}\nrefused\nusual 2\nfailed\n'

    def test_closed_reader_raises_no_error(self):
        lines, reader = self._open()
        os.close(reader)
        lines.put(b"one\n")
        lines.flush()
        assert not lines.lines
