"""
Codec.

MessagePack by msgspec; a message that does not fit its type is refused whole.
"""

import msgspec

from kumquatway_core.exceptions import WireError
from kumquatway_core.wire._messages import Message

MAX_MESSAGE = 64 * 1024 * 1024  # bytes

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """
    Turn a message into bytes.

    :param message: any message of this package.
    :return: its MessagePack form.
    """
    return _encoder.encode(message)


def decode(data: bytes) -> Message:
    """
    Turn bytes into a message.

    :param data: one frame as received.
    :return: the message.
    :raises WireError: if the bytes are no message of this package.
    """
    if len(data) > MAX_MESSAGE:
        raise WireError(f"a message of {len(data)} bytes, {MAX_MESSAGE} allowed")
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise WireError(f"not a message: {error}") from error
