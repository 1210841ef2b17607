"""
Merge.

Brings the journals of many processes into one order.
"""

from collections.abc import Iterable

from kumquatway_core.events import KINDS, Record, matches
from kumquatway_core.exceptions import ConfigurationError
from kumquatway_core.toml import suggest


def merge(
    journals: Iterable[Iterable[Record]],
    *,
    kinds: tuple[str, ...] = (),
    request: str = "",
    vm: str = "",
) -> tuple[Record, ...]:
    """
    Merge records in the order of their hybrid logical clocks.

    A record that was read twice stands once. A cause stands before its effect
    wherever a message with the clock went from one to the other.

    :param journals: the records of each process.
    :param kinds: kinds wanted, or none for all.
    :param request: the request wanted, or "" for all.
    :param vm: the VM wanted, or "" for all.
    :return: the records, oldest first.
    :raises ConfigurationError: if a kind does not exist; the message has the nearest.
    """
    _check_kinds(kinds)
    found = {
        (record.clock, record.process, record.sequence): record
        for journal in journals
        for record in journal
        if matches(record, kinds=kinds, request=request, vm=vm)
    }
    return tuple(found[order] for order in sorted(found))


def _check_kinds(kinds: tuple[str, ...]) -> None:
    """Refuse a kind that does not exist, which would find nothing."""
    for kind in kinds:
        if kind not in KINDS:
            expected = suggest(kind, KINDS)
            raise ConfigurationError(f"kind: got {kind!r}, expected {expected}")
