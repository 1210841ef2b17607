"""Tests of the addresses that a fleet keeps for its processes."""

import contextlib
import socket

import anyio
import pytest
import zmq

from kumquatway_core.http import serve
from kumquatway_fakes.fleet._fleet import Addresses

WAIT = 20  # seconds

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
def addresses():
    found = Addresses()
    yield found
    found.close()


def bind(address: str) -> None:
    """Take a port as programs do that look for any free one."""
    host, _, port = address.rpartition(":")
    with socket.socket() as other:
        other.bind((host, int(port)))


async def is_answered(address: str) -> bool:
    host, _, port = address.rpartition(":")
    with contextlib.suppress(OSError):
        async with await anyio.connect_tcp(host, int(port)):
            return True
    return False


class TestAddresses:
    """An address of a fleet is taken by none but the process that it is for."""

    def test_no_other_program_takes_it_before_its_process_does(self, addresses):
        with pytest.raises(OSError, match="already in use"):
            bind(addresses.of("vm", "mesh"))

    def test_no_other_program_takes_it_while_its_process_starts_again(self, addresses):
        address = addresses.of("vm", "mesh")
        with zmq.Context() as context, context.socket(zmq.ROUTER) as router:
            router.bind(f"tcp://{address}")
        with pytest.raises(OSError, match="already in use"):
            bind(address)

    async def test_nobody_answers_until_its_process_does(self, addresses):
        address = addresses.of("vm", "http")
        assert not await is_answered(address)
        async with anyio.create_task_group() as group:
            group.start_soon(serve, None, address)
            with anyio.fail_after(WAIT):
                while not await is_answered(address):
                    await anyio.sleep(0.01)
            group.cancel_scope.cancel()

    def test_it_is_free_again_once_the_fleet_has_ended(self, addresses):
        address = addresses.of("vm", "mesh")
        addresses.close()
        bind(address)
