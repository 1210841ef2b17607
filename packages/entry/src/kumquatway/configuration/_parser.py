"""
Parser.

Reads each text once, in a worker thread, for its check and for its use.
"""

import threading
from collections import OrderedDict

import anyio

from kumquatway_core.exceptions import ConfigurationError
from kumquatway_core.text import Text, parse, validate

NAME = "text"
KEPT = 2  # texts: the one in force, and one that may follow


class Parser:
    """The texts that were read last."""

    def __init__(self):
        self.texts: OrderedDict[str, Text] = OrderedDict()
        self.lock = threading.Lock()

    def check(self, source: str) -> tuple[str, ...]:
        """
        Check a text whole; to be called in a worker thread.

        :param source: TOML.
        :return: one line for each problem.
        """
        try:
            self._read(source)
        except ConfigurationError:
            return tuple(str(problem) for problem in validate(source, NAME))
        return ()

    async def text(self, source: str) -> Text:
        """
        Read a text, if it was not read just before.

        :param source: TOML.
        :return: the text.
        :raises ConfigurationError: if anything is wrong.
        """
        known = self.texts.get(source)
        return known or await anyio.to_thread.run_sync(self._read, source)

    def _read(self, source: str) -> Text:
        with self.lock:
            text = self.texts.get(source) or parse(source, NAME)
            self.texts[source] = text
            self.texts.move_to_end(source)
            while len(self.texts) > KEPT:
                self.texts.popitem(last=False)
            return text
