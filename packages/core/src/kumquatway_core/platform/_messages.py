"""
Messages between the platform's services and their clients.

All are encoded as MessagePack, except the VM list, which is JSON.
"""

import enum

import msgspec

from kumquatway_core.wire import VMState

ABSENT = 0  # revision of a row that does not exist


class Key(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The table and key of a row."""

    table: str
    key: str


class Row(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    A row with its value and revision.

    :param revision: increases with each write. Within one generation of the store, it
        is never reused for the same key.
    """

    table: str
    key: str
    value: bytes
    revision: int


class Rows(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The requested rows that exist."""

    rows: tuple[Row, ...]


class ReadRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Requests rows by key, all read at the same moment."""

    keys: tuple[Key, ...]


class ScanRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    Requests a page of rows in the order of their keys.

    :param prefix: prefix of the keys.
    :param after: last key of the previous page, or "" for the first page.
    :param limit: maximum number of rows to return.
    """

    table: str
    prefix: str
    after: str
    limit: int


class Expectation(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    The revision that a row must have, or that it was found to have.

    :param revision: `ABSENT` if the row must not exist or does not exist.
    """

    table: str
    key: str
    revision: int


class Put(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A row to write."""

    table: str
    key: str
    value: bytes


class Transaction(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Writes and deletes that are applied atomically, if every expectation holds."""

    expectations: tuple[Expectation, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[Key, ...] = ()


class Committed(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    Response to a transaction that was applied.

    :param revisions: new revision of each put, in the order of the puts.
    """

    revisions: tuple[int, ...]


class Refusal(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Response to a call that the service refused without running it."""

    detail: str


class Conflicts(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    Response to a transaction that was not applied.

    :param found: the revision found for each expectation that failed.
    """

    found: tuple[Expectation, ...]


class ObjectNames(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A page of object names, in order."""

    names: tuple[str, ...]


class VMKind(enum.StrEnum):
    """The kind of process that runs on a VM."""

    ENTRY = "entry"
    UPSTREAM = "upstream"


class VM(msgspec.Struct, frozen=True, kw_only=True):
    """
    A VM in the platform's list.

    :param address: `host:port` where the entry or agent on the VM listens.
    :param service: name of the plain service that the VM serves, or "".
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
    The list of VMs, which may be out of date.

    :param as_of: age of the list when the service sent it, seconds.
    """

    vms: tuple[VM, ...]
    as_of: float
