"""Golden files of whole sessions."""

import json

import pytest
from sessions import Recorder, eventually, record
from syrupy.extensions.single_file import SingleFileSnapshotExtension, WriteMode

from kumquatway_core.events import (
    MembershipChanged,
    StageFailed,
    StreamRecovered,
)
from kumquatway_fakes import answer

pytestmark = pytest.mark.anyio


class Transcript(SingleFileSnapshotExtension):
    """A golden file of plain text."""

    _write_mode = WriteMode.TEXT
    file_extension = "txt"


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
def golden(snapshot):
    return snapshot.use_extension(Transcript)


async def booking_visit(session: Recorder, source: str) -> None:
    """A guest plans a visit and books; an operator edits and drains."""
    chat = {
        "model": "booking-assistant:guests",
        "messages": [{"role": "user", "content": "A visit to Cotnari for four"}],
        "max_tokens": 8,
        "stream": True,
        "stream_options": {"include_usage": True},
    }
    await session.stream("plan a visit", "/v1/chat/completions", chat)
    await session.settle()
    booking = {
        "content": b'{"cellar": "cotnari", "seats": 4}',
        "headers": {"Idempotency-Key": "visit-17"},
    }
    path = "/services/booking-desk/bookings"
    await session.call("book seats", "POST", path, **booking)
    await session.call("book again after a lost answer", "POST", path, **booking)
    await session.call("look at the booking", "GET", f"{path}/visit-17")
    edited = source.replace("timeout = 10", "timeout = 12")
    edit = {"content": edited, "headers": {"If-Match": '"1"'}}
    await session.operate("edit the text", "PUT", "/admin/text", **edit)
    await session.operate("edit it at the same time", "PUT", "/admin/text", **edit)
    await session.operate("who changed what", "GET", "/admin/audit?after=1")
    vm = session.route()[0]
    await session.operate("drain a VM", "POST", f"/admin/drain/{vm}")
    await eventually(lambda: leaves(session, vm))
    await session.stream("plan another visit", "/v1/chat/completions", chat)
    await session.settle()
    assert vm not in session.route()


def leaves(session: Recorder, vm: str) -> bool:
    changes = session.events(MembershipChanged)
    return any(change.vm == vm and change.state == "leaving" for change in changes)


async def bulletin_night(session: Recorder, source: str) -> None:
    """A dispatcher drafts a bulletin and closes a pass; an engine hangs."""
    body = {"model": "bulletin", "prompt": "Pass closed: ", "max_tokens": 6}
    await session.call("draft a bulletin", "POST", "/v1/completions", json=body)
    path = "/services/pass-control/barriers/eifel-3/close"
    close = {"content": b"close", "headers": {"Idempotency-Key": "close-3-2200"}}
    await session.call("close the barrier", "POST", path, **close)
    await session.call("the same again", "POST", path, **close)
    other = {**close, "content": b"open"}
    await session.call("the same key, another command", "POST", path, **other)
    for number in (1, 2):
        status = "/services/pass-control/barriers/eifel-3"
        await session.call(f"status read {number}", "GET", status)
    executions = session.deployment.services["pass-control-0"].executions
    assert [run.method for run in executions] == ["POST", "GET", "GET"]

    def hang() -> None:
        engine = session.deployment.engines[session.route()[1]]
        engine.faults.hung = True

    long = {**body, "max_tokens": 40, "seed": 5, "stream": True}
    text = await session.stream(
        "a bulletin while an engine hangs", "/v1/completions", long, amid=hang
    )
    await session.settle()
    assert joined(text) == "".join(alone(long)[0])
    assert len(session.events(StageFailed)) == 1
    assert len(session.events(StreamRecovered)) == 1
    edited = source.replace('version = "winter-2"', 'version = "winter-2"\ndemand = 2')
    edit = {"content": edited, "headers": {"If-Match": '"1"'}}
    await session.operate("edit the text", "PUT", "/admin/text", **edit)


def joined(text: str) -> str:
    """Put the pieces of a stream together."""
    lines = [line.removeprefix("data: ") for line in text.splitlines()]
    chunks = [json.loads(line) for line in lines if line.startswith("{")]
    return "".join(chunk["choices"][0]["text"] for chunk in chunks)


def alone(body: dict) -> tuple[tuple[str, ...], str]:
    return answer(
        prompt=body["prompt"].encode(),
        layers=60,
        model="bulletin",
        version="winter-2",
        seed=body["seed"],
        max_tokens=body["max_tokens"],
    )


class TestSessions:
    """What callers and operators see, byte for byte."""

    async def test_booking_visit(self, golden):
        assert await record("vinoteca", "web-guests", booking_visit) == golden

    async def test_bulletin_night(self, golden):
        assert await record("maes", "dispatchers", bulletin_night) == golden
