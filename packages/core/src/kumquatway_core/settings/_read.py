"""
Read.

Reads a settings file, or refuses it with every problem that it has.
"""

from pathlib import Path

from kumquatway_core.settings._schema import AgentSettings, EntrySettings
from kumquatway_core.toml import Problem, Reader, configuration_error, load, read_file

_ADDRESS_KEYS = ("mesh_address", "caller_address", "admin_address", "http_address")


def read_entry(path: str | Path) -> EntrySettings:
    """
    Read the settings of an entry.

    :param path: the file.
    :return: the settings.
    :raises ConfigurationError: if anything is wrong; the message has it all.
    """
    return _read(EntrySettings, Path(path))


def read_agent(path: str | Path) -> AgentSettings:
    """
    Read the settings of an agent.

    :param path: the file.
    :return: the settings.
    :raises ConfigurationError: if anything is wrong; the message has it all.
    """
    return _read(AgentSettings, Path(path))


def _read(cls: type, path: Path) -> object:
    source = read_file(path)
    table = load(source, str(path))
    if isinstance(table, Problem):
        raise configuration_error([table])
    reader = Reader(file=str(path), source=source)
    settings = reader.read(cls, table)
    _check_addresses(reader, table)
    if cls is AgentSettings:
        _check_upstream(reader, table)
    if reader.problems:
        raise configuration_error(reader.problems)
    return settings


def _check_addresses(reader: Reader, table: dict):
    """Refuse two listeners on one address."""
    users: dict[str, str] = {}
    for key in _ADDRESS_KEYS:
        address = table.get(key)
        if not isinstance(address, str) or address.endswith(":0"):
            continue
        if address in users:
            reader.add_problem(
                (key,), repr(address), f"another address than {users[address]}"
            )
        users.setdefault(address, key)


def _check_upstream(reader: Reader, table: dict):
    """An agent stands beside one engine or one plain service."""
    found = [key for key in ("engine", "service") if key in table]
    if len(found) != 1:
        shown = " and ".join(found) or "nothing"
        reader.add_problem(("engine",), shown, "a table engine or a table service")
    if found == ["engine"] and not table.get("accelerator"):
        expected = "the kind of accelerator, as the text names it"
        reader.add_problem(("accelerator",), "nothing", expected)
