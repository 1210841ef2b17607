"""Tests that no gossip message of a peer ends the task that sends and receives them."""

import math

import msgspec
import pytest
from hypothesis import given, settings, strategies as st
from test_gossip import _Clock, _Entry, _Transport

from kumquatway_gateway.peers._gossip import GossipMessage

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
        health = (("s1", 0, True, age, "x"),)
        reports = (("s1", 0, 0, 10, 1, True, age),)
        fields = msgspec.msgpack.decode(_message())
        fields[4], fields[5], fields[7] = health, reports, (("s1", 0, 2.0, age),)
        fields[8] = (age, 5, age, age, 1)
        data = msgspec.msgpack.encode(fields)
        msgspec.msgpack.decode(data, type=GossipMessage)
        assert _receive(data).gossip.transport.sent

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
