"""Tracks for which times no list of the store is known."""

from collections import deque
from itertools import pairwise

from kumquatway_gateway.model import Gap

# After an outage of the store, servers write their lapsed registrations again within
# two seconds (service discovery of the users' platform).
REREGISTRATION_GRACE_SECONDS = 2.3
# Between two lists, beyond which registrations of live servers may have lapsed. They do
# so 3.6 s after the last heartbeat, which may be 1.2 s old as an outage begins, and a
# second more if the server was silent.
MAX_GAP_SECONDS = 1.4
# The same while servers are registering again, and lists follow each other faster: an
# interruption that is too short to let registrations lapse still delays those.
MAX_GAP_IN_GRACE_SECONDS = 1.0
MAX_GAP_AFTER_FAILURE_SECONDS = 0.6  # the same, if a read has failed
NEVER = float("-inf")


class Gaps:
    """
    The times for which no list is known, so that the store may have been away.

    All times are by the store's clock, in seconds.

    :ivar last: the last such time, or None.
    :ivar followed_since: time since which lists follow each other without a gap.
    """

    def __init__(self):
        self.last: Gap | None = None
        self.earlier: Gap | None = None  # in force if a peer shows `last` to be none
        self.followed_since = NEVER
        # Times of the last lists, which show that the store answered then.
        self.listed_at: deque[float] = deque()

    @property
    def grace_until(self) -> float:
        """Return until when servers may not have registered again."""
        return self.last.end + REREGISTRATION_GRACE_SECONDS if self.last else NEVER

    def record_list(self, listed_at: float) -> None:
        """
        Record that the store had a list.

        :param listed_at: when it had the list.
        """
        self.listed_at.append(listed_at)
        cutoff = listed_at - REREGISTRATION_GRACE_SECONDS - MAX_GAP_SECONDS
        while self.listed_at[0] < cutoff:
            self.listed_at.popleft()

    def begin_grace(self, gap: Gap) -> None:
        """
        Begin a time in which servers register again.

        :param gap: the time for which no list is known.
        """
        if self.last is not None and self.last.end <= gap.start:
            self.earlier = self.last
        self.last = gap
        self.followed_since = gap.end

    def narrow(self, since: float, until: float) -> bool:
        """
        Narrow the last gap to the time for which a peer has no list either.

        An entry that was frozen has a gap where others have lists.

        :param since: time since which the peer's lists follow each other.
        :param until: time of the peer's newest list.
        :return: whether the gap has changed.
        """
        gap = self.last
        if gap is None or gap.end - gap.start <= MAX_GAP_SECONDS:
            return False
        if gap.start < since < gap.end:
            self.begin_grace(Gap(start=gap.start, end=since))
        elif 0 < since <= gap.start and until >= gap.end:
            self.last, self.earlier = self.earlier, None
            self.followed_since = since
        else:
            return False
        return True

    def unknown_part(self, gap: Gap, *, now: float) -> Gap | None:
        """
        Return the part of a peer's gap for which no list is known here either.

        :param gap: the last time for which the peer knows no list.
        :param now: time of the newest list.
        :return: the longest such part, or None if it is too short for registrations to
            lapse or to be delayed.
        """
        if self.followed_since > gap.start:
            parts = [Gap(start=gap.start, end=min(gap.end, self.followed_since))]
        else:
            inside = [at for at in self.listed_at if gap.start < at < gap.end]
            times = pairwise((gap.start, *inside, gap.end))
            parts = [Gap(start=start, end=end) for start, end in times]
        longest = max(parts, key=lambda part: part.end - part.start)
        is_sound = now >= self.grace_until and self.followed_since <= gap.start
        least = MAX_GAP_SECONDS if is_sound else MAX_GAP_AFTER_FAILURE_SECONDS
        return longest if longest.end - longest.start > least else None
