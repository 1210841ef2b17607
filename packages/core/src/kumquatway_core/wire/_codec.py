"""
Encodes and decodes messages as MessagePack.

A message that does not match its type is rejected as a whole.
"""

import msgspec

from kumquatway_core.decoding import Decoder
from kumquatway_core.exceptions import InvalidData, WireError
from kumquatway_core.wire._messages import Message

MAX_MESSAGE_BYTES = 64 * 1024 * 1024

_encoder = msgspec.msgpack.Encoder()
_decoder = Decoder(Message, codec=msgspec.msgpack)


def encode(message: Message) -> bytes:
    """
    Encode a message.

    :param message: any message of this package.
    :return: its MessagePack form.
    """
    return _encoder.encode(message)


def decode(data: bytes) -> Message:
    """
    Decode a message.

    :param data: the frame as received.
    :return: the message.
    :raises WireError: if the frame is too large or is not a message of this package.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise WireError(
            f"message of {len(data)} bytes exceeds the limit of {MAX_MESSAGE_BYTES}"
        )
    try:
        return _decoder.decode(data)
    except InvalidData as error:
        raise WireError(f"invalid message: {error}") from error
