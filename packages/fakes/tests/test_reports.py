"""Tests of what the stand-in of an engine tells of itself."""

import anyio

from kumquatway_core.engine import StepInput, StepRequest
from kumquatway_core.wire import Holding
from kumquatway_fakes import Engine
from kumquatway_fakes._engine import BLOCK
from kumquatway_fakes._reports import Reports


class TestReports:
    """Events come late and with gaps, load some time ago."""

    def setup_method(self):
        self.now = 0.0

    def engine(self, **changes) -> Engine:
        held = Holding(model="m", version="1", first=0, end=2)
        reports = Reports(clock=lambda: self.now, **changes)
        return Engine(holdings=(held,), cache_blocks=3, reports=reports)

    def run_prompt(self, engine: Engine, blocks: int, stream: str = "s") -> None:
        item = StepInput(
            stream=stream,
            position=0,
            count=blocks * BLOCK,
            data=b"\1\0\0\0" * blocks * BLOCK,
            sample=False,
            seed=0,
            adapter="",
            priority=0,
        )
        request = StepRequest(model="m", version="1", first=0, end=2, items=(item,))
        anyio.run(engine.step, request)

    def test_events_come_late_and_tell_of_evictions(self):
        engine = self.engine(lag=2.0)
        self.run_prompt(engine, blocks=5)
        assert engine.reports.events_since(0) == ()
        self.now = 2.0
        found = engine.reports.events_since(0)
        assert [event.sequence for event in found] == list(range(1, 8))
        assert sum(not event.stored for event in found) == 2
        assert len(engine.reports.events_since(5)) == 2

    def test_lost_events_leave_gaps(self):
        engine = self.engine(loss=0.5)
        self.run_prompt(engine, blocks=20)
        numbers = [event.sequence for event in engine.reports.events_since(0)]
        assert 0 < len(numbers) < engine.reports.sequence
        assert numbers == sorted(numbers)

    def test_the_load_is_that_of_some_time_ago(self):
        engine = self.engine(lag=2.0)
        assert engine.state().load.streams == 0
        self.run_prompt(engine, blocks=1)
        self.now = 1.0
        load = engine.state().load
        assert (load.streams, load.age) == (0, 1.0)
        self.now = 3.0
        assert engine.state().load.streams == 1
