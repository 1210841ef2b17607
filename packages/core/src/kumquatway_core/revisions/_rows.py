"""
Rows of the operators' configuration text in the table: head, text and audit records.
"""

import hashlib
from collections import Counter
from collections.abc import Iterator

import msgspec

from kumquatway_core.decoding import decode
from kumquatway_core.exceptions import InvalidData, UnreadableRow
from kumquatway_core.platform import Key

TABLE = "configuration"
AUDIT_TABLE = "configuration_audit"
HEAD_KEY = Key(table=TABLE, key="head")
TEXT_KEY = Key(table=TABLE, key="text")
MAX_AUDIT_RECORDS = 100_000
MAX_DIFF_CHARACTERS = 16 * 1024  # of one audit record
NUMBER_DIGITS = 12


class Head(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    Metadata of a revision.

    :param number: revision number, from 1.
    :param edit_id: unique ID of the edit that created the revision.
    :param author: author of that edit.
    :param time: wall-clock time of that edit, seconds.
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

    :param head: metadata of the revision.
    :param text: configuration text of the operators.
    """

    head: Head
    text: str

    @property
    def number(self) -> int:
        """
        Return the number of the revision.

        :return: revision number, from 1.
        """
        return self.head.number


class AuditRecord(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    Who changed what, and when.

    :param head: metadata of the revision that the edit created.
    :param diff: removed and added lines, cut at `MAX_DIFF_CHARACTERS`.
    """

    head: Head
    diff: str


def audit_key(number: int) -> Key:
    """
    Build the key of a revision's audit record; keys sort by revision number.

    :param number: revision number.
    :return: key of the audit record.
    """
    return Key(table=AUDIT_TABLE, key=f"{number:0{NUMBER_DIGITS}}")


def digest(text: str) -> str:
    """
    Compute the digest of a text.

    :param text: configuration text.
    :return: SHA-256, hexadecimal.
    """
    return hashlib.sha256(text.encode()).hexdigest()


def diff_texts(before: str, after: str) -> str:
    """
    List the lines that an edit changed, in time linear in the size of the texts.

    :param before: text before the edit.
    :param after: text after the edit.
    :return: removed and added lines, each after the header of its TOML table, cut at
        `MAX_DIFF_CHARACTERS`; lines that only moved within their table are left out.
    """
    old = Counter(_lines_with_header(before))
    new = Counter(_lines_with_header(after))
    removed = [f"-{line}" for line in (old - new).elements()]
    added = [f"+{line}" for line in (new - old).elements()]
    return "\n".join(removed + added)[:MAX_DIFF_CHARACTERS]


def _lines_with_header(text: str) -> Iterator[str]:
    header = ""
    for line in text.splitlines():
        if line.startswith("["):
            header = line
        yield f"{header} {line}"


def decode_value(row_type: type, value: bytes):
    """
    Decode the value of a row.

    :param row_type: expected type.
    :param value: value of the row.
    :return: instance of `row_type`.
    :raises UnreadableRow: if the value is not of that type.
    """
    try:
        return decode(value, row_type, codec=msgspec.msgpack)
    except InvalidData as error:
        raise UnreadableRow(
            f"cannot decode a row as {row_type.__name__}: {error}"
        ) from error
