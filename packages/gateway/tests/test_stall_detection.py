"""Tests of the action that a stream without events takes."""

from kumquatway_gateway.relay._stall_detection import (
    StallAction,
    StreamStatus,
    choose_stall_action,
)


def _status(idle_seconds: float, **fields) -> StreamStatus:
    typical = {
        "has_events": True,
        "typical_gap": 0.015,
        "mean_first_event": 0.05,
        "server_down": False,
        "retry_budget_left": 1.0,
    }
    return StreamStatus(idle_seconds=idle_seconds, **{**typical, **fields})


class TestStreamWithEvents:
    """A stream that has received events."""

    def test_short_gap_changes_nothing(self):
        assert choose_stall_action(_status(0.05)) is StallAction.WAIT

    def test_long_gap_has_the_chain_checked(self):
        assert choose_stall_action(_status(0.08)) is StallAction.EXAMINE

    def test_threshold_grows_with_the_typical_gap(self):
        assert choose_stall_action(_status(0.3, typical_gap=0.1)) is StallAction.WAIT
        assert (
            choose_stall_action(_status(0.45, typical_gap=0.1)) is StallAction.EXAMINE
        )

    def test_chain_with_a_down_server_is_left_early(self):
        assert choose_stall_action(_status(0.07, server_down=True)) is StallAction.LEAVE

    def test_chain_with_a_down_server_is_kept_while_events_arrive(self):
        assert choose_stall_action(_status(0.02, server_down=True)) is StallAction.WAIT

    def test_very_long_gap_is_left_though_no_server_is_down(self):
        assert choose_stall_action(_status(0.95)) is StallAction.LEAVE


class TestStalledChain:
    """
    All streams of a chain are idle at once.

    Load pattern: a server of the chain disappears without closing its connections.
    """

    def _choose(self, **fields) -> StallAction:
        typical = {"chain_streams": 12, "chain_idle_seconds": 0.065}
        return choose_stall_action(_status(0.07, **{**typical, **fields}))

    def test_streams_leave_before_a_health_check(self):
        assert self._choose() is StallAction.LEAVE_ALL

    def test_events_on_one_stream_keep_all_on_the_chain(self):
        assert self._choose(chain_idle_seconds=0.03) is StallAction.WAIT

    def test_two_streams_are_too_few(self):
        assert self._choose(chain_streams=2) is StallAction.WAIT

    def test_streams_stay_while_all_chains_are_idle(self):
        """Load pattern: the entry's own link is full or cut."""
        assert self._choose(other_chains_idle_seconds=0.07) is StallAction.WAIT

    def test_streams_stay_while_the_retry_budget_is_low(self):
        """Load pattern: all entries retry at once."""
        assert self._choose(retry_budget_left=0.4) is StallAction.WAIT

    def test_request_without_events_waits_for_its_first_one(self):
        assert self._choose(has_events=False) is StallAction.WAIT


class TestFirstEvent:
    """A request that has received no event."""

    def test_short_wait_changes_nothing(self):
        assert choose_stall_action(_status(0.1, has_events=False)) is StallAction.WAIT

    def test_overdue_request_moves_while_retries_are_cheap(self):
        """Load pattern: a server never answers some of its requests."""
        assert (
            choose_stall_action(_status(0.2, has_events=False)) is StallAction.EXAMINE
        )
        assert choose_stall_action(_status(0.28, has_events=False)) is StallAction.LEAVE

    def test_overdue_request_waits_while_the_retry_budget_is_low(self):
        """Load pattern: all entries retry at once."""
        assert (
            choose_stall_action(_status(0.5, has_events=False, retry_budget_left=0.3))
            is StallAction.EXAMINE
        )
        assert (
            choose_stall_action(_status(0.95, has_events=False, retry_budget_left=0.0))
            is StallAction.LEAVE
        )

    def test_threshold_grows_with_the_mean_time_to_the_first_event(self):
        """Load pattern: in a burst, every first event takes half a second."""
        assert (
            choose_stall_action(_status(0.8, has_events=False, mean_first_event=0.5))
            is StallAction.WAIT
        )
