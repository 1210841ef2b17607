"""Encodes the messages by which entries ask each other for permits."""

import msgspec

from kumquatway_core.decoding import Decoder

# First byte of these messages; no message of the gossip begins with it.
PREFIX = b"\xc1"


class PermitRequest(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="ask"
):
    """
    Asks for permits to send requests to a server.

    :param sender: address of the sender, `host:port`.
    :param number: repeated in the response.
    :param server: ID of the server.
    :param count: number of permits wanted; 0 asks for a sign of life.
    :param rate: limit of the server as the sender knows it, or None if it ended.
    :param age: seconds since the server named that limit.
    """

    sender: str
    number: int
    server: str
    incarnation: int
    count: int
    rate: float | None
    age: float


class PermitResponse(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="issue"
):
    """
    Issues permits.

    :param sender: address of the sender, `host:port`.
    :param number: number of the request.
    :param server: ID of the server.
    :param count: number of permits.
    :param wait: seconds after which to ask again if that is less than requested.
    :param rate: limit of the server as the sender knows it, or None.
    :param age: seconds since the server named that limit, or None if it never did.
    """

    sender: str
    number: int
    server: str
    incarnation: int
    count: int
    wait: float
    rate: float | None
    age: float | None


_encoder = msgspec.msgpack.Encoder()
_decoder = Decoder(PermitRequest | PermitResponse, codec=msgspec.msgpack)


def encode(message: PermitRequest | PermitResponse) -> bytes:
    """Encode a message."""
    return PREFIX + _encoder.encode(message)


def is_permit_message(data: bytes) -> bool:
    """Tell whether a datagram is one of these messages."""
    return data.startswith(PREFIX)


def decode(data: bytes) -> PermitRequest | PermitResponse:
    """
    Decode a message.

    :raises InvalidData: if it is not valid.
    """
    return _decoder.decode(data[len(PREFIX) :])
