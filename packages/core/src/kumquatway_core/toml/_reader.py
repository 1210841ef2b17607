"""
Builds data classes from TOML tables and collects all problems found on the way.
"""

import dataclasses
import difflib
import types
from collections.abc import Iterable
from functools import cache
from typing import Annotated, get_args, get_origin, get_type_hints

import msgspec

from kumquatway_core.toml._line_index import LineIndex
from kumquatway_core.toml._problem import KeyPath, Problem, format_path, format_value
from kumquatway_core.toml._rules import Digest, describe, rules_of


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Field:
    name: str
    hint: object
    required: bool


class Reader:
    """
    Reads the tables of one document and collects the problems.

    :param file: name of the document, for messages.
    :param source: content of the document, to find the lines of its keys.
    """

    def __init__(self, *, file: str, source: str):
        self.file = file
        self.source = source
        self.problems: list[Problem] = []
        self._line_index: LineIndex | None = None

    def add_problem(self, path: KeyPath, value: str, expected: str):
        """
        Add a problem.

        :param path: path of the key with the problem.
        :param value: description of the value found.
        :param expected: description of the values allowed.
        """
        if self._line_index is None:
            self._line_index = LineIndex(source=self.source)
        problem = Problem(
            file=self.file,
            line=self._line_index.find(path),
            key=format_path(path),
            value=value,
            expected=expected,
        )
        self.problems.append(problem)

    def read(self, hint: object, value: object, path: KeyPath = ()) -> object | None:
        """
        Convert a value to a type; a value that does not fit is added as a problem.

        :param hint: data class, `dict` of data classes, or type of a single value.
        :param value: value in the document.
        :param path: path of the value.
        :return: converted value, or None if it has a problem.
        """
        hint = _strip_optional(hint)
        if dataclasses.is_dataclass(hint):
            return self._read_table(hint, value, path)
        if get_origin(hint) is dict:
            return self._read_named_tables(hint, value, path)
        return self._read_value(hint, value, path)

    def read_fields(self, cls: type, table: dict, path: KeyPath = ()) -> dict:
        """
        Read the fields of a table; each invalid field is added as a problem.

        :param cls: data class of the table.
        :param table: table in the document.
        :param path: path of the table.
        :return: values by field name; None for an invalid value. A field that the table
            does not have is left out.
        """
        fields = _fields(cls)
        self._check_unknown_keys(table, [field.name for field in fields], path)
        values = {}
        for field in fields:
            field_path = path + (field.name,)
            if field.name in table:
                values[field.name] = self.read(
                    field.hint, table[field.name], field_path
                )
            elif field.required:
                self.add_problem(field_path, "nothing", describe(field.hint))
        return values

    def _read_table(self, cls: type, value: object, path: KeyPath) -> object | None:
        if not isinstance(value, dict):
            self.add_problem(path, format_value(value), "a table")
            return None
        converted = _try_convert(cls, value)
        if converted is not None:
            return converted
        problem_count = len(self.problems)
        fields = self.read_fields(cls, value, path)
        return cls(**fields) if len(self.problems) == problem_count else None

    def _read_named_tables(
        self, hint: object, value: object, path: KeyPath
    ) -> dict | None:
        if not isinstance(value, dict):
            self.add_problem(path, format_value(value), "a table of named tables")
            return None
        name_hint, entry_hint = get_args(hint)
        entries = {}
        for name, entry in value.items():
            entry_path = path + (name,)
            self._read_value(name_hint, name, entry_path)
            entries[name] = self.read(entry_hint, entry, entry_path)
        return entries

    def _read_value(self, hint: object, value: object, path: KeyPath) -> object | None:
        plain = _strip_annotated(hint)
        if _is_array(hint) and isinstance(value, list):
            problem_count = len(self.problems)
            item_hint = get_args(plain)[0]
            for index, item in enumerate(value):
                self._read_value(item_hint, item, path + (index,))
            if len(self.problems) > problem_count:
                return None
        try:
            converted = msgspec.convert(value, hint)
        except (msgspec.ValidationError, ValueError, OverflowError):
            self.add_problem(path, _format_unless_secret(hint, value), describe(hint))
            return None
        if not all(rule.is_valid(converted) for rule in rules_of(hint)):
            self.add_problem(path, format_value(value), describe(hint))
            return None
        return converted

    def _check_unknown_keys(self, table: dict, names: list[str], path: KeyPath):
        for key in sorted(table.keys() - set(names)):
            self.add_problem(path + (key,), "an unknown key", suggest(key, names))


def suggest(key: str, names: Iterable[str]) -> str:
    """
    Suggest a known name in place of an unknown one.

    :param key: unknown name.
    :param names: known names.
    :return: phrase with the most similar known name, or with all if none is similar.
    """
    names = sorted(names)
    similar = difflib.get_close_matches(key, names, n=1)
    if similar:
        return f"{similar[0]} (did you mean it?)"
    return "one of " + ", ".join(names) if names else "none, as there are none"


@cache
def _fields(cls: type) -> tuple[_Field, ...]:
    hints = get_type_hints(cls, include_extras=True)
    return tuple(
        _Field(
            name=field.name,
            hint=hints[field.name],
            required=field.default is dataclasses.MISSING
            and field.default_factory is dataclasses.MISSING,
        )
        for field in dataclasses.fields(cls)
    )


@cache
def _is_checked_by_msgspec(cls: type) -> bool:
    """Return whether msgspec alone can check a data class, except for unknown keys."""
    hints = [field.hint for field in _fields(cls)]
    has_tables = any(
        dataclasses.is_dataclass(_strip_optional(hint)) or get_origin(hint) is dict
        for hint in hints
    )
    items = [get_args(_strip_annotated(hint))[0] for hint in hints if _is_array(hint)]
    return not has_tables and not any(rules_of(hint) for hint in hints + items)


@cache
def _field_names(cls: type) -> frozenset[str]:
    return frozenset(field.name for field in _fields(cls))


def _try_convert(cls: type, value: dict) -> object | None:
    """
    Convert a table in one call, which is faster and enough for nearly all tables.

    :param cls: data class of the table.
    :param value: table in the document.
    :return: converted table, or None if it has a problem or needs more checks.
    """
    if not _is_checked_by_msgspec(cls) or not value.keys() <= _field_names(cls):
        return None
    try:
        return msgspec.convert(value, cls)
    except (msgspec.ValidationError, ValueError, OverflowError):
        return None


def _format_unless_secret(hint: object, value: object) -> str:
    """Format a value; hide one in place of a digest, which may be the key itself."""
    is_secret = hint == Digest or (
        _is_array(hint) and get_args(_strip_annotated(hint))[0] == Digest
    )
    if is_secret and not (isinstance(value, list) and not value):
        return f"a hidden {type(value).__name__}"
    return format_value(value)


def _is_array(hint: object) -> bool:
    return get_origin(_strip_annotated(hint)) is tuple


def _strip_annotated(hint: object) -> object:
    return get_args(hint)[0] if get_origin(hint) is Annotated else hint


def _strip_optional(hint: object) -> object:
    if get_origin(hint) is not types.UnionType:
        return hint
    return next(arg for arg in get_args(hint) if arg is not types.NoneType)
