"""Parses the addresses of servers and entries."""

import ipaddress

MAX_PORT = 65535
MAX_PORT_DIGITS = 5


def parse_address(address: str) -> tuple[str, int] | None:
    """
    Parse an address that a connection can be opened to without a name lookup.

    :param address: `host:port`, where the host is an IP address.
    :return: the host and the port, or None if the address is invalid.
    """
    host, _, port = address.rpartition(":")
    # An interface after the host is that of another machine, and may be any text.
    if "%" in host:
        return None
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return None
    if not port.isascii() or not port.isdigit() or len(port) > MAX_PORT_DIGITS:
        return None
    return (host, int(port)) if 0 < int(port) <= MAX_PORT else None
