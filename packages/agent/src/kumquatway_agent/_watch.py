"""
Watch.

Asks the engine what it holds, and whether it answers.
"""

from collections.abc import Callable

import anyio
from loguru import logger

from kumquatway_core.engine import EngineClient, EngineFailure, EngineState

INTERVAL = 0.5  # seconds
SICK_INTERVAL = 0.1  # seconds


async def watch_engine(
    *,
    engine: EngineClient,
    on_state: Callable[[EngineState], None],
    on_failure: Callable[[EngineFailure], None],
    is_sick: Callable[[], bool],
) -> None:
    """
    Keep the status true to the engine until cancelled.

    :param engine: beside this agent.
    :param on_state: called with what the engine holds.
    :param on_failure: called when the engine does not answer.
    :param is_sick: tells whether the engine failed last.
    """
    while True:
        state = await engine.state()
        if isinstance(state, EngineFailure):
            logger.warning("the engine does not answer: {}", state.verdict.detail)
            on_failure(state)
            await engine.reconnect()
        else:
            on_state(state)
        await anyio.sleep(SICK_INTERVAL if is_sick() else INTERVAL)
