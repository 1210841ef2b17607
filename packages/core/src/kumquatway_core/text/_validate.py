"""
Parses a text and reports every problem in it before the text may become current.
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
    Parse and validate a text.

    :param source: content of the TOML document.
    :param name: name of its file, for messages.
    :return: the valid text.
    :raises ConfigurationError: if the text is invalid; the message lists all problems,
        up to `MAX_LISTED_PROBLEMS`.
    """
    text, problems = _read(source, name)
    if problems:
        raise configuration_error(problems)
    return text


def validate(source: str, name: str) -> tuple[Problem, ...]:
    """
    Find all problems of a text.

    :param source: content of the TOML document.
    :param name: name of its file, for messages.
    :return: the problems; empty for a valid text.
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
    Checks that involve more than one value of a text.

    Most checks run on the entries that were read without a problem, so that one
    invalid entry does not hide problems of the others.

    :param reader: collects the problems.
    :param table: top-level table of the document.
    :param fields: fields of the text that were read; None for an invalid field.
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
        """Add all problems to the reader."""
        self._check_unique_names()
        self._check_dependencies()
        self._check_memory()
        self._check_keys()

    def _names_in_table(self, key: str) -> set[str]:
        entries = self.table.get(key)
        return set(entries) if isinstance(entries, dict) else set()

    def _check_unique_names(self):
        for name in sorted(
            self._names_in_table("models") & self._names_in_table("services")
        ):
            expected = "a name other than that of a model"
            self.reader.add_problem(("services", name), repr(name), expected)

    def _check_dependencies(self):
        names = self._names_in_table("models") | self._names_in_table("services")
        graph = networkx.DiGraph()
        for path, name, dependency in self._iterate_dependencies():
            if dependency not in names:
                self.reader.add_problem(
                    path, repr(dependency), suggest(dependency, names)
                )
            graph.add_edge(name, dependency)
        for cycle in sorted(_find_cycles(graph)):
            formatted = " -> ".join((*cycle, cycle[0]))
            path = (self._table_of(cycle[0]), cycle[0], "depends_on")
            self.reader.add_problem(
                path, f"the cycle {formatted}", "no cycle of dependencies"
            )

    def _iterate_dependencies(self) -> Iterator[tuple[KeyPath, str, str]]:
        tables: dict[str, Mapping[str, Model | Service]] = {
            "models": self.models,
            "services": self.services,
        }
        for table, entries in tables.items():
            for name, entry in entries.items():
                for index, dependency in enumerate(entry.depends_on):
                    yield (table, name, "depends_on", index), name, dependency

    def _table_of(self, name: str) -> str:
        return "models" if name in self.models else "services"

    def _check_memory(self):
        accelerators = self.accelerators.values()
        largest = max((kind.memory_mib for kind in accelerators), default=0)
        invalid = self._names_in_table("accelerators") - self.accelerators.keys()
        if invalid:
            return
        for name, model in self.models.items():
            if not largest:
                expected = "an accelerators table with a kind that holds a layer"
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


def _valid_entries(entries: dict | None) -> dict:
    return {name: value for name, value in (entries or {}).items() if value is not None}


def _find_cycles(graph: networkx.DiGraph) -> Iterator[tuple[str, ...]]:
    """Find one cycle in each strongly connected component of the dependency graph."""
    for names in networkx.strongly_connected_components(graph):
        component = graph.subgraph(names)
        first = min(names)
        if len(names) == 1 and not component.has_edge(first, first):
            continue
        edges = networkx.find_cycle(component, first)
        cycle = tuple(edge[0] for edge in edges)
        start = cycle.index(min(cycle))
        yield cycle[start:] + cycle[:start]
