"""
Chain.

A digest over the generated tokens up to a position.

What a stage ran names by it the tokens that it was made from, so that no step and
no token follows from others than the caller has.
"""

import xxhash

EMPTY_DIGEST = 0  # before the first generated token
DIGEST_BYTES = 4
TOKEN_BYTES = 4


def extend_digest(digest: int, token: int) -> int:
    """
    Add a token.

    :param chain: over the tokens before it.
    :param token: the next one.
    :return: the digest over all of them.
    """
    data = digest.to_bytes(DIGEST_BYTES, "little")
    data += token.to_bytes(TOKEN_BYTES, "little")
    return xxhash.xxh32_intdigest(data)


def extend_digests(digest: int, tokens: bytes) -> bytes:
    """
    Add tokens.

    :param chain: over the tokens before them.
    :param tokens: little-endian u32.
    :return: the digest after each, little-endian u32.
    """
    digests = bytearray()
    for start in range(0, len(tokens), TOKEN_BYTES):
        token = int.from_bytes(tokens[start : start + TOKEN_BYTES], "little")
        digest = extend_digest(digest, token)
        digests += digest.to_bytes(DIGEST_BYTES, "little")
    return bytes(digests)
