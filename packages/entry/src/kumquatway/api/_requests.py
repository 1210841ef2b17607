"""
Requests.

Counts the callers' requests in progress, and ends those that outlast a shutdown.
"""

from collections.abc import Iterator
from contextlib import contextmanager

import anyio


class Requests:
    """The requests in progress, from their headers to the end of their answers."""

    def __init__(self):
        self.handlers: set[anyio.CancelScope] = set()

    def __len__(self) -> int:
        return len(self.handlers)

    @contextmanager
    def track(self) -> Iterator[anyio.CancelScope]:
        """
        Count a request for the length of a block.

        :return: the scope that its handler is to run in.
        """
        handler = anyio.CancelScope()
        self.handlers.add(handler)
        try:
            yield handler
        finally:
            self.handlers.discard(handler)

    def end(self) -> None:
        """Cancel the handlers; a request without an answer yet is told so."""
        for handler in self.handlers:
            handler.cancel()
