"""Decides whether a request to a model service may be sent once more, and where to."""

import enum
from collections.abc import Iterable, Set
from dataclasses import dataclass

from kumquatway_gateway.quarantine import MAX_SUSPICION

SILENCE_SECONDS = 1.5  # of a server that goes on after it, at most


class RetryChoice(enum.Enum):
    """Servers that may get a request once more."""

    ANY = "any server"
    SAME = "servers that got the request before"
    NONE = "no server"


@dataclass(frozen=True, kw_only=True, slots=True)
class RetryStatus:
    """
    What is known of a request whose attempts have failed or fallen silent.

    :param idempotent: whether it may run more than once.
    :param may_have_run: whether a server may have run it.
    :param streaming: whether the caller has the beginning of a response.
    :param is_resumable: whether the response may go on at another server.
    :param is_blocked: whether requests like it must reach no server.
    :param suspicion: of having crashed the servers that took it.
    :param error_count: number of complete responses with an error status.
    :param max_attempts: highest number of servers that may run it.
    :param possibly_run_on: IDs of the servers that may run it or have run it.
    """

    idempotent: bool
    may_have_run: bool
    streaming: bool
    is_resumable: bool
    is_blocked: bool
    suspicion: int
    error_count: int
    max_attempts: int
    possibly_run_on: Set[str]


def choose_retry(request: RetryStatus) -> RetryChoice:
    """
    Choose which servers may get a request once more.

    Load pattern: a server falls silent for a second, and the one that takes over has
    its connections reset. The false alarm has used up an attempt, and the stream that
    has begun goes on at a server that it was at before, which adds none to those that
    run it. A caller that has nothing yet is told so instead, and tries again.

    :param request: the request.
    :return: the choice.
    """
    if request.is_blocked or request.suspicion >= MAX_SUSPICION:
        return RetryChoice.NONE
    if request.error_count >= request.max_attempts:
        return RetryChoice.NONE
    if request.may_have_run and not request.idempotent:
        return RetryChoice.NONE
    # Any other body would start from the top.
    if request.streaming and not request.is_resumable:
        return RetryChoice.NONE
    if len(request.possibly_run_on) < request.max_attempts:
        return RetryChoice.ANY
    return RetryChoice.SAME if request.streaming else RetryChoice.NONE


def seem_lost(silent_seconds: Iterable[float]) -> bool:
    """
    Tell whether the attempts of a request have been silent for too long to go on.

    :param silent_seconds: for how long each one in progress has had no event; infinite
        for one whose chain has lost a server.
    """
    return all(seconds >= SILENCE_SECONDS for seconds in silent_seconds)
