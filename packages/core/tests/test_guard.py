"""Tests of the guard that bounds the messages of senders."""

import time

import pytest

from kumquatway_core.exceptions import WireError
from kumquatway_core.mesh._guard import PART_BYTES, READ_BYTES, FrameReader

GREETING = b"\xff" + bytes(8) + b"\x7f\x03\x00" + b"NULL".ljust(20, b"\0") + bytes(32)
READY = b"\x04\x1c\x05READY\x0bSocket-Type\x00\x00\x00\x06DEALER"
MAX_BYTES = 1000
MAX_SECONDS = 0.01  # for what is read at a time


def part(size: int, *, more: bool = False, command: bool = False) -> bytes:
    """Return a frame of a size, in the shorter form if there is one."""
    flags = more + 4 * command
    if size < 256:
        return bytes([flags, size]) + bytes(size)
    return bytes([flags + 2]) + size.to_bytes(8, "big") + bytes(size)


def read(data: bytes, *, piece: int) -> FrameReader:
    """Read what a sender sends after the handshake, in pieces of a size."""
    reader = FrameReader(MAX_BYTES)
    sent = GREETING + READY + data
    for start in range(0, len(sent), piece):
        reader.read(sent[start : start + piece])
    return reader


@pytest.mark.parametrize("piece", [1, 2, 7, 64, 10_000])
class TestMessages:
    """Messages are counted in whatever pieces they arrive."""

    def test_short_ones_pass(self, piece):
        message = part(8, more=True) + part(MAX_BYTES - 8 - 2 * PART_BYTES)
        assert read(message * 5, piece=piece).held == 0

    def test_a_byte_too_many_is_refused(self, piece):
        with pytest.raises(WireError):
            read(part(8, more=True) + part(MAX_BYTES - 7 - 2 * PART_BYTES), piece=piece)

    def test_an_unfinished_one_is_counted(self, piece):
        reader = read(part(300) + part(300, more=True), piece=piece)
        assert reader.held == 300 + PART_BYTES

    def test_parts_without_content_are_counted(self, piece):
        with pytest.raises(WireError):
            read(part(0, more=True) * (MAX_BYTES // PART_BYTES + 1), piece=piece)

    def test_commands_do_not_end_a_message(self, piece):
        both = part(8, more=True) + part(8, command=True)
        with pytest.raises(WireError):
            read(both * (MAX_BYTES // (8 + PART_BYTES)), piece=piece)

    def test_commands_between_messages_do_not_add_up(self, piece):
        assert read((part(300, command=True) + part(8)) * 20, piece=piece).held == 0

    def test_a_command_in_parts_is_refused(self, piece):
        with pytest.raises(WireError):
            read(part(8, more=True, command=True), piece=piece)


class TestGreeting:
    """A sender that does not begin as ZMTP 3 does."""

    @pytest.mark.parametrize(
        "greeting",
        [b"GET / HTTP/1.1\r\n" * 4, GREETING[:10] + b"\x01" + GREETING[11:]],
    )
    def test_it_is_refused(self, greeting):
        with pytest.raises(WireError):
            FrameReader(MAX_BYTES).read(greeting)


class TestSmallestFrames:
    """Frames of two bytes, as many as are read at a time."""

    def test_they_take_little_time(self):
        reader = read(b"", piece=100)
        data = part(0) * (READ_BYTES // 2)
        started = time.thread_time()
        reader.read(data)
        assert time.thread_time() - started < MAX_SECONDS
