"""
Document.

Loads TOML; a document that is none becomes one problem with its line.
"""

import re
import tomllib
from pathlib import Path

from kumquatway_core.toml._problem import Problem, configuration_error

MAX_SOURCE_LENGTH = 64 * 1024 * 1024  # characters

_LINE_NUMBER = re.compile(r"\(at line (\d+), column \d+\)")


def load(source: str, name: str) -> dict | Problem:
    """
    Load a document.

    :param source: the document.
    :param name: the name of its file, for messages.
    :return: its top table, or the problem that ends the reading.
    """
    if len(source) > MAX_SOURCE_LENGTH:
        size = f"{len(source)} characters"
        return _document_problem(name, None, size, f"at most {MAX_SOURCE_LENGTH}")
    try:
        return tomllib.loads(source)
    except RecursionError:
        return _document_problem(name, None, "deep nesting", "TOML with less of it")
    except ValueError as error:
        found = _LINE_NUMBER.search(str(error))
        line = int(found[1]) if found else None
        return _document_problem(name, line, "no TOML", f"valid TOML: {error}")


def read_file(path: Path) -> str:
    """
    Read a file of settings or text.

    :param path: the file.
    :return: its content.
    :raises ConfigurationError: if it can't be read or is no UTF-8.
    """
    name = str(path)
    try:
        return path.read_text(encoding="utf-8")
    except UnicodeDecodeError as error:
        detail = f"a byte that is no UTF-8 at {error.start}"
        raise configuration_error(
            [_document_problem(name, None, detail, "UTF-8")]
        ) from error
    except (OSError, ValueError) as error:
        problem = _document_problem(name, None, str(error), "a file that can be read")
        raise configuration_error([problem]) from error


def _document_problem(
    name: str, line: int | None, value: str, expected: str
) -> Problem:
    return Problem(file=name, line=line, key="", value=value, expected=expected)
