"""
Learns how long each chain usually sends no event, to tell a stall from a long pass.
"""

from dataclasses import dataclass

from kumquatway_gateway.chains import Chain
from kumquatway_gateway.relay._chain_activity import ActivitySnapshot

# The shortest idle time of a whole chain that counts as a stall.
CHAIN_STALL_SECONDS = 0.06
GAP_MARGIN = 1.25  # of the longest gap seen
# Of the estimated longest pass. A server that streams of a former chain still run
# through works for two chains in turn.
PASS_MARGIN = 1.75
LEARNING_SECONDS = 3.0  # of observation, before the gaps seen replace the estimate
WINDOW_SECONDS = 4.0  # a gap is remembered for one to two windows


@dataclass(kw_only=True, slots=True)
class _Pace:
    """
    Gaps between events of any stream of one chain.

    :param since: start of the observation, monotonic seconds.
    :param last_event_at: last event of any stream, monotonic seconds.
    :param window_start: start of the current window, monotonic seconds.
    :param longest: longest gap in the current window, seconds.
    :param longest_before: longest gap in the window before it, seconds.
    """

    since: float
    last_event_at: float
    window_start: float
    longest: float = 0.0
    longest_before: float = 0.0

    def add(self, gap: float, now: float) -> None:
        if now - self.window_start > WINDOW_SECONDS:
            self.longest_before, self.longest = self.longest, 0.0
            self.window_start = now
        self.longest = max(self.longest, gap)

    def longest_gap(self) -> float:
        return max(self.longest, self.longest_before)


class ChainPace:
    """
    The pace of the chains that streams of this entry run on.

    Load pattern: chains of slow accelerators prefill many prompts. A pass with a whole
    chunk of them takes 80 to 100 ms, during which no stream of the chain has an event.
    A fixed limit of 60 ms takes that for a failure. All streams leave, spend the retry
    budget, and make the other chains prefill and fill up, so that these look stalled
    as well.

    Load pattern: chains of fast accelerators. The longest gaps are far below the
    estimate, and streams should leave a failed chain within the pause that callers
    accept.
    """

    def __init__(self):
        self._paces: dict[str, _Pace] = {}

    def observe(self, snapshot: ActivitySnapshot, now: float) -> None:
        """
        Record the events since the last call; called many times a second.

        :param snapshot: activity of all chains.
        :param now: monotonic seconds.
        """
        for name in [name for name in self._paces if name not in snapshot.chains]:
            del self._paces[name]
        for name, activity in snapshot.chains.items():
            pace = self._paces.get(name)
            if pace is None:
                self._paces[name] = _Pace(
                    since=now, last_event_at=activity.last_event_at, window_start=now
                )
            elif activity.last_event_at > pace.last_event_at:
                pace.add(activity.last_event_at - pace.last_event_at, now)
                pace.last_event_at = activity.last_event_at

    def record_gap(self, chain: Chain, seconds: float, now: float) -> None:
        """
        Record a gap that streams did not wait for.

        If the chain works after all, its next gap of that length is no stall.

        :param chain: the chain that they left.
        :param seconds: length of the gap until then.
        :param now: monotonic seconds.
        """
        pace = self._paces.get(chain.first_server.id)
        if pace is not None:
            pace.add(seconds, now)

    def stall_seconds(self, chain: Chain, now: float) -> float:
        """
        Return the idle time after which a chain has stalled.

        :param chain: the chain.
        :param now: monotonic seconds.
        :return: seconds; the estimate for the chain until enough gaps were seen.
        """
        estimate = max(CHAIN_STALL_SECONDS, PASS_MARGIN * chain.pass_seconds)
        pace = self._paces.get(chain.first_server.id)
        if pace is None or now - pace.since < LEARNING_SECONDS:
            return estimate
        seen = max(CHAIN_STALL_SECONDS, GAP_MARGIN * pace.longest_gap())
        return min(estimate, seen)
