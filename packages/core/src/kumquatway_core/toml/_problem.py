"""
Problem.

One thing that is wrong in a document, with its place.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from kumquatway_core.exceptions import ConfigurationError

MAX_LISTED_PROBLEMS = 200  # problems in one message
MAX_VALUE_LENGTH = 60  # characters shown of a value

KeyPath = tuple[str | int, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Problem:
    """
    One thing that is wrong.

    :param file: the name of the document.
    :param line: the line from 1, or None where it has none.
    :param key: the dotted key, or "" for the document.
    :param value: what stands there, shortened.
    :param expected: what should stand there.
    """

    file: str
    line: int | None
    key: str
    value: str
    expected: str

    def __str__(self):
        place = self.file if self.line is None else f"{self.file}:{self.line}"
        key = f"{self.key}: " if self.key else ""
        return f"{place}: {key}got {self.value}, expected {self.expected}"


def configuration_error(problems: Sequence[Problem]) -> ConfigurationError:
    """
    Make the exception that lists the problems, one a line.

    :param problems: at least one problem.
    :return: the exception, to be raised by the caller.
    """
    lines = [str(problem) for problem in problems[:MAX_LISTED_PROBLEMS]]
    if len(problems) > MAX_LISTED_PROBLEMS:
        lines.append(f"and {len(problems) - MAX_LISTED_PROBLEMS} more")
    return ConfigurationError("\n".join(lines))


def format_path(path: KeyPath) -> str:
    """
    Write a path as a dotted key.

    :param path: names of keys, and positions in arrays.
    :return: such as `accounts.guests.keys[0]`.
    """
    shown = ""
    for step in path:
        if isinstance(step, int):
            shown += f"[{step}]"
        else:
            shown += f".{_format_key(step)}" if shown else _format_key(step)
    return shown


def format_value(value: object) -> str:
    """
    Write a value for a message, on one line.

    :param value: any value of a document.
    :return: its form, shortened.
    """
    try:
        shown = repr(value)
    except ValueError:
        return "a number of thousands of digits"
    return shown if len(shown) <= MAX_VALUE_LENGTH else f"{shown[:MAX_VALUE_LENGTH]}..."


def _format_key(step: str) -> str:
    plain = step.isascii() and step.replace("-", "").replace("_", "").isalnum()
    return step if plain else repr(step)
