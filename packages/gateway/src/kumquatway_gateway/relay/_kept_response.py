"""Keeps a failed response while other servers are asked."""

from collections.abc import Hashable
from typing import Generic, Protocol, TypeVar

from kumquatway_core.memory import MemoryBudget, MemoryShare


class _Response(Protocol):
    body: bytes | bytearray


ResponseT = TypeVar("ResponseT", bound=_Response)


class KeptResponse(Generic[ResponseT]):
    """
    The last failed response to a request, which its caller gets if no other follows.

    :param memory: bounds what all responses take; it may drop this one.
    :ivar response: the response, or None.
    """

    def __init__(self, *, memory: MemoryBudget):
        self.memory = memory
        self.response: ResponseT | None = None
        self._share: MemoryShare | None = None

    def keep(self, response: ResponseT, sender: Hashable) -> None:
        """
        Keep a response in place of the one before.

        :param response: complete, with its body.
        :param sender: address of the server.
        """
        self.drop()
        self.response = response
        self._share = self.memory.begin(sender, self.drop)
        self.memory.resize(self._share, len(response.body))

    def drop(self) -> None:
        """Free the response, if there is one."""
        self.response = None
        share, self._share = self._share, None
        if share is not None:
            self.memory.resize(share, 0)
