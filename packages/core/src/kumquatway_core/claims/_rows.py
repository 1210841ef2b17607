"""
Rows.

What the table keeps of a claim, and how it is read and written.
"""

import enum
import hashlib

import msgspec

from kumquatway_core.exceptions import PlatformError

TABLE = "claims"
KEY_DIGEST_BYTES = 20
OBJECT_PREFIX = "claims/"
HOUR_SECONDS = 3600.0
HOUR_DIGITS = 8


class ClaimState(enum.StrEnum):
    """How far the request of a claim came."""

    CLAIMED = "claimed"
    RELEASED = "released"
    FINISHED = "finished"


class Answer(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    What the upstream answered.

    :param status: the HTTP status.
    :param headers: pairs of name and value.
    :param body: the body.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class ClaimRow(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    A claim as the table keeps it.

    :param digest: of the request that the key stands for.
    :param attempt: unique id of the try that wrote the row.
    :param token: unique id of the call of `claim` that wrote the row.
    :param upstream: where that try goes.
    :param written: wall clock of the first write for the key, seconds.
    :param answer: the answer, if it is small.
    :param stored: the name of the object that holds the answer, or "".
    """

    state: ClaimState
    digest: str
    attempt: str
    token: str
    upstream: str
    claimed_at: float
    answer: Answer | None = None
    answer_object: str = ""


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(ClaimRow)


def row_key(account: str, key: str) -> str:
    """
    Make the key of a claim's row; callers' keys may have any length.

    :param account: the client account.
    :param key: the caller's idempotency key.
    :return: a key of fixed length, spread evenly.
    """
    parts = msgspec.msgpack.encode((account, key))
    return hashlib.blake2b(parts, digest_size=KEY_DIGEST_BYTES).hexdigest()


def object_name(row: ClaimRow, table_key: str) -> str:
    """
    Name the object of a large answer; names are in the order of the claims' hours.

    :param row: the claim.
    :param place: the key of its row.
    :return: the name.
    """
    hour = int(row.claimed_at // HOUR_SECONDS)
    return f"{OBJECT_PREFIX}{hour:0{HOUR_DIGITS}}/{table_key}/{row.token}"


def hour_end(name: str) -> float:
    """
    Tell when the hour of an object's claim ended.

    :param name: the object's name.
    :return: wall clock, seconds.
    :raises ValueError: if the name is not of a claim.
    """
    hour = name.removeprefix(OBJECT_PREFIX).split("/")[0]
    return (int(hour) + 1) * HOUR_SECONDS


def encode_row(row: ClaimRow) -> bytes:
    """
    Encode a row.

    :param row: the claim.
    :return: the row's value.
    """
    return _encoder.encode(row)


def decode_row(value: bytes) -> ClaimRow:
    """
    Decode a row.

    :param value: the row's value.
    :return: the claim.
    :raises PlatformError: if the value is no claim.
    """
    try:
        return _decoder.decode(value)
    except msgspec.MsgspecError as error:
        raise PlatformError(f"a row that is no claim: {error}") from error
