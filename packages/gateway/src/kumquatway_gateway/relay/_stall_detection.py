"""
Decides what a stream without events does: wait, have its chain checked, or leave it.
"""

import enum
from dataclasses import dataclass

from kumquatway_gateway.relay._chain_pace import CHAIN_STALL_SECONDS

MIN_IDLE_SECONDS = 0.06  # before a stream leaves a chain with a server that is down
STALL_SECONDS = 0.075  # between events, before the chain is checked
STALL_GAPS = 4.0  # the same, in typical gaps of the stream
FIRST_EVENT_SECONDS = 0.18  # to the first event, before the chain is checked
FIRST_EVENT_FACTOR = 3.0  # the same, in mean times to the chain's first event
# Multiple of the time to the check, after which a request without an event moves to
# another chain while retries are cheap.
FIRST_EVENT_LEAVE_FACTOR = 1.5
CHEAP_RETRY_SHARE = 0.5  # of the retry budget left, above which retries are cheap
MIN_CHAIN_STREAMS = 3  # streams with events, for them to show that a chain has stalled
MAX_IDLE_SECONDS = 0.9  # after which a stream leaves though no server is down


class StallAction(enum.Enum):
    """What a stream without events does next."""

    WAIT = "wait"
    EXAMINE = "have the chain examined"
    LEAVE = "leave the chain"
    LEAVE_ALL = "leave every server of the chain"


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamStatus:
    """
    How long a stream has been idle, and what is typical for it and its chain.

    :param idle_seconds: time since its last event, or since the request was sent.
    :param has_events: whether the current server has sent an event to the stream.
    :param typical_gap: typical time between events of the stream, seconds.
    :param mean_first_event: mean time to the first event on the chain, seconds.
    :param server_down: whether a server of the chain is known to be down.
    :param retry_budget_left: share of the retry budget that is left, 0 to 1.
    :param chain_streams: number of streams of this entry that have received events
        from the chain, this one included.
    :param chain_idle_seconds: time since any of these streams had an event.
    :param other_chains_idle_seconds: time since any other chain sent an event.
    :param chain_stall_seconds: idle time after which the whole chain has stalled.
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
    chain_stall_seconds: float = CHAIN_STALL_SECONDS


def choose_stall_action(stream: StreamStatus) -> StallAction:
    """
    Decide what a stream without events does.

    Load pattern: a chain loses a server, and all its streams stall at once. The first
    one has the chain checked, and the others leave once the server is known to be
    down. If enough streams had events, all leave before that, for chains that share no
    server with the stalled one: a check takes longer than the pause that callers
    accept.

    Load pattern: the entry's own link is full or cut. All its chains are idle, and no
    stream moves.

    Load pattern: a server accepts requests and never answers some of them. A request
    whose first event is overdue moves as long as most of the retry budget is left.

    Load pattern: all chains are slow. The typical times grow with them, and no stream
    moves.

    :param stream: its idle time, its chain and the retry budget.
    :return: the action.
    """
    if stream.idle_seconds < MIN_IDLE_SECONDS:
        return StallAction.WAIT
    if stream.server_down:
        return StallAction.LEAVE
    if _chain_has_stalled(stream):
        return StallAction.LEAVE_ALL
    threshold = _stall_threshold(stream)
    if stream.idle_seconds < threshold:
        return StallAction.WAIT
    if stream.idle_seconds > MAX_IDLE_SECONDS:
        return StallAction.LEAVE
    overdue = stream.idle_seconds >= threshold * FIRST_EVENT_LEAVE_FACTOR
    if (
        overdue
        and not stream.has_events
        and stream.retry_budget_left > CHEAP_RETRY_SHARE
    ):
        return StallAction.LEAVE
    return StallAction.EXAMINE


def _chain_has_stalled(stream: StreamStatus) -> bool:
    """Tell whether the whole chain has stalled and retries are cheap."""
    return (
        stream.has_events
        and stream.chain_streams >= MIN_CHAIN_STREAMS
        and stream.chain_idle_seconds
        >= stream.chain_stall_seconds
        > stream.other_chains_idle_seconds
        and stream.retry_budget_left > CHEAP_RETRY_SHARE
    )


def _stall_threshold(stream: StreamStatus) -> float:
    """Return the idle time after which the chain is checked, seconds."""
    if stream.has_events:
        return max(
            STALL_SECONDS, STALL_GAPS * stream.typical_gap, stream.chain_stall_seconds
        )
    return max(FIRST_EVENT_SECONDS, FIRST_EVENT_FACTOR * stream.mean_first_event)
