"""Tests of the operators' pages that list the keys of the text and the settings."""

import dataclasses
import re
import types
from collections.abc import Iterator
from pathlib import Path
from typing import get_args, get_origin, get_type_hints

import pytest

from kumquatway_core.settings import AgentSettings, EntrySettings
from kumquatway_core.text import Text
from kumquatway_core.toml import describe

PAGES = Path(__file__).parents[3] / "docs" / "operators"
ROW = re.compile(
    r"^\| `(?P<key>[^`]+)` \| (?P<type>[^|]+) \| [^|]+ \| (?P<default>[^|]+) \|"
)
REQUIRED = "required"


def default_of(field: dataclasses.Field) -> str:
    if field.default is dataclasses.MISSING:
        return REQUIRED
    default = field.default
    if isinstance(default, tuple):
        return f"`{list(default)}`"
    if isinstance(default, bool):
        return f"`{str(default).lower()}`"
    if isinstance(default, str):
        return f'`"{default}"`'
    return f"`{default}`"


def rows_of(cls: type, prefix: str = "") -> Iterator[tuple[str, str, str]]:
    hints = get_type_hints(cls, include_extras=True)
    for field in dataclasses.fields(cls):
        key = f"{prefix}{field.name}"
        hint = hints[field.name]
        if get_origin(hint) is types.UnionType:
            hint = get_args(hint)[0]
        if dataclasses.is_dataclass(hint):
            yield from rows_of(hint, f"{key}.")
        elif get_origin(hint) is dict:
            yield from rows_of(get_args(hint)[1], f"{key}.NAME.")
        else:
            yield key, describe(hint), default_of(field)


def rows_on(page: str, heading: str) -> set[tuple[str, str, str]]:
    text = (PAGES / page).read_text(encoding="utf-8")
    section = text.split(f"\n## {heading}\n")[1].split("\n## ")[0]
    found = [ROW.match(line) for line in section.splitlines()]
    return {(row["key"], row["type"], row["default"]) for row in found if row}


class TestPages:
    """Each page lists exactly the keys of its schema, with type and default."""

    @pytest.mark.parametrize(
        ("page", "heading", "cls"),
        [
            ("configuration.md", "Keys", Text),
            ("settings.md", "Keys of the entry", EntrySettings),
            ("settings.md", "Keys of the agent", AgentSettings),
        ],
    )
    def test_page_lists_the_keys_of_its_schema(self, page, heading, cls):
        assert rows_on(page, heading) == set(rows_of(cls))
