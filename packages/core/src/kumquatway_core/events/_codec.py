"""
Codec.

Pages of events as JSON.
"""

import msgspec

from kumquatway_core.events._journal import Page
from kumquatway_core.exceptions import WireError

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Page)


def encode_page(page: Page) -> bytes:
    """
    Turn a page into JSON.

    :param page: a page of a journal.
    :return: its bytes.
    """
    return _encoder.encode(page)


def decode_page(data: bytes) -> Page:
    """
    Turn JSON into a page.

    :param data: the bytes received.
    :return: the page.
    :raises WireError: if the bytes are no page of events.
    """
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise WireError(f"not a page of events: {error}") from error
