"""
Reads settings files and reports all problems of an invalid file.
"""

from pathlib import Path

from kumquatway_core.settings._schema import AgentSettings, EntrySettings
from kumquatway_core.toml import Problem, Reader, configuration_error, load, read_file

_ADDRESS_KEYS = ("mesh_address", "caller_address", "admin_address", "http_address")


def read_entry(path: str | Path) -> EntrySettings:
    """
    Read the settings of an entry.

    :param path: path of the settings file.
    :return: settings of the entry.
    :raises ConfigurationError: if the file is invalid; the message lists all problems,
        up to `MAX_LISTED_PROBLEMS`.
    """
    return _read(EntrySettings, Path(path))


def read_agent(path: str | Path) -> AgentSettings:
    """
    Read the settings of an agent.

    :param path: path of the settings file.
    :return: settings of the agent.
    :raises ConfigurationError: if the file is invalid; the message lists all problems,
        up to `MAX_LISTED_PROBLEMS`.
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
    """Add a problem for each address that two listeners share."""
    keys: dict[str, str] = {}
    for key in _ADDRESS_KEYS:
        address = table.get(key)
        if not isinstance(address, str) or address.endswith(":0"):
            continue
        if address in keys:
            reader.add_problem(
                (key,), repr(address), f"an address other than that of {keys[address]}"
            )
        keys.setdefault(address, key)


def _check_upstream(reader: Reader, table: dict):
    """Check that an agent has either one engine or one plain service."""
    found = [key for key in ("engine", "service") if key in table]
    if len(found) != 1:
        actual = " and ".join(found) or "nothing"
        reader.add_problem(("engine",), actual, "an engine table or a service table")
    if found == ["engine"] and not table.get("accelerator"):
        expected = (
            "the kind of accelerator, a name in the accelerators table of the text"
        )
        reader.add_problem(("accelerator",), "nothing", expected)
