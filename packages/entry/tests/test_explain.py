"""Tests of the story of a request, from the lines of logs."""

import msgspec

from kumquatway._cli import main
from kumquatway.explain import cause, read_records, render, tell
from kumquatway_core.events import (
    ChainsChanged,
    MembershipChanged,
    ProcessStarted,
    Record,
    Refused,
    RequestEnded,
    RequestStarted,
    RouteChosen,
    StageFailed,
    StreamRecovered,
)

REQUEST = "9d41"


class _Log:
    """Lines as processes write them, a tenth of a second apart."""

    def __init__(self):
        self.lines: list[str] = []
        self.sequence = 0

    def add(self, event, process: str = "front-1") -> "_Log":
        self.sequence += 1
        record = Record(
            process=process,
            sequence=self.sequence,
            clock=(1_000_000 + 100 * self.sequence) << 16,
            event=event,
        )
        line = msgspec.json.encode(record).decode()
        self.lines.append(f"   12.3 {process} {line}")
        return self

    def cause(self) -> str:
        return cause(tell(read_records(self.lines), REQUEST))


def _started() -> RequestStarted:
    return RequestStarted(request=REQUEST, account="house", target="model")


def _routed() -> RouteChosen:
    return RouteChosen(request=REQUEST, attempt=1, vms=("s1", "s2"))


def _ended(verdict: str, status: int, reason: str, detail: str = "") -> RequestEnded:
    return RequestEnded(
        request=REQUEST,
        verdict=verdict,
        status=status,
        reason=reason,
        detail=f"1200 ms, 1 sent: {detail}",
    )


class TestCause:
    """One sentence that names what happened."""

    def test_refused_under_load(self):
        log = _Log().add(ChainsChanged(service="model", chains=("a",)))
        log.add(_started())
        log.add(_ended("not-run", 503, "overloaded", "every chain is full"))
        found = log.cause()
        assert "not run: overloaded" in found
        assert "every chain is full" in found
        assert "1 chain(s)" in found

    def test_a_stream_that_broke_off(self):
        log = _Log().add(_started()).add(_routed())
        log.add(
            MembershipChanged(vm="s2", state="down", incarnation=1, detail="silent")
        )
        log.add(
            StageFailed(
                request=REQUEST,
                vm="s2",
                attempt=1,
                stage=0,
                reason="silence",
                detail="after 7 events",
            )
        )
        log.add(_ended("may-have-run", 502, "reset", "the stream broke off"))
        found = log.cause()
        assert "server s2: silence (after 7 events)" in found
        assert "saw it down (silent)" in found

    def test_outcome_unknown(self):
        log = _Log().add(_started()).add(_routed())
        log.add(_ended("may-have-run", 504, "deadline"))
        assert "server s1 gave no answer" in log.cause()

    def test_served_after_a_recovery(self):
        log = _Log().add(_started()).add(_routed())
        log.add(
            StageFailed(request=REQUEST, vm="s1", attempt=1, stage=0, reason="silence")
        )
        log.add(
            StreamRecovered(
                request=REQUEST, attempt=2, means="resume", position=7, seconds=0.21
            )
        )
        log.add(_ended("ran", 200, "none"))
        found = log.cause()
        assert "served in 1200 ms after 1 failed attempt(s)" in found
        assert "0.210 s later" in found

    def test_not_allowed(self):
        log = _Log().add(
            Refused(request=REQUEST, reason="unauthorized", detail="unknown key")
        )
        assert "unauthorized (unknown key)" in log.cause()

    def test_its_process_was_killed(self):
        log = _Log().add(_started()).add(_routed())
        log.add(ProcessStarted(incarnation=2))
        assert "killed or lost power" in log.cause()

    def test_a_servers_own_error(self):
        log = _Log().add(_started()).add(_routed())
        log.add(_ended("ran", 500, "upstream_error"))
        assert "its own answer" in log.cause()

    def test_nobody_saw_it(self):
        assert "No line names request 9d41" in _Log().cause()


class TestStory:
    """What is shown, in order."""

    def test_beliefs_about_its_servers_alone(self):
        log = _Log().add(_started()).add(_routed())
        log.add(MembershipChanged(vm="s1", state="down", incarnation=1), "front-2")
        log.add(MembershipChanged(vm="s9", state="down", incarnation=1))
        log.add(_ended("ran", 200, "none"))
        shown = render(tell(read_records(log.lines), REQUEST))
        assert "front-2 membership_changed s1" in shown
        assert "s9" not in shown

    def test_lines_that_are_no_records_are_skipped(self):
        lines = ["", "plain text", '{"process":"x","sequence":', '{"time":"now"}']
        assert read_records(lines) == ()


class TestCommand:
    """`kumquatway explain`."""

    def _run(self, arguments: list[str]) -> int:
        try:
            main(["explain", *arguments])
        except SystemExit as end:
            return end.code
        return 0

    def test_files(self, tmp_path, capsys):
        log = _Log().add(_started()).add(_ended("ran", 200, "none"))
        path = tmp_path / "front-1.log"
        path.write_text("\n".join(log.lines))
        assert self._run([REQUEST, str(path)]) == 0
        assert "It was served in 1200 ms." in capsys.readouterr().out

    def test_an_unknown_request(self, tmp_path, capsys):
        path = tmp_path / "front-1.log"
        path.write_text("")
        assert self._run([REQUEST, str(path)]) == 1
        assert "No line names" in capsys.readouterr().out

    def test_a_file_that_is_not_there(self, tmp_path, capsys):
        assert self._run([REQUEST, str(tmp_path / "none.log")]) == 2
        assert "none.log" in capsys.readouterr().err
