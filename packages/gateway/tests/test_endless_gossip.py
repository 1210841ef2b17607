"""Tests that names without end from a faulty peer take little memory."""

import tracemalloc

import msgspec
from test_gossip import _Clock, _Entry, _Transport

MAX_GROWTH_BYTES = 64 << 20  # of a process
MAX_PEERS = 10_000  # far more entries than a deployment has


def _base() -> list:
    entry = _Entry("10.0.0.1:9", 1, _Clock())
    message = msgspec.msgpack.encode(entry.gossip._build_message())
    return msgspec.msgpack.decode(message)


def _address(number: int) -> str:
    return f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:9"


def _receiver() -> _Entry:
    entry = _Entry("10.255.0.2:9", 2, _Clock())
    entry.gossip.transport = _Transport()
    entry.gossip.on_message = lambda message: None  # keeps none
    return entry


class TestNamesWithoutEnd:
    """Each message of a faulty peer names something else."""

    def test_addresses(self):
        entry, fields = _receiver(), _base()
        for number in range(2 * MAX_PEERS):
            fields[1] = _address(number)
            entry.receive(msgspec.msgpack.encode(fields))
        assert len(entry.gossip.peers) < MAX_PEERS
        assert len(entry.gossip.addresses) < MAX_PEERS

    def test_a_peer_that_is_heard_stays_known(self):
        entry, fields, sound = _receiver(), _base(), _base()
        sound[1] = "10.254.0.1:9"
        for number in range(2 * MAX_PEERS):
            fields[1] = _address(number)
            entry.gossip.clock.now += 0.001
            entry.receive(msgspec.msgpack.encode(fields))
            if number % 250 == 0:
                entry.receive(msgspec.msgpack.encode(sound))
        assert "10.254.0.1:9" in entry.gossip.live_peers()

    def test_incarnations(self):
        entry, fields = _receiver(), _base()
        for number in range(MAX_PEERS):
            fields[0] = number + 1
            entry.receive(msgspec.msgpack.encode(fields))
        [peer] = entry.gossip.peers.values()
        assert len(peer.incarnations) < 100
        assert entry.gossip.is_gone(MAX_PEERS - 1)
        assert not entry.gossip.is_gone(MAX_PEERS)

    def test_servers_with_a_load(self):
        entry, fields = _receiver(), _base()
        tracemalloc.start()
        try:
            for number in range(400):
                fields[1] = _address(number)
                fields[3] = [[f"{number}-{n}", 1, 1] for n in range(4000)]
                entry.receive(msgspec.msgpack.encode(fields))
            assert tracemalloc.get_traced_memory()[0] < MAX_GROWTH_BYTES
        finally:
            tracemalloc.stop()

    def test_features_of_suspects(self):
        entry, fields = _receiver(), _base()
        tracemalloc.start()
        try:
            for number in range(64 * 32):
                features = [f"={number:09}" + "x" * 50_000]
                suspects = [[features, 2, 0.1, ""]]
                crash = [f"s{number % 64}", 1, 0.5, suspects]
                fields[11] = [crash]
                entry.receive(msgspec.msgpack.encode(fields))
            assert tracemalloc.get_traced_memory()[0] < MAX_GROWTH_BYTES
        finally:
            tracemalloc.stop()

    def test_a_block_with_a_long_name_blocks_nothing_else(self):
        entry, fields = _receiver(), _base()
        fields[12] = [[["shared", "x" * 1000], 0.5]]
        entry.receive(msgspec.msgpack.encode(fields))
        assert not entry.quarantine.blocks.active()
