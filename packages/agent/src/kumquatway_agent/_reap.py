"""
Reap.

Ends the streams of entries that are gone.
"""

import time
from collections.abc import Callable

import anyio
from loguru import logger

from kumquatway_agent.stage import StageRunner
from kumquatway_core.mesh import Inbox

ENTRY_SILENCE = 10.0  # seconds
INTERVAL = 1.0  # seconds


def reap(
    *, stage: StageRunner, inbox: Inbox, now: float, silence: float = ENTRY_SILENCE
) -> int:
    """
    End the streams whose entry has been silent for too long.

    :param stage: that holds the streams.
    :param inbox: that knows when each entry was heard.
    :param now: monotonic seconds.
    :param silence: bound in seconds.
    :return: streams ended.
    """
    heard: dict[str, float] = {}
    for source in inbox.senders.values():
        heard[source.address] = max(
            heard.get(source.address, 0.0), source.last_received_at
        )
    gone = [
        key
        for key, stream in stage.streams.streams.items()
        if now - max(heard.get(stream.open.entry, 0.0), stream.touched) > silence
    ]
    if gone:
        logger.warning("{} streams end: their entry is silent", len(gone))
        stage.drop(gone)
    return len(gone)


async def keep_reaping(
    *,
    stage: StageRunner,
    inbox: Inbox,
    clock: Callable[[], float] = time.monotonic,
) -> None:
    """
    Reap until cancelled.

    :param stage: that holds the streams.
    :param inbox: that knows when each entry was heard.
    :param clock: monotonic seconds.
    """
    while True:
        await anyio.sleep(INTERVAL)
        reap(stage=stage, inbox=inbox, now=clock())
