"""Tests that no gossip message of a peer ends the task that sends and receives them."""

import math

import msgspec
import pytest
from hypothesis import given, settings, strategies as st
from test_gossip import _Clock, _Entry, _Transport

ADDRESSES = ["", "x", ":", "10.0.0.9", "10.0.0.9:", "10.0.0.9:99999", "a b:1", ":-1"]


class _StrictTransport(_Transport):
    """Refuses targets that a socket refuses."""

    def sendto(self, data, target):
        host, port = target
        if not 0 < port < 65536:
            raise OverflowError("port must be 0-65535")
        if not host or " " in host:
            raise ValueError(f"{host!r} is not an address")
        super().sendto(data, target)


def _message(**fields) -> bytes:
    first = _Entry("10.0.0.1:9", 1, _Clock())
    message = msgspec.structs.replace(first.gossip._build_message(), **fields)
    return msgspec.msgpack.encode(message)


def _receive(data: bytes) -> _Entry:
    entry = _Entry("10.0.0.2:9", 2, _Clock())
    entry.gossip.transport = _StrictTransport()
    entry.receive(data)
    entry.gossip._send(8)
    return entry


class TestMalformedMessage:
    """A message that a peer of another version, or nobody known, has sent."""

    @pytest.mark.parametrize("address", ADDRESSES)
    def test_an_address_that_is_none_stops_no_messages_to_others(self, address):
        entry = _receive(_message(address=address))
        entry.gossip.set_addresses({"10.0.0.3:9"})
        entry.receive(_message(address=address))
        entry.gossip._send(8)
        assert [target for target, _ in entry.gossip.transport.sent] == ["10.0.0.3:9"]

    @pytest.mark.parametrize("age", [math.nan, math.inf, -math.inf, -1e30, 1e300])
    def test_ages_that_are_none(self, age):
        health = (("s1", 1, True, age, "x"),)
        reports = (("s1", 1, 0, 10, 1, True, age),)
        fields = msgspec.msgpack.decode(_message())
        fields[4], fields[5], fields[7] = health, reports, (("s1", 1, 2.0, age),)
        fields[8] = (age, 5, age, age, 1)
        entry = _receive(msgspec.msgpack.encode(fields))
        assert entry.gossip.transport.sent
        assert list(entry.gossip.peers) == ["10.0.0.1:9"]
        observed = [status.observed_at for status in entry.fleet.health.values()]
        assert all(at <= entry.gossip.clock() for at in observed)
        (message,) = entry.messages
        ages = message.freshness and message.freshness.configuration_age
        assert ages is None or ages >= 0

    @pytest.mark.parametrize("position", [3, 4, 5, 6, 7, 11, 12, 14])
    @pytest.mark.parametrize(
        "item", [None, {}, ["s2"], ["s2", 0, math.nan, -1.0], [[]]]
    )
    def test_an_invalid_item_costs_no_other_item(self, position, item):
        fields = msgspec.msgpack.decode(_message())
        fields[4] = [["s1", 1, True, 0.5, "x"]]
        fields[position] = [item, *fields[position]]
        entry = _receive(msgspec.msgpack.encode(fields))
        assert list(entry.gossip.peers) == ["10.0.0.1:9"]
        assert entry.fleet.health["s1"].down
        assert len(entry.messages) == 1

    @pytest.mark.parametrize(
        ("item", "position"),
        [
            (("s1", 2**60, 1), 3),
            (("s1", 1, 0, 2**40, 1, True, 0.5), 5),
            (("s1", 1, math.inf, 0.5), 7),
            (("s1", 1, math.nan, 0.5), 7),
        ],
    )
    def test_numbers_out_of_range_are_left_out(self, item, position):
        fields = msgspec.msgpack.decode(_message())
        fields[position] = [item]
        entry = _receive(msgspec.msgpack.encode(fields))
        (peer,) = entry.gossip.peers.values()
        assert not peer.loads
        assert not entry.fleet.layer_reports
        assert not entry.fleet.slowdowns

    def test_nesting_raises_nothing(self):
        _receive(b"\x91" * 5000)
        _receive(b"\xc1" + b"\x91" * 5000)

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(st.binary(max_size=300))
    def test_any_bytes(self, data):
        _receive(data)

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(
        st.integers(0, 15),
        st.recursive(
            st.none()
            | st.booleans()
            | st.integers(-(2**63), 2**64 - 1)
            | st.floats()
            | st.text(max_size=8),
            lambda inner: (
                st.lists(inner, max_size=5)
                | st.dictionaries(st.text(max_size=4), inner, max_size=3)
            ),
            max_leaves=12,
        ),
    )
    def test_any_value_of_any_field(self, position, value):
        fields = msgspec.msgpack.decode(_message())
        fields[position % len(fields)] = value
        _receive(msgspec.msgpack.encode(fields))
