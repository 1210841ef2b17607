"""Tests of telling a stall of a chain from one of its long passes."""

import dataclasses

from engines import ENGINE, layer_range, server

from kumquatway_gateway.chains import CandidateServer, Chain, find_chains
from kumquatway_gateway.relay._chain_activity import ActivitySnapshot, StreamActivity
from kumquatway_gateway.relay._chain_pace import (
    CHAIN_STALL_SECONDS,
    LEARNING_SECONDS,
    PASS_MARGIN,
    ChainPace,
)

CHECK_SECONDS = 0.01
# Timings of a larger deployment of the users; its chains are mostly slow accelerators.
LARGE_ENGINE = dataclasses.replace(
    ENGINE,
    timings=dataclasses.replace(
        ENGINE.timings, prefill_tokens_per_second=353_000, steps_per_pass=2
    ),
)


def _chain(kind: str, engine=LARGE_ENGINE, slowdown: float = 1.0) -> Chain:
    candidates = [
        CandidateServer(
            server=server(f"{kind}{start}", "x", kind, layer_range(start, start + 5)),
            layers=layer_range(start, start + 5),
            slowdown=slowdown,
        )
        for start in range(0, 80, 5)
    ]
    [chain] = find_chains(engine, candidates)
    return chain


class TestEstimate:
    """The longest pass of a chain, from the engine's timings."""

    def test_pass_of_slow_accelerators_exceeds_the_shortest_stall(self):
        assert 0.07 < _chain("small").pass_seconds < 0.13

    def test_pass_of_fast_accelerators_is_short(self):
        assert _chain("big").pass_seconds < 0.03

    def test_slow_servers_take_longer(self):
        usual = _chain("small").pass_seconds
        assert _chain("small", slowdown=4.0).pass_seconds > 3.9 * usual

    def test_one_step_a_pass(self):
        timings = dataclasses.replace(LARGE_ENGINE.timings, steps_per_pass=1)
        engine = dataclasses.replace(LARGE_ENGINE, timings=timings)
        assert _chain("small", engine).pass_seconds < _chain("small").pass_seconds


class _Replay:
    """Streams of one chain that get their events at the end of each pass."""

    def __init__(self, chain: Chain):
        self.chain = chain
        self.pace = ChainPace()
        self.now = 0.0
        self.last_event_at = 0.0
        self.alarms = 0

    def run(self, passes: list[float]) -> None:
        for seconds in passes:
            end = self.last_event_at + seconds
            while self.now < end:
                self._check()
                self.now += CHECK_SECONDS
            self.last_event_at = end
        self._check()

    def _check(self) -> None:
        name = self.chain.first_server.id
        activity = StreamActivity(chain=name, last_event_at=self.last_event_at)
        self.pace.observe(ActivitySnapshot([activity]), self.now)
        idle = self.now - self.last_event_at
        if idle >= self.pace.stall_seconds(self.chain, self.now):
            self.alarms += 1


class TestPace:
    """Idle times of a whole chain."""

    def test_passes_with_prefill_are_no_stalls(self):
        """Load pattern: prompts are prefilled on slow accelerators in every third pass.

        A fixed limit of 60 ms takes each of these passes for a stall.
        """
        replay = _Replay(_chain("small"))
        replay.run([0.03, 0.03, 0.09] * 60)
        assert replay.alarms == 0

    def test_passes_of_servers_that_work_for_two_chains_are_no_stalls(self):
        """Load pattern: chains change while streams run through the former ones."""
        chain = _chain("small")
        replay = _Replay(chain)
        replay.run([0.05, 0.05, 1.6 * chain.pass_seconds] * 40)
        assert replay.alarms == 0

    def test_a_stall_is_found_soon_after_the_usual_gaps(self):
        replay = _Replay(_chain("small"))
        replay.run([0.03] * 200)
        assert replay.pace.stall_seconds(replay.chain, replay.now) <= 0.065
        replay.run([0.2])
        assert replay.alarms

    def test_the_estimate_holds_until_enough_was_seen(self):
        replay = _Replay(_chain("small"))
        replay.run([0.03] * int(LEARNING_SECONDS / 2 / 0.03))
        estimate = replay.pace.stall_seconds(replay.chain, replay.now)
        assert estimate > replay.chain.pass_seconds > CHAIN_STALL_SECONDS

    def test_gaps_beyond_the_estimate_are_stalls(self):
        """Load pattern: a chain stalls again and again, for half a second each."""
        replay = _Replay(_chain("small"))
        replay.run([0.03, 0.5] * 20)
        limit = replay.pace.stall_seconds(replay.chain, replay.now)
        assert limit <= PASS_MARGIN * replay.chain.pass_seconds

    def test_a_false_alarm_raises_the_limit(self):
        replay = _Replay(_chain("small"))
        replay.run([0.03] * 200)
        replay.pace.record_gap(replay.chain, 0.08, replay.now)
        assert replay.pace.stall_seconds(replay.chain, replay.now) == 1.25 * 0.08

    def test_long_gaps_are_forgotten(self):
        replay = _Replay(_chain("small"))
        replay.run([0.03] * 150 + [0.09] + [0.03] * 400)
        assert replay.pace.stall_seconds(replay.chain, replay.now) <= 0.065

    def test_a_chain_without_streams_is_observed_anew(self):
        replay = _Replay(_chain("small"))
        replay.run([0.03] * 200)
        replay.pace.observe(ActivitySnapshot(), replay.now)
        estimate = replay.pace.stall_seconds(replay.chain, replay.now)
        assert estimate > replay.chain.pass_seconds
