"""
Lists the differences between two texts for the audit trail.
"""

import dataclasses
from collections.abc import Iterator

from kumquatway_core.text._schema import Text
from kumquatway_core.toml import format_path, format_value

_TABLES = ("models", "services", "accounts", "data_centres", "accelerators")
_SECRET_FIELD = "keys"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """
    The change of one key, or of a whole entry that was added or removed.

    :param key: dotted key of the field or of the entry.
    :param old: old value, or "" for an added entry.
    :param new: new value, or "" for a removed entry.
    """

    key: str
    old: str
    new: str

    def __str__(self):
        if not self.old:
            return f"{self.key}: added"
        if not self.new:
            return f"{self.key}: removed"
        return f"{self.key}: {self.old} -> {self.new}"


def diff(old: Text, new: Text) -> tuple[Change, ...]:
    """
    List the changes between two texts; digests of bearer keys are only counted.

    :param old: text before the change.
    :param new: text after the change.
    :return: changes, ordered by table and then by name of the entry.
    """
    changes = []
    if old.name != new.name:
        changes.append(Change(key="name", old=repr(old.name), new=repr(new.name)))
    for table in _TABLES:
        changes += _diff_table(table, getattr(old, table), getattr(new, table))
    return tuple(changes)


def _diff_table(table: str, old: dict, new: dict) -> Iterator[Change]:
    for name in sorted(old.keys() | new.keys()):
        path = (table, name)
        if name not in old:
            yield Change(key=format_path(path), old="", new="added")
        elif name not in new:
            yield Change(key=format_path(path), old="removed", new="")
        elif old[name] != new[name]:
            yield from _diff_entry(path, old[name], new[name])


def _diff_entry(path: tuple[str, str], old: object, new: object) -> Iterator[Change]:
    for field in dataclasses.fields(old):
        old_value = getattr(old, field.name)
        new_value = getattr(new, field.name)
        if old_value == new_value:
            continue
        key = format_path((*path, field.name))
        if field.name == _SECRET_FIELD:
            yield _diff_keys(key, old_value, new_value)
        else:
            yield Change(
                key=key, old=_format_field(old_value), new=_format_field(new_value)
            )


def _diff_keys(key: str, old: tuple[str, ...], new: tuple[str, ...]) -> Change:
    added = len(set(new) - set(old))
    removed = len(set(old) - set(new))
    summary = f"{len(new)} keys ({added} added, {removed} removed)"
    return Change(key=key, old=f"{len(old)} keys", new=summary)


def _format_field(value: object) -> str:
    if isinstance(value, tuple):
        return format_value(list(value))
    return repr(value.value) if hasattr(value, "value") else format_value(value)
