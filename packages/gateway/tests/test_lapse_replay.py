"""
Tests of lists of servers through outages of the store, with real followers of entries.

`KUMQUATWAY_LAPSE_SEEDS` sets the seeds of each kind, such as `0:200`.
"""

import os
import random
from collections.abc import Callable

import pytest
from lapse_replay import (
    HEARTBEAT_SECONDS,
    Entry,
    Fault,
    LapseReplay,
    Scenario,
)

from kumquatway_gateway._follow import SERVERS_MAX_AGE_SECONDS
from kumquatway_gateway.fleet import REREGISTRATION_GRACE_SECONDS

FIRST, END = map(int, os.environ.get("KUMQUATWAY_LAPSE_SEEDS", "0:3").split(":"))
SEEDS = range(FIRST, END)
SIZES = (3, 4, 8)  # numbers of entries
READING_SECONDS = 0.8  # from one list to the next
WAY_SECONDS = 0.1  # of a list to an entry, and on to a peer
OUTAGE_SECONDS = (1.5, 8.0)
FROZEN_SECONDS = (1.5, 2.5)
AFTER_SECONDS = 8.0  # of the replay, after the last fault

Kind = Callable[[random.Random], dict]


def _begin(rng: random.Random) -> float:
    """Return when the first fault begins; all entries have heard each other."""
    return 4.0 + rng.random()


def _outage(rng: random.Random, seconds: tuple = OUTAGE_SECONDS) -> Fault:
    return Fault(
        at=_begin(rng), seconds=rng.uniform(*seconds), silent=rng.random() < 0.5
    )


def _entries(rng: random.Random, entries: int) -> list[int]:
    """Choose some entries, but not all of them."""
    return rng.sample(range(entries), rng.randint(1, entries - 1))


def _plain(rng: random.Random) -> dict:
    return {"outages": (_outage(rng),)}


def _short(rng: random.Random) -> dict:
    """Heartbeats go on regularly after an outage that is too short for a lapse."""
    outage = _outage(rng, (0.2, HEARTBEAT_SECONDS))
    return {"outages": (outage,), "retry_seconds": HEARTBEAT_SECONDS}


def _restarts(rng: random.Random, entries: int, begin: float, end: float) -> tuple:
    """Restart some entries between two times."""
    return tuple(
        Fault(
            at=rng.uniform(begin, end),
            seconds=rng.uniform(0.1, 2.0),
            entry=entry,
        )
        for entry in _entries(rng, entries)
    )


def _restarted_during(rng: random.Random) -> dict:
    outage, entries = _outage(rng), rng.choice(SIZES)
    restarts = _restarts(rng, entries, outage.at, outage.end)
    return {"entries": entries, "outages": (outage,), "restarts": restarts}


def _restarted_after(rng: random.Random) -> dict:
    outage, entries = _outage(rng), rng.choice(SIZES)
    restarts = _restarts(rng, entries, outage.end, outage.end + 2.0)
    return {"entries": entries, "outages": (outage,), "restarts": restarts}


def _frozen(rng: random.Random) -> dict:
    outage, entries = _outage(rng), rng.choice(SIZES)
    seconds = rng.uniform(*FROZEN_SECONDS)
    freeze = Fault(
        at=outage.end - rng.uniform(0.0, seconds),
        seconds=seconds,
        entry=rng.randrange(entries),
    )
    return {"entries": entries, "outages": (outage,), "freezes": (freeze,)}


def _uneven(rng: random.Random) -> dict:
    outage, entries = _outage(rng), rng.choice(SIZES)
    refusals = [
        Fault(at=outage.at, seconds=outage.seconds + rng.uniform(0.1, 4.0), entry=entry)
        for entry in _entries(rng, entries)
    ]
    return {"entries": entries, "outages": (outage,), "refusals": tuple(refusals)}


def _again(rng: random.Random) -> dict:
    first = _outage(rng)
    second = Fault(
        at=first.end + rng.uniform(0.0, 2.0),
        seconds=rng.uniform(0.3, 5.0),
        silent=rng.random() < 0.5,
    )
    return {"outages": (first, second)}


def _lossy(rng: random.Random) -> dict:
    return {"outages": (_outage(rng),), "lost": 0.3}


def _mixed(rng: random.Random) -> dict:
    """Combine some of the kinds; the faults of all are about the same outage."""
    state = rng.getstate()
    mixed: dict = {}
    for kind in rng.sample((_frozen, _uneven, _again, _restarted_during), 2):
        again = random.Random()
        again.setstate(state)
        mixed |= kind(again)
    return {**mixed, "entries": 8, "lost": rng.choice((0.0, 0.2))}


