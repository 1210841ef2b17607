"""
Context.

What the handlers of a caller's request need of the entry.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass, field

from kumquatway.admission import Admission
from kumquatway.api._kept import KeptConnections
from kumquatway.api._requests import Requests
from kumquatway.calls import Dispatcher
from kumquatway.protect import MemoryBound
from kumquatway.streams import Streams
from kumquatway_core import Reason, Verdict, not_run
from kumquatway_core.events import Event
from kumquatway_core.http import bearer_digest
from kumquatway_core.settings import LimitSettings
from kumquatway_core.text import Account, Text

WRITE_SECONDS = 30.0  # that a caller may take to read what was sent

UNKNOWN_KEY = not_run(Reason.UNAUTHORIZED, "unknown key")


@dataclass(frozen=True, kw_only=True, slots=True)
class Caller:
    """
    Who asks.

    :param name: of the client account.
    """

    name: str
    account: Account


class Callers:
    """The client accounts by their keys; made anew for each revision of the text."""

    def __init__(self):
        self.text: Text | None = None
        self.by_key: dict[str, Caller] = {}

    def find(self, text: Text, authorization: str) -> Caller | None:
        """
        Find the client account of a bearer key.

        :param text: in force.
        :param authorization: the request's header.
        :return: None if no account has the key.
        """
        if text is not self.text:
            self._read(text)
        return self.by_key.get(bearer_digest(authorization))

    def _read(self, text: Text) -> None:
        self.by_key = {
            key: Caller(name=name, account=account)
            for name, account in text.accounts.items()
            for key in account.keys
        }
        self.text = text


@dataclass(frozen=True, kw_only=True, slots=True)
class Context:
    """
    The parts of the entry that a handler uses.

    :param text: reads the text in force.
    :param refusal: tells why no request is taken now, or None.
    :param write_seconds: bound on one write to a caller.
    :param requests: in progress.
    :param kept: connections on which callers may send another request.
    """

    text: Callable[[], Text]
    limits: LimitSettings
    streams: Streams
    dispatcher: Dispatcher
    emit: Callable[[Event], object]
    refusal: Callable[[], Verdict | None]
    admission: Admission
    memory: MemoryBound
    kept: KeptConnections
    clock: Callable[[], float] = time.monotonic
    write_seconds: float = WRITE_SECONDS
    callers: Callers = field(default_factory=Callers)
    requests: Requests = field(default_factory=Requests)

    def find_caller(self, authorization: str) -> Caller | Verdict:
        """
        Find who asks.

        :param authorization: the request's header.
        :return: the caller; or why there is none, which is no fault of the key
            while no text is in force.
        """
        found = self.callers.find(self.text(), authorization)
        return found or self.refusal() or UNKNOWN_KEY
