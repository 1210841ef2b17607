"""Tests of what the streams of a chain together tell of it."""

from kumquatway_gateway.relay._chain_activity import ActivitySnapshot, StreamActivity


class TestPulses:
    """Two chains, one of which has stopped."""

    def setup_method(self):
        self.pulses = ActivitySnapshot(
            [
                StreamActivity(chain="a", last_event_at=1.0),
                StreamActivity(chain="a", last_event_at=1.25),
                StreamActivity(chain="b", last_event_at=1.75),
            ]
        )

    def test_the_last_event_of_any_stream_counts(self):
        assert self.pulses.idle_seconds("a", 2.0) == 0.75
        assert self.pulses.stream_count("a") == 2

    def test_the_other_chains(self):
        assert self.pulses.idle_seconds_of_others("a", 1.75) == 0.0
        assert self.pulses.idle_seconds_of_others("b", 2.25) == 1.0

    def test_a_chain_that_nothing_flows_from(self):
        assert self.pulses.stream_count("c") == 0
        assert self.pulses.idle_seconds("c", 2.0) == 0.0

    def test_a_single_chain_has_nothing_to_compare_with(self):
        assert (
            ActivitySnapshot(
                [StreamActivity(chain="a", last_event_at=1.0)]
            ).idle_seconds_of_others("a", 9.0)
            == 0.0
        )
