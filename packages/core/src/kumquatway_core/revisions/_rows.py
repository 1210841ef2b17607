"""
Rows.

What the table keeps of the operators' text.
"""

import difflib
import hashlib

import msgspec

from kumquatway_core.exceptions import PlatformError
from kumquatway_core.platform import Key

TABLE = "configuration"
AUDIT_TABLE = "configuration_audit"
HEAD = Key(table=TABLE, key="head")
TEXT = Key(table=TABLE, key="text")
AUDIT_KEEP = 100_000  # records
MAX_CHANGED = 16 * 1024  # characters of a record's difference
NUMBER_DIGITS = 12


class Head(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    The revision in force, without its text.

    :param number: the revision, from 1.
    :param proposal: unique id of the edit that made it.
    :param author: who made it.
    :param time: wall clock of its making, seconds.
    :param digest: SHA-256 of the text, hexadecimal.
    """

    number: int
    proposal: str
    author: str
    time: float
    digest: str


class Revision(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    A revision with its text.

    :param head: what is known of it.
    :param text: the operators' text.
    """

    head: Head
    text: str

    @property
    def number(self) -> int:
        """
        Give the revision's number.

        :return: the number, from 1.
        """
        return self.head.number


class AuditRecord(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    Who changed what, and when.

    :param head: the revision that the edit made.
    :param changed: unified difference to the revision before, cut at a bound.
    """

    head: Head
    changed: str


def audit_key(number: int) -> Key:
    """
    Give the place of a revision's audit record.

    :param number: the revision.
    :return: its key, in the order of numbers.
    """
    return Key(table=AUDIT_TABLE, key=f"{number:0{NUMBER_DIGITS}}")


def digest(text: str) -> str:
    """
    Digest a text.

    :param text: the text.
    :return: SHA-256, hexadecimal.
    """
    return hashlib.sha256(text.encode()).hexdigest()


def difference(before: str, after: str) -> str:
    """
    Say what an edit changed.

    :param before: the text before.
    :param after: the text after.
    :return: a unified difference without context, cut at `MAX_CHANGED`.
    """
    lines = difflib.unified_diff(
        before.splitlines(), after.splitlines(), lineterm="", n=0
    )
    return "\n".join(lines)[:MAX_CHANGED]


def decode(kind: type, value: bytes):
    """
    Decode a row's value.

    :param kind: the expected type.
    :param value: the value.
    :return: an instance of `kind`.
    :raises PlatformError: if the value is none.
    """
    try:
        return msgspec.msgpack.decode(value, type=kind)
    except msgspec.MsgspecError as error:
        raise PlatformError(f"a row that is no {kind.__name__}: {error}") from error
