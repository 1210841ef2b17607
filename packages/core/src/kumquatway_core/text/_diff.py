"""
Diff.

What changed between two texts, for the audit trail.
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
    One key that changed.

    :param key: the dotted key, or that of a whole entry.
    :param old: its value before, or "" for an entry that is new.
    :param new: its value after, or "" for an entry that is gone.
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
    List what changed; digests of keys are counted and not shown.

    :param old: the text before.
    :param new: the text after.
    :return: the changes, by table and name.
    """
    changes = []
    if old.name != new.name:
        changes.append(Change(key="name", old=repr(old.name), new=repr(new.name)))
    for group in _TABLES:
        changes += _diff_table(group, getattr(old, group), getattr(new, group))
    return tuple(changes)


def _diff_table(group: str, old: dict, new: dict) -> Iterator[Change]:
    for name in sorted(old.keys() | new.keys()):
        path = (group, name)
        if name not in old:
            yield Change(key=format_path(path), old="", new="added")
        elif name not in new:
            yield Change(key=format_path(path), old="removed", new="")
        elif old[name] != new[name]:
            yield from _diff_entry(path, old[name], new[name])


def _diff_entry(path: tuple[str, str], old: object, new: object) -> Iterator[Change]:
    for field in dataclasses.fields(old):
        before = getattr(old, field.name)
        after = getattr(new, field.name)
        if before == after:
            continue
        key = format_path((*path, field.name))
        if field.name == _SECRET_FIELD:
            yield _diff_keys(key, before, after)
        else:
            yield Change(key=key, old=_format_field(before), new=_format_field(after))


def _diff_keys(key: str, old: tuple[str, ...], new: tuple[str, ...]) -> Change:
    added = len(set(new) - set(old))
    removed = len(set(old) - set(new))
    shown = f"{len(new)} keys ({added} added, {removed} removed)"
    return Change(key=key, old=f"{len(old)} keys", new=shown)


def _format_field(value: object) -> str:
    if isinstance(value, tuple):
        return format_value(list(value))
    return repr(value.value) if hasattr(value, "value") else format_value(value)
