"""
Pace.

Learns how long steps take, to tell a hung engine from a slow one.
"""

SMOOTHING = 0.2
UNKNOWN_BOUND = 10.0  # seconds, before any step of that size was seen
FLOOR = 0.25  # seconds
FACTOR = 4.0  # a step may take so many times what it usually takes


class Pace:
    """The smoothed time of steps, by the power of two of their tokens."""

    def __init__(self):
        self.by_size: dict[int, float] = {}

    def add(self, tokens: int, seconds: float) -> None:
        """
        Learn from a step.

        :param tokens: in its batch.
        :param seconds: that it took.
        """
        size = tokens.bit_length()
        known = self.by_size.get(size)
        if known is None:
            self.by_size[size] = seconds
        else:
            self.by_size[size] = known + SMOOTHING * (seconds - known)

    def bound(self, tokens: int) -> float:
        """
        Bound a step.

        :param tokens: in its batch.
        :return: seconds after which the engine counts as hung.
        """
        usual = self._usual(tokens.bit_length())
        if usual is None:
            return UNKNOWN_BOUND
        return FLOOR + FACTOR * usual

    def _usual(self, size: int) -> float | None:
        if size in self.by_size:
            return self.by_size[size]
        smaller = [known for known in self.by_size if known < size]
        if smaller:
            nearest = max(smaller)
            return self.by_size[nearest] * 2 ** (size - nearest)
        return max(self.by_size.values(), default=None)
