"""
Results of claiming an idempotency key and of writing the claim's final state.
"""

import enum
from dataclasses import dataclass

from kumquatway_core._verdict import Verdict
from kumquatway_core.claims._rows import Answer, ClaimRow
from kumquatway_core.platform import UNKNOWN_GENERATION, Key


@dataclass(frozen=True, kw_only=True, slots=True)
class Claim:
    """
    The right of one attempt to dispatch its request once.

    :param table_key: key of the claim's row in the table.
    :param row: content of the row.
    :param revision: revision of the row.
    :param generation: generation of the store that the revision is of.
    """

    table_key: Key
    row: ClaimRow
    revision: int
    generation: int = UNKNOWN_GENERATION


@dataclass(frozen=True, kw_only=True, slots=True)
class Granted:
    """
    The attempt may dispatch its request once.

    :param claim: claim that the caller must complete or abandon.
    """

    claim: Claim


@dataclass(frozen=True, kw_only=True, slots=True)
class AlreadyClaimed:
    """
    The same attempt has claimed the key before and may have dispatched its request.

    :param claim: claim as stored in the table.
    """

    claim: Claim


@dataclass(frozen=True, kw_only=True, slots=True)
class Finished:
    """
    An earlier attempt has run the request.

    :param answer: stored answer of that run.
    """

    answer: Answer


@dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """
    The attempt must not dispatch its request.

    :param verdict: verdict for the caller; `NOT_RUN` refers to this attempt only.
    :param holder: existing claim on the key, if known; its upstream can be queried.
    """

    verdict: Verdict
    holder: ClaimRow | None = None


ClaimResult = Granted | AlreadyClaimed | Finished | Refused


class WriteResult(enum.StrEnum):
    """
    Whether the final state of a claim was stored.

    `LATER`: the write is pending and is retried. `LOST`: it will not be written.
    """

    STORED = "stored"
    LATER = "later"
    LOST = "lost"
