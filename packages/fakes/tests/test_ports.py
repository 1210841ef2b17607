"""Tests of the ports that the stand-ins listen at."""

import socket
from pathlib import Path

from kumquatway_fakes import HOST, _ports, free_address

OUTGOING_PORTS = Path("/proc/sys/net/ipv4/ip_local_port_range")


class TestPorts:
    """An address is given once, and stays free until it is listened at."""

    def test_a_port_that_is_found_again_is_passed_over(self, monkeypatch):
        found = iter([11_001, 11_001, 11_002])
        monkeypatch.setattr(_ports, "_given", set())
        monkeypatch.setattr(_ports, "_is_free", lambda port: True)
        monkeypatch.setattr(_ports, "_draw", found.__next__)
        assert free_address() == f"{HOST}:11001"
        assert free_address() == f"{HOST}:11002"

    def test_a_port_in_use_is_passed_over(self, monkeypatch):
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as used:
                taken = int(free_address().rpartition(":")[2])
                used.bind((HOST, taken))
                found = iter([taken, *range(20_000, 20_100)])
                monkeypatch.setattr(_ports, "_given", set())
                monkeypatch.setattr(_ports, "_draw", found.__next__)
                assert free_address() != f"{HOST}:{taken}"
                monkeypatch.undo()

    def test_no_outgoing_connection_can_take_the_port(self):
        if OUTGOING_PORTS.exists():
            lowest = int(OUTGOING_PORTS.read_text().split()[0])
            assert lowest >= _ports.END_PORT
