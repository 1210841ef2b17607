"""
Refusal.

The verdicts of requests that are not admitted, with an honest time to come back.
"""

from kumquatway_core import Reason, Verdict, not_run

MIN_RETRY_AFTER_SECONDS = 0.05
MAX_RETRY_AFTER_SECONDS = 60.0


def refusal(reason: Reason, detail: str, wait: float) -> Verdict:
    """
    Refuse a request that was not run.

    :param reason: the cause.
    :param detail: one line for people.
    :param wait: seconds until it would be admitted.
    :return: the verdict; its `retry_after` is `wait` within bounds.
    """
    wait = min(max(wait, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS)
    return not_run(reason, detail, retry_after=wait)
