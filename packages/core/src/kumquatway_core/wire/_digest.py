"""
Computes digests over the generated tokens of a stream, up to a position.

A step or a generated token names, by its digest, the tokens it was computed from.
The receiver thus rejects output that continues other tokens than the caller has.
"""

import xxhash

EMPTY_DIGEST = 0  # before the first generated token
DIGEST_BYTES = 4
TOKEN_BYTES = 4


def extend_digest(digest: int, token: int) -> int:
    """
    Add a token to a digest.

    :param digest: digest over the tokens before it.
    :param token: ID of the next token.
    :return: digest over all the tokens.
    """
    data = digest.to_bytes(DIGEST_BYTES, "little")
    data += token.to_bytes(TOKEN_BYTES, "little")
    return xxhash.xxh32_intdigest(data)


def extend_digests(digest: int, tokens: bytes) -> bytes:
    """
    Add several tokens to a digest.

    :param digest: digest over the tokens before them.
    :param tokens: token IDs, little-endian u32.
    :return: the digest after each token, little-endian u32.
    """
    digests = bytearray()
    for start in range(0, len(tokens), TOKEN_BYTES):
        token = int.from_bytes(tokens[start : start + TOKEN_BYTES], "little")
        digest = extend_digest(digest, token)
        digests += digest.to_bytes(DIGEST_BYTES, "little")
    return bytes(digests)
