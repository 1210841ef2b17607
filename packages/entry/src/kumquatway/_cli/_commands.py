"""
Commands.

What each subcommand does.
"""

import signal
import sys
from collections.abc import Callable
from pathlib import Path

import anyio
import msgspec
from rich.console import Console
from rich.table import Table

from kumquatway._cli._client import (
    ADMIN_EVENTS,
    AGENT_EVENTS,
    AdminClient,
    AdminFailure,
    read_journal,
)
from kumquatway._entry import Entry
from kumquatway.admin import EditView, StatusView
from kumquatway.explain import cause, read_records, render, tell
from kumquatway.placement import plan as make_plan, plan_view, read_vms, render_plan
from kumquatway.timeline import draw as draw_lanes, merge, table
from kumquatway_core.events import Record
from kumquatway_core.exceptions import ConfigurationError
from kumquatway_core.logs import configure
from kumquatway_core.memory import return_large_blocks
from kumquatway_core.settings import EntrySettings, read_entry
from kumquatway_core.text import parse, validate as check_text

OUT = Console()
ACCEPTED = "accepted"


def serve(path: Path) -> None:
    """
    Run an entry.

    :param path: of its settings.
    :raises ConfigurationError: if the settings or their text are wrong.
    """
    settings = read_entry(path)
    source = _read_text(Path(settings.text_file)) if settings.text_file else ""
    configure(
        log_format=settings.log.format, level=settings.log.level, process=settings.name
    )
    return_large_blocks()
    anyio.run(serve_entry, settings, source)


async def serve_entry(settings: EntrySettings, source: str = "") -> None:
    """
    Run an entry until SIGTERM or SIGINT, then let it finish.

    :param settings: as read.
    :param source: a text for a store that has none, TOML.
    """
    entry = Entry(settings=settings, source=source)
    async with anyio.create_task_group() as group:
        group.start_soon(on_signal, entry.leave)
        await entry.run()
        group.cancel_scope.cancel()


async def on_signal(stop: Callable[[], None]) -> None:
    """
    Call a function at each SIGTERM or SIGINT.

    :param stop: what to call.
    """
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            stop()


def check(path: Path, *, as_json: bool) -> int:
    """
    Check a text.

    :param path: of the text.
    :param as_json: print JSON.
    :return: exit code, 2 for a wrong text.
    """
    problems = check_text(_read_file(path), str(path))
    if as_json:
        print(msgspec.json.encode(problems).decode())
    elif problems:
        for problem in problems:
            print(problem, file=sys.stderr)
    else:
        OUT.print(f"{path} is a valid text")
    return 2 if problems else 0


def apply(
    path: Path,
    *,
    admin: str,
    key: str,
    revision: int | None,
    author: str,
    as_json: bool,
) -> int:
    """
    Put a text in force.

    :param path: of the text.
    :param revision: that it was made from; the one in force if None.
    :param author: for the audit trail.
    :return: exit code, 0 if accepted.
    :raises ConfigurationError: if the text is wrong.
    """
    source = _read_text(path)
    client = AdminClient(url=admin, key=key)
    expected = client.revision() if revision is None else revision
    edit = client.replace(source, expected, author)
    client.close()
    if as_json:
        print(msgspec.json.encode(edit).decode())
    else:
        _print_edit(edit)
    return 0 if edit.outcome == ACCEPTED else 1


def status(*, admin: str, key: str, as_json: bool) -> None:
    """
    Show the VMs.

    :param as_json: print JSON.
    """
    client = AdminClient(url=admin, key=key)
    view = client.status()
    client.close()
    if as_json:
        print(msgspec.json.encode(view).decode())
        return
    OUT.print(f"{view.process}: revision {view.revision}, ready: {view.ready}")
    OUT.print(_status_table(view))


def drain(vm: str, *, admin: str, key: str, undo: bool) -> None:
    """
    Let a VM leave.

    :param vm: its name.
    :param undo: take the drain back.
    """
    client = AdminClient(url=admin, key=key)
    client.drain(vm, undo)
    client.close()
    OUT.print(f"{vm} {'stays' if undo else 'leaves'}")


