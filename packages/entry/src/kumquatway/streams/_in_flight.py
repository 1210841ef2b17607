"""
In flight.

Counts the streams that this entry has on each VM.
"""

from collections import Counter

from kumquatway_core.wire import Stage

REPLAY_STREAMS = 16  # decoding streams that cost an engine as much as a replay


class InFlight:
    """The count of streams by the name of the VM."""

    def __init__(self):
        self.by_vm: Counter[str] = Counter()
        self.replaying: Counter[str] = Counter()

    def count(self, vm: str) -> int:
        """
        Count the streams on a VM.

        :param vm: its name.
        :return: the number of them.
        """
        return self.by_vm[vm]

    def load(self, vm: str) -> int:
        """
        Count the streams on a VM, a replay as many.

        :param vm: its name.
        :return: streams that would cost as much.
        """
        return self.by_vm[vm] + REPLAY_STREAMS * self.replaying[vm]

    def replay(self, vm: str, change: int) -> None:
        """
        Learn that a replay to a VM begins or ends.

        :param vm: its name.
        :param change: 1 or -1.
        """
        self.replaying[vm] += change
        if not self.replaying[vm]:
            del self.replaying[vm]

    def change(self, old: tuple[Stage, ...], new: tuple[Stage, ...]) -> None:
        """
        Learn that a stream changed its route.

        :param old: its stages before, none for a new stream.
        :param new: its stages now, none for one that ended.
        """
        for stage in old:
            self.by_vm[stage.vm] -= 1
            if not self.by_vm[stage.vm]:
                del self.by_vm[stage.vm]
        for stage in new:
            self.by_vm[stage.vm] += 1
