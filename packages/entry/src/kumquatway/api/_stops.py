"""
Stops.

Ends an answer before a stop string that may span tokens.
"""


class StopFilter:
    """
    Holds text back while it may be the start of a stop string.

    :param stops: strings that end the answer and are not part of it.
    """

    def __init__(self, *, stops: tuple[str, ...]):
        self.stops = stops
        self.held = ""
        self.stopped = False

    def add(self, text: str) -> str:
        """
        Take in text.

        :param text: of the next token.
        :return: what may go to the caller.
        """
        if not self.stops:
            return text
        self.held += text
        found = [self.held.find(stop) for stop in self.stops]
        starts = [start for start in found if start >= 0]
        if starts:
            self.stopped = True
            return self._release(min(starts))
        return self._release(len(self.held) - self._pending())

    def rest(self) -> str:
        """
        Release what was held, at the end of the answer.

        :return: the text, "" after a stop string.
        """
        return "" if self.stopped else self._release(len(self.held))

    def _release(self, count: int) -> str:
        text = self.held[:count]
        self.held = self.held[count:]
        return text

    def _pending(self) -> int:
        """Count the characters at the end that may begin a stop string."""
        longest = max(len(stop) for stop in self.stops) - 1
        for count in range(min(longest, len(self.held)), 0, -1):
            tail = self.held[-count:]
            if any(stop.startswith(tail) for stop in self.stops):
                return count
        return 0
