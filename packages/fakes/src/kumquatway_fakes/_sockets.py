"""Chooses how stand-ins end their connections."""

import socket
import struct


def reset_on_close(connection: socket.socket, enabled: bool = True) -> None:
    """
    Choose whether the kernel resets a connection (RST) when it is closed.

    Otherwise `abort` of a transport closes it in an orderly way (FIN) too, unless bytes
    of the peer were not read. One that is closed already is left as it is.

    :param connection: a TCP socket, or a transport's view of it.
    :param enabled: True to reset it, False to close it in an orderly way.
    """
    if connection.fileno() < 0:
        return
    linger = struct.pack("ii", enabled, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
