"""
Rows of claims in the table, with their keys, encoding and decoding.
"""

import enum
import hashlib

import msgspec

from kumquatway_core.decoding import Amount, Decoder, parse_count
from kumquatway_core.exceptions import InvalidData, UnreadableRow

TABLE = "claims"
KEY_DIGEST_BYTES = 20
OBJECT_PREFIX = "claims/"
HOUR_SECONDS = 3600.0
HOUR_DIGITS = 8


class ClaimState(enum.StrEnum):
    """
    How far the request of a claim has got.

    A claim starts as `CLAIMED`. It ends as `RELEASED` if the request did not run, and
    as `FINISHED` if it ran.
    """

    CLAIMED = "claimed"
    RELEASED = "released"
    FINISHED = "finished"


class Answer(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    Response of the upstream.

    :param status: HTTP status.
    :param headers: pairs of name and value.
    :param body: response body.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class ClaimRow(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    A claim as stored in the table.

    :param state: how far the request has got.
    :param digest: digest of the request that uses the idempotency key.
    :param attempt: unique ID of the attempt that wrote the row.
    :param token: unique ID of the call of `claim` that wrote the row.
    :param upstream: upstream that the attempt dispatches to.
    :param claimed_at: wall-clock time of that call of `claim`, seconds.
    :param answer: answer, if it is small enough for the row.
    :param answer_object: name of the object that holds the answer, or "".
    """

    state: ClaimState
    digest: str
    attempt: str
    token: str
    upstream: str
    claimed_at: Amount
    answer: Answer | None = None
    answer_object: str = ""


_encoder = msgspec.msgpack.Encoder()
_decoder = Decoder(ClaimRow, codec=msgspec.msgpack)


def row_key(account: str, key: str) -> str:
    """
    Build the key of a claim's row; idempotency keys of callers may have any length.

    :param account: client account.
    :param key: idempotency key of the caller.
    :return: hash of fixed length, so that the keys are evenly distributed.
    """
    parts = msgspec.msgpack.encode((account, key))
    return hashlib.blake2b(parts, digest_size=KEY_DIGEST_BYTES).hexdigest()


def object_name(row: ClaimRow, table_key: str) -> str:
    """
    Build the name of the object for a large answer; names sort by the claim's hour.

    :param row: claim that the answer belongs to.
    :param table_key: key of the claim's row.
    :return: name of the object.
    """
    hour = int(row.claimed_at // HOUR_SECONDS)
    return f"{OBJECT_PREFIX}{hour:0{HOUR_DIGITS}}/{table_key}/{row.token}"


def hour_end(name: str) -> float:
    """
    Return the end of the hour in which the claim of an object was written.

    :param name: name of the object.
    :return: wall-clock time, seconds.
    :raises ValueError: if the name is not the name of a claim's object.
    """
    hour = name.removeprefix(OBJECT_PREFIX).split("/")[0]
    number = parse_count(hour.encode())
    if number is None:
        raise ValueError(f"{name!r} is not the name of a claim's object")
    return (number + 1) * HOUR_SECONDS


def encode_row(row: ClaimRow) -> bytes:
    """
    Encode the row of a claim.

    :param row: claim to encode.
    :return: value of the row.
    """
    return _encoder.encode(row)


def decode_row(value: bytes) -> ClaimRow:
    """
    Decode the row of a claim.

    :param value: value of the row.
    :return: decoded claim.
    :raises UnreadableRow: if the value is not a claim.
    """
    try:
        return _decoder.decode(value)
    except InvalidData as error:
        raise UnreadableRow(f"cannot decode a row of table {TABLE}: {error}") from error
