"""
Finds the line of a key in a TOML document, for messages.
"""

import re
import tomllib

from kumquatway_core.toml._problem import KeyPath

_HEADER = re.compile(r"\s*\[\[?(?P<key>[^\[\]]+)\]\]?\s*(#.*)?$")
_PAIR = re.compile(r"""\s*(?P<key>("[^"]*"|'[^']*'|[\w.\s-])+?)\s*=""")


class LineIndex:
    """
    Maps the keys of a document to their line numbers.

    :param source: content of the document.
    """

    def __init__(self, *, source: str):
        self.by_path: dict[KeyPath, int] = {}
        self._read(source)

    def find(self, path: KeyPath) -> int | None:
        """
        Find the line of a key, or of the nearest enclosing table that has one.

        :param path: path of the key.
        :return: line number, starting at 1, or None if no line is known.
        """
        while path and path not in self.by_path:
            path = path[:-1]
        return self.by_path.get(path)

    def _read(self, source: str):
        table: KeyPath = ()
        for number, line in enumerate(source.split("\n"), start=1):
            header = _HEADER.match(line)
            if header:
                table = _split_key(header["key"])
                self.by_path.setdefault(table, number)
                continue
            pair = _PAIR.match(line)
            if pair:
                self.by_path.setdefault(table + _split_key(pair["key"]), number)


def _split_key(key: str) -> KeyPath:
    """Split a dotted key; tomllib parses a key that contains quotes."""
    if '"' not in key and "'" not in key:
        return tuple(part.strip() for part in key.split("."))
    try:
        table = tomllib.loads(f"{key} = 0")
    except tomllib.TOMLDecodeError:
        return (key,)
    keys: list[str] = []
    while isinstance(table, dict):
        name, table = next(iter(table.items()))
        keys.append(name)
    return tuple(keys)
