"""Tests of verdicts."""

import pytest

from kumquatway_core import RAN, Reason, Verdict, may_have_run, not_run
from kumquatway_core._verdict import STATUS_BY_REASON


class TestVerdict:
    """The value that says whether a request may have run."""

    def test_each_reason_has_a_status(self):
        assert set(STATUS_BY_REASON) == set(Reason)

    @pytest.mark.parametrize("idempotent", [True, False])
    def test_a_request_that_did_not_run_may_be_retried(self, idempotent):
        verdict = not_run(Reason.LIMITED, retry_after=1.0)
        assert verdict.retry_is_safe(idempotent=idempotent)
        assert verdict.header_value() == "not-run"

    def test_a_request_that_may_have_run_may_be_retried_only_if_idempotent(self):
        verdict = may_have_run(Reason.RESET)
        assert verdict.retry_is_safe(idempotent=True)
        assert not verdict.retry_is_safe(idempotent=False)
        assert verdict.header_value() == "may-have-run"

    def test_a_request_that_ran_is_never_retried(self):
        assert not Verdict(ran=RAN).retry_is_safe(idempotent=True)
