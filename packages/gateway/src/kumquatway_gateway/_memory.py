"""Reads how much memory this VM has."""

from pathlib import Path

MEMINFO = Path("/proc/meminfo")
KIB = 1024


def machine_memory(path: Path = MEMINFO) -> float:
    """
    Read the memory of this VM.

    :param path: file in the format of `/proc/meminfo`.
    :return: in bytes; infinite if it is unknown.
    """
    try:
        lines = path.read_text(encoding="ascii").splitlines()
    except (OSError, ValueError):
        return float("inf")
    for line in lines:
        name, _, rest = line.partition(":")
        words = rest.split()
        if name == "MemTotal" and words and words[0].isdigit():
            return int(words[0]) * KIB
    return float("inf")
