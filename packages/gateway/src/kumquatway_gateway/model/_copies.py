"""Tells copies of an observation, which entries pass on, from later observations."""

# By which the times of its copies may differ, as each entry dates them by the age that
# a message tells, which lacks its way. Over a few entries that is some ways together.
COPY_SPREAD_SECONDS = 0.5


def may_be_copy(observed_at: float, known_at: float) -> bool:
    """
    Tell whether an observation of a peer may be one that is known already.

    Load pattern: entries repeat what they heard for seconds, and would take what comes
    back for newer. It would then never age, and outlast what was seen after it.

    :param observed_at: as dated from the peer's message, seconds.
    :param known_at: of an observation that says the same, seconds.
    """
    return observed_at - known_at < COPY_SPREAD_SECONDS
