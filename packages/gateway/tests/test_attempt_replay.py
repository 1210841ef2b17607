"""
Tests of attempts beside each other, over many random interleavings.

`KUMQUATWAY_ATTEMPT_SEEDS` sets the seeds, such as `0:3000`.
"""

import os

import pytest
from attempt_replay import AttemptReplay

from kumquatway_gateway.http1 import Exchange, ResponseEnd
from kumquatway_gateway.model import Route
from kumquatway_gateway.relay import ModelRouter
from kumquatway_gateway.relay._attempt import StreamAttempt
from kumquatway_gateway.relay._streams import StreamJob

FIRST, END = map(int, os.environ.get("KUMQUATWAY_ATTEMPT_SEEDS", "0:60").split(":"))


@pytest.mark.parametrize("seed", range(FIRST, END))
def test_attempts_beside_each_other_keep_the_rules(seed):
    assert AttemptReplay(seed).run() == []


def finish_with_body(exchange: Exchange, end: ResponseEnd, finish=Exchange.finish):
    """End an exchange, and leave its body to an attempt that was abandoned."""
    body = exchange.body
    finish(exchange, end)
    exchange.body = body


NEVER = property(lambda self: False, lambda self, value: None)
# A fault by its sign: what is replaced to build it into the gateway.
FAULTS = {
    "missing, twice, cut or out of order": (StreamAttempt, "superseded", NEVER),
    "claims left": (ModelRouter, "release", lambda self, claim: None),
    "it may have run twice": (Route, "idempotent", property(lambda self: True)),
    "though it may have run": (StreamJob, "may_have_run", NEVER),
    "attempts": (StreamJob, "_possibly_run_on", lambda self: set()),
    "active streams left": (StreamAttempt, "supersede", lambda self: None),
    "neither an end nor a verdict": (StreamJob, "_give_up", lambda self: None),
}


class TestFaultsAreFound:
    """Faults are built into the gateway."""

    @pytest.mark.parametrize("sign", FAULTS)
    def test_some_seed_reports_it(self, monkeypatch, sign):
        owner, name, value = FAULTS[sign]
        monkeypatch.setattr(owner, name, value, raising=False)
        if owner is StreamAttempt and name == "superseded":
            monkeypatch.setattr(Exchange, "finish", finish_with_body)
        replays = (AttemptReplay(seed).run() for seed in range(60))
        assert any(sign in fault for faults in replays for fault in faults)
