"""Hashes bearer keys."""

import hashlib


def bearer_digest(authorization: str) -> str:
    """
    Hash the bearer key of a request.

    :param authorization: value of the `Authorization` header.
    :return: SHA-256 of the key in hexadecimal, or "" if there is no bearer key.
    """
    scheme, _, key = authorization.partition(" ")
    key = key.strip()
    if scheme.lower() != "bearer" or not key:
        return ""
    return hashlib.sha256(key.encode()).hexdigest()
