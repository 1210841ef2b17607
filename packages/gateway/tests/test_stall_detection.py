"""Tests of what a silent stream does."""

from kumquatway_gateway.relay._stall_detection import (
    StallAction,
    StreamStatus,
    choose_stall_action,
)


def _silence(seconds: float, **fields) -> StreamStatus:
    usual = {
        "has_events": True,
        "typical_gap": 0.015,
        "mean_first_event": 0.05,
        "server_down": False,
        "retry_budget_left": 1.0,
    }
    return StreamStatus(idle_seconds=seconds, **{**usual, **fields})


class TestFlowing:
    """A stream that has had events."""

    def test_a_usual_gap_is_nothing(self):
        assert choose_stall_action(_silence(0.05)) is StallAction.WAIT

    def test_several_gaps_have_the_chain_examined(self):
        assert choose_stall_action(_silence(0.08)) is StallAction.EXAMINE

    def test_a_slow_stream_has_longer_gaps(self):
        assert choose_stall_action(_silence(0.3, typical_gap=0.1)) is StallAction.WAIT
        assert (
            choose_stall_action(_silence(0.45, typical_gap=0.1)) is StallAction.EXAMINE
        )

    def test_a_server_that_is_down_is_left_at_once(self):
        assert (
            choose_stall_action(_silence(0.07, server_down=True)) is StallAction.LEAVE
        )

    def test_but_not_while_events_come(self):
        assert choose_stall_action(_silence(0.02, server_down=True)) is StallAction.WAIT

    def test_a_long_silence_is_left_though_all_answer(self):
        assert choose_stall_action(_silence(0.95)) is StallAction.LEAVE


class TestChain:
    """Streams that flow from one chain. Load pattern: a server vanishes in silence."""

    def _judge(self, **fields) -> StallAction:
        usual = {"chain_streams": 12, "chain_idle_seconds": 0.065}
        return choose_stall_action(_silence(0.07, **{**usual, **fields}))

    def test_all_leave_before_anybody_has_been_asked(self):
        assert self._judge() is StallAction.LEAVE_ALL

    def test_one_that_still_gets_events_speaks_for_the_chain(self):
        assert self._judge(chain_idle_seconds=0.03) is StallAction.WAIT

    def test_two_are_too_few_to_tell(self):
        assert self._judge(chain_streams=2) is StallAction.WAIT

    def test_an_entry_that_hears_from_no_chain_stays(self):
        """Load pattern: the entry's own link is full or cut."""
        assert self._judge(other_chains_idle_seconds=0.07) is StallAction.WAIT

    def test_not_while_repeats_are_scarce(self):
        """Load pattern: all entries repeat at once."""
        assert self._judge(retry_budget_left=0.4) is StallAction.WAIT

    def test_a_request_without_an_event_says_nothing_of_a_pause(self):
        assert self._judge(has_events=False) is StallAction.WAIT


class TestFirstEvent:
    """A request that has had no event."""

    def test_some_time_is_usual(self):
        assert choose_stall_action(_silence(0.1, has_events=False)) is StallAction.WAIT

    def test_it_is_overdue_while_repeats_are_cheap(self):
        """Load pattern: a server answers some requests never."""
        assert (
            choose_stall_action(_silence(0.2, has_events=False)) is StallAction.EXAMINE
        )
        assert (
            choose_stall_action(_silence(0.28, has_events=False)) is StallAction.LEAVE
        )

    def test_it_is_waited_for_while_they_are_not(self):
        """Load pattern: all entries repeat at once."""
        assert (
            choose_stall_action(_silence(0.5, has_events=False, retry_budget_left=0.3))
            is StallAction.EXAMINE
        )
        assert (
            choose_stall_action(_silence(0.95, has_events=False, retry_budget_left=0.0))
            is StallAction.LEAVE
        )

    def test_where_all_is_slow_nobody_moves(self):
        """Load pattern: a burst, and every first event takes half a second."""
        assert (
            choose_stall_action(_silence(0.8, has_events=False, mean_first_event=0.5))
            is StallAction.WAIT
        )
