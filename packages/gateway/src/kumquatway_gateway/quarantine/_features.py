"""
Names what requests may have in common that crashes servers.
"""

from collections.abc import Iterable
from hashlib import blake2b

from kumquatway_gateway.model import Request

MAX_FEATURE_LENGTH = 48  # characters; a longer name is replaced by its digest
DIGEST_BYTES = 10
IDENTITY_MARK = "="


def features_of(service: str, request: Request, account: str) -> frozenset[str]:
    """
    Return the features of a request, which other requests may share.

    :param service: name of the service that the request is for.
    :param request: the request.
    :param account: name of the client account, or "" on a public route.
    :return: the request's identity, and a name for each part of its prompt in the
        service. Identities do not depend on the service: a route may have several, and
        may move to another one.
    """
    parts = {_shorten(f"{service}/{part}") for part in request.prompt_parts}
    return frozenset((_identify(request, account), *parts))


def _identify(request: Request, account: str) -> str:
    """Return the name of what an account asks for, the same each time it does."""
    digest = blake2b(digest_size=DIGEST_BYTES)
    # Without a body, the prompt is known by its parts only.
    body = request.body or ",".join(request.prompt_parts).encode()
    host = request.host.lower()
    for text in (request.method, host, request.target, account):
        _update(digest, text.encode())
    _update(digest, body)
    return f"{IDENTITY_MARK}{digest.hexdigest()}"


def _update(digest, piece: bytes) -> None:
    digest.update(len(piece).to_bytes(8, "big"))
    digest.update(piece)


def is_identity(feature: str) -> bool:
    """
    Tell whether a feature names one request, rather than what many may share.

    :param feature: a feature of a request.
    """
    return feature.startswith(IDENTITY_MARK) and "/" not in feature


def find_identity(features: Iterable[str]) -> str | None:
    """
    Return the identity among the features of a request.

    :param features: features of a request.
    :return: its identity, or None if a peer did not name it.
    """
    return next(filter(is_identity, features), None)


def _shorten(name: str) -> str:
    if len(name) <= MAX_FEATURE_LENGTH:
        return name
    return "#" + blake2b(name.encode(), digest_size=DIGEST_BYTES).hexdigest()
