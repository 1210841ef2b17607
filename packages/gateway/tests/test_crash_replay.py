"""
Tests of the quarantine under load: what reaches servers, and what is blocked wrongly.

`KUMQUATWAY_REPLAY_SEEDS` sets the number of seeds of each load.
"""

import os
from dataclasses import replace

import pytest
from crash_replay import CrashReplay, Load

SEEDS = range(int(os.environ.get("KUMQUATWAY_REPLAY_SEEDS", "3")))
# The users' rule: three requests later than three seconds after the fifth crash.
MAX_LATE_ARRIVALS = 3
WINDOW_SECONDS = 3.0
MAX_MESSAGE_BYTES = 2500

LOADS = {
    "usual": Load(),
    "no-part-that-all-share": Load(shared=False),
    "fatal-from-the-first-request-on": Load(fatal_from=0.0),
    "mostly-fatal-requests": Load(sound_rate=4.0, fatal_rate=8.0),
    "few-subjects": Load(subjects=3),
    "half-of-the-messages-lost": Load(lost=0.5),
    "sixty-entries": Load(entries=60, servers=20, sound_rate=60.0, seconds=20.0),
}


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("load", LOADS.values(), ids=LOADS)
class TestFatalPart:
    """Some requests crash each server that begins to answer them."""

    def test_reaches_few_servers_and_blocks_no_sound_request(self, load, seed):
        outcome = CrashReplay(load, seed).run()
        late = outcome.late_fatal_arrivals(crashes=5, window=WINDOW_SECONDS)
        assert late <= MAX_LATE_ARRIVALS
        assert outcome.blocked_sound == 0
        assert outcome.served_sound > 20
        assert outcome.message_bytes <= MAX_MESSAGE_BYTES


HANGING = {
    f"{hang}": Load(hang=hang, fatal_rate=0.3, seconds=40.0, mass_end_at=0.0)
    for hang in (0.7, 1.3, 2.5, 5.0)
}


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("load", HANGING.values(), ids=HANGING)
class TestPartThatHangsItsServer:
    """The server answers others for a while, and ends."""

    def test_reaches_few_servers(self, load, seed):
        outcome = CrashReplay(load, seed).run()
        late = outcome.late_fatal_arrivals(crashes=5, window=WINDOW_SECONDS)
        assert late <= MAX_LATE_ARRIVALS

    def test_blocks_no_sound_request(self, load, seed):
        outcome = CrashReplay(load, seed).run()
        assert outcome.blocked_sound == 0
        assert outcome.served_sound > 200

    def test_is_found_though_it_is_at_most_servers(self, load, seed):
        load = replace(load, fatal_rate=4.0, servers=12, sound_rate=60.0, seconds=30.0)
        outcome = CrashReplay(load, seed).run()
        late = outcome.late_fatal_arrivals(crashes=5, window=WINDOW_SECONDS)
        assert late <= MAX_LATE_ARRIVALS
        assert outcome.blocked_sound == 0


COLD_START = LOADS["fatal-from-the-first-request-on"]


class TestSeedsThatFailed:
    """Replays in which too much reached servers, or too much was blocked."""

    @pytest.mark.parametrize("seed", [6, 33, 34])
    def test_reaches_few_servers(self, seed):
        outcome = CrashReplay(COLD_START, seed).run()
        late = outcome.late_fatal_arrivals(crashes=5, window=WINDOW_SECONDS)
        assert late <= MAX_LATE_ARRIVALS

    @pytest.mark.parametrize("seed", [22, 30, 33])
    def test_blocks_no_sound_request(self, seed):
        assert CrashReplay(COLD_START, seed).run().blocked_sound == 0


QUIET = {
    "servers-end-of-themselves": Load(fatal_rate=0.0, own_ends=1.5),
    "a-third-ends-at-once": Load(fatal_rate=0.0, servers=30, entries=10),
    "few-subjects": Load(fatal_rate=0.0, own_ends=1.5, subjects=2),
    "part-that-takes-too-long": Load(
        fatal_rate=0.0, own_ends=0.2, slow_rate=4.0, mass_end_at=0.0, seconds=120.0
    ),
    "part-that-seldom-takes-too-long": Load(
        fatal_rate=0.0, own_ends=0.2, slow_rate=0.3, mass_end_at=0.0, seconds=120.0
    ),
}


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("load", QUIET.values(), ids=QUIET)
class TestNoFatalPart:
    """Servers end of themselves."""

    def test_blocks_nothing(self, load, seed):
        outcome = CrashReplay(load, seed).run()
        assert outcome.blocked_sound == 0
        assert outcome.served_sound > 200


class TestQuietSeedsThatFailed:
    """Replays in which servers end of themselves, and something was blocked."""

    def test_blocks_nothing(self):
        outcome = CrashReplay(QUIET["servers-end-of-themselves"], 17).run()
        assert outcome.blocked_sound == 0
