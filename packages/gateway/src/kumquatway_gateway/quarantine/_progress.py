"""
Says how far an answer was when it broke off, to bound the attempts of one request.
"""

import enum


class Progress(enum.IntEnum):
    """
    How far an answer was when its server ended; the value is the weight of suspicion.

    Most requests that crash servers do so before their answer or as it begins. One
    whose answer was in full flow is more likely a bystander, and is resumed.
    """

    FLOWING = 0
    WAITING = 1  # nothing had arrived, or the answer was just past its beginning
    BEGINNING = 2  # the head of the answer had arrived, but none of its content


# Sum of the weights of one request's broken-off answers, after which it is not sent to
# one more server.
MAX_SUSPICION = 2 * Progress.BEGINNING
