"""
Describes problems of TOML documents and formats them for messages.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from kumquatway_core.exceptions import ConfigurationError

MAX_LISTED_PROBLEMS = 200  # problems in one message
MAX_VALUE_LENGTH = 60  # characters of a value in a message

KeyPath = tuple[str | int, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Problem:
    """
    A problem at one place of a document.

    :param file: name of the document.
    :param line: line number, starting at 1, or None if unknown.
    :param key: dotted key, or "" for a problem of the whole document.
    :param value: description of the value found, shortened.
    :param expected: description of the values allowed.
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
    Build an exception whose message lists the problems, one on each line.

    The message has at most `MAX_LISTED_PROBLEMS` of them, and the number of the others.

    :param problems: at least one problem.
    :return: the exception, which the caller raises.
    """
    lines = [str(problem) for problem in problems[:MAX_LISTED_PROBLEMS]]
    if len(problems) > MAX_LISTED_PROBLEMS:
        lines.append(f"and {len(problems) - MAX_LISTED_PROBLEMS} more")
    return ConfigurationError("\n".join(lines))


def format_path(path: KeyPath) -> str:
    """
    Format a path as a dotted key.

    :param path: names of keys, and indexes in arrays.
    :return: dotted key, such as `accounts.guests.keys[0]`.
    """
    formatted = ""
    for part in path:
        if isinstance(part, int):
            formatted += f"[{part}]"
        else:
            formatted += f".{_format_key(part)}" if formatted else _format_key(part)
    return formatted


def format_value(value: object) -> str:
    """
    Format a value for a message, on one line.

    :param value: any value of a document.
    :return: `repr()` of the value, cut to `MAX_VALUE_LENGTH` characters.
    """
    try:
        formatted = repr(value)
    except ValueError:
        # Python refuses to convert an integer with thousands of digits to a string.
        return "a number with thousands of digits"
    return (
        formatted
        if len(formatted) <= MAX_VALUE_LENGTH
        else f"{formatted[:MAX_VALUE_LENGTH]}..."
    )


def _format_key(key: str) -> str:
    is_bare = key.isascii() and key.replace("-", "").replace("_", "").isalnum()
    return key if is_bare else repr(key)
