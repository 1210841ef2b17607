"""
Reader.

Builds data classes from tables and goes on after a problem, to find them all.
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
    Reads one document and keeps its problems.

    :param file: the name of the document.
    :param source: the document, for the lines of its keys.
    """

    def __init__(self, *, file: str, source: str):
        self.file = file
        self.source = source
        self.problems: list[Problem] = []
        self._line_index: LineIndex | None = None

    def add_problem(self, path: KeyPath, value: str, expected: str):
        """
        Keep a problem.

        :param path: where it is.
        :param value: what stands there, as shown.
        :param expected: what should stand there.
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
        Read a value as a type; what does not fit is noted as a problem.

        :param hint: a data class, a `dict` of them, or the type of a value.
        :param value: what the document says.
        :param path: where it stands.
        :return: the value read, or None after a problem.
        """
        hint = _strip_optional(hint)
        if dataclasses.is_dataclass(hint):
            return self._read_table(hint, value, path)
        if get_origin(hint) is dict:
            return self._read_named_tables(hint, value, path)
        return self._read_value(hint, value, path)

    def read_fields(self, cls: type, table: dict, path: KeyPath = ()) -> dict:
        """
        Read the fields of a table that are right; the others are noted.

        :param cls: the data class of the table.
        :param table: what the document says.
        :param path: where it stands.
        :return: the values by field; None for one with a problem.
        """
        fields = _fields(cls)
        self._check_unknown_keys(table, [field.name for field in fields], path)
        read = {}
        for field in fields:
            inner = path + (field.name,)
            if field.name in table:
                read[field.name] = self.read(field.hint, table[field.name], inner)
            elif field.required:
                self.add_problem(inner, "nothing", describe(field.hint))
        return read

    def _read_table(self, cls: type, value: object, path: KeyPath) -> object | None:
        if not isinstance(value, dict):
            self.add_problem(path, format_value(value), "a table")
            return None
        quick = _try_convert(cls, value)
        if quick is not None:
            return quick
        before = len(self.problems)
        read = self.read_fields(cls, value, path)
        return cls(**read) if len(self.problems) == before else None

    def _read_named_tables(
        self, hint: object, value: object, path: KeyPath
    ) -> dict | None:
        if not isinstance(value, dict):
            self.add_problem(path, format_value(value), "a table of named tables")
            return None
        name_hint, inner_hint = get_args(hint)
        read = {}
        for name, inner in value.items():
            inner_path = path + (name,)
            self._read_value(name_hint, name, inner_path)
            read[name] = self.read(inner_hint, inner, inner_path)
        return read

    def _read_value(self, hint: object, value: object, path: KeyPath) -> object | None:
        plain = _strip_annotated(hint)
        if _is_array(hint) and isinstance(value, list):
            before = len(self.problems)
            inner = get_args(plain)[0]
            for index, item in enumerate(value):
                self._read_value(inner, item, path + (index,))
            if len(self.problems) > before:
                return None
        try:
            read = msgspec.convert(value, hint)
        except (msgspec.ValidationError, ValueError, OverflowError):
            self.add_problem(path, _format_unless_secret(hint, value), describe(hint))
            return None
        if not all(rule.is_valid(read) for rule in rules_of(hint)):
            self.add_problem(path, format_value(value), describe(hint))
            return None
        return read

    def _check_unknown_keys(self, table: dict, names: list[str], path: KeyPath):
        for key in sorted(table.keys() - set(names)):
            self.add_problem(path + (key,), "an unknown key", suggest(key, names))


def suggest(key: str, names: Iterable[str]) -> str:
    """
    Name what an unknown word was probably meant to be.

    :param key: the unknown word.
    :param names: the known ones.
    :return: the nearest of them, or all.
    """
    names = sorted(names)
    near = difflib.get_close_matches(key, names, n=1)
    if near:
        return f"{near[0]} (did you mean it?)"
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
    """Tell whether msgspec alone can check a data class but for unknown keys."""
    hints = [field.hint for field in _fields(cls)]
    nested = any(
        dataclasses.is_dataclass(_strip_optional(hint)) or get_origin(hint) is dict
        for hint in hints
    )
    arrays = [get_args(_strip_annotated(hint))[0] for hint in hints if _is_array(hint)]
    return not nested and not any(rules_of(hint) for hint in hints + arrays)


@cache
def _field_names(cls: type) -> frozenset[str]:
    return frozenset(field.name for field in _fields(cls))


def _try_convert(cls: type, value: dict) -> object | None:
    """Read a table that has no problem, as nearly all are, in one call."""
    if not _is_checked_by_msgspec(cls) or not value.keys() <= _field_names(cls):
        return None
    try:
        return msgspec.convert(value, cls)
    except (msgspec.ValidationError, ValueError, OverflowError):
        return None


def _format_unless_secret(hint: object, value: object) -> str:
    """Show a value, but not a key that stands in place of its digest."""
    secret = hint == Digest or (
        _is_array(hint) and get_args(_strip_annotated(hint))[0] == Digest
    )
    if secret and not (isinstance(value, list) and not value):
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
