"""Tests of the ports that the stand-ins listen at."""

import socket
import subprocess
import sys
from pathlib import Path

import pytest

from kumquatway_fakes import HOST, free_address
from kumquatway_fakes._ports import BLOCK, END_PORT, FIRST_PORT, MAX_BLOCKS, Ports

OUTGOING_PORTS = Path("/proc/sys/net/ipv4/ip_local_port_range")
KINDS = (socket.SOCK_STREAM, socket.SOCK_DGRAM)
MANY = 600
DRAW_AND_WAIT = f"""
import sys
from kumquatway_fakes import free_address
print(*(free_address() for _ in range({MANY})), flush=True)
sys.stdin.read()
"""


@pytest.fixture
def ports():
    found = Ports()
    yield found
    found.close()


@pytest.fixture
def block(ports):
    """Have `ports` own one block only; return its first port."""
    first = ports.draw() // BLOCK * BLOCK
    ports.blocks.clear()
    return first


def draw_all(ports: Ports) -> list[int]:
    """Draw what is left."""
    given = []
    with pytest.raises(RuntimeError, match="no free port"):
        while True:
            given.append(ports.draw())
    return given


class TestPorts:
    """An address is given once, and stays free until it is listened at."""

    def test_no_address_is_given_twice(self):
        given = [free_address() for _ in range(MANY)]
        assert len(set(given)) == MANY
        for address in given:
            host, _, port = address.rpartition(":")
            assert host == HOST
            assert FIRST_PORT <= int(port) < END_PORT

    @pytest.mark.parametrize("kind", KINDS)
    @pytest.mark.usefixtures("block")
    def test_a_port_in_use_is_passed_over(self, ports, kind):
        taken = ports.draw()
        ports.left.append(taken)
        with socket.socket(socket.AF_INET, kind) as used:
            used.bind((HOST, taken))
            given = draw_all(ports)
        assert given
        assert taken not in given

    def test_no_outgoing_connection_can_take_the_port(self):
        if OUTGOING_PORTS.exists():
            lowest = int(OUTGOING_PORTS.read_text().split()[0])
            assert lowest >= END_PORT


class TestTwoOwners:
    """What one process was given no other one is, before it is listened at too."""

    def test_no_two_processes_are_given_the_same_address(self):
        with subprocess.Popen(
            [sys.executable, "-c", DRAW_AND_WAIT],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        ) as other:
            theirs = set(other.stdout.readline().split())
            ours = {free_address() for _ in range(MANY)}
            other.stdin.close()
        assert len(theirs) == len(ours) == MANY
        assert not theirs & ours

    def test_no_port_of_a_block_that_is_held_is_given(self, block):
        assert not draw_all(Ports(first=block, end=block + BLOCK))

    def test_a_block_whose_owner_has_ended_is_given_again(self, block, ports):
        ports.close()
        other = Ports(first=block, end=block + BLOCK)
        try:
            assert block < other.draw() < block + BLOCK
        finally:
            other.close()

    def test_no_port_is_given_twice_where_the_range_ends(self, block, ports):
        given = draw_all(ports)
        assert len(set(given)) == len(given)
        assert all(block < port < block + BLOCK for port in given)

    def test_a_long_run_leaves_blocks_to_others(self, ports):
        given = []
        while len(set(given)) == len(given):
            given.append(ports.draw())
        assert len(ports.held) == MAX_BLOCKS
        assert len(given) > MAX_BLOCKS * BLOCK // 2
        assert len(given) - 1 - given.index(given[-1]) > MAX_BLOCKS * BLOCK // 2
