"""
Cause.

One sentence on why a request ended as it did, where the lines tell.
"""

from kumquatway.explain._story import Story
from kumquatway_core.events import (
    ChainsChanged,
    MembershipChanged,
    ProcessStarted,
    Record,
    Refused,
    RequestEnded,
    RouteChosen,
    StageFailed,
    StreamRecovered,
    physical_milliseconds,
)

CLIENT_ERROR = 400  # the first status that is no success


def cause(story: Story) -> str:
    """
    Name the cause.

    :param story: of a request.
    :return: one sentence.
    """
    if not story.own:
        return f"No line names request {story.request}: it reached no entry."
    ended = _last(story.own, (RequestEnded, Refused))
    if ended is None:
        return _without_end(story)
    event = ended.event
    if isinstance(event, Refused):
        return f"{ended.process} refused it, not run: {event.reason} ({event.detail})."
    if event.status < CLIENT_ERROR:
        return _served(story, ended)
    if event.verdict == "not-run":
        return _refused(story, ended)
    return _failed(story, ended)


def _without_end(story: Story) -> str:
    process = story.own[-1].process
    started = _last(story.lives, (ProcessStarted,))
    if started is not None:
        passed = physical_milliseconds(started.clock) - physical_milliseconds(
            story.own[-1].clock
        )
        return (
            f"{process} ended without a word while it served the request and started "
            f"anew {passed} ms after its last line: it was killed or lost power."
        )
    return f"{process} has not yet told how it ended."


def _served(story: Story, ended: Record) -> str:
    failures = _all(story.own, (StageFailed,))
    if not failures:
        return f"It was served in {_time(ended)}."
    back = _last(story.own, (StreamRecovered,))
    took = f", the stream went on {back.event.seconds:.3f} s later" if back else ""
    return (
        f"It was served in {_time(ended)} after {len(failures)} failed attempt(s): "
        f"{_why(story, failures[0])}{took}."
    )


def _refused(story: Story, ended: Record) -> str:
    failures = _all(story.own, (StageFailed,))
    if failures:
        why = _why(story, failures[-1])
        return f"It was refused, not run, after every attempt was: {why}."
    chains = _last(story.beliefs, (ChainsChanged,))
    known = ""
    if chains is not None:
        known = f"; {len(chains.event.chains)} chain(s) stood at the last change"
    return (
        f"{ended.process} refused it, not run: {ended.event.reason} "
        f"({ended.event.detail}){known}."
    )


def _failed(story: Story, ended: Record) -> str:
    event = ended.event
    failures = _all(story.own, (StageFailed,))
    if event.reason == "cancelled":
        return f"Its caller left after {_time(ended)}."
    if event.reason == "upstream_error":
        return f"Server {event.vm} answered {event.status}, which is its own answer."
    if failures:
        return (
            f"It may have run: {_why(story, failures[-1])}; it ended as "
            f"{event.reason} with status {event.status} ({event.detail})."
        )
    sent = _last(story.own, (RouteChosen,))
    if sent is not None:
        where = ", ".join(sent.event.vms[:1])
        return (
            f"It may have run: server {where} gave no answer until the request ended "
            f"as {event.reason} with status {event.status} ({event.detail})."
        )
    return f"It ended as {event.reason} with status {event.status} ({event.detail})."


def _why(story: Story, failure: Record) -> str:
    event = failure.event
    said = f"server {event.vm}: {event.reason} ({event.detail})"
    for belief in story.beliefs:
        about = belief.event
        if not isinstance(about, MembershipChanged) or about.vm != event.vm:
            continue
        if about.state in ("down", "leaving", "gone", "slow"):
            return f"{said}; {belief.process} saw it {about.state} ({about.detail})"
    return said


def _time(ended: Record) -> str:
    return ended.event.detail.partition(",")[0]


def _all(records: tuple[Record, ...], kinds: tuple[type, ...]) -> list[Record]:
    return [one for one in records if isinstance(one.event, kinds)]


def _last(records: tuple[Record, ...], kinds: tuple[type, ...]) -> Record | None:
    found = _all(records, kinds)
    return found[-1] if found else None
