"""
Tests of servers that name limits under load: they get neither too much nor too little.

`KUMQUATWAY_REPLAY_SEEDS` sets the number of seeds of each load.
"""

import os
from dataclasses import replace

import pytest
from limit_replay import LimitReplay, Load

SEEDS = range(int(os.environ.get("KUMQUATWAY_REPLAY_SEEDS", "3")))
WINDOW_SECONDS = 4.0
LEARNING_SECONDS = 3.0  # from the first time that a server names its limit
MAX_SENT_BYTES = 16_000  # per second and entry

LOADS = {
    "usual": Load(),
    "one-a-second": Load(limits=((2.0, 1.0),)),
    "far-more-than-the-limit": Load(rate=200.0, limits=((2.0, 1.0),)),
    "high-limit": Load(rate=300.0, limits=((2.0, 60.0),)),
    "load-at-one-entry": Load(only=1),
    "third-of-messages-lost": Load(lost=0.3),
    "issuer-restarts": Load(restarts=((8.0, 1.0), (16.0, 4.0))),
    "issuer-freezes": Load(freezes=((8.0, 1.0), (16.0, 4.0))),
    "issuer-cut-off": Load(cuts=((10.0, 5.0),)),
    "new-entry": Load(join_at=10.0),
    "quiet-time": Load(quiet=(8.0, 8.0)),
    "sixty-entries": Load(entries=60, rate=120.0, limits=((2.0, 1.0),)),
    "sixty-entries-issuer-restarts": Load(
        entries=60, rate=120.0, restarts=((8.0, 1.0), (16.0, 4.0))
    ),
    "fraction-of-one": Load(limits=((2.0, 0.3),)),
    "zero": Load(limits=((2.0, 0.0),)),
}


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("load", LOADS.values(), ids=LOADS)
class TestOneLimit:
    """A server names a limit far below the requests for it."""

    def test_gets_neither_too_much_nor_too_little(self, load, seed):
        outcome = LimitReplay(load, seed).run()
        [(named_at, limit)] = load.limits
        start = named_at + LEARNING_SECONDS
        most = outcome.most_counted(start, load.seconds, WINDOW_SECONDS)
        assert most <= 1.5 * limit * WINDOW_SECONDS + 5
        disturbed = sum(3 + length for _, length in load.restarts + load.freezes)
        disturbed += sum(3 + length for _, length in load.cuts) + load.quiet[1]
        seconds = load.seconds - start - disturbed
        least = 0.7 * limit * seconds - 2
        assert outcome.count(start, load.seconds) >= least


@pytest.mark.parametrize("seed", SEEDS)
class TestChangingLimits:
    """Limits that fall, rise and end."""

    def test_lower_limit_is_kept_at_once(self, seed):
        load = Load(limits=((2.0, 10.0), (12.0, 1.0)))
        outcome = LimitReplay(load, seed).run()
        most = outcome.most_counted(15.0, load.seconds, WINDOW_SECONDS)
        assert most <= 1.5 * 1.0 * WINDOW_SECONDS + 5

    @pytest.mark.parametrize("entries", [3, 60])
    @pytest.mark.parametrize("only", [0, 1])
    def test_end_is_noticed(self, entries, only, seed):
        load = Load(entries=entries, only=only, limits=((2.0, 1.0), (12.0, None)))
        outcome = LimitReplay(load, seed).run()
        assert outcome.share_served(16.0, 30.0) >= 0.95

    def test_end_of_a_limit_of_zero_is_noticed(self, seed):
        load = Load(limits=((2.0, 0.0), (12.0, None)))
        outcome = LimitReplay(load, seed).run()
        assert outcome.share_served(19.0, 30.0) >= 0.95

    def test_rise_is_noticed(self, seed):
        load = Load(limits=((2.0, 1.0), (12.0, 20.0)))
        outcome = LimitReplay(load, seed).run()
        assert outcome.count(16.0, 30.0) >= 0.7 * 20 * 14


class TestManyEntries:
    """Hundreds of entries beside a server that takes one request a second."""

    def test_messages_and_state_are_bounded(self):
        load = Load(
            entries=380,
            seconds=20.0,
            rate=1000.0,
            limits=((2.0, 1.0),),
            check_seconds=0.05,
        )
        replay = LimitReplay(load, 1)
        outcome = replay.run()
        most = outcome.most_counted(5.0, load.seconds, WINDOW_SECONDS)
        assert most <= 1.5 * 1.0 * WINDOW_SECONDS + 5
        assert outcome.count(5.0, 20.0) >= 0.7 * 15 - 2
        sent = max(outcome.permit_bytes.values()) / load.seconds
        assert sent + outcome.gossip_bytes / load.seconds <= MAX_SENT_BYTES
        for entry in replay.entries.values():
            permits = entry.fleet.permits
            assert len(permits.accounts) <= 1
            assert len(permits.pings) <= 8
            assert len(permits.ranking.failures) <= load.entries


def test_replay_finds_entries_that_keep_the_limit_alone(monkeypatch):
    monkeypatch.setattr(
        "kumquatway_gateway.limits._ranking.IssuerRanking.issuer",
        lambda self, server: self.address,
    )
    load = replace(LOADS["usual"], entries=6, rate=60.0)
    outcome = LimitReplay(load, 1).run()
    most = outcome.most_counted(5.0, load.seconds, WINDOW_SECONDS)
    assert most > 1.5 * 2.0 * WINDOW_SECONDS + 5