def explain(request: str, logs: list[Path]) -> int:
    """
    Tell a request's story.

    :param request: its id.
    :param logs: files with the lines of all processes, or none for standard input.
    :return: the exit code; 1 where no line names the request.
    :raises ConfigurationError: if a file cannot be read.
    """
    try:
        texts = [path.read_text(errors="replace") for path in logs]
    except OSError as error:
        raise ConfigurationError(f"log {error.filename}: {error.strerror}") from error
    if not logs:
        texts = [sys.stdin.read()]
    lines = (line for text in texts for line in text.splitlines())
    story = tell(read_records(lines), request)
    if story.own:
        print(render(story))
    print(cause(story))
    return 0 if story.own else 1


def timeline(
    *,
    admins: list[str],
    key: str,
    request: str,
    vm: str,
    kinds: tuple[str, ...],
    draw: Path | None,
    as_json: bool,
) -> None:
    """
    Show the events of all processes.

    :param admins: base URLs of admin listeners.
    :param draw: file for the lanes, or None.
    """
    journals = [journal for admin in admins for journal in _read_all(admin, key)]
    records = merge(journals, request=request, vm=vm, kinds=kinds)
    if draw is not None:
        draw.write_text(draw_lanes(records))
        OUT.print(f"wrote {draw}")
    elif as_json:
        print(msgspec.json.encode(records).decode())
    else:
        OUT.print(table(records))


def plan(path: Path, *, vms: Path, as_json: bool) -> int:
    """
    Show which VM would hold what, and the bound, without acting.

    :param path: of the text.
    :param vms: file that lists the VMs and their links, TOML.
    :param as_json: print JSON.
    :return: exit code, 1 if a model cannot be served.
    :raises ConfigurationError: if the text or the list is wrong.
    """
    text = parse(_read_file(path), str(path))
    fleet = read_vms(vms)
    found = make_plan(text, fleet)
    if as_json:
        print(msgspec.json.encode(plan_view(found, fleet, text)).decode())
    else:
        for shown in render_plan(found, fleet, text):
            OUT.print(shown)
    for model in found.unserved:
        print(f"the VMs cannot serve {model}", file=sys.stderr)
    return 1 if found.unserved else 0


def demo(*, text: str, port: int) -> None:
    """
    Run a whole deployment in this process.

    :param text: name of an example, or a file.
    :param port: of the callers' listener.
    """
    # Only this command needs the stand-ins.
    from kumquatway._demo import run_demo

    run_demo(text=text, port=port)


def _read_all(admin: str, key: str) -> list[list[Record]]:
    """Read the journals of an entry and of the agents that it knows."""
    client = AdminClient(url=admin, key=key)
    journals = [read_journal(client, ADMIN_EVENTS)]
    for member in client.status().members:
        if member.status is not None and member.status.http_address:
            journals.append(_read_agent(member.status.http_address))
    client.close()
    return journals


def _read_agent(address: str) -> list[Record]:
    client = AdminClient(url=f"http://{address}")
    try:
        return read_journal(client, AGENT_EVENTS)
    except AdminFailure as error:
        print(f"left out: {error}", file=sys.stderr)
        return []
    finally:
        client.close()


def _read_file(path: Path) -> str:
    try:
        return path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigurationError(f"{path}: {error}") from error


def _read_text(path: Path) -> str:
    source = _read_file(path)
    problems = check_text(source, str(path))
    if problems:
        raise ConfigurationError("\n".join(str(problem) for problem in problems))
    return source


def _print_edit(edit: EditView) -> None:
    if edit.outcome == ACCEPTED:
        OUT.print(f"revision {edit.found} is in force")
        return
    print(f"{edit.outcome}: {edit.detail}", file=sys.stderr)
    for problem in edit.problems:
        print(problem, file=sys.stderr)


def _status_table(view: StatusView) -> Table:
    columns = ("VM", "state", "data centre", "holds", "streams", "waiting", "step ms")
    shown = Table(*columns)
    for member in sorted(view.members, key=lambda member: member.vm):
        shown.add_row(*_status_row(member))
    return shown


def _status_row(member) -> tuple[str, ...]:
    found = member.status
    if found is None:
        return (member.vm, member.state, "", "not heard yet", "", "", "")
    holds = [
        f"{held.model} {held.version} [{held.first}, {held.end})"
        for held in found.holdings
    ]
    return (
        member.vm,
        member.state,
        found.data_centre,
        ", ".join(holds) or found.service,
        str(found.load.streams),
        str(found.load.waiting),
        f"{found.load.step_seconds * 1000:.1f}",
    )
