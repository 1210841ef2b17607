"""
Bearer.

The digest under which a bearer key is known.
"""

import hashlib


def bearer_digest(authorization: str) -> str:
    """
    Read the key of a request.

    :param authorization: the request's header.
    :return: SHA-256 of the key, hexadecimal; "" if there is no bearer key.
    """
    scheme, _, key = authorization.partition(" ")
    key = key.strip()
    if scheme.lower() != "bearer" or not key:
        return ""
    return hashlib.sha256(key.encode()).hexdigest()
