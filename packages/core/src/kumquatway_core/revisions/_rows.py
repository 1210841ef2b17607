"""
Rows.

What the table keeps of the operators' text.
"""

import hashlib
from collections import Counter
from collections.abc import Iterator

import msgspec

from kumquatway_core.exceptions import PlatformError
from kumquatway_core.platform import Key

TABLE = "configuration"
AUDIT_TABLE = "configuration_audit"
HEAD_KEY = Key(table=TABLE, key="head")
TEXT_KEY = Key(table=TABLE, key="text")
MAX_AUDIT_RECORDS = 100_000  # records
MAX_DIFF_CHARACTERS = 16 * 1024  # characters of a record's difference
NUMBER_DIGITS = 12


class Head(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    The revision in force, without its text.

    :param number: the revision, from 1.
    :param edit_id: unique id of the edit that made it.
    :param author: who made it.
    :param time: wall clock of its making, seconds.
    :param digest: SHA-256 of the text, hexadecimal.
    """

    number: int
    edit_id: str
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
    :param changed: the lines taken out and put in, cut at a bound.
    """

    head: Head
    diff: str


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


def diff_texts(before: str, after: str) -> str:
    """
    Say what an edit changed, in time linear in the texts.

    :param before: the text before.
    :param after: the text after.
    :return: lines taken out and put in, each with its table's header; a line that
        only moved within its table is left out; cut at `MAX_CHANGED`.
    """
    old = Counter(_lines_with_header(before))
    new = Counter(_lines_with_header(after))
    taken_out = [f"-{line}" for line in (old - new).elements()]
    put_in = [f"+{line}" for line in (new - old).elements()]
    return "\n".join(taken_out + put_in)[:MAX_DIFF_CHARACTERS]


def _lines_with_header(text: str) -> Iterator[str]:
    header = ""
    for line in text.splitlines():
        if line.startswith("["):
            header = line
        yield f"{header} {line}"


def decode_value(kind: type, value: bytes):
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
