"""
Retained.

The activations that a stage passed on, kept for a replay.
"""

from dataclasses import dataclass

from kumquatway_core.wire import NO_TOKEN


@dataclass(frozen=True, kw_only=True, slots=True)
class Output:
    """
    Activations of consecutive positions.

    :param position: the first.
    :param count: how many.
    :param sampled: the token of the only position, or `NO_TOKEN`.
    """

    position: int
    count: int
    data: bytes
    sampled: int = NO_TOKEN


class Retained:
    """What one stream passed on, from position 0 without a gap."""

    def __init__(self):
        self.outputs: list[Output] = []
        self.bytes = 0
        self.whole = True

    def add(self, output: Output) -> None:
        """
        Keep an output.

        :param output: that follows the last one.
        """
        if self.whole:
            self.outputs.append(output)
            self.bytes += len(output.data)
        else:
            self.outputs = [output]
            self.bytes = len(output.data)

    def last(self) -> Output | None:
        """
        Find the latest output.

        :return: None before the first step.
        """
        return self.outputs[-1] if self.outputs else None

    def joined(self) -> Output | None:
        """
        Join all outputs for a replay.

        :return: None if some were evicted or nothing was run.
        """
        if not self.whole or not self.outputs:
            return None
        data = b"".join(output.data for output in self.outputs)
        count = sum(output.count for output in self.outputs)
        joined = Output(position=0, count=count, data=data)
        self.outputs = [joined]
        return joined

    def evict(self) -> int:
        """
        Give up the replay of this stream; the latest output stays.

        :return: bytes freed.
        """
        before = self.bytes
        self.whole = False
        self.outputs = self.outputs[-1:]
        if self.outputs and self.outputs[0].count > 1:
            self.outputs = [_last_position(self.outputs[0])]
        self.bytes = sum(len(output.data) for output in self.outputs)
        return before - self.bytes


def _last_position(output: Output) -> Output:
    width = len(output.data) // output.count
    end = output.position + output.count
    return Output(position=end - 1, count=1, data=output.data[-width:])
