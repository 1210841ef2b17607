"""
Messages of the platform.

What the clients and the stand-ins send each other, as MessagePack.
"""

import enum

import msgspec

from kumquatway_core.wire import VMState

ABSENT = 0  # the revision of a row that does not exist


class Key(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The place of a row."""

    table: str
    key: str


class Row(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    A row as it was read.

    :param revision: rises with each write and is never used again for a key.
    """

    table: str
    key: str
    value: bytes
    revision: int


class Rows(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The rows that exist among those asked for."""

    rows: tuple[Row, ...]


class ReadRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Asks for rows as of one moment."""

    keys: tuple[Key, ...]


class ScanRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    Asks for rows in the order of their keys.

    :param prefix: what each key begins with.
    :param after: the last key of the page before, or "".
    :param limit: the most rows to return.
    """

    table: str
    prefix: str
    after: str
    limit: int


class Expectation(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    A revision that a row must have.

    :param revision: `ABSENT` where the row must not exist.
    """

    table: str
    key: str
    revision: int


class Put(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A value to write."""

    table: str
    key: str
    value: bytes


class Transaction(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Writes that happen together, if every expectation holds."""

    expectations: tuple[Expectation, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[Key, ...] = ()


class Committed(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    A transaction took effect.

    :param revisions: the new revision of each put, in their order.
    """

    revisions: tuple[int, ...]


class Refusal(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The service did nothing with the call."""

    detail: str


class Conflicts(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A transaction did nothing: what was found for each failed expectation."""

    found: tuple[Expectation, ...]


class ObjectNames(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A page of names of objects, in order."""

    names: tuple[str, ...]


class VMKind(enum.StrEnum):
    """What runs on a VM."""

    ENTRY = "entry"
    UPSTREAM = "upstream"


class VM(msgspec.Struct, frozen=True, kw_only=True):
    """
    A VM in the platform's list.

    :param address: where its process of the system listens, `host:port`.
    :param service: name of the plain service it serves, or "".
    """

    name: str
    address: str
    data_centre: str
    rack: str = ""
    accelerator: str = ""
    service: str = ""
    state: VMState = VMState.LIVE
    kind: VMKind = VMKind.UPSTREAM


class VMs(msgspec.Struct, frozen=True, kw_only=True):
    """
    The list of VMs, some time ago.

    :param as_of: age of the list when it was sent, seconds.
    """

    vms: tuple[VM, ...]
    as_of: float
