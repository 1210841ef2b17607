"""
Encodes and decodes pages of events as JSON.
"""

import msgspec

from kumquatway_core.decoding import Decoder
from kumquatway_core.events._journal import Page
from kumquatway_core.exceptions import InvalidData, WireError

_encoder = msgspec.json.Encoder()
_decoder = Decoder(Page, codec=msgspec.json)


def encode_page(page: Page) -> bytes:
    """
    Encode a page as JSON.

    :param page: page of a journal.
    :return: JSON, UTF-8.
    """
    return _encoder.encode(page)


def decode_page(data: bytes) -> Page:
    """
    Decode a page from JSON.

    :param data: received bytes.
    :return: decoded page.
    :raises WireError: if the bytes are not a valid page of events.
    """
    try:
        return _decoder.decode(data)
    except InvalidData as error:
        raise WireError(f"invalid page of events: {error}") from error
