"""Tests of what a silent stream does."""

from kumquatway_gateway.relay._silence import Silence, Step, judge


def _silence(seconds: float, **fields) -> Silence:
    usual = {
        "flowing": True,
        "pace": 0.015,
        "first_event": 0.05,
        "part_down": False,
        "budget": 1.0,
    }
    return Silence(seconds=seconds, **{**usual, **fields})


class TestFlowing:
    """A stream that has had events."""

    def test_a_usual_gap_is_nothing(self):
        assert judge(_silence(0.05)) is Step.WAIT

    def test_several_gaps_have_the_chain_examined(self):
        assert judge(_silence(0.08)) is Step.EXAMINE

    def test_a_slow_stream_has_longer_gaps(self):
        assert judge(_silence(0.3, pace=0.1)) is Step.WAIT
        assert judge(_silence(0.45, pace=0.1)) is Step.EXAMINE

    def test_a_server_that_is_down_is_left_at_once(self):
        assert judge(_silence(0.07, part_down=True)) is Step.LEAVE

    def test_but_not_while_events_come(self):
        assert judge(_silence(0.02, part_down=True)) is Step.WAIT

    def test_a_long_silence_is_left_though_all_answer(self):
        assert judge(_silence(0.95)) is Step.LEAVE


class TestChain:
    """Streams that flow from one chain. Load pattern: a server vanishes in silence."""

    def _judge(self, **fields) -> Step:
        usual = {"together": 12, "chain": 0.065}
        return judge(_silence(0.07, **{**usual, **fields}))

    def test_all_leave_before_anybody_has_been_asked(self):
        assert self._judge() is Step.LEAVE_ALL

    def test_one_that_still_gets_events_speaks_for_the_chain(self):
        assert self._judge(chain=0.03) is Step.WAIT

    def test_two_are_too_few_to_tell(self):
        assert self._judge(together=2) is Step.WAIT

    def test_an_entry_that_hears_from_no_chain_stays(self):
        """Load pattern: the entry's own link is full or cut."""
        assert self._judge(elsewhere=0.07) is Step.WAIT

    def test_not_while_repeats_are_scarce(self):
        """Load pattern: all entries repeat at once."""
        assert self._judge(budget=0.4) is Step.WAIT

    def test_a_request_without_an_event_says_nothing_of_a_pause(self):
        assert self._judge(flowing=False) is Step.WAIT


class TestFirstEvent:
    """A request that has had no event."""

    def test_some_time_is_usual(self):
        assert judge(_silence(0.1, flowing=False)) is Step.WAIT

    def test_it_is_overdue_while_repeats_are_cheap(self):
        """Load pattern: a server answers some requests never."""
        assert judge(_silence(0.2, flowing=False)) is Step.EXAMINE
        assert judge(_silence(0.28, flowing=False)) is Step.LEAVE

    def test_it_is_waited_for_while_they_are_not(self):
        """Load pattern: all entries repeat at once."""
        assert judge(_silence(0.5, flowing=False, budget=0.3)) is Step.EXAMINE
        assert judge(_silence(0.95, flowing=False, budget=0.0)) is Step.LEAVE

    def test_where_all_is_slow_nobody_moves(self):
        """Load pattern: a burst, and every first event takes half a second."""
        assert judge(_silence(0.8, flowing=False, first_event=0.5)) is Step.WAIT
