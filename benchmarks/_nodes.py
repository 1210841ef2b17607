"""
Nodes.

Runs entries or agents, several to a process, and writes down their traffic.

`python -m benchmarks._nodes entry|agents COUNTS SETTINGS ...`
"""

import sys
import time
from pathlib import Path

import anyio
import msgspec
from loguru import logger

from kumquatway._entry import Entry
from kumquatway_agent import Agent
from kumquatway_core.mesh import Mesh
from kumquatway_core.settings import read_agent, read_entry

INTERVAL = 0.25  # seconds between counts


class Counts(msgspec.Struct, frozen=True, kw_only=True):
    """
    The traffic of the meshes of one process since its start.

    :param at: monotonic seconds.
    """

    at: float
    messages: int
    bytes: int


def read_counts(path: Path) -> Counts:
    """
    Read what a process wrote last.

    :param path: of its file.
    :return: the counts.
    """
    return msgspec.json.decode(path.read_bytes(), type=Counts)


def _count(meshes: list[Mesh]) -> Counts:
    found = [mesh.traffic for mesh in meshes]
    return Counts(
        at=time.monotonic(),
        messages=sum(each.sent + each.received for each in found),
        bytes=sum(each.sent_bytes + each.received_bytes for each in found),
    )


async def _write_counts(meshes: list[Mesh], path: Path) -> None:
    spare = path.with_suffix(".new")
    while True:
        spare.write_bytes(msgspec.json.encode(_count(meshes)))
        spare.rename(path)
        await anyio.sleep(INTERVAL)


def _make(kind: str, path: Path) -> Entry | Agent:
    if kind == "agents":
        return Agent(settings=read_agent(path))
    settings = read_entry(path)
    return Entry(settings=settings, source=Path(settings.text_file).read_text())


async def run(kind: str, counts: Path, paths: list[Path]) -> None:
    """
    Run nodes until killed.

    :param kind: `entry` or `agents`.
    :param counts: file for the traffic.
    :param paths: settings, one for each node.
    """
    nodes = [_make(kind, path) for path in paths]
    async with anyio.create_task_group() as group:
        group.start_soon(_write_counts, [node.mesh for node in nodes], counts)
        for node in nodes:
            group.start_soon(node.run)


def main() -> None:
    """Run the nodes that the command line names."""
    logger.remove()
    kind, counts, *paths = sys.argv[1:]
    anyio.run(run, kind, Path(counts), [Path(path) for path in paths])


if __name__ == "__main__":
    main()
