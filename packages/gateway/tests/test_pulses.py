"""Tests of what the streams of a chain together tell of it."""

from kumquatway_gateway.relay._pulses import Flow, Pulses


class TestPulses:
    """Two chains, one of which has stopped."""

    def setup_method(self):
        self.pulses = Pulses(
            [
                Flow(chain="a", heard=1.0),
                Flow(chain="a", heard=1.25),
                Flow(chain="b", heard=1.75),
            ]
        )

    def test_the_last_event_of_any_stream_counts(self):
        assert self.pulses.quiet("a", 2.0) == 0.75
        assert self.pulses.streams("a") == 2

    def test_the_other_chains(self):
        assert self.pulses.quiet_elsewhere("a", 1.75) == 0.0
        assert self.pulses.quiet_elsewhere("b", 2.25) == 1.0

    def test_a_chain_that_nothing_flows_from(self):
        assert self.pulses.streams("c") == 0
        assert self.pulses.quiet("c", 2.0) == 0.0

    def test_a_single_chain_has_nothing_to_compare_with(self):
        assert Pulses([Flow(chain="a", heard=1.0)]).quiet_elsewhere("a", 9.0) == 0.0
