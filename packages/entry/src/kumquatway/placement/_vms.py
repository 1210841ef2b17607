"""
VMs.

Reads a list of VMs, for a plan without a fleet at hand.
"""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, TypeVar

from kumquatway.placement._types import Fleet, Link, Links, Node
from kumquatway_core.toml import (
    Name,
    Problem,
    Reader,
    configuration_error,
    integer_range,
    load,
    positive_number,
    read_file,
)

MAX_VMS = 100_000
MAX_LATENCY = 60.0  # seconds
MAX_BANDWIDTH = 1e15  # bytes per second

Row = TypeVar("Row")
Latency = Annotated[float, positive_number(MAX_LATENCY)]
Bandwidth = Annotated[float, positive_number(MAX_BANDWIDTH)]


@dataclass(frozen=True, kw_only=True, slots=True)
class _VMs:
    """
    Some VMs that are alike.

    :param count: how many; more than one get a number after the name.
    """

    name: Name
    data_centre: Name
    accelerator: Name
    rack: str = ""
    count: Annotated[int, integer_range(1, MAX_VMS)] = 1


@dataclass(frozen=True, kw_only=True, slots=True)
class _LinkRow:
    """
    A link.

    :param between: nothing for VMs of one data centre, or two data centres.
    """

    between: tuple[Name, ...] = ()
    latency: Latency
    bandwidth: Bandwidth


def read_vms(path: Path) -> Fleet:
    """
    Read a TOML list of VMs and links.

    :param path: a file with `[[vms]]` tables (name, data_centre, accelerator, and
        perhaps rack and count) and perhaps `[[links]]` tables (between, latency in
        seconds, bandwidth in bytes per second).
    :return: the fleet; nothing is loaded on it.
    :raises ConfigurationError: if anything is wrong; the message has it all.
    """
    source = read_file(path)
    table = load(source, str(path))
    if isinstance(table, Problem):
        raise configuration_error([table])
    reader = Reader(file=str(path), source=source)
    for key in sorted(table.keys() - {"vms", "links"}):
        reader.add_problem((key,), "an unknown key", "vms or links")
    vms = _rows(reader, _VMs, table, "vms")
    links = _rows(reader, _LinkRow, table, "links")
    if not vms and not reader.problems:
        reader.add_problem(("vms",), "nothing", "at least one table of VMs")
    nodes = tuple(_nodes(vms))
    if len({node.name for node in nodes}) < len(nodes):
        reader.add_problem(("vms",), "a name given twice", "names that differ")
    for index, row in enumerate(links):
        if len(row.between) not in (0, 2):
            reader.add_problem(
                ("links", index), "an odd pair", "two data centres or none"
            )
    if reader.problems:
        raise configuration_error(reader.problems)
    return Fleet(nodes=nodes, links=_links(links))


def _rows(reader: Reader, cls: type[Row], table: dict, key: str) -> list[Row]:
    rows = table.get(key, [])
    if not isinstance(rows, list):
        reader.add_problem((key,), "no array", f"[[{key}]] tables")
        return []
    read = [reader.read(cls, row, (key, index)) for index, row in enumerate(rows)]
    return [row for row in read if row is not None]


def _nodes(rows: list[_VMs]) -> list[Node]:
    return [
        Node(
            name=f"{row.name}-{number}" if row.count > 1 else row.name,
            data_centre=row.data_centre,
            rack=row.rack,
            accelerator=row.accelerator,
        )
        for row in rows
        for number in range(1, row.count + 1)
    ]


def _links(rows: list[_LinkRow]) -> Links:
    within = Links().within
    pairs = {}
    for row in rows:
        link = Link(latency=row.latency, bandwidth=row.bandwidth)
        if row.between:
            pairs[tuple(sorted(row.between))] = link
        else:
            within = link
    return Links(within=within, pairs=pairs)
