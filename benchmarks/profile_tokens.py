"""
Profile.

Where the processor time of streams goes, by function, with all in one process.
"""

import cProfile
import hashlib
import pstats
import sys

import anyio
from loguru import logger

from benchmarks._load import make_client
from benchmarks._text import make_source
from benchmarks.tokens import LAYER_US, LAYERS, STAGES, long_prompts, run_streams
from kumquatway._demo._deployment import Deployment, Layout, Pipeline
from kumquatway_fakes import Speed

MODEL = "visits"
LINES = 30
PARTS = ("packages/entry", "hypercorn", "packages/agent", "packages/core", "httpx")


async def profile(batch: int) -> cProfile.Profile:
    """
    Profile a number of streams at once.

    :param batch: how many.
    :return: the profile.
    """
    pipeline = Pipeline(
        model=MODEL, stages=STAGES, replicas=1, speed=Speed(layer_us=LAYER_US)
    )
    layout = Layout(
        entries=1,
        pipelines=(pipeline,),
        services={},
        admin_key=hashlib.sha256(b"profile").hexdigest(),
    )
    deployment = Deployment(source=make_source({MODEL: LAYERS}), layout=layout)
    prompts = long_prompts(batch, MODEL)
    found = cProfile.Profile()
    async with anyio.create_task_group() as group:
        await group.start(deployment.run)
        url = f"http://{deployment.entries[0].settings.caller_address}"
        async with make_client(url) as http:
            await run_streams(http, MODEL, prompts)
            found.enable()
            await run_streams(http, MODEL, prompts)
            found.disable()
        deployment.stop()
    return found


def main() -> None:
    """Profile the batch size that the command line names, 16 without one."""
    batch = int(sys.argv[1]) if len(sys.argv) > 1 else 16
    logger.remove()
    stats = pstats.Stats(anyio.run(profile, batch))
    stats.sort_stats("cumulative")
    for part in PARTS:
        stats.print_stats(part, LINES)
    stats.sort_stats("tottime").print_stats(LINES)


if __name__ == "__main__":
    main()
