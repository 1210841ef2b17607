"""Tests of which servers may get a request once more."""

from dataclasses import replace

import pytest

from kumquatway_gateway.quarantine import MAX_SUSPICION
from kumquatway_gateway.relay._retry_choice import (
    RetryChoice,
    RetryStatus,
    choose_retry,
)

STREAM = RetryStatus(
    idempotent=True,
    may_have_run=True,
    streaming=True,
    is_resumable=True,
    is_blocked=False,
    suspicion=0,
    error_count=0,
    max_attempts=2,
    possibly_run_on=frozenset({"one"}),
)
USED_UP = replace(STREAM, possibly_run_on=frozenset({"one", "two"}))


class TestChooseRetry:
    """The choice for streams and other requests."""

    def test_an_interrupted_stream_may_go_anywhere(self):
        assert choose_retry(STREAM) is RetryChoice.ANY

    def test_a_false_alarm_leaves_a_stream_the_servers_that_it_was_at(self):
        assert choose_retry(USED_UP) is RetryChoice.SAME

    def test_a_caller_without_an_answer_is_told_once_the_attempts_are_used_up(self):
        assert choose_retry(replace(USED_UP, streaming=False)) is RetryChoice.NONE

    @pytest.mark.parametrize("begun", [False, True])
    def test_what_may_run_once_is_not_sent_again_after_it_may_have_run(self, begun):
        once = replace(STREAM, idempotent=False, streaming=begun)
        assert choose_retry(once) is RetryChoice.NONE

    def test_what_may_run_once_is_sent_again_after_a_refusal(self):
        once = replace(
            STREAM,
            idempotent=False,
            may_have_run=False,
            streaming=False,
            possibly_run_on=frozenset(),
        )
        assert choose_retry(once) is RetryChoice.ANY

    def test_a_body_that_is_no_event_stream_does_not_start_again(self):
        assert choose_retry(replace(STREAM, is_resumable=False)) is RetryChoice.NONE

    def test_errors_are_bounded_like_attempts(self):
        failing = replace(STREAM, error_count=STREAM.max_attempts)
        assert choose_retry(failing) is RetryChoice.NONE

    def test_a_request_that_may_crash_servers_reaches_no_further_one(self):
        crashing = replace(STREAM, suspicion=MAX_SUSPICION)
        assert choose_retry(crashing) is RetryChoice.NONE
        assert choose_retry(replace(STREAM, is_blocked=True)) is RetryChoice.NONE
