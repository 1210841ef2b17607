"""
Pulses.

When each chain last sent an event to any stream of this entry.
"""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamActivity:
    """
    A stream that has had events from its chain.

    :param chain: id of the chain's first server.
    :param heard: when the last one came, monotonic seconds.
    """

    chain: str
    last_event_at: float


@dataclass(kw_only=True, slots=True)
class ChainActivity:
    """
    A chain, by the streams that flow from it.

    :param streams: their count.
    :param heard: when the last event of any of them came, monotonic seconds.
    """

    stream_count: int = 0
    last_event_at: float = float("-inf")


class ActivitySnapshot:
    """
    The chains that streams flow from.

    :param flows: all streams of this entry that flow.
    """

    def __init__(self, streams: Iterable[StreamActivity] = ()):
        self.chains: dict[str, ChainActivity] = {}
        for stream in streams:
            pulse = self.chains.setdefault(stream.chain, ChainActivity())
            pulse.stream_count += 1
            pulse.last_event_at = max(pulse.last_event_at, stream.last_event_at)

    def stream_count(self, chain: str) -> int:
        """
        Count the streams that flow from a chain.

        :param chain: id of its first server.
        """
        pulse = self.chains.get(chain)
        return pulse.stream_count if pulse else 0

    def idle_seconds(self, chain: str, now: float) -> float:
        """
        Tell how long a chain has sent no event to anybody.

        :param chain: id of its first server.
        :param now: monotonic seconds.
        :return: seconds, 0 where no stream flows from it.
        """
        pulse = self.chains.get(chain)
        return now - pulse.last_event_at if pulse else 0.0

    def idle_seconds_of_others(self, chain: str, now: float) -> float:
        """
        Tell how long all other chains have sent no event, either.

        :param chain: id of the first server of the chain that is left out.
        :param now: monotonic seconds.
        :return: seconds, 0 where no stream flows from another.
        """
        others = [
            pulse.last_event_at for key, pulse in self.chains.items() if key != chain
        ]
        return now - max(others) if others else 0.0
