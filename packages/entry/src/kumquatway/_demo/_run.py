"""
Run.

The `demo` command: one example text, served until a signal.
"""

import hashlib
import importlib.resources
import signal
from pathlib import Path

import anyio
from rich.console import Console

from kumquatway._demo._deployment import Deployment, Layout, Pipeline
from kumquatway_core.exceptions import ConfigurationError
from kumquatway_core.logs import configure
from kumquatway_core.settings import LogFormat, LogLevel
from kumquatway_core.text import parse
from kumquatway_fakes import HOST, Speed

EXAMPLES = ("vinoteca", "maes")
ADMIN_KEY = "demo-key-admin"
STAGES = 3
REPLICAS = 2
UPSTREAMS = 2  # of each plain service
SPEED = Speed(layer_us=200, token_us=2)
MAX_PROMPT = 200  # characters of the curl's body

OUT = Console(soft_wrap=True)


def run_demo(*, text: str, port: int) -> None:
    """
    Run a deployment until SIGTERM or SIGINT.

    :param text: name of an example, or a file.
    :param port: of the callers' listener.
    :raises ConfigurationError: if there is no such text or it is wrong.
    """
    source = _read(text)
    parse(source, text)
    configure(log_format=LogFormat.HUMAN, level=LogLevel.WARNING, process="demo")
    anyio.run(_serve, source, f"{HOST}:{port}")


def layout_of(source: str, caller_address: str = "") -> Layout:
    """
    Lay out a small deployment of a text.

    :param source: TOML.
    :param caller_address: of the first entry, or "" for a free one.
    :return: the layout.
    """
    found = parse(source, "text")
    return Layout(
        entries=1,
        pipelines=tuple(
            Pipeline(model=name, stages=STAGES, replicas=REPLICAS, speed=SPEED)
            for name in found.models
        ),
        services=dict.fromkeys(found.services, UPSTREAMS),
        admin_key=hashlib.sha256(ADMIN_KEY.encode()).hexdigest(),
        caller_address=caller_address,
    )


async def _serve(source: str, address: str) -> None:
    deployment = Deployment(source=source, layout=layout_of(source, address))
    async with anyio.create_task_group() as group:
        group.start_soon(_leave_on_signal, deployment)
        await group.start(deployment.run)
        _print_ready(deployment)
        await deployment.left.wait()
        group.cancel_scope.cancel()
    OUT.print("stopped")


async def _leave_on_signal(deployment: Deployment) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            deployment.leave()


def _print_ready(deployment: Deployment) -> None:
    entry = deployment.entries[0].settings
    model = next(iter(deployment.text.models))
    account = next(iter(deployment.text.accounts))
    OUT.print(f"ready: callers at http://{entry.caller_address}/v1")
    OUT.print(f"admin: http://{entry.admin_address} (key {ADMIN_KEY})")
    OUT.print(
        f"curl -N http://{entry.caller_address}/v1/chat/completions "
        f"-H 'Authorization: Bearer demo-key-{account}' "
        "-H 'Content-Type: application/json' "
        f'-d \'{{"model": "{model}", "stream": true, "max_tokens": 32, '
        '"messages": [{"role": "user", "content": "Hello"}]}\'',
        markup=False,
        highlight=False,
    )


def _read(text: str) -> str:
    if text in EXAMPLES:
        files = importlib.resources.files("kumquatway") / "_demo" / "texts"
        return (files / f"{text}.toml").read_text()
    try:
        return Path(text).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigurationError(f"{text}: {error}") from error
