"""
Check.

Checks a text whole, before it may come into force.
"""

from collections.abc import Iterator, Mapping

import networkx

from kumquatway_core.text._schema import Accelerator, Account, Model, Service, Text
from kumquatway_core.toml import (
    KeyPath,
    Problem,
    Reader,
    configuration_error,
    load,
    suggest,
)


def parse(source: str, name: str) -> Text:
    """
    Read a text that may come into force.

    :param source: the document.
    :param name: the name of its file, for messages.
    :return: the text.
    :raises ConfigurationError: if anything is wrong; the message has it all.
    """
    text, problems = _read(source, name)
    if problems:
        raise configuration_error(problems)
    return text


def validate(source: str, name: str) -> tuple[Problem, ...]:
    """
    Find everything that is wrong in a text.

    :param source: the document.
    :param name: the name of its file, for messages.
    :return: the problems, none for a text that may come into force.
    """
    return _read(source, name)[1]


def _read(source: str, name: str) -> tuple[Text | None, tuple[Problem, ...]]:
    table = load(source, name)
    if isinstance(table, Problem):
        return None, (table,)
    reader = Reader(file=name, source=source)
    fields = reader.read_fields(Text, table)
    _CrossTableValidator(reader=reader, table=table, fields=fields).validate()
    text = None if reader.problems else Text(**fields)
    return text, tuple(reader.problems)


class _CrossTableValidator:
    """
    The checks across tables, on what could be read of them.

    :param reader: keeps the problems.
    :param table: the top table of the document.
    :param fields: the fields of the text that were read.
    """

    def __init__(self, *, reader: Reader, table: dict, fields: dict):
        self.reader = reader
        self.table = table
        self.models: dict[str, Model] = _valid_entries(fields.get("models"))
        self.services: dict[str, Service] = _valid_entries(fields.get("services"))
        self.accounts: dict[str, Account] = _valid_entries(fields.get("accounts"))
        self.accelerators: dict[str, Accelerator] = _valid_entries(
            fields.get("accelerators")
        )

    def validate(self):
        """Note what single values can't show."""
        self._check_unique_names()
        self._check_dependencies()
        self._check_memory()
        self._check_keys()

    def _names_in_table(self, key: str) -> set[str]:
        named = self.table.get(key)
        return set(named) if isinstance(named, dict) else set()

    def _check_unique_names(self):
        for name in sorted(
            self._names_in_table("models") & self._names_in_table("services")
        ):
            expected = "another name than that of the model"
            self.reader.add_problem(("services", name), repr(name), expected)

    def _check_dependencies(self):
        names = self._names_in_table("models") | self._names_in_table("services")
        graph = networkx.DiGraph()
        for path, name, needed in self._iterate_dependencies():
            if needed not in names:
                self.reader.add_problem(path, repr(needed), suggest(needed, names))
            graph.add_edge(name, needed)
        for cycle in sorted(_find_cycles(graph)):
            shown = " -> ".join((*cycle, cycle[0]))
            path = (self._table_of(cycle[0]), cycle[0], "depends_on")
            self.reader.add_problem(
                path, f"the cycle {shown}", "no cycle of dependencies"
            )

    def _iterate_dependencies(self) -> Iterator[tuple[KeyPath, str, str]]:
        tables: dict[str, Mapping[str, Model | Service]] = {
            "models": self.models,
            "services": self.services,
        }
        for key, named in tables.items():
            for name, value in named.items():
                for index, needed in enumerate(value.depends_on):
                    yield (key, name, "depends_on", index), name, needed

    def _table_of(self, name: str) -> str:
        return "models" if name in self.models else "services"

    def _check_memory(self):
        kinds = self.accelerators.values()
        largest = max((kind.memory_mib for kind in kinds), default=0)
        unread = self._names_in_table("accelerators") - self.accelerators.keys()
        if unread:
            return
        for name, model in self.models.items():
            if not largest:
                expected = "a table accelerators with a kind that holds a layer"
                self.reader.add_problem(
                    ("models", name), "no kind of accelerator", expected
                )
            elif model.layer_mib > largest:
                expected = f"at most {largest} MiB, the largest accelerator's memory"
                path = ("models", name, "layer_mib")
                self.reader.add_problem(path, str(model.layer_mib), expected)

    def _check_keys(self):
        owners: dict[str, str] = {}
        for name, account in self.accounts.items():
            for index, key in enumerate(account.keys):
                owner = owners.setdefault(key, name)
                if owner != name or key in account.keys[:index]:
                    expected = f"a key other than those of {owner}"
                    path = ("accounts", name, "keys", index)
                    self.reader.add_problem(path, repr(key), expected)


def _valid_entries(named: dict | None) -> dict:
    return {name: value for name, value in (named or {}).items() if value is not None}


def _find_cycles(graph: networkx.DiGraph) -> Iterator[tuple[str, ...]]:
    """Find one cycle in each group of names that need each other."""
    for group in networkx.strongly_connected_components(graph):
        members = graph.subgraph(group)
        first = min(group)
        if len(group) == 1 and not members.has_edge(first, first):
            continue
        edges = networkx.find_cycle(members, first)
        cycle = tuple(edge[0] for edge in edges)
        start = cycle.index(min(cycle))
        yield cycle[start:] + cycle[:start]
