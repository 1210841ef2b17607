"""
Kept.

Tells callers how long they may use an idle connection, and remembers what was told.
"""

import time
from collections.abc import Callable

from starlette.types import Scope

KEPT_SECONDS = 2
KEPT_MARGIN_SECONDS = 0.5  # for a request on its way as the told time ends
SHUTDOWN_SHARE = 0.25  # of a shutdown's bound that idle connections may take

Fields = list[tuple[bytes, bytes]]
Client = tuple[str, int]


class KeptConnections:
    """
    The connections on which callers may still send a request.

    :param bound: of a shutdown, seconds.
    :param clock: monotonic clock, seconds.
    """

    def __init__(self, *, bound: float, clock: Callable[[], float] = time.monotonic):
        self.clock = clock
        self.seconds = min(KEPT_SECONDS, int(bound * SHUTDOWN_SHARE))
        self.leaving = False
        self.told: set[Client] = set()
        self.until: dict[Client, float] = {}  # the earliest first

    def leave(self) -> None:
        """Tell callers from now on that their connections close."""
        self.leaving = True

    def begin(self, scope: Scope) -> Fields:
        """
        Choose what a response that begins tells.

        :param scope: of the request.
        :return: fields of the response.
        """
        client = scope.get("client")
        if client is None or not _may_be_kept(scope):
            return []
        client = tuple(client)
        self.until.pop(client, None)
        if self.leaving:
            return [(b"connection", b"close")]
        if not self.seconds:
            return []
        self.told.add(client)
        return [(b"keep-alive", b"timeout=%d" % self.seconds)]

    def end(self, scope: Scope) -> None:
        """
        Take in that a request has ended; the told time counts from now.

        :param scope: of the request.
        """
        client = tuple(scope.get("client") or ())
        if client in self.told:
            self.told.discard(client)
            self.until[client] = self.clock() + self.seconds + KEPT_MARGIN_SECONDS
        self._forget()

    def any_open(self) -> bool:
        """
        Tell whether a caller may still rely on what it was told.

        :return: False once the told times have passed.
        """
        self._forget()
        return bool(self.until)

    def _forget(self) -> None:
        now = self.clock()
        while self.until:
            client = next(iter(self.until))
            if self.until[client] > now:
                return
            del self.until[client]


def _may_be_kept(scope: Scope) -> bool:
    """Tell whether a connection outlasts a response without further agreement."""
    if scope["http_version"] != "1.1":
        return False
    for name, value in scope["headers"]:
        options = [option.strip() for option in value.lower().split(b",")]
        if name.lower() == b"connection" and b"close" in options:
            return False
    return True
