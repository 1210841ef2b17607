"""
Loads TOML documents and reports a syntax error as a problem with its line.
"""

import re
import tomllib
from pathlib import Path

from kumquatway_core.toml._problem import Problem, configuration_error

MAX_SOURCE_LENGTH = 64 * 1024 * 1024  # characters

_LINE_NUMBER = re.compile(r"\(at line (\d+), column \d+\)")


def load(source: str, name: str) -> dict | Problem:
    """
    Parse a TOML document.

    :param source: content of the document.
    :param name: name of its file, for messages.
    :return: the top-level table, or the problem that makes the document unreadable.
    """
    if len(source) > MAX_SOURCE_LENGTH:
        size = f"{len(source)} characters"
        return _document_problem(
            name, None, size, f"at most {MAX_SOURCE_LENGTH} characters"
        )
    try:
        return tomllib.loads(source)
    except RecursionError:
        return _document_problem(
            name, None, "values nested too deeply", "TOML with less nesting"
        )
    except ValueError as error:
        match = _LINE_NUMBER.search(str(error))
        line = int(match[1]) if match else None
        return _document_problem(name, line, "invalid TOML", f"valid TOML: {error}")


def read_file(path: Path) -> str:
    """
    Read a settings file or a text file.

    :param path: path of the file.
    :return: content of the file.
    :raises ConfigurationError: if the file can't be read or is not valid UTF-8.
    """
    name = str(path)
    try:
        return path.read_text(encoding="utf-8")
    except UnicodeDecodeError as error:
        detail = f"invalid UTF-8 at byte {error.start}"
        raise configuration_error(
            [_document_problem(name, None, detail, "UTF-8")]
        ) from error
    except (OSError, ValueError) as error:
        problem = _document_problem(name, None, str(error), "a readable file")
        raise configuration_error([problem]) from error


def _document_problem(
    name: str, line: int | None, value: str, expected: str
) -> Problem:
    return Problem(file=name, line=line, key="", value=value, expected=expected)
