"""
Silence.

What a stream without events is to do: wait, have its chain examined, or leave it.
"""

import enum
from dataclasses import dataclass

MIN_IDLE_SECONDS = 0.06  # on a chain with a server that is down
QUIET_SECONDS = 0.075  # before a chain is suspected
QUIET_PACES = 4.0  # the same in usual gaps of the stream
FIRST_QUIET_SECONDS = 0.18  # to the first event, before a chain is suspected
FIRST_QUIET_TIMES = 3.0  # the same in first events of the chain
FIRST_LEAVE_TIMES = 1.5  # of that, after which a request moves while that is cheap
CHEAP_SHARE = 0.5  # of the repeat budget left, above which repeats are cheap
# All streams of a chain without an event: at most 52 ms in days of use (journal, trials
# of 2026-12-04), while each of its streams alone has longer gaps.
CHAIN_QUIET_SECONDS = 0.06
CHAIN_STREAMS = 3  # that flow from a chain, for their silence to tell of the chain
LONG_QUIET_SECONDS = 0.9  # after which a stream moves though no server is down


class StallAction(enum.Enum):
    """What follows from a silence."""

    WAIT = "wait"
    EXAMINE = "have the chain examined"
    LEAVE = "leave the chain"
    LEAVE_ALL = "leave every server of the chain"


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamStatus:
    """
    How long a stream has been without an event, and what is usual.

    :param seconds: without an event.
    :param flowing: whether this server has sent any event.
    :param pace: usual seconds between events of the stream.
    :param first_event: usual seconds to the first event of the chain.
    :param part_down: whether a server of the chain is known to be down.
    :param budget: share of the repeat budget that is left.
    :param together: streams of this entry that flow from the chain, this one included.
    :param chain: seconds for which none of them has had an event.
    :param elsewhere: seconds for which no other chain has sent one, either.
    """

    idle_seconds: float
    has_events: bool
    typical_gap: float
    mean_first_event: float
    server_down: bool
    retry_budget_left: float
    chain_streams: int = 0
    chain_idle_seconds: float = 0.0
    other_chains_idle_seconds: float = 0.0


def choose_stall_action(stream: StreamStatus) -> StallAction:
    """
    Decide what a silent stream does.

    Load patterns: a chain loses a server, and all its streams fall silent at once: the
    first one has it examined, the rest leave once the server is known to be down.
    Where several flowed, all leave before that, for servers that share none with it:
    asking takes longer than the pause that callers accept. An entry's own link is full
    or cut: all its chains are silent, and nobody moves. A server takes requests and
    answers some of them never: a first event that is overdue is not waited for as long
    as the repeat budget is nearly whole. All chains are slow: the usual grows with
    them, and nobody moves.

    :param silence: of the stream.
    :return: what to do.
    """
    if stream.idle_seconds < MIN_IDLE_SECONDS:
        return StallAction.WAIT
    if stream.server_down:
        return StallAction.LEAVE
    if _has_stopped(stream):
        return StallAction.LEAVE_ALL
    suspicious = _suspicious_after(stream)
    if stream.idle_seconds < suspicious:
        return StallAction.WAIT
    if stream.idle_seconds > LONG_QUIET_SECONDS:
        return StallAction.LEAVE
    overdue = stream.idle_seconds >= suspicious * FIRST_LEAVE_TIMES
    if overdue and not stream.has_events and stream.retry_budget_left > CHEAP_SHARE:
        return StallAction.LEAVE
    return StallAction.EXAMINE


def _has_stopped(silence: StreamStatus) -> bool:
    """Tell whether the whole chain has stopped, and moving its streams is cheap."""
    return (
        silence.has_events
        and silence.chain_streams >= CHAIN_STREAMS
        and silence.chain_idle_seconds
        >= CHAIN_QUIET_SECONDS
        > silence.other_chains_idle_seconds
        and silence.retry_budget_left > CHEAP_SHARE
    )


def _suspicious_after(silence: StreamStatus) -> float:
    if silence.has_events:
        return max(QUIET_SECONDS, QUIET_PACES * silence.typical_gap)
    return max(FIRST_QUIET_SECONDS, FIRST_QUIET_TIMES * silence.mean_first_event)
