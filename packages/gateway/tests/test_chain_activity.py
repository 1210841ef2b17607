"""Tests of the summary of when chains last sent events."""

from kumquatway_gateway.relay._chain_activity import ActivitySnapshot, StreamActivity


class TestActivitySnapshot:
    """Two chains, of which `a` has stalled."""

    def setup_method(self):
        self.snapshot = ActivitySnapshot(
            [
                StreamActivity(chain="a", last_event_at=1.0),
                StreamActivity(chain="a", last_event_at=1.25),
                StreamActivity(chain="b", last_event_at=1.75),
            ]
        )

    def test_idle_time_counts_from_the_last_event_of_any_stream(self):
        assert self.snapshot.idle_seconds("a", 2.0) == 0.75
        assert self.snapshot.stream_count("a") == 2

    def test_idle_time_of_other_chains(self):
        assert self.snapshot.idle_seconds_of_others("a", 1.75) == 0.0
        assert self.snapshot.idle_seconds_of_others("b", 2.25) == 1.0

    def test_chain_without_streams(self):
        assert self.snapshot.stream_count("c") == 0
        assert self.snapshot.idle_seconds("c", 2.0) == 0.0

    def test_single_chain_has_no_others(self):
        assert (
            ActivitySnapshot(
                [StreamActivity(chain="a", last_event_at=1.0)]
            ).idle_seconds_of_others("a", 9.0)
            == 0.0
        )
