"""
Summary of when each chain last sent an event to any stream of this entry.
"""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamActivity:
    """
    A stream that has received events from its chain.

    :param chain: ID of the chain's first server.
    :param last_event_at: when its last event arrived, monotonic seconds.
    """

    chain: str
    last_event_at: float


@dataclass(kw_only=True, slots=True)
class ChainActivity:
    """
    The streams of one chain that have received events.

    :param stream_count: number of these streams.
    :param last_event_at: when the last event of any of them arrived, monotonic seconds.
    """

    stream_count: int = 0
    last_event_at: float = float("-inf")


class ActivitySnapshot:
    """
    Activity of all chains at one time.

    :param streams: all streams of this entry that have received events.
    """

    def __init__(self, streams: Iterable[StreamActivity] = ()):
        self.chains: dict[str, ChainActivity] = {}
        for stream in streams:
            activity = self.chains.setdefault(stream.chain, ChainActivity())
            activity.stream_count += 1
            activity.last_event_at = max(activity.last_event_at, stream.last_event_at)

    def stream_count(self, chain: str) -> int:
        """
        Count the streams that have received events from a chain.

        :param chain: ID of its first server.
        :return: number of streams.
        """
        activity = self.chains.get(chain)
        return activity.stream_count if activity else 0

    def idle_seconds(self, chain: str, now: float) -> float:
        """
        Return the time since a chain last sent an event to any stream.

        :param chain: ID of its first server.
        :param now: monotonic seconds.
        :return: seconds, 0 if no stream has received events from the chain.
        """
        activity = self.chains.get(chain)
        return now - activity.last_event_at if activity else 0.0

    def idle_seconds_of_others(self, chain: str, now: float) -> float:
        """
        Return the time since any other chain last sent an event.

        :param chain: ID of the first server of the chain that is left out.
        :param now: monotonic seconds.
        :return: seconds, 0 if no stream has received events from another chain.
        """
        others = [
            activity.last_event_at
            for key, activity in self.chains.items()
            if key != chain
        ]
        return now - max(others) if others else 0.0
