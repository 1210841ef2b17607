"""
Names what requests may have in common that crashes servers.
"""

from hashlib import blake2b

from kumquatway_gateway.model import Request

MAX_FEATURE_LENGTH = 48  # characters; a longer name is replaced by its digest
DIGEST_BYTES = 10


def features_of(service: str, request: Request) -> frozenset[str]:
    """
    Return the features of a request, which other requests may share.

    :param service: name of the service that the request is for.
    :param request: the request.
    :return: a name for each part of the prompt; if no part is known, one name for the
        method, target and body.
    """
    if request.prompt_parts:
        return frozenset(_shorten(f"{service}/{part}") for part in request.prompt_parts)
    content = blake2b(digest_size=DIGEST_BYTES)
    for piece in (request.method.encode(), request.target.encode(), request.body):
        content.update(len(piece).to_bytes(8, "big"))
        content.update(piece)
    return frozenset((_shorten(f"{service}/={content.hexdigest()}"),))


def _shorten(name: str) -> str:
    if len(name) <= MAX_FEATURE_LENGTH:
        return name
    return "#" + blake2b(name.encode(), digest_size=DIGEST_BYTES).hexdigest()
