"""Tests of the command line."""

import hashlib
import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import anyio
import pytest

from kumquatway._cli import _commands, main
from kumquatway._demo import Deployment, Layout, Pipeline
from kumquatway_core.events import KINDS
from kumquatway_fakes import free_address

KEY = "operator-key"
EXAMPLES = Path(__file__).parents[3] / "examples"
WAIT = 20  # seconds
SOURCE = f"""
name = "test"
[models.bulletin]
layers = 4
[services.desk]
[accounts.guests]
keys = ["{hashlib.sha256(b"guest").hexdigest()}"]
[accelerators.any]
memory_mib = 80000
layer_us = 0
token_us = 0
"""
COMMAND = [sys.executable, "-c", "from kumquatway._cli import main; main()"]

pytestmark = pytest.mark.anyio


@pytest.fixture(scope="module")
def anyio_backend():
    return "asyncio"


@pytest.fixture(scope="module")
async def deployment(anyio_backend):
    layout = Layout(
        entries=1,
        pipelines=(Pipeline(model="bulletin", stages=2, replicas=1),),
        services={"desk": 1},
        admin_key=hashlib.sha256(KEY.encode()).hexdigest(),
    )
    deployment = Deployment(source=SOURCE, layout=layout)
    async with anyio.create_task_group() as group:
        await group.start(deployment.run)
        yield deployment
        deployment.stop()


@pytest.fixture
def admin(deployment, monkeypatch) -> str:
    url = f"http://{deployment.entries[0].settings.admin_address}"
    monkeypatch.setenv("KUMQUATWAY_ADMIN", url)
    monkeypatch.setenv("KUMQUATWAY_ADMIN_KEY", KEY)
    monkeypatch.setenv("COLUMNS", "200")
    return url


def exit_code(*argv) -> int:
    try:
        main([str(argument) for argument in argv])
    except SystemExit as error:
        return int(error.code or 0)
    return 0


async def run(*argv) -> int:
    return await anyio.to_thread.run_sync(exit_code, *argv)


class TestCheck:
    """`kumquatway check` judges a text by itself."""

    async def test_a_valid_text(self, tmp_path, capsys):
        path = tmp_path / "a.toml"
        path.write_text(SOURCE)
        assert exit_code("check", path) == 0
        assert "valid" in capsys.readouterr().out

    async def test_all_problems_at_once(self, tmp_path, capsys):
        path = tmp_path / "a.toml"
        path.write_text('name = "a"\n[models.m]\nlayers = -1\nnone = 2\n')
        assert exit_code("check", path) == 2
        shown = capsys.readouterr().err
        assert "layers" in shown and "none" in shown
        assert exit_code("check", path, "--json") == 2
        assert len(json.loads(capsys.readouterr().out)) == 2

    async def test_a_missing_file(self, tmp_path, capsys):
        assert exit_code("check", tmp_path / "none") == 2
        assert "none" in capsys.readouterr().err


class TestApply:
    """`kumquatway apply` puts a text in force once."""

    async def test_an_edit_and_a_race(self, admin, deployment, tmp_path, capsys):
        number = deployment.entries[0].configuration.number()
        path = tmp_path / "a.toml"
        path.write_text(SOURCE + "# an edit\n")
        assert await run("apply", path, "--author", "ann") == 0
        assert f"revision {number + 1} is in force" in capsys.readouterr().out
        assert deployment.entries[0].configuration.number() == number + 1
        assert await run("apply", path, "--revision", number, "--json") == 1
        edit = json.loads(capsys.readouterr().out)
        assert (edit["outcome"], edit["expected"]) == ("raced", number)
        assert edit["found"] == number + 1

    async def test_a_wrong_text_is_not_sent(self, admin, tmp_path, capsys):
        path = tmp_path / "a.toml"
        path.write_text("name = 3")
        assert await run("apply", path) == 2
        assert "name" in capsys.readouterr().err


class TestStatus:
    """`kumquatway status` shows the VMs."""

    async def test_the_table_and_json(self, admin, deployment, capsys):
        assert await run("status") == 0
        shown = capsys.readouterr().out
        assert all(vm in shown for vm in deployment.agents)
        assert await run("status", "--json") == 0
        view = json.loads(capsys.readouterr().out)
        assert {member["vm"] for member in view["members"]} == set(deployment.agents)

    @pytest.mark.parametrize(
        ("url", "key"),
        [
            ("http://127.0.0.1:1", "k"),
            ("no url", "k"),
            ("http://a\x00", "k"),
            ("http://127.0.0.1:1", "\u0219"),
        ],
    )
    async def test_an_entry_that_is_not_there(self, url, key, capsys):
        assert await run("status", "--admin", url, "--key", key) == 1
        assert capsys.readouterr().err

    async def test_a_wrong_key(self, admin, capsys):
        assert await run("status", "--key", "other") == 1
        assert "401" in capsys.readouterr().err


