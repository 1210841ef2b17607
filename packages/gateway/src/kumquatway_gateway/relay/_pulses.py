"""
Pulses.

When each chain last sent an event to any stream of this entry.
"""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Flow:
    """
    A stream that has had events from its chain.

    :param chain: id of the chain's first server.
    :param heard: when the last one came, monotonic seconds.
    """

    chain: str
    heard: float


@dataclass(kw_only=True, slots=True)
class Pulse:
    """
    A chain, by the streams that flow from it.

    :param streams: their count.
    :param heard: when the last event of any of them came, monotonic seconds.
    """

    streams: int = 0
    heard: float = float("-inf")


class Pulses:
    """
    The chains that streams flow from.

    :param flows: all streams of this entry that flow.
    """

    def __init__(self, flows: Iterable[Flow] = ()):
        self.chains: dict[str, Pulse] = {}
        for flow in flows:
            pulse = self.chains.setdefault(flow.chain, Pulse())
            pulse.streams += 1
            pulse.heard = max(pulse.heard, flow.heard)

    def streams(self, chain: str) -> int:
        """
        Count the streams that flow from a chain.

        :param chain: id of its first server.
        """
        pulse = self.chains.get(chain)
        return pulse.streams if pulse else 0

    def quiet(self, chain: str, now: float) -> float:
        """
        Tell how long a chain has sent no event to anybody.

        :param chain: id of its first server.
        :param now: monotonic seconds.
        :return: seconds, 0 where no stream flows from it.
        """
        pulse = self.chains.get(chain)
        return now - pulse.heard if pulse else 0.0

    def quiet_elsewhere(self, chain: str, now: float) -> float:
        """
        Tell how long all other chains have sent no event, either.

        :param chain: id of the first server of the chain that is left out.
        :param now: monotonic seconds.
        :return: seconds, 0 where no stream flows from another.
        """
        others = [pulse.heard for key, pulse in self.chains.items() if key != chain]
        return now - max(others) if others else 0.0