def _turned_away(rng: random.Random) -> dict:
    entries = rng.choice(SIZES)
    fault = Fault(
        at=_begin(rng), seconds=rng.uniform(1.0, 6.0), entry=rng.choice((0, 1))
    )
    return {"entries": entries, "refusals": (fault,)}


def _standing_still(rng: random.Random) -> dict:
    seconds = rng.uniform(*FROZEN_SECONDS)
    fault = Fault(at=_begin(rng), seconds=seconds, entry=rng.choice((0, 1)))
    return {"freezes": (fault,)}


def _lost_messages(rng: random.Random) -> dict:
    return {"lost": 0.3}


def _late_messages(rng: random.Random) -> dict:
    return {"delay": (0.001, 0.8)}


def _reader_killed(rng: random.Random) -> dict:
    fault = Fault(at=_begin(rng), seconds=rng.uniform(0.1, 3.0), entry=0)
    return {"restarts": (fault,)}


QUIET = {
    "turned-away": _turned_away,
    "standing-still": _standing_still,
    "lost-messages": _lost_messages,
    "late-messages": _late_messages,
    "reader-killed": _reader_killed,
}
OUTAGES = {
    "plain": _plain,
    "short": _short,
    "restarted-during": _restarted_during,
    "restarted-after": _restarted_after,
    "frozen": _frozen,
    "uneven": _uneven,
    "again": _again,
    "lossy": _lossy,
    "mixed": _mixed,
}


def _draw(kind: Kind, seed: int, **fields) -> Scenario:
    rng = random.Random(seed)
    drawn = {"entries": rng.choice(SIZES), **kind(rng), **fields}
    end = max((f.end for f in Scenario(**drawn).faults), default=_begin(rng))
    return Scenario(seconds=end + AFTER_SECONDS, **drawn)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("kind", OUTAGES.values(), ids=OUTAGES)
class TestOutage:
    """Registrations of live servers lapse, and entries drop those."""

    def test_no_server_is_dropped(self, kind, seed):
        replay = LapseReplay(_draw(kind, seed), seed).run()
        assert [str(change) for change in replay.drops_of_live()] == []
        assert replay.learnt_late(READING_SECONDS + WAY_SECONDS) == []
        assert replay.missing_at_the_end() == []


@pytest.mark.parametrize("seed", [39, 55])
class TestSeedsThatFailed:
    """A second outage of a fraction of a second delays registrations unnoticed."""

    def test_no_server_is_dropped(self, seed):
        replay = LapseReplay(_draw(_again, seed), seed).run()
        assert [str(change) for change in replay.drops_of_live()] == []


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("kind", OUTAGES.values(), ids=OUTAGES)
class TestServerThatEndsInAnOutage:
    """It is used for longer than live servers need to register again."""

    def test_is_dropped_after_the_grace_period_and_no_other_is(self, kind, seed):
        scenario = _draw(kind, seed)
        outage = scenario.outages[0]
        ends_at = outage.at + random.Random(seed).random() * outage.seconds
        replay = LapseReplay(_draw(kind, seed, ends_at=ends_at), seed).run()
        grace = REREGISTRATION_GRACE_SECONDS + READING_SECONDS + WAY_SECONDS
        age = SERVERS_MAX_AGE_SECONDS + READING_SECONDS + WAY_SECONDS

        def deadline(entry: Entry) -> float:
            return max(replay.able_at(entry) + grace, replay.unlisted_at() + age)

        assert replay.kept_after(deadline) == []
        assert [str(change) for change in replay.drops_of_live()] == []


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("kind", QUIET.values(), ids=QUIET)
class TestServerThatLeavesWithoutAnOutage:
    """It is used on, as entries take something else for an outage."""

    def test_is_dropped_as_its_registration_is(self, kind, seed):
        scenario = _draw(kind, seed)
        leaves_at = _begin(random.Random(seed)) + 4.0 * random.Random(seed).random()
        replay = LapseReplay(_draw(kind, seed, leaves_at=leaves_at), seed).run()

        def deadline(entry: Entry) -> float:
            is_reader = entry.number == 0 and scenario.faults == ()
            age = 0.0 if is_reader else SERVERS_MAX_AGE_SECONDS
            ways = WAY_SECONDS + scenario.delay[1]
            since = max(leaves_at, replay.able_at(entry, refused=False))
            return since + age + READING_SECONDS + ways

        assert replay.kept_after(deadline) == []
        assert [str(change) for change in replay.drops_of_live()] == []
        assert replay.missing_at_the_end() == []
