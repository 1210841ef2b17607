"""
Tests of one request that crashes servers, beside sound ones, over many seeds.

`KUMQUATWAY_REPLAY_SEEDS` sets the number of seeds of each load.
"""

import os
from dataclasses import replace

import pytest
from request_replay import Load, RequestReplay, When

SEEDS = range(int(os.environ.get("KUMQUATWAY_REPLAY_SEEDS", "3")))
# The users' rule: three requests later than three seconds after the third crash.
MAX_LATE_ARRIVALS = 3
WINDOW_SECONDS = 3.0
MAX_MESSAGE_BYTES = 2500
STREAMS = {"answer": (0.5, 4.0), "servers": 12, "attempts": 2, "downtime": 4.0}

LOADS = {
    "usual": Load(),
    "late": Load(when=When.LATE),
    "silent": Load(when=When.SILENT),
    "streams": Load(**STREAMS),
    "streams-late": Load(**STREAMS, when=When.LATE),
    "streams-silent": Load(**STREAMS, when=When.SILENT),
    "storms": Load(fatal_rate=0.0, storms=(5.0, 15.0, 25.0)),
    "storms-silent": Load(fatal_rate=0.0, storms=(5.0, 15.0, 25.0), when=When.SILENT),
    "seldom": Load(fatal_rate=0.04, seconds=300.0, attempts=1),
    "seldom-late": Load(
        fatal_rate=0.04, seconds=300.0, attempts=1, when=When.LATE, own_ends=0.1
    ),
    "first-of-all": Load(fatal_from=0.0, fatal_rate=2.0),
    "one-server": Load(servers=1, fatal_rate=1.0),
    "entries-restart": Load(restarts=0.2, seconds=90.0),
    "entries-cut-off": Load(cuts=0.2, seconds=90.0),
    "store-down": Load(store_down=(2.0, 30.0), restarts=0.1),
    "half-of-the-messages-lost": Load(lost=0.5, entries=6),
    "servers-often-end": Load(own_ends=0.5, servers=8),
    "much-sound-traffic": Load(sound_rate=100.0, servers=6, fatal_rate=0.2),
    "many-entries": Load(entries=40, servers=20, sound_rate=40.0, fatal_rate=1.0),
}


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("load", LOADS.values(), ids=LOADS)
class TestFatalRequest:
    """One request of one account crashes each server that runs it."""

    def test_reaches_few_servers_and_blocks_no_sound_request(self, load, seed):
        outcome = RequestReplay(load, seed).run()
        late = outcome.late_arrivals(crashes=3, window=WINDOW_SECONDS)
        assert late <= MAX_LATE_ARRIVALS
        assert outcome.blocked_sound == []
        assert outcome.served_sound > load.seconds
        assert outcome.message_bytes <= MAX_MESSAGE_BYTES


# A server answers others for a while after the request that ends it.
HANGING = {
    f"{name}-{hang}": replace(load, when=When.HANGING, hang=(hang, hang))
    for name, load in {
        "usual": Load(servers=6, fatal_rate=0.3),
        "much-sound-traffic": Load(servers=6, fatal_rate=0.3, sound_rate=100.0),
        "streams": Load(**STREAMS, fatal_rate=0.3),
        "patient": Load(servers=6, fatal_rate=0.3, caller_seconds=8.0),
    }.items()
    for hang in (0.2, 0.7, 1.3, 2.0, 3.5, 5.0)
}


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("load", HANGING.values(), ids=HANGING)
class TestRequestThatHangsItsServer:
    """Its server answered others until it ended, and the request was not blocked."""

    def test_reaches_few_servers_and_blocks_no_sound_request(self, load, seed):
        outcome = RequestReplay(load, seed).run()
        late = outcome.late_arrivals(crashes=3, window=WINDOW_SECONDS)
        assert late <= MAX_LATE_ARRIVALS
        assert outcome.blocked_sound == []
        assert outcome.served_sound > load.seconds


QUIET = {
    "usual": Load(fatal_rate=0.0, own_ends=0.3),
    "streams": Load(**STREAMS, fatal_rate=0.0, own_ends=1.0),
    "much-sound-traffic": Load(fatal_rate=0.0, own_ends=0.5, sound_rate=100.0),
    "few-different-requests": Load(
        fatal_rate=0.0, own_ends=0.5, accounts=2, paths=1, sound_rate=40.0
    ),
}


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("load", QUIET.values(), ids=QUIET)
class TestNoFatalRequest:
    """Servers end of themselves."""

    def test_blocks_nothing(self, load, seed):
        outcome = RequestReplay(load, seed).run()
        assert outcome.blocked_sound == []
        assert outcome.served_sound > load.seconds


NEVER = (1e6, 1e6)
_SLOW = Load(when=When.HANGING, hang=NEVER, servers=6, fatal_rate=0.3, seconds=120.0)
TOO_SLOW = {
    "usual": _SLOW,
    "ends-often": replace(_SLOW, own_ends=0.1),
    "patient": replace(_SLOW, own_ends=0.1, caller_seconds=8.0),
    "much-sound-traffic": replace(_SLOW, own_ends=0.1, sound_rate=100.0),
}


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("load", TOO_SLOW.values(), ids=TOO_SLOW)
class TestRequestThatTakesTooLong:
    """Its callers always give it up, while servers end of themselves."""

    def test_is_not_blocked(self, load, seed):
        outcome = RequestReplay(load, seed).run()
        assert outcome.refused_fatal == []
        assert outcome.blocked_sound == []


class TestSeedsThatFailed:
    """Replays in which too much reached servers, or sound requests were blocked."""

    @pytest.mark.parametrize(
        ("load", "seed"),
        [
            ("patient-3.5", 4),
            ("patient-3.5", 9),
            ("patient-5.0", 9),
            ("patient-5.0", 15),
            ("much-sound-traffic-1.3", 5),
        ],
    )
    def test_reaches_few_servers(self, load, seed):
        outcome = RequestReplay(HANGING[load], seed).run()
        late = outcome.late_arrivals(crashes=3, window=WINDOW_SECONDS)
        assert late <= MAX_LATE_ARRIVALS

    @pytest.mark.parametrize(
        ("load", "seed"),
        [
            (LOADS["silent"], 34),
            (QUIET["streams"], 6),
            (QUIET["streams"], 34),
            (QUIET["streams"], 35),
        ],
        ids=["silent-34", "quiet-streams-6", "quiet-streams-34", "quiet-streams-35"],
    )
    def test_blocks_no_sound_request(self, load, seed):
        assert RequestReplay(load, seed).run().blocked_sound == []


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("entries", [3, 40])
class TestCauseThatEnds:
    """Servers no longer crash of a request that was blocked."""

    def test_is_served_again_after_one_trial(self, entries, seed):
        load = Load(entries=entries, cause_ends=20.0, seconds=120.0, fatal_rate=1.0)
        outcome = RequestReplay(load, seed).run()
        assert outcome.refused_fatal
        assert outcome.served_fatal[0] < 80.0
        assert max(outcome.refused_fatal) < outcome.served_fatal[0] + 3.0
