"""Tests of log lines before a reader that does not read."""

import os

from kumquatway_core.events import LogLineBuffer


class TestLines:
    """The ring before standard output."""

    def _open(self, capacity: int = 100) -> tuple[LogLineBuffer, int]:
        reader, writer = os.pipe()
        return LogLineBuffer(descriptor=writer, capacity=capacity), reader

    def _read(self, reader: int) -> bytes:
        os.set_blocking(reader, False)
        found = b""
        try:
            while piece := os.read(reader, 1 << 20):
                found += piece
        except BlockingIOError:
            pass
        return found

    def test_lines_come_out_in_order(self):
        lines, reader = self._open()
        lines.put(b"one\n")
        lines.put(b"two\n")
        lines.flush()
        assert self._read(reader) == b"one\ntwo\n"

    def test_a_reader_that_does_not_read_costs_lines_only(self):
        lines, reader = self._open(capacity=1000)
        for number in range(20_000):
            lines.put(b"%d %s\n" % (number, b"x" * 100))
            lines.flush()
        assert lines.dropped > 0
        assert len(lines.lines) <= 1000
        before = self._read(reader)
        lines.flush()
        after = before + self._read(reader)
        while lines.lines or lines.unwritten:
            lines.flush()
            after += self._read(reader)
        assert b'{"lines_dropped":' in after
        assert after.endswith(b"x\n")

    def test_the_less_important_go_first(self):
        lines, reader = self._open(capacity=3)
        lines.put(b"refused\n")
        lines.put(b"usual 1\n", important=False)
        lines.put(b"usual 2\n", important=False)
        lines.put(b"failed\n")
        lines.flush()
        assert self._read(reader) == b'{"lines_dropped":1}\nrefused\nusual 2\nfailed\n'

    def test_a_reader_that_is_gone_ends_nothing(self):
        lines, reader = self._open()
        os.close(reader)
        lines.put(b"one\n")
        lines.flush()
        assert not lines.lines
