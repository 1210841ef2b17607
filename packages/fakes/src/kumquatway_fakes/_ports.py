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

_given: set[int] = set()
_random = (
    random.SystemRandom()
)  # no seed that a test sets gives two runs the same ports


def free_address() -> str:
    """
    Find an address that nobody listens at, another at each call.

    :return: `host:port`, free for TCP and UDP.
    """
    while True:
        port = _draw()
        # One that was given may not be listened at yet, and would be found again.
        if port not in _given and _is_free(port):
            _given.add(port)
            return f"{HOST}:{port}"


def _draw() -> int:
    return _random.randrange(FIRST_PORT, END_PORT)


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                return False
    return True
