"""
Results.

What a try is told about its claim.
"""

import enum
from dataclasses import dataclass

from kumquatway_core._verdict import Verdict
from kumquatway_core.claims._rows import Answer, ClaimRow
from kumquatway_core.platform import Key


@dataclass(frozen=True, kw_only=True, slots=True)
class Claim:
    """
    A try's right to dispatch its request once.

    :param place: the claim's row.
    :param row: what the row says.
    :param revision: the row's revision.
    """

    table_key: Key
    row: ClaimRow
    revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Granted:
    """
    The try may dispatch, once.

    :param claim: to be completed or abandoned.
    """

    claim: Claim


@dataclass(frozen=True, kw_only=True, slots=True)
class AlreadyClaimed:
    """
    The same attempt has claimed before and may have dispatched.

    :param claim: as it stands in the table.
    """

    claim: Claim


@dataclass(frozen=True, kw_only=True, slots=True)
class Finished:
    """
    The request ran before.

    :param answer: what it was answered.
    """

    answer: Answer


@dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """
    The try must not dispatch.

    :param verdict: for the caller; `NOT_RUN` speaks of this try.
    :param holder: the claim in the way, if there is one; its upstream may be asked.
    """

    verdict: Verdict
    holder: ClaimRow | None = None


ClaimResult = Granted | AlreadyClaimed | Finished | Refused


class WriteResult(enum.StrEnum):
    """What became of the end of a claim."""

    STORED = "stored"
    LATER = "later"
    LOST = "lost"