class TestDrain:
    """`kumquatway drain` lets a VM leave."""

    async def test_a_drain_and_its_undoing(self, admin, deployment, capsys):
        agent = deployment.agents["desk-0"]
        members = deployment.entries[0].members
        for option, state in (((), "leaving"), (("--undo",), "live")):
            assert await run("drain", "desk-0", *option) == 0
            with anyio.fail_after(WAIT):
                while members.by_vm["desk-0"].state().value != state:
                    await anyio.sleep(0.01)
        assert agent.settings.vm in capsys.readouterr().out

    async def test_an_unknown_vm(self, admin, capsys):
        assert await run("drain", "no/such vm") == 1
        assert "404" in capsys.readouterr().err


class TestTimeline:
    """`kumquatway timeline` merges the journals of entries and agents."""

    async def test_agents_events_are_read(self, admin, deployment, capsys):
        assert await run("timeline", "--admin", admin, "--json") == 0
        shown = capsys.readouterr()
        processes = {record["process"] for record in json.loads(shown.out)}
        assert processes == {"entry-0", *deployment.agents}
        assert not shown.err

    async def test_filters_and_lanes(self, admin, tmp_path, capsys):
        path = tmp_path / "lanes.svg"
        options = ("--admin", admin, "--kind", "process_started")
        assert await run("timeline", *options, "--draw", path) == 0
        assert "<svg" in path.read_text()
        assert await run("timeline", *options) == 0
        shown = capsys.readouterr().out
        assert "process_started" in shown
        assert not [kind for kind in KINDS[1:] if kind in shown]

    async def test_an_unknown_kind(self, admin, capsys):
        assert await run("timeline", "--admin", admin, "--kind", "nothing") == 2
        assert "nothing" in capsys.readouterr().err

    async def test_an_agent_that_is_gone_is_named(self, admin, monkeypatch, capsys):
        gone = "127.0.0.1:1"
        read = _commands._read_agent
        monkeypatch.setattr(_commands, "_read_agent", lambda address: read(gone))
        assert await run("timeline", "--admin", admin, "--json") == 0
        shown = capsys.readouterr()
        assert gone in shown.err
        records = json.loads(shown.out)
        assert {record["process"] for record in records} == {"entry-0"}


class TestPlan:
    """`kumquatway plan` shows a plan and its bound."""

    @pytest.mark.parametrize("name", ["maes", "vinoteca"])
    async def test_the_examples(self, name, capsys):
        files = EXAMPLES / f"{name}.toml", "--vms", EXAMPLES / f"{name}-vms.toml"
        assert exit_code("plan", *files, "--json") == 0
        view = json.loads(capsys.readouterr().out)
        assert len(view["vms"]) == 40
        assert all(model["bound"] > 0 for model in view["models"])
        assert exit_code("plan", *files) == 0
        assert view["models"][0]["model"] in capsys.readouterr().out

    async def test_too_few_vms(self, tmp_path, capsys):
        vms = tmp_path / "vms.toml"
        vms.write_text("[[vms]]\nname='a'\ndata_centre='eupen'\naccelerator='kind-e'\n")
        assert exit_code("plan", EXAMPLES / "maes.toml", "--vms", vms) == 1
        assert "cannot serve bulletin" in capsys.readouterr().err

    async def test_a_wrong_list(self, tmp_path, capsys):
        vms = tmp_path / "vms.toml"
        vms.write_text("[[vms]]\nname = 3\n")
        assert exit_code("plan", EXAMPLES / "maes.toml", "--vms", vms) == 2
        assert "data_centre" in capsys.readouterr().err


class TestServe:
    """`kumquatway serve` refuses bad settings."""

    async def test_bad_settings(self, tmp_path, capsys):
        path = tmp_path / "entry.toml"
        path.write_text('name = "a"\ncaller_address = "localhost"\nother = 1\n')
        assert exit_code("serve", "--settings", path) == 2
        shown = capsys.readouterr().err
        for key in ("caller_address", "other", "platform", "admin_keys"):
            assert key in shown

    async def test_no_settings(self, tmp_path, capsys):
        assert exit_code("serve", "--settings", tmp_path / "none") == 2
        assert "none" in capsys.readouterr().err


class TestDemo:
    """`kumquatway demo` says when it is ready and stops in order."""

    @pytest.mark.parametrize("stop", [signal.SIGTERM, signal.SIGINT])
    async def test_the_ready_line_and_the_end(self, stop):
        port = free_address().rpartition(":")[2]
        process = subprocess.Popen(
            [*COMMAND, "demo", "--port", port, "--text", "maes"],
            stdout=subprocess.PIPE,
            env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
            text=True,
        )
        try:
            lines = [process.stdout.readline() for _ in range(3)]
            process.send_signal(stop)
            rest, _ = process.communicate(timeout=WAIT)
        finally:
            process.kill()
        assert lines[0] == f"ready: callers at http://127.0.0.1:{port}/v1\n"
        assert lines[1].startswith("admin: http://127.0.0.1:")
        assert lines[2].startswith("curl -N ")
        assert rest.endswith("stopped\n")
        assert process.returncode == 0
