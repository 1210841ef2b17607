"""
Ports.

Free ports of the loopback interface.
"""

import socket

HOST = "127.0.0.1"

_given: set[str] = set()


def free_address() -> str:
    """
    Find an address that nobody listens at, another at each call.

    :return: `host:port`.
    """
    while True:
        address = _probe()
        # One that was given may not be listened at yet, and would be found again.
        if address not in _given:
            _given.add(address)
            return address


def _probe() -> str:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return f"{HOST}:{probe.getsockname()[1]}"
