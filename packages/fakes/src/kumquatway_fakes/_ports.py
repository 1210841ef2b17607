"""
Ports.

Free ports of the loopback interface.
"""

import random
import socket

HOST = "127.0.0.1"
# Below the range from which the system gives ports to outgoing connections, which
# would take one between its being found here and its being listened at.
FIRST_PORT = 10_000
END_PORT = 32_000
BLOCK = 200  # ports
MAX_BLOCKS = 10  # of a process


class Ports:
    """
    The ports that one process gives.

    They come in blocks. Whoever has the first port of a block bound owns the others,
    so no other process gives them, listened at or not; the system lets go of the block
    when its owner ends. One that has used up its blocks begins again with the first.

    :param first: lowest port of the range that all processes share.
    :param end: above the highest one.
    """

    def __init__(self, *, first: int = FIRST_PORT, end: int = END_PORT):
        self.blocks = list(range(first, end, BLOCK))
        # No seed that a test sets may have two processes try the same block first.
        random.SystemRandom().shuffle(self.blocks)
        self.held: list[socket.socket] = []
        self.left: list[int] = []

    def draw(self) -> int:
        """
        Find a port that nobody listens at, another one for a long time.

        :return: a port that is free for TCP and UDP.
        :raises RuntimeError: if other processes hold the rest of the range.
        """
        while True:
            if not self.left:
                self._refill()
            port = self.left.pop()
            if _is_free(port):
                return port

    def close(self) -> None:
        """Let go of the blocks."""
        for lock in self.held:
            lock.close()
        self.held.clear()
        self.left.clear()

    def _refill(self) -> None:
        if len(self.held) < MAX_BLOCKS:
            self._take_block()
            return
        firsts = [lock.getsockname()[1] for lock in reversed(self.held)]
        self.left = [port for first in firsts for port in _ports_of(first)]

    def _take_block(self) -> None:
        while self.blocks:
            first = self.blocks.pop()
            lock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            try:
                lock.bind((HOST, first))
            except OSError:
                lock.close()
                continue
            self.held.append(lock)
            self.left = _ports_of(first)
            return
        raise RuntimeError(f"no free port: {len(self.held)} blocks are used up")


def _ports_of(first: int) -> list[int]:
    """List the ports of a block that its owner gives, in the order of `pop`."""
    return list(range(first + BLOCK - 1, first, -1))


_ports = Ports()


def free_address() -> str:
    """
    Find an address that nobody listens at, another one for a long time.

    :return: `host:port`, free for TCP and UDP.
    """
    return f"{HOST}:{_ports.draw()}"


def hold(address: str) -> socket.socket:
    """
    Keep a port for a program that will listen at it, perhaps more than once.

    Connections are refused until then. Linux lets a listener with `SO_REUSEADDR`, as
    servers set it, share the port with a socket that does not listen; who looks for
    any free port does not get it.

    :param address: `host:port`, free for TCP.
    :return: the socket that holds it, to be closed.
    """
    host, _, port = address.rpartition(":")
    held = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        held.bind((host, int(port)))
    except OSError:
        held.close()
        raise
    return held


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                return False
    return True
