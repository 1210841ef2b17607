"""
Command line.

The `kumquatway-agent` command.
"""

import signal
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import anyio
import cappa

from kumquatway_agent._agent import Agent
from kumquatway_core.exceptions import ConfigurationError
from kumquatway_core.logs import configure
from kumquatway_core.memory import return_large_blocks
from kumquatway_core.settings import AgentSettings, read_agent

BAD_SETTINGS = 2  # exit code


@cappa.command(name="kumquatway-agent", help="Serve one upstream VM.")
@dataclass
class AgentCommand:
    """The options of `kumquatway-agent`."""

    settings: Annotated[Path, cappa.Arg(long=True, help="The settings file, TOML.")]


async def serve_agent(settings: AgentSettings) -> None:
    """
    Run an agent until SIGTERM or SIGINT, then let it finish.

    :param settings: as read.
    """
    agent = Agent(settings=settings)
    async with anyio.create_task_group() as group:
        group.start_soon(_leave_on_signal, agent)
        await agent.run()
        group.cancel_scope.cancel()


async def _leave_on_signal(agent: Agent) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            agent.leave()


def main() -> None:
    """Run the command."""
    command = cappa.parse(AgentCommand)
    try:
        settings = read_agent(command.settings)
    except ConfigurationError as error:
        print(error, file=sys.stderr)
        sys.exit(BAD_SETTINGS)
    configure(
        log_format=settings.log.format, level=settings.log.level, process=settings.vm
    )
    return_large_blocks()
    anyio.run(serve_agent, settings)
