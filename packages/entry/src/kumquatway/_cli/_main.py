"""
Main.

The subcommands and their options.
"""

import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa

from kumquatway._cli import _commands
from kumquatway._cli._client import ADMIN_KEY_VARIABLE, ADMIN_VARIABLE, AdminFailure
from kumquatway_core.exceptions import ConfigurationError

FAILED = 1  # exit code
BAD_INPUT = 2  # exit code

Admin = Annotated[
    str,
    cappa.Arg(
        long=True,
        default=cappa.Env(ADMIN_VARIABLE),
        help="Base URL of an entry's admin listener.",
    ),
]
Key = Annotated[
    str,
    cappa.Arg(
        long=True,
        default=cappa.Env(ADMIN_KEY_VARIABLE),
        help="The operator's bearer key.",
    ),
]
Json = Annotated[bool, cappa.Arg(long="--json", help="Print JSON, for programs.")]


@cappa.command(help="Run an entry until SIGTERM or SIGINT.")
@dataclass
class Serve:
    """The options of `serve`."""

    settings: Annotated[Path, cappa.Arg(long=True, help="The settings file, TOML.")]

    def __call__(self):
        """Run the command."""
        _commands.serve(self.settings)


@cappa.command(help="Check a text, without a running system.")
@dataclass
class Check:
    """The options of `check`."""

    text: Annotated[Path, cappa.Arg(help="The text, TOML.")]
    json: Json = False

    def __call__(self):
        """Run the command."""
        sys.exit(_commands.check(self.text, as_json=self.json))


@cappa.command(help="Put a text in force.")
@dataclass
class Apply:
    """The options of `apply`."""

    text: Annotated[Path, cappa.Arg(help="The text, TOML.")]
    admin: Admin
    key: Key
    revision: Annotated[
        int | None,
        cappa.Arg(long=True, help="The revision that the text was made from."),
    ] = None
    author: Annotated[str, cappa.Arg(long=True, help="For the audit trail.")] = ""
    json: Json = False

    def __call__(self):
        """Run the command."""
        code = _commands.apply(
            self.text,
            admin=self.admin,
            key=self.key,
            revision=self.revision,
            author=self.author,
            as_json=self.json,
        )
        sys.exit(code)


@cappa.command(help="Show the VMs as an entry sees them.")
@dataclass
class Status:
    """The options of `status`."""

    admin: Admin
    key: Key
    json: Json = False

    def __call__(self):
        """Run the command."""
        _commands.status(admin=self.admin, key=self.key, as_json=self.json)


@cappa.command(help="Let a VM leave, or take that back.")
@dataclass
class Drain:
    """The options of `drain`."""

    vm: Annotated[str, cappa.Arg(help="Name of the VM.")]
    admin: Admin
    key: Key
    undo: Annotated[bool, cappa.Arg(long=True, help="Take the drain back.")] = False

    def __call__(self):
        """Run the command."""
        _commands.drain(self.vm, admin=self.admin, key=self.key, undo=self.undo)


@cappa.command(help="Show the events of all processes in order.")
@dataclass
class Timeline:
    """The options of `timeline`."""

    key: Key
    admin: Annotated[
        list[str],
        cappa.Arg(long=True, help="Base URL of an admin listener; repeat it for more."),
    ]
    request: Annotated[str, cappa.Arg(long=True, help="Only this request.")] = ""
    vm: Annotated[str, cappa.Arg(long=True, help="Only this VM.")] = ""
    kind: Annotated[
        list[str], cappa.Arg(long=True, help="Only this kind; repeat it for more.")
    ] = field(default_factory=list)
    draw: Annotated[
        Path | None, cappa.Arg(long=True, help="Write the lanes to this SVG file.")
    ] = None
    json: Json = False

    def __call__(self):
        """Run the command."""
        _commands.timeline(
            admins=self.admin,
            key=self.key,
            request=self.request,
            vm=self.vm,
            kinds=tuple(self.kind),
            draw=self.draw,
            as_json=self.json,
        )


@cappa.command(help="Tell a request's story and its cause from log lines.")
@dataclass
class Explain:
    """The options of `explain`."""

    request: Annotated[str, cappa.Arg(help="The request's id.")]
    logs: Annotated[
        list[Path], cappa.Arg(help="Log files; standard input by default.")
    ] = field(default_factory=list)

    def __call__(self):
        """Run the command."""
        sys.exit(_commands.explain(self.request, self.logs))


@cappa.command(help="Show which VM would hold what, without acting.")
@dataclass
class Plan:
    """The options of `plan`."""

    text: Annotated[Path, cappa.Arg(help="The text, TOML.")]
    vms: Annotated[Path, cappa.Arg(long=True, help="The list of VMs, TOML.")]
    json: Json = False

    def __call__(self):
        """Run the command."""
        sys.exit(_commands.plan(self.text, vms=self.vms, as_json=self.json))


@cappa.command(help="Run a whole deployment over stand-ins in this process.")
@dataclass
class Demo:
    """The options of `demo`."""

    port: Annotated[int, cappa.Arg(long=True, help="Of the callers' listener.")] = 8080
    text: Annotated[
        str, cappa.Arg(long=True, help="`vinoteca`, `maes`, or a file.")
    ] = "vinoteca"

    def __call__(self):
        """Run the command."""
        _commands.demo(text=self.text, port=self.port)


@cappa.command(name="kumquatway", help="Route requests over mixed accelerators.")
@dataclass
class Kumquatway:
    """The subcommands."""

    command: cappa.Subcommands[
        Serve | Check | Apply | Status | Drain | Timeline | Explain | Plan | Demo
    ]


def main(argv: list[str] | None = None) -> None:
    """
    Run the command line.

    :param argv: the arguments; those of the process by default.
    """
    try:
        cappa.invoke(Kumquatway, argv=argv)
    except ConfigurationError as error:
        print(error, file=sys.stderr)
        sys.exit(BAD_INPUT)
    except AdminFailure as error:
        print(error, file=sys.stderr)
        sys.exit(FAILED)
