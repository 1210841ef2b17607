"""
Verdicts: whether a request ran, did not run or may have run, and why.

A verdict is returned as a value, not raised as an exception.
"""

import enum
from dataclasses import dataclass

from typing_extensions import Sentinel

RAN = Sentinel("RAN")
NOT_RUN = Sentinel("NOT_RUN")
MAY_HAVE_RUN = Sentinel("MAY_HAVE_RUN")

VERDICT_HEADER = "Kumquatway-Verdict"

_HEADER_VALUES = (
    (RAN, "ran"),
    (NOT_RUN, "not-run"),
    (MAY_HAVE_RUN, "may-have-run"),
)


class Reason(enum.StrEnum):
    """Why a request ended without an answer."""

    NONE = "none"
    BAD_REQUEST = "bad_request"
    UNAUTHORIZED = "unauthorized"
    NOT_FOUND = "not_found"
    TOO_LARGE = "too_large"
    KEY_REUSED = "key_reused"
    LIMITED = "limited"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    NO_UPSTREAM = "no_upstream"
    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    DIVERGED = "diverged"
    SILENCE = "silence"
    RESET = "reset"
    UPSTREAM_ERROR = "upstream_error"
    STORE_DOWN = "store_down"
    IN_PROGRESS = "in_progress"
    ANSWER_GONE = "answer_gone"
    SHUTTING_DOWN = "shutting_down"
    CANCELLED = "cancelled"
    QUARANTINED = "quarantined"
    INTERNAL = "internal"


STATUS_BY_REASON = {
    Reason.NONE: 200,
    Reason.BAD_REQUEST: 400,
    Reason.UNAUTHORIZED: 401,
    Reason.NOT_FOUND: 404,
    Reason.TOO_LARGE: 413,
    Reason.KEY_REUSED: 422,
    Reason.LIMITED: 429,
    Reason.OVERLOADED: 503,
    Reason.DEADLINE: 504,
    Reason.NO_UPSTREAM: 503,
    Reason.UNREACHABLE: 503,
    Reason.REFUSED: 503,
    Reason.DIVERGED: 502,
    Reason.SILENCE: 504,
    Reason.RESET: 502,
    Reason.UPSTREAM_ERROR: 502,
    Reason.STORE_DOWN: 503,
    Reason.IN_PROGRESS: 409,
    Reason.ANSWER_GONE: 410,
    Reason.SHUTTING_DOWN: 503,
    Reason.CANCELLED: 499,
    Reason.QUARANTINED: 503,
    Reason.INTERNAL: 500,
}


@dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """
    Whether a request may have run, and why it got no answer.

    :param ran: one of the sentinels `RAN`, `NOT_RUN` and `MAY_HAVE_RUN`.
    :param reason: cause, which determines the HTTP status.
    :param detail: one line for human readers.
    :param retry_after: seconds after which a retry makes sense, or None.
    """

    ran: Sentinel
    reason: Reason = Reason.NONE
    detail: str = ""
    retry_after: float | None = None

    def status(self) -> int:
        """
        Map the reason to an HTTP status.

        :return: HTTP status code.
        """
        return STATUS_BY_REASON[self.reason]

    def header_value(self) -> str:
        """
        Return the value of the `Kumquatway-Verdict` header.

        :return: `ran`, `not-run` or `may-have-run`.
        """
        return next(value for ran, value in _HEADER_VALUES if ran is self.ran)

    def retry_is_safe(self, *, idempotent: bool) -> bool:
        """
        Tell whether the request may be sent again.

        :param idempotent: whether running the request twice does no harm.
        :return: True if a retry cannot run a non-idempotent request twice.
        """
        return self.ran is NOT_RUN or (idempotent and self.ran is MAY_HAVE_RUN)


def not_run(
    reason: Reason, detail: str = "", retry_after: float | None = None
) -> Verdict:
    """
    Build the verdict of a request that certainly did not run.

    :param reason: cause.
    :param detail: one line for human readers.
    :param retry_after: seconds after which a retry makes sense, or None.
    :return: verdict with `NOT_RUN`.
    """
    return Verdict(ran=NOT_RUN, reason=reason, detail=detail, retry_after=retry_after)


def may_have_run(reason: Reason, detail: str = "") -> Verdict:
    """
    Build the verdict of a request of which at least one byte may have been sent.

    :param reason: cause.
    :param detail: one line for human readers.
    :return: verdict with `MAY_HAVE_RUN`.
    """
    return Verdict(ran=MAY_HAVE_RUN, reason=reason, detail=detail)
