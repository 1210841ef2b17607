"""
Incarnation numbers, which distinguish successive runs of the same process.
"""

import time


def new_incarnation() -> int:
    """
    Generate the incarnation number of this run of the process.

    :return: wall-clock time, microseconds; higher than in earlier runs unless the
        clock was set back.
    """
    return time.time_ns() // 1000
