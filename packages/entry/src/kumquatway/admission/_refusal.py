"""
Refusal.

The verdicts of requests that are not admitted, with an honest time to come back.
"""

from collections.abc import Callable

from kumquatway_core import Reason, Verdict, not_run

MIN_RETRY_AFTER_SECONDS = 0.05
MAX_RETRY_AFTER_SECONDS = 60.0
JITTER_SHARE = 0.25
MAX_JITTER_SECONDS = 0.5


def refusal(
    reason: Reason, detail: str, wait: float, random: Callable[[], float]
) -> Verdict:
    """
    Refuse a request that was not run.

    :param reason: the cause.
    :param detail: one line for people.
    :param wait: seconds until it would be admitted.
    :param random: gives a number from 0 to 1.
    :return: the verdict; its `retry_after` is `wait` or a little more.
    """
    wait = min(max(wait, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS)
    jitter = min(wait * JITTER_SHARE, MAX_JITTER_SECONDS) * random()
    return not_run(reason, detail, retry_after=wait + jitter)
