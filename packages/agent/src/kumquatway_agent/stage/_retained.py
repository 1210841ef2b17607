"""
Retained.

The activations that a stage passed on, kept for a replay.
"""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Output:
    """
    Activations of consecutive positions.

    :param position: the first.
    :param count: how many.
    """

    position: int
    count: int
    data: bytes


class Retained:
    """What one stream passed on, without a gap."""

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
        self.outputs = [_join(self.outputs)]
        return self.outputs[0]

    def since(self, position: int) -> Output | None:
        """
        Find the outputs from a position on.

        :param position: the first one wanted.
        :return: as much of them as is kept; None if none is.
        """
        found = [
            output
            for output in self.outputs
            if output.position + output.count > position
        ]
        if not found:
            return None
        joined = _join(found)
        skip = max(position - joined.position, 0)
        return _without(joined, skip)

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


def _join(outputs: list[Output]) -> Output:
    if len(outputs) == 1:
        return outputs[0]
    data = b"".join(output.data for output in outputs)
    count = sum(output.count for output in outputs)
    return Output(position=outputs[0].position, count=count, data=data)


def _without(output: Output, skip: int) -> Output:
    """Leave out the first positions."""
    if not skip:
        return output
    width = len(output.data) // output.count
    return Output(
        position=output.position + skip,
        count=output.count - skip,
        data=output.data[skip * width :],
    )


def _last_position(output: Output) -> Output:
    return _without(output, output.count - 1)
