"""
Outgoing.

Gathers the outputs of one engine step into one message for each receiver.
"""

from collections.abc import Callable

from kumquatway_core.wire import GeneratedToken, Message, Pieces, StepItem, Steps

Send = Callable[[str, Message], object]


class Outgoing:
    """
    Outputs that wait for the end of a step.

    :param send: sends a message to an address.
    """

    def __init__(self, *, send: Send):
        self.send = send
        self.steps: dict[str, list[StepItem]] = {}
        self.pieces: dict[str, list[GeneratedToken]] = {}

    def add_step(self, address: str, item: StepItem) -> None:
        """
        Add a step for another stage.

        :param address: of its agent.
        :param item: the step.
        """
        self.steps.setdefault(address, []).append(item)

    def add_piece(self, address: str, piece: GeneratedToken) -> None:
        """
        Add a token for an entry.

        :param address: of the entry.
        :param piece: the token.
        """
        self.pieces.setdefault(address, []).append(piece)

    def flush(self) -> None:
        """Send all that was added."""
        steps, self.steps = self.steps, {}
        pieces, self.pieces = self.pieces, {}
        for address, found in pieces.items():
            self.send(address, Pieces(items=tuple(found)))
        for address, items in steps.items():
            self.send(address, Steps(items=tuple(items)))
